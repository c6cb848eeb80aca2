package dsr

import (
	"net/netip"
	"time"
)

const (
	// silenceTimeout is how long a flow must have had no answer before it is reset by a check of its upstream.
	// Callers retransmit after 200 and 400 ms.
	silenceTimeout = 550 * time.Millisecond
	// resetMaxAge is the maximum time since the last packet of a flow for resetWaitingFlows to
	// reset it: the longest deadline of requests on streams.
	resetMaxAge = 4 * time.Second
)

// judge reports whether the upstream of a check is silent, and returns the evidence.
func (c *Core) judge(now time.Duration, u *upstream, r *CheckResult, outcome CheckOutcome) (Evidence, bool) {
	switch outcome {
	case CheckAccepted:
		return c.successorAt(now, u)
	case CheckRefused, CheckZoneRefused, CheckUnanswered:
		return Evidence{Fact: checkFacts[outcome], Source: SourceCheck, At: r.StartedAt}, true
	default:
		return Evidence{}, false
	}
}

// successorAt reports whether another upstream accepts connections at the address in place of the given one, and
// returns the evidence. A process answers only packets with its own identity, so if one that started later has
// answered since, the given one has ended. If that lacks an answer to a check, or its registration, the
// entry of the later one is enough.
func (c *Core) successorAt(now time.Duration, u *upstream) (Evidence, bool) {
	ended := u.silentAt != 0 || u.gone || u.removeAt != 0 && !u.lost
	for _, v := range c.byAddress[u.Addr] {
		switch {
		case v.ID == u.ID || v.Incarnation <= u.Incarnation || v.unreadable || !c.declared[v.Service]:
		case v.reachedAt > u.reachedAt:
			return flowEvidence("another upstream answers at the address", v.reachedAt), true
		case ended:
			return directoryEvidence(netip.AddrPort{}, "an upstream that started later is registered at the address", v.Position(), now), true
		}
	}
	return Evidence{}, false
}

// recheckDone handles another check of a silent upstream. Without an open flow there is nothing to decide.
func (c *Core) recheckDone(now time.Duration, u *upstream, silent bool, startedAt time.Duration) {
	switch {
	case u.silentAt == 0:
	case !silent:
		c.endSilence(u)
	case u.flows == 0:
		u.silentAt = 0
	default:
		u.silentAt, u.silentBy.At = startedAt, startedAt
		c.resetWaitingFlows(now, u, silenceTimeout)
		if !c.recheck(now, u) {
			c.endSilence(u)
		}
	}
}

// markSilent records that an upstream does not answer this host, by a check that began at the given time, and
// resets the flows that have waited for it for at least the time waited.
func (c *Core) markSilent(now time.Duration, u *upstream, e Evidence, startedAt, waited time.Duration) {
	u.silentAt, u.silentBy, u.recheckDelay = startedAt, e, 0
	u.backoff.extend(now, e.At)
	rec := Record{Event: "upstream is silent", Upstream: u.Key, Service: u.Service, Open: u.flows}
	rec.addEvidence(now, e)
	c.emit(rec)
	c.resetWaitingFlows(now, u, waited)
	if !c.recheck(now, u) {
		c.endSilence(u)
	}
}

// endSilence records that an upstream is not known to be silent any more.
func (c *Core) endSilence(u *upstream) {
	if u.silentAt == 0 {
		return
	}
	u.silentAt, u.checkID = 0, 0
	c.emit(Record{Event: "upstream is no longer silent", Upstream: u.Key, Service: u.Service})
}

// waitsInVain reports whether a flow is to be reset: it waits for an upstream that is silent, and its
// request is idempotent, so that its caller repeats it elsewhere; or the upstream is gone as well.
func (f *flow) waitsInVain(now time.Duration) bool {
	u := f.upstream
	if u.silentAt == 0 || now-u.silentAt > maxSilenceAge || !f.pending || f.phase == phaseClosed && f.resetAt == 0 {
		return false
	}
	return f.route != nil && f.route.Idempotent || u.gone && now-f.progressAt >= silenceTimeout
}

// silenceReason returns why a flow at the silent upstream is reset.
func (u *upstream) silenceReason() Reason {
	if u.gone {
		return ReasonUpstreamGone
	}
	return ReasonUpstreamSilent
}

// resetWaitingFlows resets the flows that have waited for a silent upstream for at least the given time. If
// it acknowledged a request before it failed, the caller does not retransmit, so no packet of that
// flow would lead to a reset.
func (c *Core) resetWaitingFlows(now time.Duration, u *upstream, waited time.Duration) {
	for f := c.cache.lru.First(); f != nil; f = f.lruLinks.Next() {
		if f.upstream != u || now-f.progressAt < waited || now-f.seenAt > resetMaxAge || !f.waitsInVain(now) {
			continue
		}
		if f.resetAt != 0 && f.seenAt <= f.resetAt {
			continue
		}
		p := Packet{Caller: f.key.caller, Service: f.key.service, Ack: f.lastAck, Token: u.token}
		c.emitReset(now, &p, u, u.silenceReason(), u.silentBy, now-f.progressAt)
		c.resets = append(c.resets, p)
		c.cache.setPhase(now, f, phaseClosed)
		f.resetAt = now
	}
}
