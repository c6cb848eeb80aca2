package hostcore

import (
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

const (
	// initialResendInterval is the time after which an unacknowledged part is first
	// retransmitted. The interval doubles with each retransmission, up to
	// maxResendInterval.
	initialResendInterval = 60 * time.Millisecond
	// maxResendInterval bounds the interval between retransmissions.
	maxResendInterval = time.Second
	// probeInterval is the time after which an upstream that acknowledged the
	// whole body is first probed.
	probeInterval = 200 * time.Millisecond
	// resendTimeout is the time without progress after which an attempt is no
	// longer retransmitted. Together with the lifetime of a datagram it is shorter
	// than the time for which upstreams detect repeated requests.
	resendTimeout = 10 * time.Second
	// maxResendGap is the longest time since the last transmission after which an
	// attempt is still retransmitted. After a longer pause of the host process, the
	// upstream may no longer recognize the copy as a repeat.
	maxResendGap = 5 * time.Second
	// maxWindowBytes bounds the unacknowledged bytes of an attempt.
	maxWindowBytes = 32 * wire.MaxPayload
	// maxAttempts bounds the number of upstreams that one request is sent to.
	maxAttempts = 3
)

// attempt is the transmission of a request to one upstream.
type attempt struct {
	upstream    ids.UpstreamID
	address     netip.AddrPort
	incarnation uint64
	// acked and sent are offsets into the body, in bytes.
	acked, sent uint32
	// fullyAcked is set once the upstream acknowledged the whole body.
	fullyAcked     bool
	progressAt     time.Duration
	sentAt         time.Duration
	resendInterval time.Duration
	// cancelling is set once the request was cancelled. Cancel datagrams are then
	// sent in place of parts.
	cancelling bool
	// cancelReason is the reason to report to the caller.
	cancelReason verdict.Reason
}

// startAttempt starts an attempt on the upstream that placement chose.
func (c *Core) startAttempt(now time.Duration, r *request, d placement.Decision, out *Effects) {
	u, ok := c.table.Upstream(d.Upstream)
	if now >= r.expiresAt {
		c.freeSlot(now, r, d.Upstream, placement.OutcomeCancelled, out)
		c.refuse(now, r, r.refusedVerdict(), verdict.ReasonDeadline, 0, out)
		return
	}
	if !ok || slices.Contains(r.tried, d.Upstream) {
		c.freeSlot(now, r, d.Upstream, placement.OutcomeCancelled, out)
		c.refuse(now, r, r.refusedVerdict(), verdict.ReasonShed, overloadRetryAfter, out)
		return
	}
	r.attempt = attempt{
		upstream:    d.Upstream,
		address:     u.Address,
		incarnation: c.incarnations[d.Upstream],
	}
	r.state = stateAwaitingIncarnation
	if r.attempt.incarnation == 0 {
		out.recordAttempt(r, "owner: request held", "upstream incarnation unknown", d.Considered)
		r.attempt.progressAt, r.attempt.resendInterval = now, initialResendInterval
		c.probeIncarnation(now, r, out)
		return
	}
	c.forward(now, r, d.Considered, out)
}

// forward starts transmitting a request that has a slot.
func (c *Core) forward(now time.Duration, r *request, considered int, out *Effects) {
	a := &r.attempt
	r.state = stateForwarded
	a.progressAt, a.resendInterval = now, initialResendInterval
	out.recordAttempt(r, "owner: request forwarded", "free slot", considered)
	c.sendParts(now, r, out)
}

// sendParts sends as many parts as the send window allows.
func (c *Core) sendParts(now time.Duration, r *request, out *Effects) {
	a := &r.attempt
	total := r.body.Size()
	for a.sent < total || a.sent == 0 {
		if a.sent-a.acked >= maxWindowBytes {
			break
		}
		size := min(wire.MaxPayload, total-a.sent)
		c.sendPart(now, r, a.sent, size, out)
		if size == 0 {
			break
		}
		a.sent += size
	}
}

func (c *Core) sendPart(now time.Duration, r *request, offset, size uint32, out *Effects) {
	p := wire.New(wire.KindForward, int(size))
	copy(p.Payload(), r.body.Bytes()[offset:offset+size])
	p.SetOffset(offset)
	p.SetTotal(r.body.Size())
	if r.idempotent {
		p.SetFlags(wire.FlagIdempotent)
	}
	c.sendToUpstream(now, r, p, out)
}

// probeUpstream retransmits the last part of a body that the upstream has
// acknowledged in full. An upstream that shed the request repeats the shed, which
// may have been lost.
func (c *Core) probeUpstream(now time.Duration, r *request, out *Effects) {
	total := r.body.Size()
	size := min(total, wire.MaxPayload)
	c.sendPart(now, r, total-size, size, out)
}

func (c *Core) sendToUpstream(now time.Duration, r *request, p wire.Packet, out *Effects) {
	c.addressToUpstream(now, r, p)
	out.send(r.attempt.address, p)
}

// addressToUpstream fills in the header of a datagram to the attempt's upstream.
func (c *Core) addressToUpstream(now time.Duration, r *request, p wire.Packet) {
	a := &r.attempt
	copy(p.Flow(), r.identifier[:])
	p.SetRequest(r.id)
	p.SetDeadlineMillis(uint32(max(0, r.expiresAt-now) / time.Millisecond))
	p.SetPlacedUpstream(a.upstream)
	p.SetUpstreamIncarnation(a.incarnation)
	c.table.Keys.SealRoute(p.Route(), r.identifier[:], r.caller)
	a.sentAt = now
}

// sendCancel asks the upstream to cancel the request.
func (c *Core) sendCancel(now time.Duration, r *request, out *Effects) {
	c.sendToUpstream(now, r, wire.New(wire.KindForwardCancel, 0), out)
}

// probeIncarnation sends a cancel for request id 0, which no caller uses. The
// upstream refuses it and so reports its incarnation. A request is sent only
// under a known incarnation, because a copy could otherwise run again after a
// restart.
func (c *Core) probeIncarnation(now time.Duration, r *request, out *Effects) {
	p := wire.New(wire.KindForwardCancel, 0)
	c.addressToUpstream(now, r, p)
	p.SetRequest(0)
	out.send(r.attempt.address, p)
}

// resendDue retransmits what was not acknowledged in time.
func (c *Core) resendDue(now time.Duration, out *Effects) {
	for r := c.requests.First(); r != nil; r = r.inFlightLinks.Next() {
		a := &r.attempt
		if a.resendInterval == 0 || now-a.sentAt < a.resendInterval {
			continue
		}
		a.resendInterval = min(2*a.resendInterval, maxResendInterval)
		switch {
		case r.state == stateAwaitingIncarnation:
			c.probeIncarnation(now, r, out)
		case r.state != stateForwarded || !a.mayResend(now):
		case a.cancelling:
			c.sendCancel(now, r, out)
		case a.fullyAcked:
			c.probeUpstream(now, r, out)
		default:
			a.sent = a.acked
			c.sendParts(now, r, out)
		}
	}
}

// mayResend reports whether the upstream is certain to recognize a copy sent now
// as a repeat.
func (a *attempt) mayResend(now time.Duration) bool {
	return now-a.progressAt < resendTimeout && now-a.sentAt < maxResendGap
}

// handleUpstreamPacket handles an upstream's datagram about a request.
func (c *Core) handleUpstreamPacket(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
	id, owner := c.openIdentifier(p)
	switch owner.state {
	case ownerOther:
		c.relay(owner.member.Data, env, p, out)
		return
	case ownerSelf, ownerPast:
	default:
		c.counters.Unmatched++
		return
	}
	if !c.isFromUpstream(env, p, id.Service) {
		c.counters.WrongSender++
		return
	}
	f := c.flows.find(&id)
	if f == nil {
		c.counters.Unmatched++
		return
	}
	c.updateIncarnation(now, p.PlacedUpstream(), p.UpstreamIncarnation(), out)
	r := f.find(p.Request())
	if r == nil {
		c.handleLateAnswer(f, p)
		return
	}
	switch {
	case endsAnswer(p):
		c.handleDone(now, r, p, out)
	case p.Kind() == wire.KindReceived:
		c.handleReceived(now, r, p, out)
	case p.Kind() == wire.KindShed:
		c.handleShed(now, r, p, out)
	default:
		c.counters.Unmatched++
	}
}

// isFromUpstream reports whether the datagram comes from the upstream it names
// and that upstream belongs to the flow's service. A KindDone datagram may also come
// from another host, which has made the same check.
func (c *Core) isFromUpstream(env wire.Envelope, p wire.Packet, service ids.ServiceID) bool {
	u, ok := c.table.Upstream(p.PlacedUpstream())
	if !ok || u.Service != service {
		return false
	}
	if env.Source == u.Address {
		return true
	}
	_, host := c.table.HostAt(env.Source)
	return host && p.Kind() == wire.KindDone
}

// fromCurrentAttempt reports whether the datagram belongs to the current attempt.
func (r *request) fromCurrentAttempt(p wire.Packet) bool {
	return r.state == stateForwarded && p.PlacedUpstream() == r.attempt.upstream
}

// handleReceived handles an upstream's acknowledgement of the body up to an
// offset.
func (c *Core) handleReceived(now time.Duration, r *request, p wire.Packet, out *Effects) {
	a := &r.attempt
	if !r.fromCurrentAttempt(p) || p.UpstreamIncarnation() != a.incarnation {
		return
	}
	contiguous := p.Aux()
	if contiguous == r.body.Size() && !a.fullyAcked {
		a.fullyAcked = true
		a.resendInterval = probeInterval
	}
	if contiguous > a.sent || contiguous <= a.acked {
		return
	}
	a.acked = contiguous
	a.progressAt = now
	if !a.cancelling && !a.fullyAcked {
		a.resendInterval = initialResendInterval
		c.sendParts(now, r, out)
	}
}

// updateIncarnation records the incarnation of an upstream. Incarnations only
// increase, so an outdated report changes nothing. Requests sent to an earlier
// incarnation are lost, and requests waiting for the incarnation are forwarded.
func (c *Core) updateIncarnation(now time.Duration, id ids.UpstreamID, incarnation uint64, out *Effects) {
	if incarnation <= c.incarnations[id] {
		return
	}
	c.incarnations[id] = incarnation
	c.forEachRequest(func(r *request) {
		if r.attempt.upstream != id {
			return
		}
		switch {
		case r.state == stateAwaitingIncarnation:
			r.attempt.incarnation = incarnation
			c.forward(now, r, 1, out)
		case r.state == stateForwarded && r.attempt.incarnation < incarnation:
			c.attemptLost(now, r, out)
		}
	})
}
