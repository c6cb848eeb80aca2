package dsr

import "time"

// handleSYN decides on the SYN of a flow or a retransmission of it.
func (c *Core) handleSYN(now time.Duration, p *Packet) Effect {
	if !c.configured || !c.complete {
		return Effect{Action: Drop, Reason: ReasonNoConfiguration}
	}
	r := c.routes[p.Service]
	if r == nil {
		return c.handleNoRoute(now, p)
	}
	key := flowKey{p.Caller, p.Service}
	f := c.cache.flows[key]
	reused := f != nil && !f.isRetransmit(now, p)
	reason := ReasonPlaced
	var moved Evidence
	if f != nil && !reused {
		if f.phase != phaseOpening && f.phase != phaseOverdue {
			// The caller has an answer already. Another upstream would answer the SYN too.
			return Effect{Action: Drop, Reason: ReasonSYNRetransmit}
		}
		f.synRetransmits++
		if c.keepsUpstream(now, f) {
			return c.repeatOpening(now, f.upstream)
		}
		reason, moved = ReasonMoved, f.moveEvidence(now)
	}
	if w := c.waiting.byKey[key]; w != nil {
		if w.upstream == nil && w.packets[0].header.Seq == p.Seq {
			w.copies = max(w.copies, p.SYNRetransmits)
			return Effect{Action: Drop, Reason: ReasonWaitingCopy}
		}
		c.dropWaiting(w)
	}
	choice := c.choose(now, r, p)
	s := choice.state
	if choice.upstream == nil {
		if reused && !f.isOpen() {
			// The flow before has ended.
			f = nil
		}
		return c.handleNotPlaced(now, p, r, f, choice)
	}
	if reused {
		if f.isOpen() {
			c.emitRerouted(now, p, f.upstream, choice.upstream, "port used again", flowEvidence("another SYN came from the port", f.seenAt))
		}
		c.cache.remove(f)
		f = nil
	}
	c.waiters.remove(key)
	if f == nil {
		f = c.cache.add(now, key)
	} else {
		c.emitRerouted(now, p, f.upstream, choice.upstream, reasonNames[reason], moved)
		c.cache.setPhase(now, f, phaseClosed)
	}
	f.upstream, f.route = choice.upstream, r
	f.upstream.pacer.AdmittedAt = now
	if f.upstream.share == 0 {
		s.spill.AdmittedAt = now
	}
	f.synSeq, f.nextSeq, f.lastAck = p.Seq, p.Seq+1, 0
	c.cache.touch(now, f)
	c.cache.setPhase(now, f, phaseOpening)
	c.emitOpening("flow opened", now, p, r, choice, reason)
	return c.forwardOpening(now, choice.upstream, reason)
}

// handleNotPlaced decides on a SYN for which there is no upstream. If all are at their limits, the
// caller waits for its next retransmission, or is refused if it would not be served then either. Only the
// first SYN of a flow that is not known is refused: otherwise the flow may be open.
func (c *Core) handleNotPlaced(now time.Duration, p *Packet, r *route, f *flow, ch choice) Effect {
	if e, ok := c.rejectEvacuated(now, p, r, f, ch); ok {
		return e
	}
	scheduled := ch.state != nil && ch.state.schedules()
	if ch.reason == ReasonPaced && f == nil && scheduled && !c.waiting.draining && !c.waiting.stopped {
		return c.waitOrReject(now, p, r, ch)
	}
	if ch.reason == ReasonPaced && !scheduled && p.SYNRetransmits == 0 && f == nil {
		if c.overloaded(now, ch.state, ch.class) {
			ch.state.refused(now, ch.class)
			c.emitOpening(eventRefused, now, p, r, ch, ReasonOverloaded)
			return Effect{Action: Reset, Reason: ReasonOverloaded}
		}
		c.waiters.add(now, flowKey{p.Caller, p.Service}, ch.state, ch.class)
	}
	c.emitOpening("flow not opened", now, p, r, ch, ch.reason)
	return Effect{Action: Drop, Reason: ch.reason}
}

// isRetransmit reports whether a SYN belongs to the attempt that the flow was opened with, of which it may
// be a late duplicate. Any other one is of a new flow from the same port.
func (f *flow) isRetransmit(now time.Duration, p *Packet) bool {
	return f.openedAt != 0 && p.Seq == f.synSeq && now-f.openedAt <= attemptTime
}

// keepsUpstream reports whether a retransmitted SYN goes to the upstream of the first one. A second
// upstream is tried only when needed: if both answer, the caller keeps the token of the later
// answer.
func (c *Core) keepsUpstream(now time.Duration, f *flow) bool {
	u := f.upstream
	switch {
	case u.reachedAt > f.openedAt:
		return true
	case u.gone:
		return false
	case f.phase == phaseOpening:
		return true
	default:
		return u.usable() && !u.suspect(now) && c.admitsCold(now, u)
	}
}

func (c *Core) emitOpening(event string, now time.Duration, p *Packet, r *route, ch choice, reason Reason) {
	rec := Record{
		Event: event, Caller: p.Caller, Address: p.Service, Service: ch.service, Detail: reasonNames[reason], Version: c.version,
		Age: now - c.storeAnsweredAt, Considered: ch.considered, Suspect: ch.suspect,
	}
	if s := ch.state; s != nil && ch.upstream == nil {
		rec.Waiting, rec.Demand, rec.Slots, rec.Work = s.waiting+s.queue.Len(), s.demand.Rate(now), c.answeringSlots(now, s), s.work.Mean()
	}
	if u := ch.upstream; u != nil {
		rec.Upstream, rec.Token, rec.Era, rec.Revision, rec.To = u.Key, u.token, uint64(u.Era), uint64(u.Revision), u.Addr
		rec.Open, rec.Action = u.busy+u.opening, Forward
	}
	c.emit(rec)
}
