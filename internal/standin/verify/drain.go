package verify

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// DrainGracePeriod is the time after the acceptance of a drain from which the
// upstream must get no new work.
const DrainGracePeriod = 3 * time.Second

// Drain is an accepted drain of an upstream.
type Drain struct {
	Upstream string
	At       time.Time
}

// ParseDrain reads a drain from the upstream's name and Unix milliseconds, as
// "pedidos-01@1764832000000".
func ParseDrain(text string) (Drain, error) {
	name, at, found := strings.Cut(text, "@")
	millis, err := strconv.ParseInt(at, 10, 64)
	if !found || err != nil || name == "" {
		return Drain{}, eris.Errorf("%q is not NAME@MILLISECONDS", text)
	}
	return Drain{Upstream: name, At: time.UnixMilli(millis)}, nil
}

// AddDrains counts the runs that began on draining upstreams after the limit.
func (r *Result) AddDrains(deployments []Deployment, drains []Drain) {
	for _, drain := range drains {
		for _, d := range deployments {
			r.RunsAfterDrain += runsAfter(d, drain)
		}
	}
}

func runsAfter(d Deployment, drain Drain) int {
	started := time.UnixMilli(d.UpstreamReport.Started)
	count := 0
	for i := range d.UpstreamReport.Runs {
		run := &d.UpstreamReport.Runs[i]
		began := started.Add(run.At)
		if d.UpstreamReport.Names[run.Upstream] == drain.Upstream && began.After(drain.At.Add(DrainGracePeriod)) {
			count++
		}
	}
	return count
}
