package placement

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// Stats holds the state of a placer for metrics.
type Stats struct {
	// Waiting is the number of queued requests.
	Waiting int
	// Slots is the number of requests that may currently run at once.
	Slots int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// Spilling is set while upstreams of other availability zones may be used.
	Spilling bool
	// Upstreams holds an entry for each upstream, including ejected ones.
	Upstreams []UpstreamStats
}

// UpstreamStats holds the state of one upstream for metrics.
type UpstreamStats struct {
	ID ids.UpstreamID
	// Running is the number of requests of this placer that run on the upstream,
	// Allowed the number that may run at once.
	Running int
	Allowed int
	// Flows is the number of flows on the upstream: the larger of the placer's own
	// and, if the report is valid, the reported count.
	Flows int
	// Ejected is set while outlier ejection excludes the upstream.
	Ejected bool
	// Ramping is set during slow start.
	Ramping bool
	// ReportValid is set if the last load report is recent and the reports change
	// with the load.
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
