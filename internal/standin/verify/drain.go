package verify

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// DrainLimit is the time after the acceptance of a drain in which the upstream may
// still get new requests.
const DrainLimit = 3 * time.Second

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
		return Drain{}, eris.Errorf("%q is not NAME@MILLISECONDS", text)
	}
	return Drain{Upstream: name, At: time.UnixMilli(millis)}, nil
}

// AddDrains counts the runs that started on draining upstreams after DrainLimit.
func (r *Result) AddDrains(deployments []Deployment, drains []Drain) {
	for _, drain := range drains {
		for _, d := range deployments {
			r.RunsAfterDrain += runsAfter(d, drain)
		}
	}
}

func runsAfter(d Deployment, drain Drain) int {
	started := time.UnixMilli(d.Executed.Started)
	count := 0
	for i := range d.Executed.Runs {
		run := &d.Executed.Runs[i]
		began := started.Add(run.At)
		if d.Executed.Names[run.Upstream] == drain.Upstream && began.After(drain.At.Add(DrainLimit)) {
			count++
		}
	}
	return count
}
