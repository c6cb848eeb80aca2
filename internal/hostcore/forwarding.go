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
	// firstResend is the time after which an unacknowledged part is sent again.
	firstResend = 60 * time.Millisecond
	// maxResend bounds the time between two transmissions of a part.
	maxResend = time.Second
	// askAgainInterval is the time after which an upstream that holds the whole
	// body is asked about it for the first time.
	askAgainInterval = 200 * time.Millisecond
	// resendPeriod is the time without progress after which an attempt is no
	// longer sent again. Together with the lifetime of a datagram it stays below
	// upstreamMemory.
	resendPeriod = 10 * time.Second
	// maxResendGap is the longest pause after which an attempt is still sent
	// again: a host that was frozen doesn't know what the upstream has forgotten.
	maxResendGap = 5 * time.Second
	// maxWindowBytes bounds the unacknowledged bytes of an attempt.
	maxWindowBytes = 32 * wire.MaxPayload
	// maxAttempts bounds the upstreams that one request is sent to.
	maxAttempts = 3
)

// attempt is one placement of a request on an upstream.
type attempt struct {
	upstream    ids.UpstreamID
	address     netip.AddrPort
	incarnation uint64
	// acked and sent are positions in the body, in bytes.
	acked, sent uint32
	// held is set once the upstream acknowledged the whole body.
	held       bool
	progressAt time.Duration
	sentAt     time.Duration
	resend     time.Duration
	// cancelling attempts get cancel datagrams in place of parts.
	cancelling bool
	// cancelReason is the reason that the caller gets.
	cancelReason verdict.Reason
}

