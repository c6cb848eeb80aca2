package hostcore

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// cancelTimeout is the time that an upstream has to confirm that it won't run a
// cancelled request.
const cancelTimeout = 250 * time.Millisecond

// finish ends a request in flight, stores its verdict and releases its memory.
func (c *Core) finish(r *request, v verdict.Verdict, reason verdict.Reason) {
	r.state = stateEnded
	r.flow.setVerdict(r.id, v, reason)
	r.flow.unlink(r)
	c.requests.Remove(r)
	r.service.requests--
	size := int(r.body.Size())
	c.bodyBytes -= size
	r.service.bodyBytes -= size
}

// refuse ends a request and sends a refusal to its caller.
func (c *Core) refuse(now time.Duration, r *request, v verdict.Verdict, reason verdict.Reason, after time.Duration, out *Effects) {
	if r.ticket != 0 && r.state == stateWaiting {
		r.service.placer.Withdraw(now, r.ticket)
		c.dropTicket(r)
	}
	c.finish(r, v, reason)
	out.recordAttempt(r, "owner: request refused as "+v.String(), reason.String(), 0)
	p := c.refusal(r.flow, r.id, v, reason, after)
	copy(p.Flow(), r.identifier[:])
	out.send(r.caller, p)
}

// refusal builds the refusal of a request id.
func (c *Core) refusal(f *flow, id ids.RequestID, v verdict.Verdict, reason verdict.Reason, after time.Duration) wire.Packet {
	p := wire.New(wire.KindRefused, 0)
	p.SetRequest(id)
	p.SetVerdict(v, reason)
	p.SetAux(uint32(after / time.Millisecond))
	p.SetFlags(c.callerFlags(f))
	return p
}

// reply sends a refusal of the datagram's request id to its sender.
func (c *Core) reply(env wire.Envelope, p wire.Packet, f *flow, v verdict.Verdict, reason verdict.Reason, after time.Duration, out *Effects) {
	answer := c.refusal(f, p.Request(), v, reason, after)
	copy(answer.Flow(), p.Flow())
	out.send(env.Source, answer)
}

// replyOwnerGone refuses a request whose owner no longer exists, with the verdict
// MayHaveRun.
func (c *Core) replyOwnerGone(env wire.Envelope, p wire.Packet, out *Effects) {
	c.replyWithoutFlow(env, p, verdict.MayHaveRun, verdict.ReasonOwnerGone, out)
}

// replyForgotten refuses a request of a flow without state. State is normally
// evicted only after flowIdleTime, which exceeds the lifetime of a datagram, and
// is never created twice for the same identifier. So a request whose first copy
// finds no state was not run, unless a flow was evicted early.
func (c *Core) replyForgotten(now time.Duration, owner ownerState, env wire.Envelope, p wire.Packet, out *Effects) {
	if owner == ownerPast {
		c.replyOwnerGone(env, p, out)
		return
	}
	v := verdict.NotRun
	if p.Has(wire.FlagRetransmit) || now < c.flows.uncertainUntil {
		v = verdict.MayHaveRun
	}
	c.replyWithoutFlow(env, p, v, verdict.ReasonForgotten, out)
}

func (c *Core) replyWithoutFlow(env wire.Envelope, p wire.Packet, v verdict.Verdict, reason verdict.Reason, out *Effects) {
	id := flowid.ParseUnverified(p.Flow())
	answer := wire.New(wire.KindRefused, 0)
	copy(answer.Flow(), p.Flow())
	answer.SetRequest(p.Request())
	answer.SetVerdict(v, reason)
	answer.SetFlags(wire.FlagRenew)
	out.send(env.Source, answer)
	out.Records = append(out.Records, Record{
		Event:    "owner: request refused as " + v.String(),
		Account:  id.Account,
		Service:  id.Service,
		Upstream: id.Upstream,
		Nonce:    id.Nonce,
		Request:  p.Request(),
		Reason:   reason.String(),
	})
}

// refuseFlow refuses an open or a renewal.
func (c *Core) refuseFlow(env wire.Envelope, p wire.Packet, reason verdict.Reason, after time.Duration, out *Effects) {
	c.counters.FlowsRefused++
	id := flowid.ParseUnverified(p.Flow())
	answer := wire.New(wire.KindRefused, 0)
	copy(answer.Flow(), p.Flow())
	answer.SetVerdict(verdict.NotRun, reason)
	answer.SetAux(uint32(after / time.Millisecond))
	out.send(env.Source, answer)
	out.Records = append(out.Records, Record{
		Event:   "owner: flow refused",
		Account: id.Account,
		Service: id.Service,
		Nonce:   id.Nonce,
		Reason:  reason.String(),
	})
}

