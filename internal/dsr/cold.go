package dsr

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/loadcontrol"
)

// maxClockSkew bounds the difference between the clocks of this host and of an upstream.
const maxClockSkew = 500 * time.Millisecond

// coldNoteInterval is the minimum time between two records that a cold upstream of this host is at its
// bound. Other hosts write one for each cold start.
const coldNoteInterval = time.Second

// coldControl is the state of the paced return of upstreams.
type coldControl struct {
	// bound is nil if opening packets to cold upstreams are not bounded.
	bound  *loadcontrol.ColdBound
	owners loadcontrol.ColdOwners
	// full and clock are those of the change that is being applied.
	full  bool
	clock int64
	// sent counts opening packets to cold upstreams, passedOver how often one was not considered for an
	// opening packet because of the bound.
	sent, passedOver uint64
}

// coldStart is the state of an upstream that may be cold.
type coldStart struct {
	// started is set if the upstream started, or its zone came into use again, at startedAt.
	started   bool
	startedAt time.Duration
	// leftUntil is when the upstream stops being cold by its registration.
	leftUntil time.Duration
	pacer     loadcontrol.ColdPacer
	owner     loadcontrol.ColdOwner
	// owned is set while this host is the one that opens flows to the cold upstream.
	owned bool
	// nextNoteAt is when the next record that the upstream is passed over may be written.
	nextNoteAt time.Duration
}

// SetColdBound bounds the opening packets to cold upstreams of services that declare a cold start.
func (c *Core) SetColdBound(b loadcontrol.ColdBound) { c.cold.bound = &b }

// SetZoneHosts sets what this host knows of the hosts of its zone, which decides to which cold upstreams
// it opens flows.
func (c *Core) SetZoneHosts(now time.Duration, z loadcontrol.ZoneHosts) {
	before := len(c.cold.owners.Hosts().Hosts)
	if c.cold.owners.Set(now, z) {
		c.emit(Record{Event: "hosts that share the cold upstreams changed", Detail: c.zone, Open: before, Considered: len(z.Hosts)})
	}
}

// ColdOpenings returns the number of opening packets that were sent to cold upstreams, and how often one
// was passed over because of the bound.
func (c *Core) ColdOpenings() (sent, passedOver uint64) { return c.cold.sent, c.cold.passedOver }

// beginChange notes what applies to the registrations of a change.
func (c *coldControl) beginChange(ch *directory.Change) { c.full, c.clock = ch.Full, ch.Clock }

// startCold begins the cold start of a new incarnation. One that comes with a full read may have started
// long before. One that was known before and comes back has not started again.
func (c *Core) startCold(now time.Duration, u *upstream) {
	if before := c.tokens[u.token]; before != nil && before.Key == u.Key && before.Incarnation == u.Incarnation {
		u.cold = before.cold
	} else if !c.cold.full {
		c.coldSince(now, u)
	} else if age := time.Duration(c.cold.clock-u.Incarnation) * time.Millisecond; c.cold.clock != 0 {
		// A start in the future is that of an upstream whose clock is ahead, which may just have started.
		c.coldSince(now-max(age-maxClockSkew, 0), u)
	}
	c.extendCold(now, u, u.SlowStart)
}

// coldSince makes an upstream cold from the given time on, for as long as its service declares.
func (c *Core) coldSince(start time.Duration, u *upstream) {
	if c.cold.bound != nil {
		u.coldState().started, u.cold.startedAt = true, start
	}
}

// extendCold applies the rest of the cold start that a registration says.
func (c *Core) extendCold(now time.Duration, u *upstream, left time.Duration) {
	if left > 0 && c.cold.bound != nil {
		u.coldState().leftUntil = max(u.coldState().leftUntil, now+left)
	}
}

// coldState returns the state of the upstream's cold start, which it creates if there is none.
func (u *upstream) coldState() *coldStart {
	if u.cold == nil {
		u.cold = new(coldStart)
		s := u.service
		s.coldUpstreams = slices.DeleteFunc(s.coldUpstreams, func(v *upstream) bool { return v.gone || v.cold == nil || v == u })
		s.coldUpstreams = append(s.coldUpstreams, u)
	}
	return u.cold
}

