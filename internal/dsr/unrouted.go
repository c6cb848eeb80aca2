package dsr

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/list"
)

const (
	// refuseMaxAge is the age of the confirmed directory up to which the first SYN to an address
	// without a route is refused at once. It limits the calls to the store that such SYNs cause.
	refuseMaxAge = 500 * time.Millisecond
	// refuseMaxAgeStoreDown applies instead while the store does not answer this host, which then
	// follows another host. That host sends an update or a heartbeat at least every 0.4 s; the limit
	// is three of these intervals.
	refuseMaxAgeStoreDown = 1200 * time.Millisecond
	// unroutedTime is how long a packet to an address without a route waits for the confirmation of
	// the directory: the time until a host detects that its watch or that of its reader failed.
	unroutedTime = 4 * time.Second
	// factNoRoute is the evidence for a reset of a flow without a route.
	factNoRoute = "route is missing in the directory"
	// maxUnrouted bounds the flows that wait for the confirmation of the directory.
	maxUnrouted = 1024
)

// handleNoRoute decides on a packet to an address without a route. A newer configuration, which
// this host does not have yet, may contain the route. An open flow, and a SYN that is not the first
// one of its flow, are reset once the directory is confirmed up to the arrival of the packet.
func (c *Core) handleNoRoute(now time.Duration, p *Packet) Effect {
	if p.SYN && p.SYNRetransmits == 0 {
		if e, ok := c.refusesAtOnce(now); ok {
			c.emitReset(now, p, nil, ReasonNoRoute, e, 0)
			return Effect{Action: Reset, Reason: ReasonNoRoute}
		}
	}
	c.unrouted.add(now, p)
	c.confirms(now, now, factNoRoute)
	return Effect{Action: Drop, Reason: ReasonStaleConfiguration}
}

// refusesAtOnce reports whether the directory is recent enough to refuse the first SYN to an
// address without a route, and returns the evidence.
func (c *Core) refusesAtOnce(now time.Duration) (Evidence, bool) {
	if c.storeDown {
		return directoryEvidence(c.storeAnsweredTo, factNoRoute, c.directoryPosition, c.storeAnsweredAt), now-c.storeAnsweredAt <= refuseMaxAgeStoreDown
	}
	return directoryEvidence(netip.AddrPort{}, factNoRoute, c.directoryPosition, c.confirmation.at), c.confirmation.at != 0 && now-c.confirmation.at <= refuseMaxAge
}

// resetUnrouted decides on the flows without a route that have waited for the confirmation of the
// directory: those that still have none are reset.
func (c *Core) resetUnrouted(now time.Duration) {
	for w := c.unrouted.order.First(); w != nil; w = c.unrouted.order.First() {
		e, ok := c.confirms(now, w.seenAt, factNoRoute)
		if !ok {
			return
		}
		key := flowKey{w.header.Caller, w.header.Service}
		c.unrouted.remove(key)
		if c.routes[key.service] != nil || !w.header.SYN && now < c.storeSettledAt {
			continue
		}
		if f := c.cache.flows[key]; f != nil {
			c.cache.remove(f)
		}
		c.emitReset(now, &w.header, nil, ReasonNoRoute, e, 0)
		c.resets = append(c.resets, w.header)
	}
}

// unroutedFlow is a flow of which a packet came to an address without a route.
type unroutedFlow struct {
	// header is the header of the last packet, seenAt the time of the first one.
	header Packet
	seenAt time.Duration
	links  list.Links[unroutedFlow]
}

// unrouted holds the flows without a route that wait for the confirmation of the directory.
type unrouted struct {
	byKey map[flowKey]*unroutedFlow
	// order is ordered by seenAt.
	order list.List[unroutedFlow]
}

func newUnrouted() unrouted {
	return unrouted{byKey: make(map[flowKey]*unroutedFlow), order: list.New(func(w *unroutedFlow) *list.Links[unroutedFlow] { return &w.links })}
}

// add adds the flow of a packet. If the table is full, the flow waits for its next packet.
func (t *unrouted) add(now time.Duration, p *Packet) {
	key := flowKey{p.Caller, p.Service}
	if w := t.byKey[key]; w != nil {
		w.header = *p
		return
	}
	if len(t.byKey) >= maxUnrouted {
		return
	}
	w := &unroutedFlow{header: *p, seenAt: now}
	t.byKey[key] = w
	t.order.Push(w)
}

// remove removes a flow if it waits.
func (t *unrouted) remove(key flowKey) {
	if w := t.byKey[key]; w != nil {
		delete(t.byKey, key)
		t.order.Remove(w)
	}
}

// expire removes flows that have waited for longer than unroutedTime.
func (t *unrouted) expire(now time.Duration) {
	for w := t.order.First(); w != nil && now-w.seenAt > unroutedTime; w = t.order.First() {
		t.remove(flowKey{w.header.Caller, w.header.Service})
	}
}
