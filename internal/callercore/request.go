package callercore

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// request is one request of the session.
type request struct {
	Request
	handle   Handle
	deadline time.Duration
	// flow, under and id are set once the request is bound; id zero is not bound.
	flow  *flow
	under identifier
	id    ids.RequestID
	// bindAt is the earliest time to bind the request.
	bindAt  time.Duration
	boundAt time.Duration
	// accepted is set by the owner's first word on the id.
	accepted bool
	// sent is the number of bytes of the body that left at least once.
	sent int
	// held is the number of bytes that the owner holds.
	held     int
	resendAt time.Duration
	// mayHaveRun is set once an earlier id of an idempotent request may have run.
	mayHaveRun bool
	// uncertain is set when the owner said may have run, or is gone; the answer
	// may still come before the deadline.
	uncertain bool
	// ran is set when the owner said that the request ran; its answer is under way.
	ran    bool
	reason verdict.Reason
	// cancelAt is the time to send the next cancel after the deadline.
	cancelAt time.Duration
	answers  answers
}

// Request starts a request and returns the handle that its result will carry.
func (c *Core) Request(now time.Duration, r Request, out *Effects) Handle {
	c.nextHandle++
	q := &request{Request: r, handle: c.nextHandle, deadline: now + r.Timeout}
	if c.closed {
		c.finish(q, verdict.NotRun, verdict.ReasonClosed, out)
		return q.handle
	}
	c.requests = append(c.requests, q)
	c.tryBind(now, q, out)
	return q.handle
}

// Cancel asks for the end of a request. Its result tells whether it ran.
func (c *Core) Cancel(now time.Duration, h Handle, out *Effects) {
	for _, r := range c.requests {
		if r.handle == h {
			r.deadline = min(r.deadline, now)
			c.tickRequest(now, r, out)
		}
	}
	c.dropFinished()
}

// tryBind gives the request an id under the identifier in use.
func (c *Core) tryBind(now time.Duration, r *request, out *Effects) {
	f := c.current
	if r.id != 0 || now < r.bindAt || f == nil || !f.open || f.renewing {
		return
	}
	if now-f.lastHeard > c.settings.Idle || c.ownerIsSilent(now, f) {
		// The owner may be gone: a request that it never got would end as may have run.
		c.sendRenew(now, f, out)
		return
	}
	r.flow, r.under, r.id = f, f.id, f.nextRequest
	r.boundAt, r.accepted = now, false
	f.nextRequest++
	r.sent, r.held = 0, 0
	r.answers = nil
	c.sendParts(now, r, out)
}

// ownerIsSilent tells whether a request under the identifier in use has waited
// too long for the owner's first word.
func (c *Core) ownerIsSilent(now time.Duration, f *flow) bool {
	return slices.ContainsFunc(c.requests, func(r *request) bool {
		return r.flow == f && r.under == f.id && !r.accepted && now-r.boundAt > silentResends*c.settings.Resend
	})
}

// silentResends is the number of transmissions after which an owner that has
// not accepted a request counts as silent.
const silentResends = 2

// unbind makes the request wait for another id. It is called only when the
// request was not run, or may run again because it is idempotent.
func (c *Core) unbind(now, wait time.Duration, r *request) {
	r.flow, r.id = nil, 0
	r.bindAt = now + wait
	r.uncertain, r.ran = false, false
}