// coolZone makes the upstreams of a zone cold that is in use again.
func (c *Core) coolZone(now time.Duration, zone string) {
	// The zone has its upstreams in the order in which they registered.
	if z := c.zones[zone]; z != nil {
		for _, u := range z.upstreams {
			c.coldSince(now, u)
		}
	}
}

// coldLeft returns how long an upstream stays cold; zero if it is not.
func (c *Core) coldLeft(now time.Duration, u *upstream) time.Duration {
	s := u.service
	if c.cold.bound == nil || s.coldStart == nil || u.cold == nil {
		return 0
	}
	until := u.cold.leftUntil
	if u.cold.started {
		until = max(until, u.cold.startedAt+s.coldStart.Duration)
	}
	return max(until-now, 0)
}

// admitsCold reports whether an opening packet may be sent to an upstream if it is cold. Only one host of
// its zone sends any, under the bound.
func (c *Core) admitsCold(now time.Duration, u *upstream) bool {
	left := c.coldLeft(now, u)
	if left == 0 {
		if u.cold != nil {
			u.cold.owned = false
		}
		u.dropWarm()
		return true
	}
	u.cold.owned = u.Zone == c.zone && c.cold.owners.Owns(now, u.rank, &u.cold.owner)
	limit := c.cold.bound.ColdLimit(u.service.coldStart.PerSecond)
	if u.cold.owned && u.cold.pacer.Admits(now, limit) {
		return true
	}
	c.noteCold(now, u, limit, left)
	return false
}

// dropWarm frees the state of an upstream that is not cold. Before the configuration declares the cold
// start of the service, nothing is known.
func (u *upstream) dropWarm() {
	if u.service.coldStart != nil {
		u.cold = nil
	}
}

// dropAllWarm frees the state of the upstreams that are not cold: after a full read, nearly all.
func (c *Core) dropAllWarm(now time.Duration) {
	for _, u := range c.byKey {
		if u.cold != nil && c.coldLeft(now, u) == 0 {
			u.dropWarm()
		}
	}
}

// noteCold records that a cold upstream takes no flow from this host now.
func (c *Core) noteCold(now time.Duration, u *upstream, limit int, left time.Duration) {
	c.cold.passedOver++
	if now < u.cold.nextNoteAt {
		return
	}
	u.cold.nextNoteAt = now + left
	rec := Record{Event: "cold upstream takes no flow", Upstream: u.Key, Service: u.Service, Detail: "another host opens its flows", HoldsFor: left, Era: uint64(u.Era), Revision: uint64(u.Revision)}
	z := c.cold.owners.Hosts()
	switch {
	case u.cold.owned:
		u.cold.nextNoteAt = now + coldNoteInterval
		rec.Detail, rec.Open, rec.HoldsFor = "at its bound", limit, min(left, u.cold.pacer.NextAt()-now)
	case u.Zone != c.zone:
		rec.Detail = "its zone opens its flows"
	case c.cold.owners.Owner(u.rank, &u.cold.owner) == z.Self:
		rec.Detail, rec.Considered, rec.Open = "hosts of the zone may disagree", z.Known, z.Seen
	}
	c.emit(rec)
}

// forwardOpening forwards an opening packet, which counts if the upstream is cold.
func (c *Core) forwardOpening(now time.Duration, u *upstream, reason Reason) Effect {
	if c.coldLeft(now, u) > 0 {
		u.cold.pacer.Sent(now)
		c.cold.sent++
	}
	return c.forwardTo(u, reason)
}

// placementShare returns the part of the upstream that this host is responsible for, which is all of it
// while it is the only one that opens flows there.
func (u *upstream) placementShare() float64 {
	if u.cold != nil && u.cold.owned {
		return 1
	}
	return u.share
}

// upstreamState returns the state of an upstream with that of its cold start.
func (c *Core) upstreamState(now time.Duration, u *upstream) UpstreamState {
	s := u.state(now)
	if left := c.coldLeft(now, u); left > 0 {
		s.ColdMs = left.Milliseconds()
		s.ColdOwned = u.Zone == c.zone && c.cold.owners.Owns(now, u.rank, &u.cold.owner)
	}
	return s
}