// refuseNotReady refuses an open while there is no configuration, and drops other
// datagrams.
func (c *Core) refuseNotReady(env wire.Envelope, p wire.Packet, out *Effects) {
	if p.Kind() == wire.KindOpen {
		c.refuseFlow(env, p, verdict.ReasonNotReady, notReadyRetryAfter, out)
	}
}

// callerFlags returns the flags that ask a caller to move or renew its flow.
func (c *Core) callerFlags(f *flow) wire.Flags {
	var flags wire.Flags
	if u, _ := c.table.Upstream(f.upstream); u.Draining {
		flags |= wire.FlagMoveFlow
	}
	if c.stopping || f.retired || !c.isHome(f) {
		flags |= wire.FlagRenew
	}
	return flags
}

// isHome reports whether this host is the current home of the flow. It is also
// true if the flow has no home, since no other host could renew the flow then.
func (c *Core) isHome(f *flow) bool {
	entry := c.table.Service(f.key.service)
	if entry == nil {
		return true
	}
	home, ok := c.table.HomeFor(entry, f.key.nonce)
	return !ok || home.Host == c.self
}

// handleCancel cancels a request on behalf of its caller, which gets the verdict. A
// request id not seen before gets the verdict not run, so that a copy of the request
// that arrives later is refused.
func (c *Core) handleCancel(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
	f, ok := c.ownedFlow(now, env, p, out)
	if !ok {
		return
	}
	id := p.Request()
	if r := f.find(id); r != nil {
		r.caller = env.Source
		c.cancelRequest(now, r, verdict.ReasonClosed, out)
		return
	}
	switch f.status(id) {
	case idForgotten:
		c.reply(env, p, f, verdict.MayHaveRun, verdict.ReasonForgotten, 0, out)
		return
	case idFresh:
		f.markSeen(id)
		f.setVerdict(id, verdict.NotRun, verdict.ReasonClosed)
		c.flows.touch(now, f)
	}
	v, reason := f.verdict(id)
	c.reply(env, p, f, v, reason, 0, out)
}

// cancelRequest refuses a request that was not forwarded, or asks the upstream to
// cancel one that was.
func (c *Core) cancelRequest(now time.Duration, r *request, reason verdict.Reason, out *Effects) {
	switch r.state {
	case stateForwarded:
		c.cancelForwarded(now, r, reason, out)
	case stateAwaitingIncarnation:
		c.freeSlot(now, r, r.attempt.upstream, placement.OutcomeCancelled, out)
		fallthrough
	default:
		c.refuse(now, r, r.refusedVerdict(), reason, 0, out)
	}
}

// cancelForwarded asks the upstream to cancel a request, and waits up to
// cancelTimeout for the outcome.
func (c *Core) cancelForwarded(now time.Duration, r *request, reason verdict.Reason, out *Effects) {
	a := &r.attempt
	if a.cancelling {
		return
	}
	a.cancelling, a.cancelReason = true, reason
	a.progressAt, a.resendInterval = now, initialResendInterval
	r.expiresAt = now + cancelTimeout
	out.recordAttempt(r, "owner: request cancelled", reason.String(), 0)
	c.sendCancel(now, r, out)
}

// handleShed handles a shed, with which an upstream reports that it has not run a
// request and won't run it. A shed from another incarnation proves nothing, because
// the incarnation that the request was sent to may have run it.
func (c *Core) handleShed(now time.Duration, r *request, p wire.Packet, out *Effects) {
	if !r.fromCurrentAttempt(p) {
		return
	}
	a := &r.attempt
	if a.incarnation == 0 || p.UpstreamIncarnation() != a.incarnation {
		c.incarnations[a.upstream] = p.UpstreamIncarnation()
		c.attemptLost(now, r, out)
		return
	}
	c.freeSlot(now, r, a.upstream, placement.OutcomeShed, out)
	if a.cancelling {
		c.refuse(now, r, r.refusedVerdict(), a.cancelReason, 0, out)
		return
	}
	c.retry(now, r, verdict.ReasonShed, out)
}

// attemptLost ends an attempt whose upstream failed or restarted, and retries the
// request if it is idempotent.
func (c *Core) attemptLost(now time.Duration, r *request, out *Effects) {
	r.mayHaveRun = true
	c.freeSlot(now, r, r.attempt.upstream, placement.OutcomeLost, out)
	if !r.idempotent || r.attempt.cancelling {
		c.refuse(now, r, verdict.MayHaveRun, verdict.ReasonUpstreamLost, 0, out)
		return
	}
	c.retry(now, r, verdict.ReasonUpstreamLost, out)
}

