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
	// defaultDeadline is the deadline of a request that sets none.
	defaultDeadline = 30 * time.Second
	// maxDeadline bounds the deadline of a request. It is well below
	// flowIdleTime.
	maxDeadline = 5 * time.Minute
	// maxInFlightPerFlow bounds the requests in flight of one flow.
	maxInFlightPerFlow = windowSize / 2
	// defaultMaxBodyBytes is the default memory limit for request bodies of a host,
	// in bytes.
	defaultMaxBodyBytes = 64 << 20
	// serviceBodyDivisor divides the memory limit of the host to give that of one
	// service.
	serviceBodyDivisor = 4
	// overloadRetryAfter is the retry-after delay of a request refused for lack of
	// body memory, by the in-flight limit of its flow, or because no further attempt
	// is allowed.
	overloadRetryAfter = 200 * time.Millisecond
)

// requestState is the state of a request at its owner.
type requestState uint8

const (
	// stateAssembling means that parts of the body are missing.
	stateAssembling requestState = iota
	// stateWaiting means that the request waits for a slot.
	stateWaiting
	// stateAwaitingIncarnation means that the request has a slot on an upstream
	// whose incarnation is not yet known.
	stateAwaitingIncarnation
	// stateForwarded means that the request may have reached an upstream.
	stateForwarded
	// stateEnded means that the request has a verdict and is no longer in flight.
	stateEnded
)

// request is a request in flight.
type request struct {
	id      ids.RequestID
	flow    *flow
	service *service
	state   requestState
	// identifier is the sealed flow identifier as sent by the caller.
	identifier [wire.FlowSize]byte
	caller     netip.AddrPort
	idempotent bool
	// expiresAt is the deadline of the request or, once cancelled at the upstream,
	// of the cancellation.
	expiresAt time.Duration
	body      *reassembly.Body
	ticket    placement.Ticket
	attempt   attempt
	// tried lists the upstreams of earlier attempts.
	tried []ids.UpstreamID
	// mayHaveRun is set once an earlier attempt may have run.
	mayHaveRun bool

	nextInFlow *request
	// inFlightLinks links the request in Core.requests.
	inFlightLinks list.Links[request]
}

