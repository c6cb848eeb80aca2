package dsr

import (
	"time"

	"mimosashore.example/mimosashore/internal/loadcontrol"
)

const (
	// lookaheadObjective is the multiple of the work that the latency objective must be for an upstream to
	// get one request more than it works on. It covers the way of the acknowledgement.
	lookaheadObjective = 4
	// stalledFactor is the multiple of the work after which an upstream without an answer is not
	// waited for, and stalledMin the least time: the spread of the work, and short pauses of a host.
	stalledFactor = 6
	stalledMin    = 150 * time.Millisecond
)

// limitAt returns the number of requests of this host that an upstream works on, and one more if the
// latency objective leaves the time for it.
func (c *Core) limitAt(now time.Duration, s *service, u *upstream, slots float64) float64 {
	share := u.placementShare()
	limit := share * slots
	if work := u.learnedWork(now); work > 0 && s.latencyObjective >= lookaheadObjective*work {
		limit += share
	}
	return limit
}

// hasRoom reports whether another request of this host may be sent to an upstream. The load of those that
// other hosts are responsible for is not known; all of them together have a window.
func (c *Core) hasRoom(now time.Duration, s *service, u *upstream) bool {
	return c.hasRoomFor(now, s, u, u.learnedLimit(now))
}

// hasRoomOnFlow is like hasRoom for a request on an open flow. Such a request can't go elsewhere, so an upstream
// that is slow takes it as soon as it works on fewer than it can.
func (c *Core) hasRoomOnFlow(now time.Duration, s *service, u *upstream) bool {
	if u.placementShare() == 0 && u.busy+u.opening == 0 {
		// After a change of the rotation, most flows are at upstreams of other hosts.
		return true
	}
	if u.hasCredit(now) {
		return true
	}
	return c.hasRoomFor(now, s, u, u.learnedKnee(now))
}

func (c *Core) hasRoomFor(now time.Duration, s *service, u *upstream, slots float64) bool {
	if u.placementShare() == 0 {
		return s.spill.Admits(now, s.spilled, loadcontrol.Class{}) && float64(u.busy+u.opening) < slots
	}
	return u.pacer.Admits(now, float64(u.busy+u.opening+u.lender.Lent(now)), c.limitAt(now, s, u, slots), loadcontrol.Class{}, u.learnedWork(now))
}

// spillClass returns the class by which a request has a part of the spill window. Where requests wait, their order
// decides instead.
func (s *service) spillClass(class loadcontrol.Class) loadcontrol.Class {
	if s.schedules() {
		return loadcontrol.Class{}
	}
	return class
}

// isWorthwhile reports whether an upstream that is slower than its peers is expected to answer a new flow no
// later than they would after the wait for one of them.
func (c *Core) isWorthwhile(now time.Duration, s *service, u *upstream, class loadcontrol.Class) bool {
	if !u.learned.Slow(now) || u.wantsProbe(now, class) {
		return true
	}
	slots := 0.0
	for _, v := range s.own {
		if !v.suspect(now) && !v.learned.Slow(now) && c.coldLeft(now, v) == 0 {
			slots += v.share * v.learnedLimit(now)
		}
	}
	if slots == 0 {
		return true
	}
	work := float64(s.peers.Work())
	return work*(1+float64(s.queue.FreeLen()+1)/slots) >= float64(u.learnedWork(now))
}

// stalled reports whether the upstream has not answered for so long that requests must not wait for it.
func (u *upstream) stalled(now time.Duration) bool {
	if u.suspect(now) {
		return true
	}
	since := max(u.lastAnswerAt, u.busySince)
	return u.busy+u.opening > 0 && now-since > max(stalledMin, stalledFactor*u.learnedWork(now))
}
