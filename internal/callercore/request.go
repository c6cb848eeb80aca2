package callercore

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// request is the state of an unfinished request. To be sent, it is bound to a flow,
// the flow's current identifier and a request id. A reissued request is bound again.
type request struct {
	Request
	handle   Handle
	deadline time.Duration
	// flow, flowID and id are set while the request is bound; id is zero otherwise.
	flow   *flow
	flowID identifier
	id     ids.RequestID
	// bindAt is the earliest time to bind the request.
	bindAt  time.Duration
	boundAt time.Duration
	// accepted is set by the owner's first acknowledgement for id.
	accepted bool
	// sent is the number of bytes of the body that were sent at least once under id.
	sent int
	// acked is the number of bytes of the body that the owner acknowledged.
	acked    int
	resendAt time.Duration
	// mayHaveRun is set once an earlier id of an idempotent request may have run.
	mayHaveRun bool
	// uncertain is set by a refusal with the verdict Ran or MayHaveRun, sent by the
	// owner, or by another host if the owner is gone. The answer may still arrive
	// before the deadline.
	uncertain bool
	// ran is set when the owner reported that the request ran; the answer is still
	// awaited.
	ran bool
	// reason is the reason of the last refusal with the verdict MayHaveRun that set
	// uncertain.
	reason verdict.Reason
	// cancelAt is the earliest time to send the next cancel after the deadline.
	cancelAt time.Duration
	answers  answers
}

// Request starts a request and returns the handle that identifies its result.
func (c *Core) Request(now time.Duration, r Request, out *Effects) Handle {
	c.nextHandle++
	q := &request{Request: r, handle: c.nextHandle, deadline: now + r.Timeout}
	if c.closed {
		c.finishWithoutAnswer(q, verdict.NotRun, verdict.ReasonClosed, out)
		return q.handle
	}
	c.requests = append(c.requests, q)
	c.tryBind(now, q, out)
	return q.handle
}

// Cancel moves the deadline of a request to the current time. The result, which
// says whether the request ran, is among the effects of this call or a later one.
func (c *Core) Cancel(now time.Duration, h Handle, out *Effects) {
	for _, r := range c.requests {
		if r.handle == h {
			r.deadline = min(r.deadline, now)
			c.tickRequest(now, r, out)
		}
	}
	c.removeFinishedRequests()
}

// tryBind binds the request to the flow in use and sends it, unless the flow is not
// ready. A flow that was idle or whose owner is unresponsive is renewed first.
func (c *Core) tryBind(now time.Duration, r *request, out *Effects) {
	f := c.current
	if r.id != 0 || now < r.bindAt || f == nil || !f.open || f.renewing {
		return
	}
	if now-f.lastReceived > c.settings.IdleTimeout || c.ownerIsUnresponsive(now, f) {
		// The owner may be gone, and a request sent to it would then end as
		// MayHaveRun although it was never received.
		c.sendRenew(now, f, out)
		return
	}
	r.flow, r.flowID, r.id = f, f.id, f.nextRequest
	r.boundAt, r.accepted = now, false
	f.nextRequest++
	r.sent, r.acked = 0, 0
	r.answers = nil
	c.sendParts(now, r, out)
}

// ownerIsUnresponsive reports whether a request bound to the identifier in use has
// waited too long for the owner's first acknowledgement.
func (c *Core) ownerIsUnresponsive(now time.Duration, f *flow) bool {
	return slices.ContainsFunc(c.requests, func(r *request) bool {
		return r.flow == f && r.flowID == f.id && !r.accepted && now-r.boundAt > unresponsiveIntervals*c.settings.ResendInterval
	})
}

// unresponsiveIntervals is the number of resend intervals after which an owner that
// has not acknowledged a request counts as unresponsive.
const unresponsiveIntervals = 2

// unbind removes the binding so that the request is reissued under another id after
// the wait. It must be called only if the request did not run, or may run again
// because it is idempotent.
func (c *Core) unbind(now, wait time.Duration, r *request) {
	r.flow, r.id = nil, 0
	r.bindAt = now + wait
	r.uncertain, r.ran = false, false
}

