package hostcore

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/list"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/reassembly"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

const (
	// defaultDeadline is the time for a request that names none.
	defaultDeadline = 30 * time.Second
	// maxDeadline bounds the deadline of a request. It lies well below flowIdleTime.
	maxDeadline = 5 * time.Minute
	// maxLivePerFlow bounds the requests of one flow that are under way.
	maxLivePerFlow = windowSize / 2
	// defaultMaxBodyBytes bounds the memory for request bodies of a host, in bytes.
	defaultMaxBodyBytes = 64 << 20
	// serviceBodyShare is the part of that memory that one service may take.
	serviceBodyShare = 4
	// overloadRetryAfter is what a host without room for a body asks callers to wait.
	overloadRetryAfter = 200 * time.Millisecond
)

// requestState is the progress of a request at its owner.
type requestState uint8

const (
	// stateAssembling requests lack parts of their body.
	stateAssembling requestState = iota
	// stateWaiting requests wait for a slot.
	stateWaiting
	// stateHeld requests have a slot on an upstream whose incarnation isn't known yet.
	stateHeld
	// stateForwarded requests may have reached an upstream.
	stateForwarded
	// stateEnded requests are closed.
	stateEnded
)

// request is a request under way.
type request struct {
	id      ids.RequestID
	flow    *flow
	service *service
	state   requestState
	// identifier holds the sealed flow identifier as the caller sent it.
	identifier [wire.FlowSize]byte
	caller     netip.AddrPort
	idempotent bool
	// expires is the deadline.
	expires time.Duration
	body    *reassembly.Body
	ticket  placement.Ticket
	attempt attempt
	// tried holds the upstreams that got the request in earlier attempts.
	tried []ids.UpstreamID
	// tainted is set once an earlier attempt may have run.
	tainted bool

	nextInFlow *request
	// underWay links the requests of the core.
	underWay list.Links[request]
}

// each visits the requests under way, the oldest first. A visit may end any of them.
func (c *Core) each(visit func(r *request)) {
	all := c.scratch[:0]
	c.scratch = nil
	for r := c.requests.First(); r != nil; r = r.underWay.Next() {
		all = append(all, r)
	}
	for _, r := range all {
		if r.state != stateEnded {
			visit(r)
		}
	}
	clear(all)
	c.scratch = all
}