// forEachRequest calls visit for each request in flight, oldest first. The visit
// function may end any request; ended requests are skipped.
func (c *Core) forEachRequest(visit func(r *request)) {
	all := c.scratch[:0]
	c.scratch = nil
	for r := c.requests.First(); r != nil; r = r.inFlightLinks.Next() {
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

// find returns the in-flight request with the given id, or nil.
func (f *flow) find(id ids.RequestID) *request {
	for r := f.inFlight; r != nil; r = r.nextInFlow {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (f *flow) unlink(r *request) {
	for at := &f.inFlight; *at != nil; at = &(*at).nextInFlow {
		if *at == r {
			*at = r.nextInFlow
			return
		}
	}
}

// inFlightRequests returns the requests in flight of the flow.
func (f *flow) inFlightRequests() []*request {
	var all []*request
	for r := f.inFlight; r != nil; r = r.nextInFlow {
		all = append(all, r)
	}
	return all
}

func (f *flow) inFlightCount() int {
	n := 0
	for r := f.inFlight; r != nil; r = r.nextInFlow {
		n++
	}
	return n
}

// handleRequest handles one part of a request, which may be a retransmission.
func (c *Core) handleRequest(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
	f, ok := c.ownedFlow(now, env, p, out)
	if !ok {
		return
	}
	id := p.Request()
	if r := f.find(id); r != nil {
		c.handleLaterPart(now, r, env, p, out)
		return
	}
	switch f.status(id) {
	case idForgotten:
		c.reply(env, p, f, verdict.MayHaveRun, verdict.ReasonForgotten, 0, out)
	case idSeen:
		v, reason := f.verdict(id)
		c.reply(env, p, f, v, reason, 0, out)
	default:
		c.handleFirstPart(now, f, env, p, out)
	}
}

// ownedFlow returns the flow of a request or cancel if this host owns it.
// Otherwise it relays, refuses or drops the datagram, and reports false.
func (c *Core) ownedFlow(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) (*flow, bool) {
	id, owner := c.openIdentifier(p)
	switch owner.state {
	case ownerOther:
		c.relay(owner.member.Data, env, p, out)
		return nil, false
	case ownerGone:
		c.relayToLaterIncarnation(owner.member, env, p, out)
		return nil, false
	case ownerDead:
		c.replyWithoutFlow(env, p, verdict.MayHaveRun, verdict.ReasonOwnerUnreachable, out)
		return nil, false
	case ownerUnknown:
		// The view of this host may be outdated, and a retransmission may reach a host
		// that knows the owner. So the first copy is not answered.
		if p.Has(wire.FlagRetransmit) {
			c.replyOwnerGone(env, p, out)
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

// relayToLaterIncarnation relays a datagram for an earlier incarnation to the
// current incarnation on the same host. After a pause without a restart, that one
// still has the state of the flow and knows which requests it never forwarded. If
// it can't be reached, the request is refused with ReasonOwnerGone.
func (c *Core) relayToLaterIncarnation(m *member.Member, env wire.Envelope, p wire.Packet, out *Effects) {
	if m == nil || m.State == member.StateDead || env.Relays >= wire.MaxRelays {
		c.replyOwnerGone(env, p, out)
		return
	}
	c.relay(m.Data, env, p, out)
}

// handleFirstPart handles the first part received of a request id, and admits or
// refuses the request.
func (c *Core) handleFirstPart(now time.Duration, f *flow, env wire.Envelope, p wire.Packet, out *Effects) {
	f.markSeen(p.Request())
	c.flows.touch(now, f)
	if reason, after := c.refusalReason(now, f, p); reason != verdict.ReasonNone {
		f.setVerdict(p.Request(), verdict.NotRun, reason)
		out.record(f, p.Request(), "owner: request refused", reason.String(), 0)
		c.reply(env, p, f, verdict.NotRun, reason, after, out)
		return
	}
	s := c.services[f.key.service]
	body, _ := reassembly.New(p.Total(), s.config.MaxBody) // refusalReason has checked the size
	r := &request{
		id:         p.Request(),
		flow:       f,
		service:    s,
		caller:     env.Source,
		idempotent: p.Has(wire.FlagIdempotent),
		expiresAt:  now + deadlineOf(p),
		body:       body,
	}
	copy(r.identifier[:], p.Flow())
	c.bodyBytes += int(body.Size())
	s.bodyBytes += int(body.Size())
	r.nextInFlow, f.inFlight = f.inFlight, r
	c.requests.Push(r)
	s.requests++
	c.addPart(now, r, p, out)
}

// refusalReason returns why a new request has to be refused, with its retry-after
// delay, or ReasonNone.
func (c *Core) refusalReason(now time.Duration, f *flow, p wire.Packet) (verdict.Reason, time.Duration) {
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
	case f.inFlightCount() >= maxInFlightPerFlow:
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
	return c.bodyBytes+size <= limit && s.bodyBytes+size <= limit/serviceBodyDivisor
}

func deadlineOf(p wire.Packet) time.Duration {
	d := time.Duration(p.DeadlineMillis()) * time.Millisecond
	if d == 0 {
		d = defaultDeadline
	}
	return min(d, maxDeadline)
}

// handleLaterPart handles a further or retransmitted part of a request in flight.
func (c *Core) handleLaterPart(now time.Duration, r *request, env wire.Envelope, p wire.Packet, out *Effects) {
	r.caller = env.Source
	if p.Total() != r.body.Size() {
		c.counters.BadPart++
		return
	}
	if r.state != stateAssembling {
		c.sendAccepted(r, out)
		return
	}
	c.addPart(now, r, p, out)
}

// addPart adds a part to the body, acknowledges it and, once the body is complete,
// offers the request to placement.
func (c *Core) addPart(now time.Duration, r *request, p wire.Packet, out *Effects) {
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

// offer asks placement for a slot for a new attempt.
func (c *Core) offer(now time.Duration, r *request, out *Effects) {
	r.state = stateWaiting
	r.attempt = attempt{}
	if len(r.tried) == 0 {
		r.service.retries.OnRequest(now)
	}
	c.nextTicket++
	r.ticket = c.nextTicket
	c.tickets[r.ticket] = r
	offered := placement.Request{Ticket: r.ticket, Deadline: r.expiresAt}
	if len(r.tried) > 0 {
		offered.Exclude = r.tried[len(r.tried)-1]
	}
	c.applyDecision(now, r.service, r.service.placer.Offer(now, offered), out)
}

// applyDecisions applies decisions of placement, in order.
func (c *Core) applyDecisions(now time.Duration, s *service, decisions []placement.Decision, out *Effects) {
	for _, d := range decisions {
		c.applyDecision(now, s, d, out)
	}
}

func (c *Core) applyDecision(now time.Duration, s *service, d placement.Decision, out *Effects) {
	r := c.tickets[d.Ticket]
	switch {
	case r == nil || r.state != stateWaiting:
		if d.Action == placement.ActionStart {
			c.applyDecisions(now, s, s.placer.Finish(now, d.Ticket, d.Upstream, placement.OutcomeCancelled), out)
		}
	case d.Action == placement.ActionStart:
		c.startAttempt(now, r, d, out)
	case d.Action == placement.ActionRefuse:
		c.dropTicket(r)
		c.refuse(now, r, r.refusedVerdict(), d.Reason, d.RetryAfter, out)
	default:
		out.record(r.flow, r.id, "owner: request waits", "no free slot", d.Considered)
	}
}

// refusedVerdict returns the verdict for refusing a request that is not currently
// at an upstream.
func (r *request) refusedVerdict() verdict.Verdict {
	if r.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func (c *Core) dropTicket(r *request) {
	delete(c.tickets, r.ticket)
	r.ticket = 0
}
