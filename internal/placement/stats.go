package placement

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// Stats holds the state of a placer for metrics.
type Stats struct {
	Waiting int
	// Slots is the number of requests that may currently run at once.
	Slots int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	Spilling    bool
	Upstreams   []UpstreamStats
}

// UpstreamStats holds the state of one upstream for metrics.
type UpstreamStats struct {
	ID          ids.UpstreamID
	Running     int
	Allowed     int
	Flows       int
	Ejected     bool
	Ramping     bool
	ReportValid bool
}

// Stats returns the current state for metrics.
func (p *Placer) Stats(now time.Duration) Stats {
	s := Stats{
		Waiting:     p.queue.len(),
		Slots:       p.capacity(now),
		ServiceTime: p.serviceTimes.mean,
		Spilling:    p.spill.active,
	}
	for _, u := range p.upstreams {
		reportValid := u.reports.valid(now)
		s.Upstreams = append(s.Upstreams, UpstreamStats{
			ID:          u.id,
			Running:     u.running,
			Allowed:     u.allowed(now),
			Flows:       u.flows.count(reportValid),
			Ejected:     u.health.state == healthEjected,
			Ramping:     u.ramp.active(now),
			ReportValid: reportValid,
		})
	}
	return s
}