// sendParts sends the parts that the owner has not acknowledged, up to the send
// window. If the whole body is acknowledged, it retransmits the last part to poll
// for the status of the request.
func (c *Core) sendParts(now time.Duration, r *request, out *Effects) {
	r.resendAt = now + c.settings.ResendInterval
	if r.acked >= len(r.Body) && len(r.Body) > 0 {
		c.sendPart(now, r, lastPart(len(r.Body)), out)
		return
	}
	limit := min(len(r.Body), r.acked+sendWindow*wire.MaxPayload)
	for offset := r.acked; offset < limit; offset += wire.MaxPayload {
		c.sendPart(now, r, offset, out)
	}
	if len(r.Body) == 0 {
		c.sendPart(now, r, 0, out)
	}
}

func lastPart(size int) int {
	return max(size-1, 0) / wire.MaxPayload * wire.MaxPayload
}

func (c *Core) sendPart(now time.Duration, r *request, offset int, out *Effects) {
	n := min(len(r.Body)-offset, wire.MaxPayload)
	p := c.newPacket(wire.KindRequest, r.flowID, n)
	p.SetRequest(r.id)
	p.SetOffset(uint32(offset))
	p.SetTotal(uint32(len(r.Body)))
	p.SetDeadlineMillis(millisUntil(now, r.deadline))
	p.SetFlags(r.flags(offset, n))
	copy(p.Payload(), r.Body[offset:offset+n])
	r.sent = max(r.sent, offset+n)
	out.Sends = append(out.Sends, p)
}

func (r *request) flags(offset, n int) wire.Flags {
	var f wire.Flags
	if r.Idempotent {
		f |= wire.FlagIdempotent
	}
	if offset+n <= r.sent {
		f |= wire.FlagRetransmit
	}
	return f
}

func millisUntil(now, deadline time.Duration) uint32 {
	return uint32(max(deadline-now, 0) / time.Millisecond)
}

// onAccepted handles the owner's acknowledgement of a part of the body.
func (c *Core) onAccepted(now time.Duration, f *flow, p wire.Packet, out *Effects) {
	r := c.requestOf(f, p.Request())
	if r == nil {
		return
	}
	r.accepted = true
	acked := int(min(uint64(p.Aux()), uint64(len(r.Body))))
	progress := acked > r.acked
	r.acked = max(r.acked, acked)
	switch {
	case r.acked >= len(r.Body):
		r.resendAt = now + c.settings.PollInterval
	case progress:
		c.sendParts(now, r, out)
	}
}

// onRefused handles the refusal of an open, a renewal or a request. A request is
// refused by its owner, or by another host if the owner is gone or unreachable.
func (c *Core) onRefused(now time.Duration, f *flow, p wire.Packet, out *Effects) {
	if p.Request() == 0 || f.renewing && p.Verdict() == verdict.Unknown {
		c.onOpenRefused(now, f, p, out)
		return
	}
	r := c.requestOf(f, p.Request())
	if r == nil {
		return
	}
	if p.Reason() == verdict.ReasonOwnerGone && !f.renewing && r.flowID == f.id {
		c.sendRenew(now, f, out)
	}
	c.onVerdict(now, r, p, out)
	c.removeFinishedRequests()
}

func (c *Core) onVerdict(now time.Duration, r *request, p wire.Packet, out *Effects) {
	wait := time.Duration(p.Aux()) * time.Millisecond
	switch {
	case p.Verdict() == verdict.NotRun && r.ran:
		// A request that ran cannot become one that did not run.
		return
	case p.Verdict() == verdict.NotRun && isHandover(p.Reason()) && now+wait < r.deadline:
		c.unbind(now, wait, r)
	case p.Verdict() == verdict.NotRun:
		c.finishRefused(r, p, out)
	case p.Verdict() == verdict.Ran:
		// The upstream retransmits the answer until it is acknowledged.
		r.uncertain, r.ran = true, true
	case p.Reason() == verdict.ReasonOwnerGone && r.hasUnsentParts() && now+wait < r.deadline:
		c.unbind(now, wait, r)
	case r.Idempotent && now+wait < r.deadline:
		r.mayHaveRun = true
		c.unbind(now, max(wait, c.settings.ResendInterval), r)
	case p.Reason() == verdict.ReasonOwnerUnreachable:
		// The owner may become reachable again, so the request stays open until its
		// deadline.
	default:
		r.uncertain = true
		r.reason = p.Reason()
	}
}

