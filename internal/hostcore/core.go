// Package hostcore is the decision core of a host for everything that needs
// state: opening flows, owning requests, verdicts, retries and planned stops.
// Packets that need no state are routed by package forward.
//
// The core has no clock, socket or goroutine. Each call gets the time, as the
// duration since the start of the process, and appends effects, which the
// shell carries out. The same calls give the same effects.
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

// TickInterval is the time between two calls of Tick.
const TickInterval = 20 * time.Millisecond

// Settings are fixed for the life of a core.
type Settings struct {
	Self ids.Instance
	Name string
	Zone string
	// Seed feeds the random choices of placement.
	Seed uint64
	// HostRate is the number of requests a second that the host can own; zero is no limit.
	HostRate float64
	// MaxFlows bounds the flows whose state is kept; zero is a default.
	MaxFlows int
	// MaxBodyBytes bounds the memory for request bodies, in bytes; zero is a default.
	MaxBodyBytes int
}

// Send is a datagram that goes to a caller or an upstream as it is, or, with
// Relay set, to another host behind an envelope with Source.
type Send struct {
	To     netip.AddrPort
	Packet wire.Packet
	Relay  bool
	Relays uint8
	Source netip.AddrPort
}

// Record is one decision for the log.
type Record struct {
	// Event is the short sentence of the log line.
	Event    string
	Account  ids.AccountID
	Service  ids.ServiceID
	Upstream ids.UpstreamID
	Nonce    ids.Nonce
	Request  ids.RequestID
	// Why holds the rule that decided.
	Why string
	// Considered is the number of candidates that were compared.
	Considered int
}

// Effects is what the core wants done, in order.
type Effects struct {
	Sends   []Send
	Records []Record
	// Stopped tells that a planned stop has no work left.
	Stopped bool
}

// Reset empties the effects and keeps their memory.
func (e *Effects) Reset() {
	e.Sends = e.Sends[:0]
	e.Records = e.Records[:0]
	e.Stopped = false
}

// Core is the state of one host. It is not safe for concurrent use.
type Core struct {
	settings Settings
	self     ids.Instance
	// past holds the earlier incarnations of this process.
	past     []ids.Incarnation
	table    *table.Table
	services map[ids.ServiceID]*service
	// order holds the keys of services, sorted. Only services that this host has
	// work of have state.
	order []ids.ServiceID
	flows flowTable
	// requests holds the requests under way, the oldest first.
	requests     list.List[request]
	tickets      map[placement.Ticket]*request
	nextTicket   placement.Ticket
	incarnations map[ids.UpstreamID]uint64
	admission    *admission.Controller
	// scratch is the memory of each.
	scratch []*request
	// bodyBytes is the memory reserved for request bodies, in bytes.
	bodyBytes int
	stopping  bool
	lingerEnd time.Duration
	counters  Counters
}

// New returns a core without configuration: it refuses all work as not ready.
func New(s Settings) *Core {
	return &Core{
		settings:     s,
		self:         s.Self,
		services:     make(map[ids.ServiceID]*service),
		flows:        newFlowTable(s.MaxFlows),
		requests:     list.New(func(r *request) *list.Links[request] { return &r.underWay }),
		tickets:      make(map[placement.Ticket]*request),
		incarnations: make(map[ids.UpstreamID]uint64),
		admission:    admission.New(s.Seed, s.HostRate),
	}
}

// Packet handles a well-formed datagram that package forward hands to the core.
// The core does not keep p after the call.
func (c *Core) Packet(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
	if c.table == nil {
		c.refuseNotReady(env, p, out)
		return
	}
	switch p.Kind() {
	case wire.KindOpen:
		c.open(now, env, p, out)
	case wire.KindRenew:
		c.renew(now, env, p, out)
	case wire.KindClose:
		c.closeFlow(now, env, p, out)
	case wire.KindRequest:
		c.request(now, env, p, out)
	case wire.KindCancel:
		c.cancel(now, env, p, out)
	case wire.KindReceived, wire.KindShed, wire.KindDone, wire.KindAnswer:
		c.upstreamPacket(now, env, p, out)
	default:
		c.counters.WrongKind++
	}
}

// Report takes in what an upstream's load endpoint said.
func (c *Core) Report(now time.Duration, service ids.ServiceID, r placement.Report, out *Effects) {
	s := c.serviceFor(now, service)
	if s == nil {
		return
	}
	c.learnIncarnation(now, r.Upstream, r.Incarnation, out)
	c.apply(now, s, s.placer.Report(now, r), out)
}

// ObserveLag takes in how long a datagram waited inside the host. A host that
// falls behind admits less, bulk work first.
func (c *Core) ObserveLag(now, lag time.Duration) { c.admission.ObserveLag(now, lag) }

// Tick does what is due by time alone.
func (c *Core) Tick(now time.Duration, out *Effects) {
	for _, id := range c.order {
		s := c.services[id]
		c.apply(now, s, s.placer.Tick(now), out)
	}
	c.expire(now, out)
	c.resendDue(now, out)
	c.evictIdle(now)
	c.finishStop(now, out)
}
