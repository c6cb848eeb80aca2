package dsr

import (
	"time"

	"mimosashore.example/mimosashore/internal/list"
)

const (
	// confirmInterval is the minimum time between two requests to confirm the directory: the time
	// after which a caller retransmits.
	confirmInterval = 200 * time.Millisecond
	// newsDelay bounds how late news may be behind an answer of the store that tells of none: watches
	// hear nothing for a second before a compaction. A message of another host that is not read within
	// 1.2 s ends the connection, and the next heartbeat follows within 0.4 s.
	newsDelay = 2 * time.Second
	// unroutedTime is how long a packet to an address without a route waits for the confirmation of
	// the directory: the time until a host detects that its watch or that of its reader failed.
	unroutedTime = 4 * time.Second
	// maxUnrouted bounds the flows that wait for the confirmation of the directory.
	maxUnrouted = 1024
)

// confirmation is what the core knows of the age of its directory. A watch that returns no event
// and a host that reports a recent answer of the store prove nothing: the host may be cut off from
// the store. So what is missing in the directory is confirmed by a read that was requested after
// the question arose.
type confirmation struct {
	// at is the latest time up to which the directory is known to be complete: all writes that the
	// store acknowledged before have been applied.
	at time.Duration
	// wanted is set while a confirmation is requested, nextAt is when the next one may be. failed is
	// set while the store does not answer these requests.
	wanted bool
	nextAt time.Duration
	failed bool
}

// Confirmed records that the directory has all writes that the store acknowledged before the given
// time, which is when the confirming read was requested. It resets the flows without a route that
// have waited for it.
func (c *Core) Confirmed(now, at time.Duration) {
	c.confirmation.at, c.confirmation.failed = max(c.confirmation.at, at), false
	c.resetUnrouted(now)
}

// ConfirmationFailed records that the store did not answer a request to confirm the directory.
func (c *Core) ConfirmationFailed() { c.confirmation.failed = true }

// TakeConfirmRequest reports whether the core wants its directory confirmed, since the last call of
// TakeConfirmRequest.
func (c *Core) TakeConfirmRequest() bool {
	wanted := c.confirmation.wanted
	c.confirmation.wanted = false
	return wanted
}

// isConfirmed reports whether the directory is known to be complete up to the given time. If it is
// not, a confirmation is requested. While the store does not answer this host's requests, the
// directory counts as complete if the store was heard of newsDelay later.
func (c *Core) isConfirmed(now, at time.Duration) bool {
	if c.confirmation.at >= at && c.confirmation.at != 0 {
		return true
	}
	if (c.storeDown || c.confirmation.failed) && c.storeAnsweredAt >= at+newsDelay {
		return true
	}
	if c.storeDown {
		return false
	}
	if now >= c.confirmation.nextAt {
		c.confirmation.wanted, c.confirmation.nextAt = true, now+confirmInterval
	}
	return false
}

// staysMissing reports whether the registration of a lapsed upstream is known to be missing still at
// the end of its grace period. A confirmation is requested if callers wait for it; otherwise it is
// enough that the store was heard of newsDelay later.
func (c *Core) staysMissing(now time.Duration, u *upstream) bool {
	if c.storeAnsweredAt >= u.removeAt+newsDelay {
		return true
	}
	if u.flows > 0 || u.opening > 0 || u.service.waiting > 0 {
		return c.isConfirmed(now, u.removeAt)
	}
	return c.confirmation.at >= u.removeAt
}

// resetUnrouted decides on the flows without a route that have waited for the confirmation of the
// directory: those that still have none are reset.
func (c *Core) resetUnrouted(now time.Duration) {
	for w := c.unrouted.order.First(); w != nil && c.isConfirmed(now, w.seenAt); w = c.unrouted.order.First() {
		key := flowKey{w.header.Caller, w.header.Service}
		c.unrouted.remove(key)
		if c.routes[key.service] != nil || !w.header.SYN && now < c.storeSettledAt {
			continue
		}
		if f := c.cache.flows[key]; f != nil {
			c.cache.remove(f)
		}
		c.emitReset(now, &w.header, nil, ReasonNoRoute)
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
