package verify

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// DrainGracePeriod is the time after the acceptance of a drain in which the upstream may
// still get new requests.
const DrainGracePeriod = 3 * time.Second

// Drain is an accepted drain of an upstream. At is the time of the acceptance.
type Drain struct {
	Upstream string
	At       time.Time
}

// ParseDrain parses the name of an upstream and a time in Unix milliseconds, such
// as "pedidos-01@1764832000000".
func ParseDrain(text string) (Drain, error) {
	name, at, found := strings.Cut(text, "@")
	millis, err := strconv.ParseInt(at, 10, 64)
	if !found || err != nil || name == "" {
		return Drain{}, eris.Errorf("drain %q is not of the form NAME@MILLISECONDS", text)
	}
	return Drain{Upstream: name, At: time.UnixMilli(millis)}, nil
}

// AddDrains adds to RunsAfterDrain the runs that started on an upstream more than
// DrainGracePeriod after its drain was accepted.
func (r *Result) AddDrains(deployments []Deployment, drains []Drain) {
	for _, drain := range drains {
		for _, d := range deployments {
			r.RunsAfterDrain += runsAfterDrain(d, drain)
		}
	}
}

func runsAfterDrain(d Deployment, drain Drain) int {
	processStart := time.UnixMilli(d.UpstreamReport.Started)
	count := 0
	for i := range d.UpstreamReport.Runs {
		run := &d.UpstreamReport.Runs[i]
		runStart := processStart.Add(run.At)
		if d.UpstreamReport.Names[run.Upstream] == drain.Upstream && runStart.After(drain.At.Add(DrainGracePeriod)) {
			count++
		}
	}
	return count
}
