// Package upstream is the stand-in of a client account's back end, without a
// clock or socket. It keeps to docs/PROTOCOL.md: slots, a connection limit,
// draining, a cold start, shedding, cancellation, deadlines, streams, and
// answers that are repeated until they are acknowledged. It records each run of
// a request, so that a second run shows, and has faults that are switched on.
package upstream

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/wire"
)

// Times of the protocol and of the stand-in.
const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 20 * time.Millisecond
	// RepeatWindow is how long a begun request is remembered.
	RepeatWindow = 30 * time.Second
	// answerResend is the time after which unacknowledged parts are sent again.
	answerResend = 200 * time.Millisecond
	// flowTimeout is the time without a datagram of the caller after which a flow is dropped.
	flowTimeout = 60 * time.Second
)

// Settings are fixed for the life of a stand-in.
type Settings struct {
	Account     ids.AccountID
	Service     ids.ServiceID
	ID          ids.UpstreamID
	Incarnation uint64
	Slots       int
	Connections int
	// Fabric is where datagrams for callers and owners go.
	Fabric netip.AddrPort
	// ServiceTime is the time that a request takes, without jitter.
	ServiceTime time.Duration
	// ColdStart is the time after the start in which requests take ColdFactor times as long.
	ColdStart  time.Duration
	ColdFactor int
	// AnswerSize is the size of an answer, in bytes, at least AnswerHeaderSize.
	AnswerSize int
	// FeedInterval is the time between two stream messages; zero is no feed.
	FeedInterval time.Duration
	Seed         uint64
}

// Misreport says how the load endpoint misleads.
type Misreport uint8

// The ways a load endpoint can mislead.
const (
	ReportTrue Misreport = iota
	// ReportIdle says idle whatever runs.
	ReportIdle
	// ReportFrozen repeats the report of the time of the switch.
	ReportFrozen
)

// Faults are switched while the stand-in runs.
type Faults struct {
	// RunTwice runs each request a second time.
	RunTwice bool
	// LoseAnswers drops all answers; the requests run.
	LoseAnswers bool
	// ShedAll refuses all requests.
	ShedAll bool
	// Silent drops all datagrams.
	Silent bool
	Report Misreport
}

// Key names a request of a caller.
type Key struct {
	Account ids.AccountID
	Service ids.ServiceID
	Nonce   ids.Nonce
	Request ids.RequestID
}

// Run is the record of one execution of a request.
type Run struct {
	Key
	Upstream    ids.UpstreamID
	Incarnation uint64
	At          time.Duration
	Idempotent  bool
	BodySize    int
	// BodySum is the hash of the body.
	BodySum uint64
	// Finished is false if the run was cancelled or is under way.
	Finished bool
}

// Counters are totals since the start.
type Counters struct {
	// ForeignService counts datagrams of another service, ForeignAccount those of another client account.
	ForeignService, ForeignAccount int
	Shed, Cancelled, FlowsLost     int
	// Repeats counts second copies of a request that was already begun.
	Repeats int
}

// Send is a datagram to the fabric.
type Send struct {
	To     netip.AddrPort
	Packet wire.Packet
}

// Effects is what the stand-in wants sent, in order.
type Effects struct {
	Sends []Send
}

// Reset empties the effects and keeps their memory.
func (e *Effects) Reset() { e.Sends = e.Sends[:0] }

// Core is one upstream. It is not safe for concurrent use.
type Core struct {
	settings Settings
	faults   Faults
	random   *rand.Rand
	started  time.Duration
	flows    map[flowKey]*flow
	// order keeps the flows in the order of their start, so that effects don't
	// depend on the order of a map.
	order    []*flow
	jobs     map[Key]*job
	jobOrder []*job
	running  int
	runs     []Run
	counters Counters
	frozen   Load
}

// New returns an upstream that starts at the given time.
func New(now time.Duration, s Settings) *Core {
	s.AnswerSize = max(s.AnswerSize, AnswerHeaderSize)
	return &Core{
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, uint64(s.ID))),
		started:  now,
		flows:    make(map[flowKey]*flow),
		jobs:     make(map[Key]*job),
	}
}

