// Package placement decides which upstream of one service gets a flow or a
// request, and which requests wait or are refused. It has no clock, socket or
// goroutine: the caller passes the time, as the duration since the start of
// the process, and acts on the decisions.
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

// Placer places the flows and requests of one service in one availability zone.
// It is not safe for concurrent use.
type Placer struct {
	service   *config.Service
	zone      string
	adopted   []string
	upstreams []*upstream
	byID      map[ids.UpstreamID]*upstream
	started   map[Ticket]startedRequest
	queue     queue
	times     estimator
	flowRate  shareWindow
	spill     spill
	rng       *rand.Rand
	pacer     *retryafter.Pacer
	flowPacer *retryafter.Pacer
}

type startedRequest struct {
	upstream ids.UpstreamID
	at       time.Duration
}

const (
	// flowRetryRate is the rate at which callers refused a flow come back, per second.
	flowRetryRate = 20
	// unknownRetryRate is the rate at which refused callers come back as long
	// as no service time was measured, per second.
	unknownRetryRate = 10
)

// New returns a placer for the upstreams of the service. Those in the given
// availability zone come first. What other hosts placed on the upstreams
// before is not known, so each upstream gets one request until its first
// answer or report.
func New(service *config.Service, zone string, seed uint64) *Placer {
	p := &Placer{
		zone:      zone,
		byID:      make(map[ids.UpstreamID]*upstream),
		started:   make(map[Ticket]startedRequest),
		times:     newEstimator(serviceGain),
		rng:       rand.New(rand.NewPCG(seed, seedStream)),
		pacer:     retryafter.New(seed + 1),
		flowPacer: retryafter.New(seed + 2),
	}
	p.Update(0, service)
	return p
}

const seedStream = 0x6d696d6f7361

// Update takes over a changed configuration and keeps what was counted.
// Upstreams that are added to a running placer start cold. Waiting requests
// get the benefit at the next Tick.
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
		p.assignZone(u)
		next[c.ID] = u
		p.upstreams = append(p.upstreams, u)
	}
	p.byID = next
}

// AdoptZones sets the other availability zones whose upstreams this placer
// places as its own, because no host is left there.
func (p *Placer) AdoptZones(now time.Duration, zones []string) {
	p.adopted = zones
	for _, u := range p.upstreams {
		p.assignZone(u)
	}
}

func (p *Placer) assignZone(u *upstream) {
	u.adopted = slices.Contains(p.adopted, u.zone)
	u.local = u.adopted || u.zone == p.zone
	u.health.fragile = u.zone != p.zone
}

// Offer asks for a slot for the item.
func (p *Placer) Offer(now time.Duration, item Request) Decision {
	if !p.times.inTime(now, item.Deadline) {
		return p.refuse(now, item.Ticket, verdict.ReasonDeadline)
	}
	if p.queue.len() == 0 {
		if d, ok := p.tryStart(now, item); ok {
			return d
		}
	}
	return p.enqueue(now, item)
}

// tryStart places the item at once if an upstream has a slot for it.
func (p *Placer) tryStart(now time.Duration, item Request) (Decision, bool) {
	u, considered := p.choose(now, item.Exclude)
	if u == nil {
		return Decision{}, false
	}
	u.start(now)
	p.started[item.Ticket] = startedRequest{upstream: u.id, at: now}
	return Decision{Ticket: item.Ticket, Action: ActionStart, Upstream: u.id, Considered: considered}, true
}

// Finish frees the slot of a started ticket and returns decisions for tickets
// that waited. A ticket that was not started, or has been finished before,
// changes nothing.
func (p *Placer) Finish(now time.Duration, ticket Ticket, id ids.UpstreamID, outcome Outcome) []Decision {
	s, ok := p.started[ticket]
	if !ok {
		return nil
	}
	delete(p.started, ticket)
	if u := p.byID[s.upstream]; u != nil {
		p.observe(now, u, outcome, now-s.at)
	}
	return p.drain(now)
}

// observe updates what is known of an upstream by the end of a request.
func (p *Placer) observe(now time.Duration, u *upstream, outcome Outcome, took time.Duration) {
	running := u.running
	u.finish(now, now-took)
	switch outcome {
	case OutcomeAnswered:
		p.times.add(took)
		u.onAnswer(now, took, running, p.service.SlowStart)
		u.limit.slowDown(now, u.times, p.usualTime())
	case OutcomeShed:
		u.onShed(now, running, p.rng)
	case OutcomeTimeout:
		p.learnFromTimeout(u, now-took, took)
		u.onTimeout(now, p.rng)
	case OutcomeLost:
		u.onLost(now, p.service.SlowStart, p.rng)
	case OutcomeCancelled:
	}
}

// learnFromTimeout raises the expected service time if the upstream is slow
// and not dead: it answered something after the request was sent.
func (p *Placer) learnFromTimeout(u *upstream, started, took time.Duration) {
	if u.answered && u.lastAnswer > started && p.times.known() {
		p.times.add(min(took, timeoutWeight*p.times.mean))
	}
}

// timeoutWeight bounds what one timeout adds to the expected service time, as
// a multiple of it.
const timeoutWeight = 4

// Report takes in what an upstream says of itself.
func (p *Placer) Report(now time.Duration, r Report) []Decision {
	u := p.byID[r.Upstream]
	if u == nil {
		return nil
	}
	u.onReport(now, r, p.service.SlowStart)
	return p.drain(now)
}

// Tick returns decisions that are due by time alone: waiting tickets whose
// deadline can't be met, and tickets that a growing limit lets start.
func (p *Placer) Tick(now time.Duration) []Decision {
	p.spill.update(now, p.ownSlots(now))
	return p.drain(now)
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

// throughput estimates the requests a second that the usable upstreams finish.
func (p *Placer) throughput(now time.Duration) float64 {
	slots := p.capacity(now)
	if !p.times.known() {
		return unknownRetryRate
	}
	return float64(slots) / p.times.mean.Seconds()
}
