package sim

import (
	"math/rand/v2"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/placement"
)

// Fault is an injected fault of an upstream.
type Fault struct {
	// Dead makes the upstream accept requests and never answer.
	Dead bool
	// OccupiedSlots is the number of slots in use by work from elsewhere.
	OccupiedSlots int
	// SlowFactor multiplies the service times; zero means one.
	SlowFactor int
	// FalseReport, if set, is sent in place of the true load reports.
	FalseReport *placement.Report
}

// Upstream is a simulated upstream. It runs one request in each slot, sheds
// further ones, and stops a request whose attempt timed out.
type Upstream struct {
	Config  *config.Upstream
	Flows   int
	Fault   Fault
	running int
	// busy is the integral of the number of running requests over time since
	// the window began.
	busy      time.Duration
	changedAt time.Duration
}

// report returns the upstream's load report.
func (u *Upstream) report() placement.Report {
	r := placement.Report{Healthy: !u.Fault.Dead, Running: u.running + u.Fault.OccupiedSlots, Connections: u.Flows}
	if u.Fault.FalseReport != nil {
		r = *u.Fault.FalseReport
	}
	r.Upstream = u.Config.ID
	return r
}

func (u *Upstream) setRunning(now time.Duration, running int) {
	u.busy += time.Duration(u.running) * (now - u.changedAt)
	u.changedAt = now
	u.running = running
}

// takeBusy returns the busy time since the previous call.
func (u *Upstream) takeBusy(now time.Duration) time.Duration {
	u.setRunning(now, u.running)
	busy := u.busy
	u.busy = 0
	return busy
}

// Service is a service with its simulated upstreams and results.
type Service struct {
	Spec      *ServiceSpec
	Upstreams []*Upstream
	Flows     []*Flow
	Counts    Counts
	rng       *rand.Rand
}

func (s *Service) serviceTime() time.Duration {
	random := s.Spec.MeanTime - s.Spec.MinTime
	return s.Spec.MinTime + time.Duration(s.rng.ExpFloat64()*float64(random))
}

func (s *Service) upstreamByID(id uint32) *Upstream {
	for _, u := range s.Upstreams {
		if uint32(u.Config.ID) == id {
			return u
		}
	}
	return nil
}
