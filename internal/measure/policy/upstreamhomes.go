package policy

import (
	"math/rand/v2"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/measure/sim"
	"mimosashore.example/mimosashore/internal/placement"
)

// maxHops is the number of handoffs after which a request waits at its owner.
const maxHops = 2

// upstreamHomes is a policy in which each upstream has a home host that counts
// its slots exactly. A request goes to the home of a random upstream. While the
// slots there are in use it is handed off to the home of another one, at most
// maxHops times, and then waits.
type upstreamHomes struct {
	run     *sim.Run
	rng     *rand.Rand
	placers map[ids.UpstreamID]*placement.Placer
	// target holds the upstream to whose home each attempt was last sent.
	target  map[placement.Ticket]ids.UpstreamID
	waiting map[placement.Ticket]*sim.Request
}

// NewUpstreamHomes returns a policy with a home host for each upstream.
func NewUpstreamHomes(run *sim.Run, seed uint64) sim.Policy {
	return newUpstreamHomes(run, seed)
}

func newUpstreamHomes(run *sim.Run, seed uint64) *upstreamHomes {
	p := &upstreamHomes{
		run:     run,
		rng:     rand.New(rand.NewPCG(seed, 15)),
		placers: make(map[ids.UpstreamID]*placement.Placer),
		target:  make(map[placement.Ticket]ids.UpstreamID),
		waiting: make(map[placement.Ticket]*sim.Request),
	}
	for _, s := range run.Services {
		for _, u := range s.Upstreams {
			single := *s.Spec.Config
			single.Upstreams = nil
			single.Upstreams = append(single.Upstreams, *u.Config)
			p.placers[u.Config.ID] = placement.New(&single, u.Config.Zone, seed^uint64(u.Config.ID))
		}
	}
	return p
}

// Open implements sim.Policy.
func (p *upstreamHomes) Open(now time.Duration, s *sim.Service, f *sim.Flow) bool {
	a := s.Upstreams[p.rng.IntN(len(s.Upstreams))]
	b := s.Upstreams[p.rng.IntN(len(s.Upstreams))]
	if b.Flows < a.Flows {
		a = b
	}
	f.Upstream = a.Config.ID
	return true
}

// homeOf returns the index of the home of an upstream.
func (p *upstreamHomes) homeOf(id ids.UpstreamID) int {
	return int(id) % len(p.run.Setup.Hosts)
}

// Owner implements sim.Policy.
func (p *upstreamHomes) Owner(now time.Duration, r *sim.Request, arrival int) int {
	u := randomOther(p.rng, r.Service.Upstreams, 0)
	p.target[r.Ticket] = u.Config.ID
	return p.homeOf(u.Config.ID)
}

// Offer implements sim.Policy.
func (p *upstreamHomes) Offer(now time.Duration, r *sim.Request) {
	id := p.target[r.Ticket]
	placer := p.placers[id]
	stats := placer.Stats(now)
	if r.Hops < maxHops && stats.Upstreams[0].Running >= stats.Upstreams[0].Allowed {
		u := randomOther(p.rng, r.Service.Upstreams, id)
		p.target[r.Ticket] = u.Config.ID
		p.run.HandOff(r, p.homeOf(u.Config.ID))
		return
	}
	p.place(now, placer, r)
}

func (p *upstreamHomes) place(now time.Duration, placer *placement.Placer, r *sim.Request) {
	d := placer.Offer(now, placement.Request{Ticket: r.Ticket, Deadline: r.Deadline})
	if d.Action == placement.ActionWait {
		p.waiting[r.Ticket] = r
		return
	}
	apply(p.run, d, r)
}

func (p *upstreamHomes) applyWaiting(decisions []placement.Decision) {
	for _, d := range decisions {
		r := p.waiting[d.Ticket]
		delete(p.waiting, d.Ticket)
		apply(p.run, d, r)
	}
}

// Ended implements sim.Policy.
func (p *upstreamHomes) Ended(now time.Duration, r *sim.Request, upstream ids.UpstreamID, outcome placement.Outcome) {
	id := p.target[r.Ticket]
	delete(p.target, r.Ticket)
	placer := p.placers[id]
	if placer == nil {
		return
	}
	if placer.Withdraw(now, r.Ticket) {
		delete(p.waiting, r.Ticket)
		return
	}
	decisions := placer.Finish(now, r.Ticket, id, outcome)
	if outcome == placement.OutcomeShed {
		p.run.Refuse(r, sim.Refusal{RetryAfter: fixedRetryAfter})
	}
	p.applyWaiting(decisions)
}

// Report implements sim.Policy.
func (p *upstreamHomes) Report(now time.Duration, s *sim.Service, r placement.Report) {
	p.applyWaiting(p.placers[r.Upstream].HandleReport(now, r))
}

// Tick implements sim.Policy.
func (p *upstreamHomes) Tick(now time.Duration) {
	for _, s := range p.run.Services {
		for _, u := range s.Upstreams {
			p.applyWaiting(p.placers[u.Config.ID].Tick(now))
		}
	}
}

// HostDied implements sim.Policy.
func (p *upstreamHomes) HostDied(time.Duration, int) {}

// flowUpstream sends each request to the upstream of its flow. The home of the
// upstream counts the slots exactly and keeps a queue for it.
type flowUpstream struct {
	*upstreamHomes
	flows sim.Policy
}

// NewFlowUpstream returns a policy in which requests run on the upstream of
// their flow, and flows are placed as by Home.
func NewFlowUpstream(run *sim.Run, seed uint64) sim.Policy {
	return &flowUpstream{upstreamHomes: newUpstreamHomes(run, seed), flows: NewHome(run, seed)}
}

// Open implements sim.Policy.
func (p *flowUpstream) Open(now time.Duration, s *sim.Service, f *sim.Flow) bool {
	return p.flows.Open(now, s, f)
}

// Owner implements sim.Policy.
func (p *flowUpstream) Owner(now time.Duration, r *sim.Request, arrival int) int {
	p.target[r.Ticket] = r.Flow.Upstream
	return p.homeOf(r.Flow.Upstream)
}

// Offer implements sim.Policy.
func (p *flowUpstream) Offer(now time.Duration, r *sim.Request) {
	placer := p.placers[r.Flow.Upstream]
	p.place(now, placer, r)
}
