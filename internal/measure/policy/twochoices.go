package policy

import (
	"math/rand/v2"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/measure/sim"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/verdict"
)

// twoChoices is the power-of-two-choices policy: a host picks two random upstreams
// and places the request on the one with fewer running requests of this host. Each
// host may use an equal share of the slots of an upstream, at least one. Requests
// that get no slot wait at the host as long as their deadline allows.
type twoChoices struct {
	run     *sim.Run
	rng     *rand.Rand
	running []map[ids.UpstreamID]int
	placed  map[placement.Ticket]heldSlot
	waiting [][]*sim.Request
}

// heldSlot is a slot of an upstream that a host uses for a request.
type heldSlot struct {
	host     int
	upstream ids.UpstreamID
}

// NewTwoChoices returns a power-of-two-choices policy in which each host uses a
// fixed share of the slots.
func NewTwoChoices(run *sim.Run, seed uint64) sim.Policy {
	p := &twoChoices{
		run:     run,
		rng:     rand.New(rand.NewPCG(seed, 14)),
		placed:  make(map[placement.Ticket]heldSlot),
		waiting: make([][]*sim.Request, len(run.Setup.Hosts)),
	}
	for range run.Setup.Hosts {
		p.running = append(p.running, make(map[ids.UpstreamID]int))
	}
	return p
}

// Open implements sim.Policy.
func (p *twoChoices) Open(now time.Duration, s *sim.Service, f *sim.Flow) bool {
	a := s.Upstreams[p.rng.IntN(len(s.Upstreams))]
	b := s.Upstreams[p.rng.IntN(len(s.Upstreams))]
	if b.Flows < a.Flows {
		a = b
	}
	f.Upstream = a.Config.ID
	return true
}

// Owner implements sim.Policy.
func (p *twoChoices) Owner(now time.Duration, r *sim.Request, arrival int) int {
	return arrival
}

// Offer implements sim.Policy.
func (p *twoChoices) Offer(now time.Duration, r *sim.Request) {
	if !p.tryPlace(r, 0) {
		p.enqueue(r)
	}
}

func (p *twoChoices) enqueue(r *sim.Request) {
	queue := p.waiting[r.Owner]
	if len(queue) >= r.Service.Spec.Config.QueueLimit {
		p.run.Refuse(r, sim.Refusal{Reason: verdict.ReasonOverload, RetryAfter: fixedRetryAfter})
		return
	}
	p.waiting[r.Owner] = append(queue, r)
}

// tryPlace places a request on the better of two random upstreams.
func (p *twoChoices) tryPlace(r *sim.Request, exclude ids.UpstreamID) bool {
	a := randomOther(p.rng, r.Service.Upstreams, exclude)
	b := randomOther(p.rng, r.Service.Upstreams, exclude)
	own := p.running[r.Owner]
	if own[b.Config.ID] < own[a.Config.ID] {
		a = b
	}
	share := max(1, a.Config.Slots/len(p.run.Setup.Hosts))
	if own[a.Config.ID] >= share {
		return false
	}
	own[a.Config.ID]++
	p.placed[r.Ticket] = heldSlot{r.Owner, a.Config.ID}
	p.run.Forward(r, a.Config.ID)
	return true
}

// Ended implements sim.Policy.
func (p *twoChoices) Ended(now time.Duration, r *sim.Request, upstream ids.UpstreamID, outcome placement.Outcome) {
	slot, ok := p.placed[r.Ticket]
	if !ok {
		return
	}
	delete(p.placed, r.Ticket)
	p.running[slot.host][slot.upstream]--
	if outcome == placement.OutcomeShed {
		p.retry(r, upstream)
	}
	p.serveQueue(now, slot.host)
}

func (p *twoChoices) retry(r *sim.Request, shedBy ids.UpstreamID) {
	r.Tries++
	if r.Tries < maxTries && p.tryPlace(r, shedBy) {
		return
	}
	p.run.Refuse(r, sim.Refusal{Reason: verdict.ReasonShed, RetryAfter: fixedRetryAfter})
}

func (p *twoChoices) serveQueue(now time.Duration, host int) {
	for len(p.waiting[host]) > 0 {
		r := p.waiting[host][0]
		if now+r.Service.Spec.MeanTime > r.Deadline {
			p.waiting[host] = p.waiting[host][1:]
			p.run.Refuse(r, sim.Refusal{Reason: verdict.ReasonDeadline, RetryAfter: fixedRetryAfter})
			continue
		}
		if !p.tryPlace(r, 0) {
			return
		}
		p.waiting[host] = p.waiting[host][1:]
	}
}

// Report implements sim.Policy.
func (p *twoChoices) Report(time.Duration, *sim.Service, placement.Report) {}

// Tick implements sim.Policy.
func (p *twoChoices) Tick(now time.Duration) {
	for host := range p.waiting {
		p.serveQueue(now, host)
	}
}

// HostDied implements sim.Policy.
func (p *twoChoices) HostDied(time.Duration, int) {}
