package dsr

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldFactor is how much slower an upstream is taken to be after its start.
	coldFactor = 1.6
	// maxLatencyAge is the age of latency samples, in half lives, after which they say nothing.
	maxLatencyAge = 8
	// flowLoad is the load of an open flow without a request under way, in
	// requests: callers of long flows send about one request of 30 ms a second.
	flowLoad = 0.05
	// otherZoneLoad is the load, in requests, by which an upstream of the host's
	// own zone may be busier: two for each of two slots, a wait within what callers want.
	otherZoneLoad = 4.0
	// goldenStep spreads successive turns evenly: 2^64 over the golden ratio.
	goldenStep = 0x9e3779b97f4a7c15
	// doubtLoad is the load that puts a doubtful upstream behind all others.
	doubtLoad = 1e6
)

// choice is the result of choosing an upstream.
type choice struct {
	upstream *upstream
	service  string
	reason   Reason
	// considered and doubtful count usable upstreams.
	considered, doubtful int
}

// choose picks the upstream for a new flow: the one with the least expected
// wait. Upstreams that may not answer are the last resort.
func (c *Core) choose(now time.Duration, r *route, p *Packet) choice {
	h := hashOf(p)
	ch := choice{service: pickTarget(r, h), reason: ReasonNoUpstream}
	s := c.services[ch.service]
	if s == nil || len(s.upstreams) == 0 {
		return ch
	}
	c.turn++
	best := math.MaxFloat64
	full := 0
	start := int(((c.turn * goldenStep) >> 32) % uint64(len(s.upstreams)))
	for i := range s.upstreams {
		u := s.upstreams[(start+i)%len(s.upstreams)]
		if !u.usable() {
			continue
		}
		ch.considered++
		doubtful := u.doubtful(now)
		if doubtful {
			ch.doubtful++
		}
		if !u.window.admits(now, u.busy+u.opening, p, r.Priority < s.lowest) {
			if !doubtful {
				full++
			}
			continue
		}
		if cost := c.cost(now, s, u, doubtful); cost < best {
			best, ch.upstream = cost, u
		}
	}
	if full > 0 && best >= doubtLoad {
		ch.upstream, ch.reason = nil, ReasonPaced
	}
	return ch
}

// cost is the expected wait at an upstream, in requests for each slot.
func (c *Core) cost(now time.Duration, s *service, u *upstream, doubtful bool) float64 {
	load := float64(u.busy+u.opening) + flowLoad*float64(u.flows) + 1
	if u.Zone != c.zone {
		load += otherZoneLoad
	}
	cost := load * u.factor(now, s) / float64(u.Slots)
	if doubtful {
		cost += doubtLoad
	}
	return cost
}

// pickTarget chooses the service by weight, the same one for all copies.
func pickTarget(r *route, h uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	n := int(h % uint64(r.total))
	for _, t := range r.Targets {
		n -= t.Weight
		if n < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

func hashOf(p *Packet) uint64 {
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
