// Package placement chooses the upstream for each flow and request of one
// service, and decides which requests are queued or refused. It holds the
// adaptive concurrency limits, slow start, outlier ejection and spillover to
// other availability zones. The home of a service in an availability zone is the
// host that places its flows and requests on the upstreams there (package table).
// A new home doesn't know what the previous one has placed. The package has no
// clock, sockets or goroutines: the caller passes the time as the duration since
// process start and carries out the decisions.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/retryafter"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Placer places the flows and requests of one service for one availability zone.
// It is not safe for concurrent use.
type Placer struct {
	service      *config.Service
	zone         string
	adoptedZones []string
	upstreams    []*upstream
	byID         map[ids.UpstreamID]*upstream
	started      map[Ticket]startedRequest
	queue        queue
	serviceTimes estimator
	recentFlows  windowCount
	spill        spill
	rng          *rand.Rand
	pacer        *retryafter.Pacer
	flowPacer    *retryafter.Pacer
}

type startedRequest struct {
	upstream ids.UpstreamID
	at       time.Duration
}

const (
	// flowRetryRate is the rate, per second, at which callers that were refused
	// a flow are scheduled to retry.
	flowRetryRate = 20
	// defaultRetryRate is the rate, per second, at which callers that were
	// refused a request are scheduled to retry until a service time has been
	// measured.
	defaultRetryRate = 10
)

// New returns a placer for the upstreams of the service that prefers those in
// the given availability zone. The requests of other hosts on the upstreams are
// not known yet, so each upstream gets one request at a time until its first
// answer, shed or healthy report.
func New(service *config.Service, zone string, seed uint64) *Placer {
	p := &Placer{
		zone:         zone,
		byID:         make(map[ids.UpstreamID]*upstream),
		started:      make(map[Ticket]startedRequest),
		serviceTimes: newEstimator(serviceGain),
		rng:          rand.New(rand.NewPCG(seed, rngStream)),
		pacer:        retryafter.New(seed + 1),
		flowPacer:    retryafter.New(seed + 2),
	}
	p.Update(0, service)
	return p
}

// rngStream is the second word of the generator's seed, "mimosa" in ASCII.
const rngStream = 0x6d696d6f7361

// Update applies a changed configuration and keeps the state of upstreams that
// remain. Upstreams added after New begin in slow start. Waiting requests use
// new capacity at the next Tick.
func (p *Placer) Update(now time.Duration, service *config.Service) {
	first := p.service == nil
	p.service = service
	p.upstreams = p.upstreams[:0]
	next := make(map[ids.UpstreamID]*upstream, len(service.Upstreams))
	for i := range service.Upstreams {
		c := &service.Upstreams[i]
		u := p.byID[c.ID]
		if u == nil {
			u = newUpstream(c.ID)
			if !first {
				u.ramp.begin(now, service.SlowStart)
			}
		}
		u.configure(c)
		p.setLocality(u)
		next[c.ID] = u
		p.upstreams = append(p.upstreams, u)
	}
	p.byID = next
}

// AdoptZones sets the other availability zones whose upstreams this placer
// treats as local, because those zones have no host in state live that could be
// the home.
func (p *Placer) AdoptZones(now time.Duration, zones []string) {
	p.adoptedZones = zones
	for _, u := range p.upstreams {
		p.setLocality(u)
	}
}

func (p *Placer) setLocality(u *upstream) {
	u.adopted = slices.Contains(p.adoptedZones, u.zone)
	u.local = u.adopted || u.zone == p.zone
	u.health.ejectOnFirstFailure = u.zone != p.zone
}

// Offer requests a slot. The decision is to start the request, to queue it or
// to refuse it.
func (p *Placer) Offer(now time.Duration, req Request) Decision {
	if !p.serviceTimes.canFinishBy(now, req.Deadline) {
		return p.refuse(now, req.Ticket, verdict.ReasonDeadline)
	}
	if p.queue.len() == 0 {
		if d, ok := p.tryStart(now, req); ok {
			return d
		}
	}
	return p.enqueue(now, req)
}

// tryStart starts the request if an upstream has a free slot for it.
func (p *Placer) tryStart(now time.Duration, req Request) (Decision, bool) {
	u, considered := p.choose(now, req.Exclude)
	if u == nil {
		return Decision{}, false
	}
	u.start(now)
	p.started[req.Ticket] = startedRequest{upstream: u.id, at: now}
	return Decision{Ticket: req.Ticket, Action: ActionStart, Upstream: u.id, Considered: considered}, true
}

// Finish frees the slot of a started ticket and returns decisions for waiting
// tickets. It has no effect on a ticket that was never started or is already
// finished.
func (p *Placer) Finish(now time.Duration, ticket Ticket, id ids.UpstreamID, outcome Outcome) []Decision {
	s, ok := p.started[ticket]
	if !ok {
		return nil
	}
	delete(p.started, ticket)
	if u := p.byID[s.upstream]; u != nil {
		p.observe(now, u, outcome, now-s.at)
	}
	return p.dispatchQueue(now)
}

// observe updates the state of an upstream at the end of a request.
func (p *Placer) observe(now time.Duration, u *upstream, outcome Outcome, took time.Duration) {
	running := u.running
	u.finish(now, now-took)
	switch outcome {
	case OutcomeAnswered:
		p.serviceTimes.add(took)
		u.onAnswer(now, took, running, p.service.SlowStart)
		u.limit.decreaseIfSlow(now, u.serviceTimes, p.medianServiceTime())
	case OutcomeShed:
		u.onShed(now, running, p.rng)
	case OutcomeTimeout:
		p.addTimeoutSample(u, now-took, took)
		u.onTimeout(now, p.rng)
	case OutcomeLost:
		u.onLost(now, p.service.SlowStart, p.rng)
	case OutcomeCancelled:
	}
}

// addTimeoutSample counts a timeout as a service time if the upstream is slow
// rather than dead, that is, if it answered another request after this one
// started.
func (p *Placer) addTimeoutSample(u *upstream, started, took time.Duration) {
	if u.answered && u.lastAnswer > started && p.serviceTimes.known() {
		p.serviceTimes.add(min(took, maxTimeoutSampleFactor*p.serviceTimes.mean))
	}
}

// maxTimeoutSampleFactor caps the sample added for a timeout, as a multiple of
// the mean service time.
const maxTimeoutSampleFactor = 4

// HandleReport applies a load report of an upstream and returns decisions for waiting
// tickets.
func (p *Placer) HandleReport(now time.Duration, r Report) []Decision {
	u := p.byID[r.Upstream]
	if u == nil {
		return nil
	}
	u.onReport(now, r, p.service.SlowStart)
	return p.dispatchQueue(now)
}

// Tick returns decisions that depend on time alone: waiting tickets that can no
// longer meet their deadline, and tickets that can start because a limit has
// grown or a backoff has ended.
func (p *Placer) Tick(now time.Duration) []Decision {
	p.spill.update(now, p.localSlots(now))
	return p.dispatchQueue(now)
}

func (p *Placer) refuse(now time.Duration, ticket Ticket, reason verdict.Reason) Decision {
	return Decision{
		Ticket:     ticket,
		Action:     ActionRefuse,
		Reason:     reason,
		RetryAfter: p.pacer.Next(now, p.throughput(now)),
		Considered: len(p.upstreams),
	}
}

// throughput estimates the number of requests per second that the usable
// upstreams can finish.
func (p *Placer) throughput(now time.Duration) float64 {
	slots := p.capacity(now)
	if !p.serviceTimes.known() {
		return defaultRetryRate
	}
	return float64(slots) / p.serviceTimes.mean.Seconds()
}
