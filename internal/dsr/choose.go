package dsr

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosashore.example/mimosashore/internal/loadcontrol"
)

const (
	// slowStartFactor is the assumed slowdown of an upstream during slow start.
	slowStartFactor = 1.6
	// minFlowLoad is the least load of an open flow, in requests, when upstreams are compared: about
	// one request of 50 ms per second.
	minFlowLoad = 0.05
	// foreignLoad is added to the load of an upstream that other hosts of the zone are responsible
	// for, in requests: as many as an upstream usually has slots.
	foreignLoad = 2.0
	// crossZoneLoad is added to the load of an upstream in another zone, in requests. For an
	// upstream with two slots it is two requests per slot, a wait that is within the latency
	// objective of callers.
	crossZoneLoad = 4.0
	// goldenRatioStep spreads successive values of rotation evenly: 2^64 divided by the golden
	// ratio.
	goldenRatioStep = 0x9e3779b97f4a7c15
	// suspectCost is added to the cost of a suspect upstream, which puts it behind all others.
	suspectCost = 1e6
	// fullSearchSize is the largest number of upstreams of a service that are all compared. In
	// larger services, a host compares its own ones with foreignSample others.
	fullSearchSize = 64
	foreignSample  = 8
)

// choice is the result of selecting an upstream.
type choice struct {
	upstream *upstream
	// service is the name of the service, state its state or nil.
	service string
	state   *service
	reason  Reason
	class   loadcontrol.Class
	// considered is the number of usable upstreams that were compared, suspect the number of those
	// that may not answer, full that of other ones at their limit.
	considered, suspect, full int
	cost                      float64
	// searchedAll is set if all upstreams of the service were compared.
	searchedAll bool
	// repeatLoad is the expected number of requests in progress on an idle flow.
	repeatLoad float64
}

// choose selects the upstream with the least expected wait for a new flow. A suspect upstream is
// selected only if no other upstream is usable.
func (c *Core) choose(now time.Duration, r *route, p *Packet) choice {
	ch := choice{service: pickTarget(r, packetHash(p)), reason: ReasonNoUpstream, cost: math.MaxFloat64}
	s := c.services[ch.service]
	if s == nil || len(s.upstreams) == 0 {
		return ch
	}
	ch.state = s
	ch.class = loadcontrol.Class{Late: p.SYNRetransmits > 0, Urgent: r.Priority < s.lowestPriority}
	if s.sharesStale {
		c.computeShares(s)
	}
	if u := c.waiting.target; u != nil && u.service == s && u.usable() {
		ch.upstream, ch.reason, ch.considered = u, ReasonPlaced, 1
		return ch
	}
	ch.repeatLoad = s.repeatLoad(now)
	c.rotation++
	start := int(((c.rotation * goldenRatioStep) >> 32) % uint64(len(s.upstreams)))
	spills := s.spill.Admits(now, s.spilled, s.spillClass(ch.class))
	if len(s.upstreams) > fullSearchSize {
		for _, u := range s.own {
			c.consider(now, &ch, r, u, spills)
		}
		c.considerFrom(now, &ch, r, start, foreignSample, spills)
	}
	if ch.cost >= suspectCost {
		ch.considered, ch.suspect, ch.full, ch.searchedAll = 0, 0, 0, true
		c.considerFrom(now, &ch, r, start, len(s.upstreams), spills)
	}
	if ch.full > 0 && ch.cost >= suspectCost {
		ch.upstream, ch.reason = nil, ReasonPaced
	}
	return ch
}

// considerFrom compares a number of consecutive upstreams of the service with the choice.
func (c *Core) considerFrom(now time.Duration, ch *choice, r *route, start, count int, spills bool) {
	all := ch.state.upstreams
	for i := range count {
		c.consider(now, ch, r, all[(start+i)%len(all)], spills)
	}
}

// consider makes an upstream the choice if it admits the flow at a lower cost.
func (c *Core) consider(now time.Duration, ch *choice, r *route, u *upstream, spills bool) {
	if !u.usable() {
		return
	}
	ch.considered++
	suspect := u.suspect(now)
	if suspect {
		ch.suspect++
	}
	if !c.admitsCold(now, u) || !c.admits(now, ch, u, r.LatencyObjective, spills) {
		if !suspect {
			ch.full++
		}
		return
	}
	if cost := c.cost(now, ch, u, suspect); cost < ch.cost {
		ch.cost, ch.upstream = cost, u
	}
}

// admits reports whether another flow may be opened at an upstream.
func (c *Core) admits(now time.Duration, ch *choice, u *upstream, objective time.Duration, spills bool) bool {
	s := ch.state
	share := u.placementShare()
	if s.schedules() {
		if share == 0 {
			if u.hasCredit(now) {
				return true
			}
			return spills && !c.hasOwn(now, s) && float64(u.busy+u.opening) < u.learnedLimit(now)
		}
		return c.hasRoom(now, s, u) && c.isWorthwhile(now, s, u, ch.class)
	}
	slots := share * float64(u.Slots)
	if share == 0 {
		if !spills {
			return false
		}
		slots = float64(u.Slots)
	}
	open := float64(u.busy + u.opening)
	if !ch.class.Urgent {
		open += ch.repeatLoad * float64(u.flows-u.busy)
	}
	work := time.Duration(float64(s.work.Mean()) * u.slowdown(now, s))
	return u.pacer.Admits(now, open, loadcontrol.Limit(slots, work, objective), ch.class, work)
}

// cost returns the expected wait at an upstream, in requests per slot.
func (c *Core) cost(now time.Duration, ch *choice, u *upstream, suspect bool) float64 {
	load := float64(u.busy+u.opening) + max(ch.repeatLoad, minFlowLoad)*float64(u.flows)
	switch {
	case u.Zone != c.zone:
		load += crossZoneLoad
	case u.placementShare() == 0:
		load += foreignLoad
	default:
		// The other hosts that share the upstream send it as much in proportion.
		load /= u.placementShare()
	}
	cost := u.learnedCost(now, load, ch.class)
	if suspect {
		cost += suspectCost
	}
	return cost
}

// pickTarget selects the service by weight. Retransmissions of a SYN have the same hash and get the
// same service.
func pickTarget(r *route, h uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	n := int(h % uint64(r.totalWeight))
	for _, t := range r.Targets {
		n -= t.Weight
		if n < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

func packetHash(p *Packet) uint64 {
	var b [16]byte
	caller := p.Caller.Addr().As4()
	copy(b[:], caller[:])
	binary.BigEndian.PutUint16(b[4:], p.Caller.Port())
	service := p.Service.Addr().As4()
	copy(b[6:], service[:])
	binary.BigEndian.PutUint16(b[10:], p.Service.Port())
	binary.BigEndian.PutUint32(b[12:], p.Seq)
	return xxhash.Sum64(b[:])
}
