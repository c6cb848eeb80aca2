package callercore

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// identifier is a sealed flow identifier.
type identifier [wire.FlowSize]byte

// flow is one flow of a session, from its opening to its close.
type flow struct {
	nonce  ids.Nonce
	id     identifier
	fields flowid.Flow
	// open is set once an identifier was received.
	open bool
	// renewing is set while a new identifier is awaited.
	renewing bool
	// nextRequest is the next request id to use. A renewal carries it as the floor:
	// the first id that the new identifier covers.
	nextRequest ids.RequestID
	// retryAt is the time of the next retransmission of an open or renewal.
	retryAt      time.Duration
	lastReceived time.Duration
	stream       stream
}

func (c *Core) newFlow() *flow {
	return &flow{nonce: ids.Nonce(c.random.Uint64()), nextRequest: 1}
}

// flows returns all flows of the session, starting with the one in use.
func (c *Core) flows() []*flow {
	var all []*flow
	if c.current != nil {
		all = append(all, c.current)
	}
	if c.next != nil {
		all = append(all, c.next)
	}
	return append(all, c.old...)
}

// flowOf returns the flow that a datagram belongs to, or nil if it is not a flow
// of this session.
func (c *Core) flowOf(p wire.Packet) *flow {
	fields := flowid.ParseUnverified(p.Flow())
	if fields.Account != c.settings.Account || fields.Service != c.settings.Service {
		return nil
	}
	for _, f := range c.flows() {
		if f.nonce == fields.Nonce {
			return f
		}
	}
	return nil
}

func (c *Core) sendOpen(now time.Duration, f *flow, out *Effects) {
	p := wire.New(wire.KindOpen, 0)
	flowid.PutUnsealed(p.Flow(), &flowid.Flow{
		Account: c.settings.Account,
		Service: c.settings.Service,
		Nonce:   f.nonce,
	})
	f.retryAt = now + c.settings.ResendInterval
	out.Sends = append(out.Sends, p)
}

func (c *Core) sendRenew(now time.Duration, f *flow, out *Effects) {
	f.renewing = true
	f.retryAt = now + c.settings.ResendInterval
	p := c.newPacket(wire.KindRenew, f.id, 0)
	p.SetRequest(f.nextRequest)
	out.Sends = append(out.Sends, p)
}

func (c *Core) sendClose(f *flow, out *Effects) {
	if f.open {
		out.Sends = append(out.Sends, c.newPacket(wire.KindClose, f.id, 0))
	}
}

func (c *Core) newPacket(kind wire.Kind, id identifier, payload int) wire.Packet {
	p := wire.New(kind, payload)
	copy(p.Flow(), id[:])
	return p
}

// onOpened accepts the first identifier of the awaited generation, or the
// confirmation by the home host that the owner is unchanged. It ignores all other
// identifiers, so that each request id is used with one owner only.
func (c *Core) onOpened(now time.Duration, f *flow, p wire.Packet, out *Effects) {
	fields := flowid.ParseUnverified(p.Flow())
	switch {
	case !f.open && fields.Generation == 0:
		c.setIdentifier(f, p)
		c.onFirstIdentifier(now, f, out)
	case f.renewing && fields.Generation == f.fields.Generation+1:
		c.setIdentifier(f, p)
		f.renewing = false
		out.Events = append(out.Events, f.event(EventRenewed))
	case f.renewing && fields.Generation == f.fields.Generation && fields.Owner == f.fields.Owner:
		// The owner is still the home host: the identifier is confirmed, possibly
		// sealed with a new key.
		c.setIdentifier(f, p)
		f.renewing = false
	}
}

func (c *Core) setIdentifier(f *flow, p wire.Packet) {
	copy(f.id[:], p.Flow())
	f.fields = flowid.ParseUnverified(p.Flow())
	f.open = true
}