// retry offers the request to placement again, or refuses it if the host is
// stopping, maxAttempts is reached or the retry budget is exhausted.
func (c *Core) retry(now time.Duration, r *request, reason verdict.Reason, out *Effects) {
	r.tried = append(r.tried, r.attempt.upstream)
	if c.stopping || len(r.tried) >= maxAttempts || !r.service.retries.TryRetry(now) {
		c.refuse(now, r, r.refusedVerdict(), reason, overloadRetryAfter, out)
		return
	}
	out.recordAttempt(r, "owner: request retried", reason.String(), 0)
	c.offer(now, r, out)
}

// freeSlot releases the slot of an attempt.
func (c *Core) freeSlot(now time.Duration, r *request, upstream ids.UpstreamID, outcome placement.Outcome, out *Effects) {
	ticket := r.ticket
	c.dropTicket(r)
	c.applyDecisions(now, r.service, r.service.placer.Finish(now, ticket, upstream, outcome), out)
}

// handleDone ends a request that an upstream of the current or an earlier attempt
// has answered.
func (c *Core) handleDone(now time.Duration, r *request, p wire.Packet, out *Effects) {
	if r.state == stateAssembling {
		c.counters.Unmatched++
		return
	}
	current := r.fromCurrentAttempt(p)
	if !current && !slices.Contains(r.tried, p.PlacedUpstream()) {
		c.counters.Unmatched++
		return
	}
	out.recordAttempt(r, "owner: request answered", "answer passed by or upstream says so", 0)
	switch {
	case current:
		c.freeSlot(now, r, r.attempt.upstream, placement.OutcomeAnswered, out)
	case r.state == stateForwarded:
		c.sendCancel(now, r, out)
		c.freeSlot(now, r, r.attempt.upstream, placement.OutcomeCancelled, out)
	case r.state == stateAwaitingIncarnation:
		c.freeSlot(now, r, r.attempt.upstream, placement.OutcomeCancelled, out)
	case r.ticket != 0:
		r.service.placer.Withdraw(now, r.ticket)
		c.dropTicket(r)
	}
	c.finish(r, verdict.Ran, verdict.ReasonNone)
}

// endsAnswer reports whether the datagram shows that the request ran to
// completion: it is the last part of the answer, or reports completion.
func endsAnswer(p wire.Packet) bool {
	switch p.Kind() {
	case wire.KindDone:
		return true
	case wire.KindAnswer, wire.KindReceived:
		return p.Has(wire.FlagLast)
	default:
		return false
	}
}

// handleLateAnswer corrects the stored verdict of a request that is no longer in flight
// and was answered after all.
func (c *Core) handleLateAnswer(f *flow, p wire.Packet) {
	id := p.Request()
	if !endsAnswer(p) || f.status(id) != idSeen {
		return
	}
	if v, _ := f.verdict(id); v == verdict.NotRun {
		c.counters.Contradicted++
	}
	f.setVerdict(id, verdict.Ran, verdict.ReasonNone)
}

// expire cancels or ends requests whose deadline has passed.
func (c *Core) expire(now time.Duration, out *Effects) {
	c.forEachRequest(func(r *request) {
		if now >= r.expiresAt {
			c.expireRequest(now, r, out)
		}
	})
}

func (c *Core) expireRequest(now time.Duration, r *request, out *Effects) {
	if r.state != stateForwarded {
		c.cancelRequest(now, r, verdict.ReasonDeadline, out)
		return
	}
	if !r.attempt.cancelling {
		c.cancelForwarded(now, r, verdict.ReasonDeadline, out)
		return
	}
	reason := r.attempt.cancelReason
	c.freeSlot(now, r, r.attempt.upstream, placement.OutcomeTimeout, out)
	c.refuse(now, r, verdict.MayHaveRun, reason, 0, out)
}

// refuseRemovedUpstreams refuses requests whose upstream was removed from the
// configuration before they were sent.
func (c *Core) refuseRemovedUpstreams(now time.Duration, out *Effects) {
	c.forEachRequest(func(r *request) {
		if _, known := c.table.Upstream(r.attempt.upstream); r.state == stateAwaitingIncarnation && !known {
			c.cancelRequest(now, r, verdict.ReasonNoUpstream, out)
		}
	})
}