// SetFaults switches faults.
func (c *Core) SetFaults(f Faults) {
	c.frozen = c.trueLoad()
	c.faults = f
}

// SetServiceTime changes the time that requests take from now on.
func (c *Core) SetServiceTime(d time.Duration) { c.settings.ServiceTime = d }

// Faults returns the faults that are switched on.
func (c *Core) Faults() Faults { return c.faults }

// Runs returns the record of all executions, in the order of their start.
func (c *Core) Runs() []Run { return c.runs }

// Counters returns the totals since the start.
func (c *Core) Counters() Counters { return c.counters }

// Flows returns the number of open flows.
func (c *Core) Flows() int { return len(c.order) }

// Load is the answer of the load endpoint.
type Load struct {
	Healthy     bool   `json:"healthy"`
	Running     int    `json:"running"`
	Connections int    `json:"connections"`
	Incarnation uint64 `json:"incarnation"`
}

// Load returns what the load endpoint says, which faults can make untrue.
func (c *Core) Load() Load {
	switch c.faults.Report {
	case ReportIdle:
		return Load{Healthy: true, Incarnation: c.settings.Incarnation}
	case ReportFrozen:
		return c.frozen
	default:
		return c.trueLoad()
	}
}

func (c *Core) trueLoad() Load {
	return Load{
		Healthy:     true,
		Running:     c.running,
		Connections: len(c.order),
		Incarnation: c.settings.Incarnation,
	}
}

// HandlePacket takes in a datagram from a host that passed wire.Check. The core does
// not keep p.
func (c *Core) HandlePacket(now time.Duration, p wire.Packet, out *Effects) {
	if c.faults.Silent || !c.own(p) {
		return
	}
	switch p.Kind() {
	case wire.KindForward:
		c.onForward(now, p, out)
	case wire.KindForwardCancel:
		c.onCancel(now, p, out)
	case wire.KindAck:
		c.onAck(now, p, out)
	case wire.KindStream:
		c.onStream(now, p, out)
	case wire.KindClose:
		c.dropFlow(keyOfFlow(p))
	}
}

// own counts and refuses datagrams that belong to another service.
func (c *Core) own(p wire.Packet) bool {
	f := flowid.ParseUnverified(p.Flow())
	if f.Account != c.settings.Account {
		c.counters.ForeignAccount++
		return false
	}
	if f.Service != c.settings.Service {
		c.counters.ForeignService++
		return false
	}
	return true
}

// Tick does what is due by time alone.
func (c *Core) Tick(now time.Duration, out *Effects) {
	if c.faults.Silent {
		return
	}
	c.tickJobs(now, out)
	c.tickFlows(now, out)
}

// reply returns a packet that answers p: same flow, request and route.
func (c *Core) reply(kind wire.Kind, p wire.Packet, payload int) wire.Packet {
	r := wire.New(kind, payload)
	copy(r.Flow(), p.Flow())
	copy(r.Route(), p.Route())
	r.SetRequest(p.Request())
	c.stamp(r)
	return r
}

// stamp writes what each datagram of an upstream carries.
func (c *Core) stamp(p wire.Packet) {
	load := c.Load()
	p.SetLoad(uint16(load.Running), uint16(load.Connections))
	p.SetUpstreamIncarnation(c.settings.Incarnation)
	p.SetPlacedUpstream(c.settings.ID)
}

func (c *Core) send(p wire.Packet, out *Effects) {
	out.Sends = append(out.Sends, Send{To: c.settings.Fabric, Packet: p})
}

// Add adds the totals of another upstream.
func (c *Counters) Add(other Counters) {
	c.ForeignService += other.ForeignService
	c.ForeignAccount += other.ForeignAccount
	c.Shed += other.Shed
	c.Cancelled += other.Cancelled
	c.FlowsLost += other.FlowsLost
	c.Repeats += other.Repeats
}