// start sends a request to the upstream of the decision.
func (c *Core) start(now time.Duration, r *request, d placement.Decision, out *Effects) {
	u, ok := c.table.Upstream(d.Upstream)
	if now >= r.expires {
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
	r.state = stateHeld
	if r.attempt.incarnation == 0 {
		out.recordAt(r, "owner: request held", "upstream incarnation unknown", d.Considered)
		r.attempt.progressAt, r.attempt.resend = now, firstResend
		c.askIncarnation(now, r, out)
		return
	}
	c.forward(now, r, d.Considered, out)
}

// forward begins the transmission of a request that has a slot.
func (c *Core) forward(now time.Duration, r *request, considered int, out *Effects) {
	a := &r.attempt
	r.state = stateForwarded
	a.progressAt, a.resend = now, firstResend
	out.recordAt(r, "owner: request forwarded", "free slot", considered)
	c.sendParts(now, r, out)
}

// sendParts sends the parts that the window allows.
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

// askAgain repeats the last part of a body that the upstream holds whole. The
// upstream answers with a shed once more if it refused the request.
func (c *Core) askAgain(now time.Duration, r *request, out *Effects) {
	total := r.body.Size()
	size := min(total, wire.MaxPayload)
	c.sendPart(now, r, total-size, size, out)
}

func (c *Core) sendToUpstream(now time.Duration, r *request, p wire.Packet, out *Effects) {
	c.addressToUpstream(now, r, p)
	out.send(r.attempt.address, p)
}

// addressToUpstream fills the header of a datagram for the upstream of the attempt.
func (c *Core) addressToUpstream(now time.Duration, r *request, p wire.Packet) {
	a := &r.attempt
	copy(p.Flow(), r.identifier[:])
	p.SetRequest(r.id)
	p.SetDeadlineMillis(uint32(max(0, r.expires-now) / time.Millisecond))
	p.SetPlaced(a.upstream)
	p.SetUpstreamIncarnation(a.incarnation)
	c.table.Keys.SealRoute(p.Route(), r.identifier[:], r.caller)
	a.sentAt = now
}

// sendCancel asks the upstream to stop the request.
func (c *Core) sendCancel(now time.Duration, r *request, out *Effects) {
	c.sendToUpstream(now, r, wire.New(wire.KindForwardCancel, 0), out)
}

// askIncarnation makes the upstream tell its incarnation: it refuses the cancel
// of a request id that no caller uses. A request goes out only under a known
// incarnation, as a copy could otherwise run again after a restart.
func (c *Core) askIncarnation(now time.Duration, r *request, out *Effects) {
	p := wire.New(wire.KindForwardCancel, 0)
	c.addressToUpstream(now, r, p)
	p.SetRequest(0)
	out.send(r.attempt.address, p)
}

// resendDue sends again what was not acknowledged in time.
func (c *Core) resendDue(now time.Duration, out *Effects) {
	for r := c.requests.First(); r != nil; r = r.underWay.Next() {
		a := &r.attempt
		if a.resend == 0 || now-a.sentAt < a.resend {
			continue
		}
		a.resend = min(2*a.resend, maxResend)
		switch {
		case r.state == stateHeld:
			c.askIncarnation(now, r, out)
		case r.state != stateForwarded || !a.mayResend(now):
		case a.cancelling:
			c.sendCancel(now, r, out)
		case a.held:
			c.askAgain(now, r, out)
		default:
			a.sent = a.acked
			c.sendParts(now, r, out)
		}
	}
}

// mayResend tells whether a copy sent now is surely recognised as a repeat.
func (a *attempt) mayResend(now time.Duration) bool {
	return now-a.progressAt < resendPeriod && now-a.sentAt < maxResendGap
}

// upstreamPacket handles what an upstream says of a request under way.
func (c *Core) upstreamPacket(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
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
	if !c.fromUpstream(env, p, id.Service) {
		c.counters.WrongSender++
		return
	}
	f := c.flows.find(&id)
	if f == nil {
		c.counters.Unmatched++
		return
	}
	c.learnIncarnation(now, p.Placed(), p.UpstreamIncarnation(), out)
	r := f.find(p.Request())
	if r == nil {
		c.lateAnswer(f, p)
		return
	}
	switch {
	case endsAnswer(p):
		c.done(now, r, p, out)
	case p.Kind() == wire.KindReceived:
		c.received(now, r, p, out)
	case p.Kind() == wire.KindShed:
		c.shed(now, r, p, out)
	default:
		c.counters.Unmatched++
	}
}

// fromUpstream checks that the datagram comes from the upstream it names and
// that this upstream serves the flow's service. The end of an answer may also
// come from a host, which made the same check.
func (c *Core) fromUpstream(env wire.Envelope, p wire.Packet, service ids.ServiceID) bool {
	u, ok := c.table.Upstream(p.Placed())
	if !ok || u.Service != service {
		return false
	}
	if env.Source == u.Address {
		return true
	}
	_, host := c.table.HostAt(env.Source)
	return host && p.Kind() == wire.KindDone
}

// current tells whether the datagram belongs to the present attempt.
func (r *request) current(p wire.Packet) bool {
	return r.state == stateForwarded && p.Placed() == r.attempt.upstream
}

// received notes which part of the body the upstream holds.
func (c *Core) received(now time.Duration, r *request, p wire.Packet, out *Effects) {
	a := &r.attempt
	if !r.current(p) || p.UpstreamIncarnation() != a.incarnation {
		return
	}
	held := p.Aux()
	if held == r.body.Size() && !a.held {
		a.held = true
		a.resend = askAgainInterval
	}
	if held > a.sent || held <= a.acked {
		return
	}
	a.acked = held
	a.progressAt = now
	if !a.cancelling && !a.held {
		a.resend = firstResend
		c.sendParts(now, r, out)
	}
}

// learnIncarnation notes the run of an upstream. Runs rise, so a report that
// lags changes nothing. Requests that were sent to an earlier run are lost, and
// those that wait to know the run are sent.
func (c *Core) learnIncarnation(now time.Duration, id ids.UpstreamID, incarnation uint64, out *Effects) {
	if incarnation <= c.incarnations[id] {
		return
	}
	c.incarnations[id] = incarnation
	c.each(func(r *request) {
		if r.attempt.upstream != id {
			return
		}
		switch {
		case r.state == stateHeld:
			r.attempt.incarnation = incarnation
			c.forward(now, r, 1, out)
		case r.state == stateForwarded && r.attempt.incarnation < incarnation:
			c.attemptLost(now, r, out)
		}
	})
}