// find returns the request of the flow that is under way, or nil.
func (f *flow) find(id ids.RequestID) *request {
	for r := f.live; r != nil; r = r.nextInFlow {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (f *flow) unlink(r *request) {
	for at := &f.live; *at != nil; at = &(*at).nextInFlow {
		if *at == r {
			*at = r.nextInFlow
			return
		}
	}
}

// requests returns the requests of the flow that are under way.
func (f *flow) requests() []*request {
	var all []*request
	for r := f.live; r != nil; r = r.nextInFlow {
		all = append(all, r)
	}
	return all
}

func (f *flow) liveCount() int {
	n := 0
	for r := f.live; r != nil; r = r.nextInFlow {
		n++
	}
	return n
}

// request handles one part of a request, which may be a copy of an earlier one.
func (c *Core) request(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
	f, ok := c.ownedFlow(now, env, p, out)
	if !ok {
		return
	}
	id := p.Request()
	if r := f.find(id); r != nil {
		c.repeatedPart(now, r, env, p, out)
		return
	}
	switch f.know(id) {
	case idForgotten:
		c.reply(env, p, f, verdict.MayHaveRun, verdict.ReasonForgotten, 0, out)
	case idSeen:
		v, reason := f.verdict(id)
		c.reply(env, p, f, v, reason, 0, out)
	default:
		c.firstPart(now, f, env, p, out)
	}
}

// ownedFlow finds the flow of a request or cancel for which this host decides.
// Otherwise it relays the datagram or tells the caller, and reports false.
func (c *Core) ownedFlow(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) (*flow, bool) {
	id, owner := c.openIdentifier(p)
	switch owner.state {
	case ownerOther:
		c.relay(owner.member.Data, env, p, out)
		return nil, false
	case ownerGone:
		c.askLaterRun(owner.member, env, p, out)
		return nil, false
	case ownerDead:
		c.replyWithoutFlow(env, p, verdict.MayHaveRun, verdict.ReasonOwnerUnreachable, out)
		return nil, false
	case ownerUnknown:
		// Another host may know the owner already: the first copy gets no answer.
		if p.Has(wire.FlagRepeat) {
			c.replyGone(env, p, out)
		}
		return nil, false
	case ownerInvalid:
		return nil, false
	}
	f := c.flows.find(&id)
	if f == nil {
		c.replyForgotten(now, owner.state, env, p, out)
		return nil, false
	}
	c.flows.touch(now, f)
	return f, true
}

// askLaterRun passes a datagram for an earlier incarnation on to its host: one
// that was paused still knows which ids it never forwarded. Without such a host
// the caller is told that the owner is gone.
func (c *Core) askLaterRun(m *member.Member, env wire.Envelope, p wire.Packet, out *Effects) {
	if m == nil || m.State == member.StateDead || env.Relays >= wire.MaxRelays {
		c.replyGone(env, p, out)
		return
	}
	c.relay(m.Data, env, p, out)
}

// firstPart takes in a request id that was never seen.
func (c *Core) firstPart(now time.Duration, f *flow, env wire.Envelope, p wire.Packet, out *Effects) {
	f.see(p.Request())
	c.flows.touch(now, f)
	if reason, after := c.refuses(now, f, p); reason != verdict.ReasonNone {
		f.close(p.Request(), verdict.NotRun, reason)
		out.record(f, p.Request(), "owner: request refused", reason.String(), 0)
		c.reply(env, p, f, verdict.NotRun, reason, after, out)
		return
	}
	s := c.services[f.key.service]
	body, _ := reassembly.New(p.Total(), s.config.MaxBody) // refuses has checked the size
	r := &request{
		id:         p.Request(),
		flow:       f,
		service:    s,
		caller:     env.Source,
		idempotent: p.Has(wire.FlagIdempotent),
		expires:    now + deadlineOf(p),
		body:       body,
	}
	copy(r.identifier[:], p.Flow())
	c.bodyBytes += int(body.Size())
	s.bodyBytes += int(body.Size())
	r.nextInFlow, f.live = f.live, r
	c.requests.Push(r)
	s.requests++
	c.takePart(now, r, p, out)
}

// refuses returns why a new request can't be taken, or ReasonNone.
func (c *Core) refuses(now time.Duration, f *flow, p wire.Packet) (verdict.Reason, time.Duration) {
	s := c.serviceFor(now, f.key.service)
	switch {
	case s == nil:
		return verdict.ReasonUnknownService, 0
	case f.retired:
		return verdict.ReasonOwnerGone, 0
	case c.stopping:
		return verdict.ReasonStopping, stoppingRetryAfter
	case f.closed:
		return verdict.ReasonClosed, 0
	case p.Total() > s.config.MaxBody:
		return verdict.ReasonTooLarge, 0
	case f.liveCount() >= maxLivePerFlow:
		return verdict.ReasonOverload, overloadRetryAfter
	case !c.bodyFits(s, int(p.Total())):
		return verdict.ReasonOverload, overloadRetryAfter
	}
	ok, reason, after := c.admission.Admit(now, f.account, f.key.service, s.config.Priority)
	if !ok {
		return reason, after
	}
	return verdict.ReasonNone, 0
}

func (c *Core) bodyFits(s *service, size int) bool {
	limit := c.settings.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	return c.bodyBytes+size <= limit && s.bodyBytes+size <= limit/serviceBodyShare
}

func deadlineOf(p wire.Packet) time.Duration {
	d := time.Duration(p.DeadlineMillis()) * time.Millisecond
	if d == 0 {
		d = defaultDeadline
	}
	return min(d, maxDeadline)
}

// repeatedPart handles a part of a request that is under way.
func (c *Core) repeatedPart(now time.Duration, r *request, env wire.Envelope, p wire.Packet, out *Effects) {
	r.caller = env.Source
	if p.Total() != r.body.Size() {
		c.counters.BadPart++
		return
	}
	if r.state != stateAssembling {
		c.sendAccepted(r, out)
		return
	}
	c.takePart(now, r, p, out)
}

// takePart adds a part to the body and asks for a slot once it is whole.
func (c *Core) takePart(now time.Duration, r *request, p wire.Packet, out *Effects) {
	if !r.body.Add(p.Offset(), p.Total(), p.Payload()) {
		c.counters.BadPart++
	}
	c.sendAccepted(r, out)
	if r.body.Complete() {
		c.offer(now, r, out)
	}
}

func (c *Core) sendAccepted(r *request, out *Effects) {
	p := wire.New(wire.KindAccepted, 0)
	copy(p.Flow(), r.identifier[:])
	p.SetRequest(r.id)
	p.SetAux(r.body.Contiguous())
	p.SetFlags(c.callerFlags(r.flow))
	out.send(r.caller, p)
}

// offer asks placement for a slot.
func (c *Core) offer(now time.Duration, r *request, out *Effects) {
	r.state = stateWaiting
	r.attempt = attempt{}
	if len(r.tried) == 0 {
		r.service.retries.OnRequest(now)
	}
	c.nextTicket++
	r.ticket = c.nextTicket
	c.tickets[r.ticket] = r
	item := placement.Request{Ticket: r.ticket, Deadline: r.expires}
	if len(r.tried) > 0 {
		item.Exclude = r.tried[len(r.tried)-1]
	}
	c.decide(now, r.service, r.service.placer.Offer(now, item), out)
}

// apply carries out decisions of placement.
func (c *Core) apply(now time.Duration, s *service, decisions []placement.Decision, out *Effects) {
	for _, d := range decisions {
		c.decide(now, s, d, out)
	}
}

func (c *Core) decide(now time.Duration, s *service, d placement.Decision, out *Effects) {
	r := c.tickets[d.Ticket]
	switch {
	case r == nil || r.state != stateWaiting:
		if d.Action == placement.ActionStart {
			c.apply(now, s, s.placer.Finish(now, d.Ticket, d.Upstream, placement.OutcomeCancelled), out)
		}
	case d.Action == placement.ActionStart:
		c.start(now, r, d, out)
	case d.Action == placement.ActionRefuse:
		c.dropTicket(r)
		c.refuse(now, r, r.refusedVerdict(), d.Reason, d.RetryAfter, out)
	default:
		out.record(r.flow, r.id, "owner: request waits", "no free slot", d.Considered)
	}
}

// refusedVerdict returns the verdict of a request that no upstream has at present.
func (r *request) refusedVerdict() verdict.Verdict {
	if r.tainted {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func (c *Core) dropTicket(r *request) {
	delete(c.tickets, r.ticket)
	r.ticket = 0
}
