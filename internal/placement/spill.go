package placement

import "time"

const (
	// Spilling starts when the share of local slots that is usable falls to
	// spillStartShare, and stops when it rises to spillStopShare.
	spillStartShare = 0.5
	spillStopShare  = 0.8
	// spillStartDelay and spillStopDelay are how long the condition must hold
	// before spilling starts or stops.
	spillStartDelay = 500 * time.Millisecond
	spillStopDelay  = 5 * time.Second
)

// spill decides whether upstreams of other availability zones may be used. Spilling
// starts at once when no local slot is usable. Local upstreams are always
// preferred, so spilled work decreases as they recover.
type spill struct {
	active bool
	// dueSince is the time since which the condition for a change has held.
	dueSince      time.Duration
	changePending bool
}

// localSlots counts the slots of the upstreams that the placer treats as local.
type localSlots struct {
	usable     int
	configured int
}

func (p *Placer) localSlots(now time.Duration) localSlots {
	p.refreshHealth(now)
	var s localSlots
	for _, u := range p.upstreams {
		if !u.local {
			continue
		}
		s.configured += u.slots
		if p.usable(u) && !u.health.halfOpen() && !u.overdue(now, p.serviceTimes) {
			s.usable += int(float64(u.slots) * u.ramp.factor(now))
		}
	}
	return s
}

func (s *spill) update(now time.Duration, local localSlots) {
	if local.usable == 0 {
		s.active = true
		s.changePending = false
		return
	}
	share := float64(local.usable) / float64(local.configured)
	due := (!s.active && share <= spillStartShare) || (s.active && share >= spillStopShare)
	if !due {
		s.changePending = false
		return
	}
	if !s.changePending {
		s.changePending = true
		s.dueSince = now
	}
	hold := spillStartDelay
	if s.active {
		hold = spillStopDelay
	}
	if now-s.dueSince >= hold {
		s.active = !s.active
		s.changePending = false
	}
}

// acceptsSpill reports whether an upstream of another availability zone may get
// a request. It gets one at a time, because the home in its own zone accounts
// for its slots. If it has ever reported, its reports must be fresh and healthy
// and show a free slot.
func (u *upstream) acceptsSpill(now time.Duration) bool {
	if u.running >= 1 {
		return false
	}
	return u.reachable(now) && u.reports.last.Running < u.slots
}

// reachable reports whether an upstream outside the placer's zone still sends
// healthy load reports. Without fresh reports, the zone may be partitioned off.
// An upstream that has never reported counts as reachable.
func (u *upstream) reachable(now time.Duration) bool {
	if !u.reports.received {
		return true
	}
	return u.reports.fresh(now) && u.reports.last.Healthy
}
