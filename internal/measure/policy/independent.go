// Package policy implements the placement policies that the simulation
// compares: common baselines in which each host decides independently, some
// that need messages between hosts, and the project's own policy (Home).
package policy

import (
	"math/rand/v2"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/measure/sim"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/verdict"
)

const (
	// maxTries limits the upstreams tried for one attempt by policies that
	// don't count slots.
	maxTries = 2
	// fixedRetryAfter is the retry-after of policies that don't compute one.
	fixedRetryAfter = time.Second
)

// picker chooses an upstream of a service on behalf of a host.
type picker interface {
	pick(s *sim.Service, host int, exclude ids.UpstreamID) *sim.Upstream
	report(r placement.Report)
}

// independent is a policy in which each host places the requests that arrive
// there without counting slots.
type independent struct {
	run    *sim.Run
	picker picker
	// shedBy holds the upstream that shed the previous try of a request.
	shedBy map[*sim.Request]ids.UpstreamID
}

func newIndependent(run *sim.Run, p picker) *independent {
	return &independent{run: run, picker: p, shedBy: make(map[*sim.Request]ids.UpstreamID)}
}

// Open implements sim.Policy.
func (p *independent) Open(now time.Duration, s *sim.Service, f *sim.Flow) bool {
	f.Upstream = p.picker.pick(s, int(uint64(f.Nonce)%uint64(len(p.run.Setup.Hosts))), 0).Config.ID
	return true
}

// Owner implements sim.Policy.
func (p *independent) Owner(now time.Duration, r *sim.Request, arrival int) int {
	return arrival
}

// Offer implements sim.Policy.
func (p *independent) Offer(now time.Duration, r *sim.Request) {
	u := p.picker.pick(r.Service, r.Owner, p.shedBy[r])
	p.run.Forward(r, u.Config.ID)
}

// Ended implements sim.Policy.
func (p *independent) Ended(now time.Duration, r *sim.Request, upstream ids.UpstreamID, outcome placement.Outcome) {
	delete(p.shedBy, r)
	if outcome != placement.OutcomeShed {
		return
	}
	r.Tries++
	if r.Tries >= maxTries {
		p.run.Refuse(r, sim.Refusal{Reason: verdict.ReasonShed, RetryAfter: fixedRetryAfter})
		return
	}
	p.shedBy[r] = upstream
	p.Offer(now, r)
}

// Report implements sim.Policy.
func (p *independent) Report(now time.Duration, s *sim.Service, r placement.Report) {
	p.picker.report(r)
}

// Tick implements sim.Policy.
func (p *independent) Tick(time.Duration) {}

// HostDied implements sim.Policy.
func (p *independent) HostDied(time.Duration, int) {}

// NewRandom returns a policy that picks upstreams at random.
func NewRandom(run *sim.Run, seed uint64) sim.Policy {
	return newIndependent(run, randomPicker{rand.New(rand.NewPCG(seed, 11))})
}

type randomPicker struct {
	rng *rand.Rand
}

func (p randomPicker) pick(s *sim.Service, host int, exclude ids.UpstreamID) *sim.Upstream {
	return randomOther(p.rng, s.Upstreams, exclude)
}

func (p randomPicker) report(placement.Report) {}

// randomOther returns a random upstream other than the excluded one.
func randomOther(rng *rand.Rand, upstreams []*sim.Upstream, exclude ids.UpstreamID) *sim.Upstream {
	for {
		u := upstreams[rng.IntN(len(upstreams))]
		if u.Config.ID != exclude || len(upstreams) == 1 {
			return u
		}
	}
}

// NewRoundRobin returns a policy in which each host cycles through the upstreams.
func NewRoundRobin(run *sim.Run, seed uint64) sim.Policy {
	p := &roundRobin{next: make([]int, len(run.Setup.Hosts))}
	rng := rand.New(rand.NewPCG(seed, 12))
	for i := range p.next {
		p.next[i] = rng.IntN(1 << 16)
	}
	return newIndependent(run, p)
}

type roundRobin struct {
	next []int
}

func (p *roundRobin) pick(s *sim.Service, host int, exclude ids.UpstreamID) *sim.Upstream {
	p.next[host]++
	return s.Upstreams[p.next[host]%len(s.Upstreams)]
}

func (p *roundRobin) report(placement.Report) {}

// NewLeastReported returns a policy that picks the upstream with the lowest
// reported load, at random among equal ones.
func NewLeastReported(run *sim.Run, seed uint64) sim.Policy {
	return newIndependent(run, &leastReported{
		rng:     rand.New(rand.NewPCG(seed, 13)),
		reports: make(map[ids.UpstreamID]placement.Report),
	})
}

type leastReported struct {
	rng     *rand.Rand
	reports map[ids.UpstreamID]placement.Report
}

func (p *leastReported) pick(s *sim.Service, host int, exclude ids.UpstreamID) *sim.Upstream {
	var best *sim.Upstream
	ties := 0
	for _, u := range s.Upstreams {
		if u.Config.ID == exclude {
			continue
		}
		load := p.reports[u.Config.ID].Running
		switch {
		case best == nil || load < p.reports[best.Config.ID].Running:
			best, ties = u, 1
		case load == p.reports[best.Config.ID].Running:
			ties++
			if p.rng.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}

func (p *leastReported) report(r placement.Report) {
	p.reports[r.Upstream] = r
}
