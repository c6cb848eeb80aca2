// Package hostcore implements the stateful decisions of a host: opening and
// renewing flows, forwarding and retrying requests, execution verdicts and
// planned stops. Packets that need no state are routed by package forward.
//
// A flow is opened and renewed by its home, which package table chooses. Each renewal
// creates a new generation of the flow, unless the home already owns the flow. The
// host that opened or renewed a flow last is its owner: it keeps the state of the flow
// and handles its requests, also after the home has moved, until the flow is renewed.
// A request arrives in parts, each a range of its body in one datagram.
//
// The core has no clock, socket or goroutine. Each call gets the time as the
// duration since process start, and appends effects that the daemon carries
// out. It is deterministic: the same sequence of calls gives the same
// effects.
package hostcore

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/admission"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/list"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

// TickInterval is the interval at which Tick must be called.
const TickInterval = 20 * time.Millisecond

// Settings are the parameters of a core, fixed for its lifetime.
type Settings struct {
	Self ids.Instance
	Name string
	Zone string
	// Seed seeds the random choices of placement and the jitter of retry-after
	// delays.
	Seed uint64
	// HostRate is the number of requests per second that the host can handle; zero
	// means no limit.
	HostRate float64
	// MaxFlows bounds the number of flows in the flow table; zero selects the
	// default of 262144.
	MaxFlows int
	// MaxBodyBytes bounds the memory for request bodies, in bytes; zero selects the
	// default of 64 MiB.
	MaxBodyBytes int
}

// Send is a datagram to be sent. It goes to a caller or an upstream unchanged, or
// to another host in a relay envelope.
type Send struct {
	To     netip.AddrPort
	Packet wire.Packet
	// Relay is set if the datagram goes to another host. Relays and Source are
	// used only then.
	Relay bool
	// Relays is the number of hops between hosts, including this one.
	Relays uint8
	// Source is the address from which the first host received the datagram.
	Source netip.AddrPort
}

// Record is the log entry of one decision.
type Record struct {
	// Event is the message of the log entry.
	Event    string
	Account  ids.AccountID
	Service  ids.ServiceID
	Upstream ids.UpstreamID
	Nonce    ids.Nonce
	Request  ids.RequestID
	// Reason is the cause of the decision.
	Reason string
	// Considered is the number of candidate upstreams that were compared.
	Considered int
}

// Effects collects the actions that a call of the core asks for, in order.
type Effects struct {
	Sends   []Send
	Records []Record
	// Stopped is set once a planned stop has no work left.
	Stopped bool
}

// Reset empties the effects and keeps the allocated memory for reuse.
func (e *Effects) Reset() {
	e.Sends = e.Sends[:0]
	e.Records = e.Records[:0]
	e.Stopped = false
}

// Core holds the flow and request state of one host. It is not safe for concurrent
// use.
type Core struct {
	settings Settings
	self     ids.Instance
	// pastIncarnations lists the earlier incarnations of this process.
	pastIncarnations []ids.Incarnation
	table            *table.Table
	services         map[ids.ServiceID]*service
	// serviceOrder holds the keys of services in ascending order. Only services
	// used on this host have state.
	serviceOrder []ids.ServiceID
	flows        flowTable
	// requests holds the requests in flight, oldest first.
	requests list.List[request]
	// tickets maps each ticket that placement has not finished to its request.
	tickets    map[placement.Ticket]*request
	nextTicket placement.Ticket
	// incarnations holds the latest known incarnation of each upstream.
	incarnations map[ids.UpstreamID]uint64
	// unknownUpstreams holds upstreams of flows that the configuration does not have.
	unknownUpstreams unknownUpstreams
	admission        *admission.Controller
	// scratch is the buffer that forEachRequest reuses.
	scratch []*request
	// bodyBytes is the memory reserved for request bodies, in bytes.
	bodyBytes int
	stopping  bool
	// lingerEnd is the time at which a planned stop ends, unless requests are in
	// flight.
	lingerEnd time.Duration
	counters  Counters
}

// New returns a core without configuration. Until the first SetTable it refuses
// opens as not ready and drops all other datagrams.
func New(s Settings) *Core {
	return &Core{
		settings:         s,
		self:             s.Self,
		services:         make(map[ids.ServiceID]*service),
		flows:            newFlowTable(s.MaxFlows),
		requests:         list.New(func(r *request) *list.Links[request] { return &r.inFlightLinks }),
		tickets:          make(map[placement.Ticket]*request),
		incarnations:     make(map[ids.UpstreamID]uint64),
		unknownUpstreams: make(unknownUpstreams),
		admission:        admission.New(s.Seed, s.HostRate),
	}
}

// HandlePacket handles a well-formed datagram that package forward passes to the core.
// The core does not retain p after the call.
func (c *Core) HandlePacket(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
	if c.table == nil {
		c.refuseNotReady(env, p, out)
		return
	}
	switch p.Kind() {
	case wire.KindOpen:
		c.handleOpen(now, env, p, out)
	case wire.KindRenew:
		c.handleRenew(now, env, p, out)
	case wire.KindClose:
		c.handleClose(now, env, p, out)
	case wire.KindRequest:
		c.handleRequest(now, env, p, out)
	case wire.KindCancel:
		c.handleCancel(now, env, p, out)
	case wire.KindReceived, wire.KindShed, wire.KindDone, wire.KindAnswer:
		c.handleUpstreamPacket(now, env, p, out)
	default:
		c.counters.WrongKind++
	}
}

// HandleReport handles a load report of an upstream of the service.
func (c *Core) HandleReport(now time.Duration, service ids.ServiceID, r placement.Report, out *Effects) {
	s := c.serviceFor(now, service)
	if s == nil {
		return
	}
	c.updateIncarnation(now, r.Upstream, r.Incarnation, out)
	c.applyDecisions(now, s, s.placer.HandleReport(now, r), out)
}

// ObserveLag records how long a datagram was queued inside the host. A host that
// falls behind admits fewer requests, and sheds bulk requests first.
func (c *Core) ObserveLag(now, lag time.Duration) { c.admission.ObserveLag(now, lag) }

// Tick handles everything due at the given time: queueing decisions, deadlines,
// retransmissions, eviction of idle flows and the end of a planned stop.
func (c *Core) Tick(now time.Duration, out *Effects) {
	for _, id := range c.serviceOrder {
		s := c.services[id]
		c.applyDecisions(now, s, s.placer.Tick(now), out)
	}
	c.expire(now, out)
	c.resendDue(now, out)
	c.evictIdle(now)
	c.finishStop(now, out)
}
