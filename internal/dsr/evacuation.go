package dsr

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/store"
)

// evacuation is an entry that takes a zone out of use for new flows.
type evacuation struct {
	key      string
	position store.Position
	// since is when this host applied the entry.
	since time.Duration
	// lost is set if a restored store does not have the entry.
	lost bool
}

// EvacuationState is an evacuated zone as shown to operators.
type EvacuationState struct {
	Zone     string `json:"zone"`
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
	// AgeMs is how long the evacuation has been in force on this host.
	AgeMs int64 `json:"age_ms"`
	// Lost is set if a restored store does not have the entry.
	Lost bool `json:"lost"`
}

// applyEvacuations applies the evacuations of a change, after its upstreams.
func (c *Core) applyEvacuations(now time.Duration, ch *directory.Change) {
	changed := ch.Full && c.endMissingEvacuations(now, ch)
	for i := range ch.Evacuations {
		changed = c.applyEvacuation(now, ch, &ch.Evacuations[i]) || changed
	}
	if changed {
		c.markEvacuated()
	}
	if len(c.evacuations) > 0 || c.evacuatedServices > 0 {
		for name, s := range c.services {
			c.noteEvacuated(now, name, s)
		}
	}
}

// endMissingEvacuations ends the evacuations that a full read no longer has, and reports whether there
// are any. The replica adds those that the store lost in a restore to the full read.
func (c *Core) endMissingEvacuations(now time.Duration, ch *directory.Change) bool {
	present := make(map[string]bool, len(ch.Evacuations))
	for i := range ch.Evacuations {
		present[ch.Evacuations[i].Zone] = true
	}
	ended := false
	for zone, e := range c.evacuations {
		if present[zone] || e.position.Compare(ch.Position()) > 0 {
			continue
		}
		c.emitEvacuation("full read lacks an evacuation that was in force", now, zone, e.key, ch.Position())
		c.endEvacuation(now, zone, e.key, ch.Position())
		ended = true
	}
	return ended
}

// applyEvacuation applies an entry and reports whether a zone was evacuated or is in use again.
func (c *Core) applyEvacuation(now time.Duration, ch *directory.Change, e *directory.Evacuation) bool {
	held, ok := c.evacuations[e.Zone]
	if e.State == directory.EvacuationUnreadable || ok && e.Position().Compare(held.position) < 0 {
		return false
	}
	if e.State == directory.EvacuationEnded {
		if ok {
			c.endEvacuation(now, e.Zone, e.Key, e.Position())
		}
		return ok
	}
	lost := e.Era < ch.Era
	if !ok {
		held.since = now
		c.emitEvacuation("availability zone evacuated", now, e.Zone, e.Key, e.Position())
		if !c.hasUpstreamIn(e.Zone) {
			c.emitEvacuation("evacuated availability zone has no upstream", now, e.Zone, e.Key, e.Position())
		}
	}
	if lost && !held.lost {
		c.emitEvacuation("evacuation that the store lost stays in force", now, e.Zone, e.Key, e.Position())
	}
	if held.lost && !lost {
		c.emitEvacuation("evacuation that the store lost was written again", now, e.Zone, e.Key, e.Position())
	}
	held.key, held.position, held.lost = e.Key, e.Position(), lost
	c.evacuations[e.Zone] = held
	return !ok
}

func (c *Core) endEvacuation(now time.Duration, zone, key string, at store.Position) {
	delete(c.evacuations, zone)
	c.coolZone(now, zone)
	c.emitEvacuation("availability zone in use again", now, zone, key, at)
}

// emitEvacuation records a change of an evacuation by the entry of a key.
func (c *Core) emitEvacuation(event string, now time.Duration, zone, key string, at store.Position) {
	c.emit(Record{Event: event, Detail: zone, Evidence: key, Era: uint64(at.Era), Revision: uint64(at.Revision), Age: now - c.storeAnsweredAt})
}

func (c *Core) isEvacuated(zone string) bool {
	_, ok := c.evacuations[zone]
	return ok
}

func (c *Core) hasUpstreamIn(zone string) bool {
	for _, u := range c.byKey {
		if u.Zone == zone {
			return true
		}
	}
	return false
}

// markEvacuated marks all upstreams by the evacuations in force. Gone ones may still be those of flows
// whose SYN is retransmitted.
func (c *Core) markEvacuated() {
	for _, u := range c.byKey {
		u.evacuated = c.isEvacuated(u.Zone)
	}
	for _, u := range c.goneList {
		u.evacuated = c.isEvacuated(u.Zone)
	}
	for _, s := range c.services {
		s.sharesStale = true
	}
}

// noteEvacuated reports whether all zones that have upstreams of the service are evacuated, and records
// when that begins and ends.
func (c *Core) noteEvacuated(now time.Duration, name string, s *service) bool {
	all := len(s.upstreams) > 0 && !slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return !u.evacuated })
	if all == s.evacuated {
		return all
	}
	s.evacuated = all
	event := "all zones of the service are evacuated, its new flows are rejected"
	if all {
		c.evacuatedServices++
	} else {
		c.evacuatedServices--
		event = "service is no longer evacuated in all zones"
	}
	c.emit(Record{Event: event, Service: name, Considered: len(s.upstreams), Age: now - c.storeAnsweredAt})
	return all
}

// repeatOpening decides on a copy of a SYN that goes to the upstream of the first one.
func (c *Core) repeatOpening(now time.Duration, u *upstream) Effect {
	switch {
	case u.evacuated:
		return Effect{Action: Drop, Reason: ReasonEvacuated}
	case !c.admitsCold(now, u):
		return Effect{Action: Drop, Reason: ReasonCold}
	default:
		return c.forwardOpening(now, u, ReasonSYNRetransmit)
	}
}

// rejectEvacuated decides on a SYN for which there is no upstream because all zones that have upstreams
// of the service are evacuated; it reports false if that is not the reason. The first SYN of a flow that
// is not known is rejected. Otherwise the flow may be open, and the copy is dropped.
func (c *Core) rejectEvacuated(now time.Duration, p *Packet, r *route, f *flow, ch choice) (Effect, bool) {
	if ch.reason != ReasonNoUpstream || ch.state == nil || len(c.evacuations) == 0 || !c.noteEvacuated(now, ch.service, ch.state) {
		return Effect{}, false
	}
	if p.SYNRetransmits > 0 || f != nil {
		c.emitOpening("flow not opened", now, p, r, ch, ReasonEvacuated)
		return Effect{Action: Drop, Reason: ReasonEvacuated}, true
	}
	c.emitOpening(eventRefused, now, p, r, ch, ReasonEvacuated)
	return Effect{Action: Reset, Reason: ReasonEvacuated}, true
}

// EvacuatedZones returns the number of evacuated zones, and the number of services of which all zones
// that have upstreams are evacuated.
func (c *Core) EvacuatedZones() (zones, services int) {
	return len(c.evacuations), c.evacuatedServices
}

// evacuationStates returns the evacuated zones, ordered by name.
func (c *Core) evacuationStates(now time.Duration) []EvacuationState {
	out := make([]EvacuationState, 0, len(c.evacuations))
	for _, zone := range slices.SortedFunc(maps.Keys(c.evacuations), cmp.Compare[string]) {
		e := c.evacuations[zone]
		out = append(out, EvacuationState{Zone: zone, Era: uint64(e.position.Era), Revision: uint64(e.position.Revision), AgeMs: (now - e.since).Milliseconds(), Lost: e.lost})
	}
	return out
}
