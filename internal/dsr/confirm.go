package dsr

import (
	"net/netip"
	"time"
)

const (
	// confirmInterval is the minimum time between two requests to confirm the directory: the time
	// after which a caller retransmits.
	confirmInterval = 200 * time.Millisecond
	// newsDelay bounds how long before an answer of the store a write may have been made that did not
	// arrive with it: watches report nothing for a second before a compaction. A message of another
	// host that is not read within 1.2 s ends the connection, and the next heartbeat follows within
	// 0.4 s.
	newsDelay = 2 * time.Second
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

// confirms reports whether the directory is known to be complete up to the given time, which makes
// what is missing in it a fact, and returns the evidence. If it is not, a confirmation is requested.
// While the store does not answer this host's requests, the directory counts as complete if the store
// has answered another host newsDelay later.
func (c *Core) confirms(now, at time.Duration, fact string) (Evidence, bool) {
	if c.confirmation.at >= at && c.confirmation.at != 0 {
		return directoryEvidence(netip.AddrPort{}, fact, c.directoryPosition, c.confirmation.at), true
	}
	if (c.storeDown || c.confirmation.failed) && c.storeAnsweredAt >= at+newsDelay {
		return directoryEvidence(c.storeAnsweredTo, fact, c.directoryPosition, c.storeAnsweredAt), true
	}
	if !c.storeDown && now >= c.confirmation.nextAt {
		c.confirmation.wanted, c.confirmation.nextAt = true, now+confirmInterval
	}
	return Evidence{}, false
}

// staysMissing reports whether the registration of a lapsed upstream is known to be missing still at
// the end of its grace period, and returns the evidence. If callers wait for it, that takes a
// confirmation; otherwise an answer of the store newsDelay later is enough.
func (c *Core) staysMissing(now time.Duration, u *upstream) (Evidence, bool) {
	const fact = "registration is missing at the end of its grace period"
	waits := u.flows > 0 || u.opening > 0 || u.service.waiting > 0
	if !waits && c.storeAnsweredAt >= u.removeAt+newsDelay {
		return directoryEvidence(c.storeAnsweredTo, fact, c.directoryPosition, c.storeAnsweredAt), true
	}
	if waits || c.confirmation.at >= u.removeAt {
		return c.confirms(now, u.removeAt, fact)
	}
	return Evidence{}, false
}