// sendParts sends the parts that the owner doesn't hold, up to the window. A
// body that the owner holds whole is asked about by repeating its last part.
func (c *Core) sendParts(now time.Duration, r *request, out *Effects) {
	r.resendAt = now + c.settings.Resend
	if r.held >= len(r.Body) && len(r.Body) > 0 {
		c.sendPart(now, r, lastPart(len(r.Body)), out)
		return
	}
	limit := min(len(r.Body), r.held+partWindow*wire.MaxPayload)
	for offset := r.held; offset < limit; offset += wire.MaxPayload {
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
	p := c.newPacket(wire.KindRequest, r.under, n)
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

// onAccepted notes how much of the body the owner holds.
func (c *Core) onAccepted(now time.Duration, f *flow, p wire.Packet, out *Effects) {
	r := c.requestOf(f, p.Request())
	if r == nil {
		return
	}
	r.accepted = true
	held := int(min(uint64(p.Aux()), uint64(len(r.Body))))
	progress := held > r.held
	r.held = max(r.held, held)
	switch {
	case r.held >= len(r.Body):
		r.resendAt = now + c.settings.Poll
	case progress:
		c.sendParts(now, r, out)
	}
}

// onRefused takes in the verdict of the owner, or of a host that knows that the
// owner is gone.
func (c *Core) onRefused(now time.Duration, f *flow, p wire.Packet, out *Effects) {
	if p.Request() == 0 || f.renewing && p.Verdict() == verdict.Unknown {
		c.onOpenRefused(now, f, p, out)
		return
	}
	r := c.requestOf(f, p.Request())
	if r == nil {
		return
	}
	if p.Reason() == verdict.ReasonOwnerGone && !f.renewing && r.under == f.id {
		c.sendRenew(now, f, out)
	}
	c.onVerdict(now, r, p, out)
	c.dropFinished()
}

func (c *Core) onVerdict(now time.Duration, r *request, p wire.Packet, out *Effects) {
	wait := time.Duration(p.Aux()) * time.Millisecond
	switch {
	case p.Verdict() == verdict.NotRun && r.ran:
		// What has run can't be taken back.
		return
	case p.Verdict() == verdict.NotRun && isHandover(p.Reason()) && now+wait < r.deadline:
		c.unbind(now, wait, r)
	case p.Verdict() == verdict.NotRun:
		c.finishRetryable(r, p, out)
	case p.Verdict() == verdict.Ran:
		// The upstream repeats the answer until it is acknowledged.
		r.uncertain, r.ran = true, true
	case p.Reason() == verdict.ReasonOwnerGone && r.neverLeftWhole() && now+wait < r.deadline:
		c.unbind(now, wait, r)
	case r.Idempotent && now+wait < r.deadline:
		r.mayHaveRun = true
		c.unbind(now, max(wait, c.settings.Resend), r)
	case p.Reason() == verdict.ReasonOwnerUnreachable:
		// The owner may come back into reach; the deadline decides.
	default:
		r.uncertain = true
		r.reason = p.Reason()
	}
}

// isHandover reports whether the owner gave the request back unrun because
// another host takes over its work, or because it needs a new identifier.
func isHandover(r verdict.Reason) bool {
	return r == verdict.ReasonStopping || r == verdict.ReasonOwnerGone || r == verdict.ReasonForgotten
}

func (c *Core) finishRetryable(r *request, p wire.Packet, out *Effects) {
	v := verdict.NotRun
	if r.mayHaveRun {
		v = verdict.MayHaveRun
	}
	c.finishWith(r, Result{
		Verdict:    v,
		Reason:     p.Reason(),
		RetryAfter: time.Duration(p.Aux()) * time.Millisecond,
	}, out)
}

// tickRequests binds waiting requests, repeats unanswered parts and ends
// requests whose time is over.
func (c *Core) tickRequests(now time.Duration, out *Effects) {
	for _, r := range c.requests {
		c.tickRequest(now, r, out)
	}
	c.dropFinished()
}

func (c *Core) tickRequest(now time.Duration, r *request, out *Effects) {
	switch {
	case r.done():
	case now >= r.deadline+c.settings.Grace || now >= r.deadline && r.certainAtDeadline():
		c.finish(r, r.lostVerdict(), r.lostReason(), out)
	case now >= r.deadline && now >= r.cancelAt:
		c.sendCancel(now, r, out)
	case r.id == 0:
		c.tryBind(now, r, out)
	case now >= r.resendAt && !r.uncertain && now < r.deadline:
		c.sendParts(now, r, out)
	case now >= r.resendAt && r.reason == verdict.ReasonOwnerGone && now < r.deadline:
		c.ask(now, r, out)
	}
}

// ask repeats the last part of a request in doubt. An owner that stood still
// closes an id that it never saw, and the request then goes to the next owner.
func (c *Core) ask(now time.Duration, r *request, out *Effects) {
	r.resendAt = now + c.settings.Poll
	c.sendPart(now, r, lastPart(len(r.Body)), out)
}

// certainAtDeadline reports whether nothing more can be learned after the deadline.
func (r *request) certainAtDeadline() bool {
	return r.id == 0 || r.uncertain
}

func (c *Core) sendCancel(now time.Duration, r *request, out *Effects) {
	r.cancelAt = now + c.settings.Resend
	p := c.newPacket(wire.KindCancel, r.under, 0)
	p.SetRequest(r.id)
	out.Sends = append(out.Sends, p)
}

// lostVerdict is what is known of a request that got neither an answer nor a
// verdict.
func (r *request) lostVerdict() verdict.Verdict {
	if r.mayHaveRun || r.id != 0 && !r.neverLeftWhole() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// neverLeftWhole reports whether a part of the body was never sent under the
// present id. Then no owner has the whole body, and the request can't have run.
func (r *request) neverLeftWhole() bool {
	return r.sent < len(r.Body)
}

func (r *request) lostReason() verdict.Reason {
	if r.reason != verdict.ReasonNone {
		return r.reason
	}
	return verdict.ReasonDeadline
}

func (c *Core) finish(r *request, v verdict.Verdict, reason verdict.Reason, out *Effects) {
	c.finishWith(r, Result{Verdict: v, Reason: reason}, out)
}

func (c *Core) finishWith(r *request, result Result, out *Effects) {
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

func (c *Core) dropFinished() {
	c.requests = slices.DeleteFunc(c.requests, func(r *request) bool { return r.done() })
}

// requestOf returns the request of a flow with the given id.
func (c *Core) requestOf(f *flow, id ids.RequestID) *request {
	for _, r := range c.requests {
		if r.flow == f && r.id == id {
			return r
		}
	}
	return nil
}
