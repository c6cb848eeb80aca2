package policy

import (
	"math/rand/v2"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/measure/sim"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/verdict"
)

// idleSlots is a variant of the join-idle-queue policy. Each free slot is
// announced as a token to one random host, and only that host may use it. A
// request at a host without a token waits there. When an attempt ends, its slot
// is announced again.
type idleSlots struct {
	run     *sim.Run
	rng     *rand.Rand
	tokens  []map[*sim.Service][]ids.UpstreamID
	waiting []map[*sim.Service][]*sim.Request
	placed  map[placement.Ticket]ids.UpstreamID
}

// NewIdleSlots returns a policy in which idle slots are announced to random hosts.
func NewIdleSlots(run *sim.Run, seed uint64) sim.Policy {
	p := &idleSlots{
		run:    run,
		rng:    rand.New(rand.NewPCG(seed, 16)),
		placed: make(map[placement.Ticket]ids.UpstreamID),
	}
	for range run.Setup.Hosts {
		p.tokens = append(p.tokens, make(map[*sim.Service][]ids.UpstreamID))
		p.waiting = append(p.waiting, make(map[*sim.Service][]*sim.Request))
	}
	for _, s := range run.Services {
		for _, u := range s.Upstreams {
			for range u.Config.Slots {
				p.announce(s, u.Config.ID)
			}
		}
	}
	return p
}

// announce gives a free slot to a random host.
func (p *idleSlots) announce(s *sim.Service, id ids.UpstreamID) {
	host := p.rng.IntN(len(p.tokens))
	p.tokens[host][s] = append(p.tokens[host][s], id)
	p.serveQueue(host, s)
}

func (p *idleSlots) serveQueue(host int, s *sim.Service) {
	for len(p.tokens[host][s]) > 0 && len(p.waiting[host][s]) > 0 {
		r := p.waiting[host][s][0]
		p.waiting[host][s] = p.waiting[host][s][1:]
		if p.run.Now()+s.Spec.MeanTime > r.Deadline {
			p.run.Refuse(r, sim.Refusal{Reason: verdict.ReasonDeadline, RetryAfter: fixedRetryAfter})
			continue
		}
		id := p.tokens[host][s][0]
		p.tokens[host][s] = p.tokens[host][s][1:]
		p.placed[r.Ticket] = id
		p.run.Forward(r, id)
	}
}

// Open implements sim.Policy.
func (p *idleSlots) Open(now time.Duration, s *sim.Service, f *sim.Flow) bool {
	f.Upstream = randomOther(p.rng, s.Upstreams, 0).Config.ID
	return true
}

// Owner implements sim.Policy.
func (p *idleSlots) Owner(now time.Duration, r *sim.Request, arrival int) int {
	return arrival
}

// Offer implements sim.Policy.
func (p *idleSlots) Offer(now time.Duration, r *sim.Request) {
	s := r.Service
	if len(p.waiting[r.Owner][s]) >= s.Spec.Config.QueueLimit {
		p.run.Refuse(r, sim.Refusal{Reason: verdict.ReasonOverload, RetryAfter: fixedRetryAfter})
		return
	}
	p.waiting[r.Owner][s] = append(p.waiting[r.Owner][s], r)
	p.serveQueue(r.Owner, s)
}

// Ended implements sim.Policy.
func (p *idleSlots) Ended(now time.Duration, r *sim.Request, upstream ids.UpstreamID, outcome placement.Outcome) {
	id, ok := p.placed[r.Ticket]
	if !ok {
		return
	}
	delete(p.placed, r.Ticket)
	p.announce(r.Service, id)
	if outcome == placement.OutcomeShed {
		p.run.Refuse(r, sim.Refusal{Reason: verdict.ReasonShed, RetryAfter: fixedRetryAfter})
	}
}

// Report implements sim.Policy.
func (p *idleSlots) Report(time.Duration, *sim.Service, placement.Report) {}

// Tick implements sim.Policy.
func (p *idleSlots) Tick(now time.Duration) {
	for host := range p.waiting {
		for _, s := range p.run.Services {
			p.expire(now, host, s)
		}
	}
}

func (p *idleSlots) expire(now time.Duration, host int, s *sim.Service) {
	for len(p.waiting[host][s]) > 0 && now+s.Spec.MeanTime > p.waiting[host][s][0].Deadline {
		r := p.waiting[host][s][0]
		p.waiting[host][s] = p.waiting[host][s][1:]
		p.run.Refuse(r, sim.Refusal{Reason: verdict.ReasonDeadline, RetryAfter: fixedRetryAfter})
	}
}

// HostDied implements sim.Policy.
func (p *idleSlots) HostDied(time.Duration, int) {}
