package dsr

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/directory"
)

// StoreAnswered records an answer of the store.
func (c *Core) StoreAnswered(now time.Duration) {
	if c.storeDown || !c.storeReached {
		c.storeSettledAt = now + settleTime
	}
	c.storeAnsweredAt, c.storeAnsweredTo, c.storeReached = now, netip.AddrPort{}, true
	if c.storeDown {
		c.storeDown = false
		c.emit(Record{Event: "store answers again", HoldsFor: settleTime})
	}
}

// PeerAnswered records an update or a heartbeat from another host, after the update was applied.
// storeAge is the time since the store last answered that host; negative means never.
func (c *Core) PeerAnswered(now time.Duration, host netip.AddrPort, storeAge time.Duration) {
	if storeAge < 0 {
		return
	}
	if at := now - storeAge; at > c.storeAnsweredAt {
		c.storeAnsweredAt, c.storeAnsweredTo = at, host
	}
	c.resetUnrouted(now)
}

// StoreFailed records a call that the store did not answer. The cause is logged if it is the first
// such call since the last answer.
func (c *Core) StoreFailed(now time.Duration, cause string) {
	if !c.storeDown {
		c.storeDown = true
		c.emit(Record{Event: "store does not answer", Detail: cause, Age: now - c.storeAnsweredAt})
	}
}

// enterEra handles a restore of the store from a copy. What is missing in it may only be lost,
// until upstreams have had the time to write their registrations again.
func (c *Core) enterEra(now time.Duration, ch *directory.Change) {
	if c.complete {
		c.storeSettledAt = max(c.storeSettledAt, now+settleTime)
		clear(c.unknownTokens)
		c.emit(Record{
			Event: "store was restored from a copy", Era: uint64(ch.Era), Revision: uint64(ch.Revision), Version: c.version,
			HoldsFor: settleTime, Considered: len(ch.Upstreams), Open: len(c.byKey),
		})
	}
	c.era = ch.Era
}

// keepLost keeps an upstream whose registration the store lost in a restore. That says nothing
// about the upstream, which remains in use until settleTime is over.
func (c *Core) keepLost(now time.Duration, key string) {
	u := c.byKey[key]
	if u == nil || u.removeAt != 0 || u.Era >= c.era {
		return
	}
	u.lost = true
	c.letLapse(now, u, "lost by the store")
}
