// Package sim is a discrete-event simulation of callers, hosts and upstreams in
// which placement policies are measured in virtual time. There are no sockets,
// and the network loses no datagrams; only overloaded and dead hosts drop them.
// The same seed gives the same run.
package sim

import (
	"math/rand/v2"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/virtualtime"
)

const (
	// Window is the interval over which the load imbalance is averaged.
	Window = 10 * time.Second
	// tickInterval is the interval between calls of Policy.Tick.
	tickInterval = 20 * time.Millisecond
	// resendAfter is the retransmission timeout after an overloaded or dead host
	// dropped an attempt or an answer.
	resendAfter = 250 * time.Millisecond
	// datagramsBeforeRefusal is the number of datagrams of a request body that
	// reach the owner before it can refuse the request.
	datagramsBeforeRefusal = 8
)

// Run is one simulation run.
type Run struct {
	virtualtime.Queue
	Setup    Setup
	Services []*Service
	policy   Policy
	hosts    []hostState
	rng      *rand.Rand
	tickets  placement.Ticket
	// OnHostWait, if set, is called with the queueing delay of each piece of
	// work at a host.
	OnHostWait func(host int, lag time.Duration)
}

type hostState struct {
	dead bool
	// deathKnown is set once the other hosts and the fabric have detected the death.
	deathKnown bool
	busyUntil  time.Duration
}

// New returns a run without a policy. SetPolicy must be called before the run starts.
func New(setup Setup) *Run {
	r := &Run{
		Setup: setup,
		hosts: make([]hostState, len(setup.Hosts)),
		rng:   rand.New(rand.NewPCG(setup.Seed, 1)),
	}
	for i, spec := range setup.Services {
		s := &Service{Spec: spec, Counts: newCounts(), rng: rand.New(rand.NewPCG(setup.Seed, uint64(i)+2))}
		for j := range spec.Config.Upstreams {
			s.Upstreams = append(s.Upstreams, &Upstream{Config: &spec.Config.Upstreams[j]})
		}
		r.Services = append(r.Services, s)
	}
	return r
}

// SetPolicy installs the policy, schedules its ticks and load reports, and opens the flows.
func (r *Run) SetPolicy(p Policy) {
	r.policy = p
	r.Every(tickInterval, func() { p.Tick(r.Now()) })
	r.Every(r.Setup.ReportInterval, r.reportLoads)
	r.Every(Window, r.endWindow)
	for _, s := range r.Services {
		r.openFlows(s)
	}
}

// openFlows opens the flows evenly over the first half of the warm-up.
func (r *Run) openFlows(s *Service) {
	if s.Spec.Flows == 0 {
		return
	}
	gap := r.Setup.WarmUp / 2 / time.Duration(s.Spec.Flows)
	for i := range s.Spec.Flows {
		f := &Flow{Nonce: ids.Nonce(r.rng.Uint64())}
		r.After(time.Duration(i)*gap, func() {
			if !r.policy.Open(r.Now(), s, f) {
				return
			}
			s.upstreamByID(uint32(f.Upstream)).Flows++
			s.Flows = append(s.Flows, f)
		})
	}
}

// OfferLoad generates Poisson arrivals of requests, on average perSecond of them, in
// [from, to).
func (r *Run) OfferLoad(s *Service, perSecond float64, from, to time.Duration) {
	if perSecond <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(r.Setup.Seed^uint64(from), uint64(s.Spec.Config.ID)))
	var next func()
	next = func() {
		if r.Now() >= to {
			return
		}
		r.create(s, rng)
		r.After(time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	r.After(from, next)
}

func (r *Run) create(s *Service, rng *rand.Rand) {
	if len(s.Flows) == 0 {
		return
	}
	req := &Request{Service: s, Flow: s.Flows[rng.IntN(len(s.Flows))], Created: r.Now()}
	req.counted = r.Now() >= r.Setup.WarmUp
	if req.counted {
		s.Counts.Offered++
	}
	countSecond(&s.Counts.OfferedBySecond, req.Created)
	r.send(req)
}

// reportLoads takes the load reports of all upstreams and delivers them to the
// policy after Setup.ReportLag.
func (r *Run) reportLoads() {
	for _, s := range r.Services {
		for _, u := range s.Upstreams {
			report := u.report()
			r.After(r.Setup.ReportLag, func() { r.policy.Report(r.Now(), s, report) })
		}
	}
}

func (r *Run) endWindow() {
	for _, s := range r.Services {
		window := make([]time.Duration, len(s.Upstreams))
		for i, u := range s.Upstreams {
			window[i] = u.takeBusy(r.Now())
		}
		if r.Now() > r.Setup.WarmUp && r.Now() <= r.Setup.End {
			s.Counts.Windows = append(s.Counts.Windows, window)
		}
	}
}

// Kill stops a host at the given time. The policy is notified after Setup.Detection.
func (r *Run) Kill(host int, at time.Duration) {
	r.After(at, func() { r.hosts[host].dead = true })
	r.After(at+r.Setup.Detection, func() {
		r.hosts[host].deathKnown = true
		r.policy.HostDied(r.Now(), host)
	})
}

// Dead reports whether a host is dead.
func (r *Run) Dead(host int) bool {
	return r.hosts[host].dead
}

func (r *Run) delay(a, b string) time.Duration {
	if a == b {
		return r.Setup.Delays.Local
	}
	return r.Setup.Delays.Cross
}

// randomHost returns the host to which the fabric sprays a datagram. The fabric
// stops sending to a dead host when the other hosts detect its death.
func (r *Run) randomHost() int {
	for {
		host := r.rng.IntN(len(r.hosts))
		if !r.hosts[host].deathKnown {
			return host
		}
	}
}