// isHandover reports whether the reason says that another host takes over the work
// of the owner, or that the flow needs a new identifier. A request refused as not
// run for such a reason is reissued without reporting the refusal.
func isHandover(r verdict.Reason) bool {
	return r == verdict.ReasonStopping || r == verdict.ReasonOwnerGone || r == verdict.ReasonForgotten
}

// finishRefused finishes a request refused as not run. The result is MayHaveRun if
// an earlier id of the request may have run.
func (c *Core) finishRefused(r *request, p wire.Packet, out *Effects) {
	v := verdict.NotRun
	if r.mayHaveRun {
		v = verdict.MayHaveRun
	}
	c.finishWithResult(r, Result{
		Verdict:    v,
		Reason:     p.Reason(),
		RetryAfter: time.Duration(p.Aux()) * time.Millisecond,
	}, out)
}

// tickRequests binds waiting requests, retransmits unacknowledged parts, and cancels
// and finishes requests whose deadline has passed.
func (c *Core) tickRequests(now time.Duration, out *Effects) {
	for _, r := range c.requests {
		c.tickRequest(now, r, out)
	}
	c.removeFinishedRequests()
}

func (c *Core) tickRequest(now time.Duration, r *request, out *Effects) {
	switch {
	case r.done():
	case now >= r.deadline+c.settings.VerdictGrace || now >= r.deadline && r.isFinalAtDeadline():
		c.finishWithoutAnswer(r, r.unresolvedVerdict(), r.unresolvedReason(), out)
	case now >= r.deadline && now >= r.cancelAt:
		c.sendCancel(now, r, out)
	case r.id == 0:
		c.tryBind(now, r, out)
	case now >= r.resendAt && !r.uncertain && now < r.deadline:
		c.sendParts(now, r, out)
	case now >= r.resendAt && r.reason == verdict.ReasonOwnerGone && now < r.deadline:
		c.probeOwner(now, r, out)
	}
}

// probeOwner retransmits the last part of an uncertain request to its owner. If the
// owner was only paused and never received the request, it refuses the request as
// not run, which is then reissued to the next owner.
func (c *Core) probeOwner(now time.Duration, r *request, out *Effects) {
	r.resendAt = now + c.settings.PollInterval
	c.sendPart(now, r, lastPart(len(r.Body)), out)
}

// isFinalAtDeadline reports whether waiting beyond the deadline cannot change the
// verdict of the request.
func (r *request) isFinalAtDeadline() bool {
	return r.id == 0 || r.uncertain
}

func (c *Core) sendCancel(now time.Duration, r *request, out *Effects) {
	r.cancelAt = now + c.settings.ResendInterval
	p := c.newPacket(wire.KindCancel, r.flowID, 0)
	p.SetRequest(r.id)
	out.Sends = append(out.Sends, p)
}

// unresolvedVerdict returns the verdict for a request that ends without an answer or a
// definite verdict.
func (r *request) unresolvedVerdict() verdict.Verdict {
	if r.mayHaveRun || r.id != 0 && !r.hasUnsentParts() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// hasUnsentParts reports whether a part of the body was never sent under the current
// id. In that case no owner has the whole body, and the request cannot have run.
func (r *request) hasUnsentParts() bool {
	return r.sent < len(r.Body)
}

func (r *request) unresolvedReason() verdict.Reason {
	if r.reason != verdict.ReasonNone {
		return r.reason
	}
	return verdict.ReasonDeadline
}

func (c *Core) finishWithoutAnswer(r *request, v verdict.Verdict, reason verdict.Reason, out *Effects) {
	c.finishWithResult(r, Result{Verdict: v, Reason: reason}, out)
}

func (c *Core) finishWithResult(r *request, result Result, out *Effects) {
	result.Handle = r.handle
	result.Request = r.id
	if r.flow != nil {
		result.Nonce = r.flow.nonce
	}
	out.Results = append(out.Results, result)
	r.handle = 0
}

// done reports whether the request has its result.
func (r *request) done() bool { return r.handle == 0 }

func (c *Core) removeFinishedRequests() {
	c.requests = slices.DeleteFunc(c.requests, func(r *request) bool { return r.done() })
}

// requestOf returns the unfinished request of a flow with the given id, or nil.
func (c *Core) requestOf(f *flow, id ids.RequestID) *request {
	for _, r := range c.requests {
		if r.flow == f && r.id == id {
			return r
		}
	}
	return nil
}