func (c *Core) onFirstIdentifier(now time.Duration, f *flow, out *Effects) {
	if f == c.current && !c.opened {
		c.opened = true
		out.Events = append(out.Events, f.event(EventOpened))
	}
	if c.settings.Subscribe != nil {
		c.sendSubscribe(now, f, out)
		return
	}
	if f == c.next {
		c.switchToNext(out)
	}
}

// switchToNext makes the next flow the one in use. The old flow stays open until its
// requests are finished.
func (c *Core) switchToNext(out *Effects) {
	c.old = append(c.old, c.current)
	c.current, c.next = c.next, nil
	out.Events = append(out.Events, c.current.event(EventMoved))
}

func (f *flow) event(kind EventKind) Event {
	return Event{Kind: kind, Nonce: f.nonce, Upstream: f.fields.Upstream, Owner: f.fields.Owner}
}

// onFlags handles the flags that hosts set on datagrams to the caller. Flags on a
// datagram of another generation are stale and ignored.
func (c *Core) onFlags(now time.Duration, f *flow, p wire.Packet, out *Effects) {
	if !f.open || c.closed || flowid.ParseUnverified(p.Flow()).Generation != f.fields.Generation {
		return
	}
	if p.Has(wire.FlagRenew) && !f.renewing {
		c.sendRenew(now, f, out)
	}
	if p.Has(wire.FlagMoveFlow) && f == c.current && c.next == nil {
		c.openNext(now, out)
	}
}

func (c *Core) openNext(now time.Duration, out *Effects) {
	c.next = c.newFlow()
	c.next.lastReceived = now
	c.sendOpen(now, c.next, out)
}

// onFlowLost replaces the flow in use if its upstream does not know it.
func (c *Core) onFlowLost(now time.Duration, f *flow, out *Effects) {
	if f == c.current {
		c.replaceLostFlow(now, out)
	}
}

// replaceLostFlow reports the flow in use as lost and replaces it by the next flow
// if there is one, or else by a new flow.
func (c *Core) replaceLostFlow(now time.Duration, out *Effects) {
	out.Events = append(out.Events, c.current.event(EventBroken))
	c.old = append(c.old, c.current)
	if c.next != nil {
		c.current, c.next = c.next, nil
		return
	}
	c.current = c.newFlow()
	c.current.lastReceived = now
	c.sendOpen(now, c.current, out)
}

// onOpenRefused delays the next open or renewal by the retry-after delay. A flow
// whose renewal fails because its upstream is gone is replaced.
func (c *Core) onOpenRefused(now time.Duration, f *flow, p wire.Packet, out *Effects) {
	wait := time.Duration(p.Aux()) * time.Millisecond
	f.retryAt = now + max(wait, c.settings.ResendInterval)
	e := f.event(EventRefused)
	e.Reason = p.Reason()
	out.Events = append(out.Events, e)
	upstreamGone := p.Reason() == verdict.ReasonUpstreamLost || p.Reason() == verdict.ReasonNoUpstream
	if f.renewing && f == c.current && upstreamGone {
		c.replaceLostFlow(now, out)
	}
}

func (c *Core) tickFlow(now time.Duration, f *flow, out *Effects) {
	if now >= f.retryAt {
		switch {
		case !f.open:
			c.sendOpen(now, f, out)
		case f.renewing:
			c.sendRenew(now, f, out)
		}
	}
	if f.open && c.settings.Subscribe != nil && !slices.Contains(c.old, f) {
		c.tickStream(now, f, out)
	}
}

// closeFinishedFlows closes old flows without unfinished requests.
func (c *Core) closeFinishedFlows(out *Effects) {
	c.old = slices.DeleteFunc(c.old, func(f *flow) bool {
		if c.hasRequests(f) {
			return false
		}
		c.sendClose(f, out)
		return true
	})
}

func (c *Core) hasRequests(f *flow) bool {
	return slices.ContainsFunc(c.requests, func(r *request) bool { return r.flow == f })
}
