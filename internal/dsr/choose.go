package dsr

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// slowStartFactor is the assumed slowdown of an upstream during slow start.
	slowStartFactor = 1.6
	// maxLatencyHalfLives is the age, in half-lives, beyond which latency samples are ignored.
	maxLatencyHalfLives = 8
	// idleFlowLoad is the load of an open flow without a request in progress, in requests: callers
	// with long flows send about one request of 30 ms per second.
	idleFlowLoad = 0.05
	// crossZoneLoad is added to the load of an upstream in another zone, in requests. For an
	// upstream with two slots it is two requests per slot, a wait that is within the latency
	// objective of callers.
	crossZoneLoad = 4.0
	// goldenRatioStep spreads successive values of rotation evenly: 2^64 divided by the golden
	// ratio.
	goldenRatioStep = 0x9e3779b97f4a7c15
	// suspectCost is added to the cost of a suspect upstream, which puts it behind all others.
	suspectCost = 1e6
)

// choice is the result of selecting an upstream.
type choice struct {
	upstream *upstream
	service  string
	reason   Reason
	// considered is the number of usable upstreams, suspect the number of those that may not
	// answer.
	considered, suspect int
}

// choose selects the upstream with the least expected wait for a new flow. A suspect upstream is
// selected only if no other upstream is usable.
func (c *Core) choose(now time.Duration, r *route, p *Packet) choice {
	h := packetHash(p)
	ch := choice{service: pickTarget(r, h), reason: ReasonNoUpstream}
	s := c.services[ch.service]
	if s == nil || len(s.upstreams) == 0 {
		return ch
	}
	c.rotation++
	best := math.MaxFloat64
	full := 0
	start := int(((c.rotation * goldenRatioStep) >> 32) % uint64(len(s.upstreams)))
	for i := range s.upstreams {
		u := s.upstreams[(start+i)%len(s.upstreams)]
		if !u.usable() {
			continue
		}
		ch.considered++
		suspect := u.suspect(now)
		if suspect {
			ch.suspect++
		}
		if !u.window.admits(now, u.busy+u.opening, p, r.Priority < s.lowestPriority) {
			if !suspect {
				full++
			}
			continue
		}
		if cost := c.cost(now, s, u, suspect); cost < best {
			best, ch.upstream = cost, u
		}
	}
	if full > 0 && best >= suspectCost {
		ch.upstream, ch.reason = nil, ReasonPaced
	}
	return ch
}

// cost returns the expected wait at an upstream, in requests per slot.
func (c *Core) cost(now time.Duration, s *service, u *upstream, suspect bool) float64 {
	load := float64(u.busy+u.opening) + idleFlowLoad*float64(u.flows) + 1
	if u.Zone != c.zone {
		load += crossZoneLoad
	}
	cost := load * u.slowdown(now, s) / float64(u.Slots)
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
