package placement

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// tier ranks the upstreams that have a free slot; lower tiers are preferred.
type tier uint8

const (
	tierLocal tier = iota
	// tierRemote is for upstreams in other availability zones.
	tierRemote
	// tierDegraded is for upstreams that are overdue with an answer or report
	// themselves unhealthy.
	tierDegraded
	tierNone
)

// choose returns the least loaded upstream of the best tier, or nil, and the
// number of upstreams compared. Ties are broken at random with the placer's
// seeded generator.
func (p *Placer) choose(now time.Duration, exclude ids.UpstreamID) (*upstream, int) {
	p.refreshHealth(now)
	ignoreCooldown := p.allRamping(now)
	var best *upstream
	bestTier, bestLoad := tierNone, 0.0
	considered, ties := 0, 0
	for _, u := range p.upstreams {
		if u.id == exclude || !p.usable(u) || !u.hasFreeSlot(now) {
			continue
		}
		if !ignoreCooldown && u.inRampCooldown(now, p.serviceTimes) {
			continue
		}
		t := p.tierOf(now, u)
		if t == tierNone {
			continue
		}
		considered++
		load := u.load(now)
		switch {
		case t < bestTier || (t == bestTier && load < bestLoad):
			best, bestTier, bestLoad, ties = u, t, load, 1
		case t == bestTier && load == bestLoad:
			ties++
			if p.rng.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best, considered
}

func (p *Placer) usable(u *upstream) bool {
	return u.active && !u.leaving && u.health.state != healthEjected
}

func (p *Placer) tierOf(now time.Duration, u *upstream) tier {
	if !u.local {
		if p.spill.active && u.acceptsSpill(now) {
			return tierRemote
		}
		return tierNone
	}
	if u.adopted && !u.reachable(now) {
		return tierNone
	}
	if u.overdue(now, p.serviceTimes) || u.reportedUnhealthy(now) {
		return tierDegraded
	}
	return tierLocal
}

// allRamping reports whether all usable upstreams of the zone are still in slow
// start.
func (p *Placer) allRamping(now time.Duration) bool {
	for _, u := range p.upstreams {
		if u.local && p.usable(u) && !u.ramp.active(now) {
			return false
		}
	}
	return true
}

// capacity returns the number of requests that may run at once on the usable
// upstreams of the zone, and on those of other zones while spilling.
func (p *Placer) capacity(now time.Duration) int {
	slots := 0
	for _, u := range p.upstreams {
		if p.usable(u) && p.tierOf(now, u) != tierNone {
			slots += u.allowed(now)
		}
	}
	return slots
}
