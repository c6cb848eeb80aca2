// Package upstream implements a stand-in for an upstream of a client account as a
// state machine without clock or sockets. It follows docs/PROTOCOL.md: slots, a
// connection limit, a cold start, load shedding, cancellation, deadlines, streams,
// and answers that are retransmitted until they are acknowledged. It records each
// run of a request, so that tests can detect double runs, and has faults that can
// be injected. Package upstreamproc runs it on sockets.
package upstream

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/wire"
)

// Protocol and stand-in timings.
const (
	// TickInterval is the interval between calls of Tick.
	TickInterval = 20 * time.Millisecond
	// DedupWindow is how long a request is kept to detect duplicates.
	DedupWindow = 30 * time.Second
	// answerResendInterval is the retransmission interval of unacknowledged answer parts.
	answerResendInterval = 200 * time.Millisecond
	// flowTimeout is the time without a datagram from the caller after which a flow is dropped.
	flowTimeout = 60 * time.Second
)

// Settings configure a Core.
type Settings struct {
	Account     ids.AccountID
	Service     ids.ServiceID
	ID          ids.UpstreamID
	Incarnation uint64
	// Slots limits the running requests, Connections the open flows.
	Slots       int
	Connections int
	// Fabric is the destination of all datagrams to callers and hosts.
	Fabric netip.AddrPort
	// ServiceTime is the mean duration of a request; it varies by up to 50 % in both directions.
	ServiceTime time.Duration
	// ColdStart is the time after the start during which requests take ColdFactor times as long.
	ColdStart  time.Duration
	ColdFactor int
	// AnswerSize is the size of an answer, in bytes; the minimum is AnswerHeaderSize.
	AnswerSize int
	// FeedInterval is the time between two stream messages; zero disables the feed.
	FeedInterval time.Duration
	Seed         uint64
}

// Misreport selects an incorrect load report.
type Misreport uint8

// Values of Misreport.
const (
	// ReportTrue reports the actual load.
	ReportTrue Misreport = iota
	// ReportIdle always reports an idle upstream.
	ReportIdle
	// ReportFrozen repeats the load at the time of SetFaults.
	ReportFrozen
)

// Faults are the injected faults.
type Faults struct {
	// RunTwice runs each request a second time.
	RunTwice bool
	// LoseAnswers drops all answers, though the requests run.
	LoseAnswers bool
	// ShedAll refuses all requests.
	ShedAll bool
	// Silent drops all received datagrams and sends none.
	Silent bool
	Report Misreport
}

// Key identifies a request of a caller.
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
	// At is the time at which the run started, on the clock that is passed to the core.
	At         time.Duration
	Idempotent bool
	BodySize   int
	// BodySum is the hash of the body.
	BodySum uint64
	// Finished is false if the run was cancelled or is still in progress.
	Finished bool
}

// Counters are totals since the start.
type Counters struct {
	// ForeignService counts datagrams for another service, ForeignAccount those for another client account.
	ForeignService, ForeignAccount int
	// Shed counts refusals sent, Cancelled running requests that were cancelled, and
	// FlowsLost packets sent for unknown flows or because of the connection limit.
	Shed, Cancelled, FlowsLost int
	// Repeats counts parts of requests that had already started or been refused.
	Repeats int
}

// Send is a datagram to the fabric.
type Send struct {
	To     netip.AddrPort
	Packet wire.Packet
}

// Effects collects the datagrams to send, in order.
type Effects struct {
	Sends []Send
}

// Reset empties the effects and keeps the allocated memory.
func (e *Effects) Reset() { e.Sends = e.Sends[:0] }

// Core is the state machine of one upstream. It is not safe for concurrent use.
type Core struct {
	settings Settings
	faults   Faults
	random   *rand.Rand
	started  time.Duration
	flows    map[flowKey]*flow
	// flowOrder holds the flows in the order of their creation, so that effects
	// don't depend on the map's iteration order.
	flowOrder  []*flow
	jobs       map[Key]*job
	jobOrder   []*job
	running    int
	runs       []Run
	counters   Counters
	frozenLoad Load
}

// New returns an upstream. Its cold start begins now.
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

// SetFaults replaces the injected faults.
func (c *Core) SetFaults(f Faults) {
	c.frozenLoad = c.actualLoad()
	c.faults = f
}

// SetServiceTime sets the service time of requests that start from now on.
func (c *Core) SetServiceTime(d time.Duration) { c.settings.ServiceTime = d }

// Faults returns the injected faults.
func (c *Core) Faults() Faults { return c.faults }

// Runs returns the records of all runs, in the order of their start.
func (c *Core) Runs() []Run { return c.runs }

// Counters returns the totals since the start.
func (c *Core) Counters() Counters { return c.counters }

// Flows returns the number of open flows.
func (c *Core) Flows() int { return len(c.flowOrder) }

// Load is the response of the load endpoint.
type Load struct {
	Healthy     bool   `json:"healthy"`
	Running     int    `json:"running"`
	Connections int    `json:"connections"`
	Incarnation uint64 `json:"incarnation"`
}

// Load returns the reported load, which Faults.Report can make incorrect.
func (c *Core) Load() Load {
	switch c.faults.Report {
	case ReportIdle:
		return Load{Healthy: true, Incarnation: c.settings.Incarnation}
	case ReportFrozen:
		return c.frozenLoad
	default:
		return c.actualLoad()
	}
}

func (c *Core) actualLoad() Load {
	return Load{
		Healthy:     true,
		Running:     c.running,
		Connections: len(c.flowOrder),
		Incarnation: c.settings.Incarnation,
	}
}

// HandlePacket handles a datagram from a host. The datagram must have passed
// wire.Check. The core does not retain p.
func (c *Core) HandlePacket(now time.Duration, p wire.Packet, out *Effects) {
	if c.faults.Silent || !c.accepts(p) {
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
		c.dropFlow(flowKeyOf(p))
	}
}

// accepts reports whether a datagram is for this service. Others are counted.
func (c *Core) accepts(p wire.Packet) bool {
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

// Tick completes requests, retransmits, and sends feed messages that are due.
func (c *Core) Tick(now time.Duration, out *Effects) {
	if c.faults.Silent {
		return
	}
	c.tickJobs(now, out)
	c.tickFlows(now, out)
}

// newReply returns a packet with the flow, request id and route of p.
func (c *Core) newReply(kind wire.Kind, p wire.Packet, payload int) wire.Packet {
	r := wire.New(kind, payload)
	copy(r.Flow(), p.Flow())
	copy(r.Route(), p.Route())
	r.SetRequest(p.Request())
	c.setCommonFields(r)
	return r
}

// setCommonFields sets the load, incarnation and upstream id, which each
// datagram of an upstream carries.
func (c *Core) setCommonFields(p wire.Packet) {
	load := c.Load()
	p.SetLoad(uint16(load.Running), uint16(load.Connections))
	p.SetUpstreamIncarnation(c.settings.Incarnation)
	p.SetPlacedUpstream(c.settings.ID)
}

func (c *Core) send(p wire.Packet, out *Effects) {
	out.Sends = append(out.Sends, Send{To: c.settings.Fabric, Packet: p})
}

// Add adds the counters of another upstream.
func (c *Counters) Add(other Counters) {
	c.ForeignService += other.ForeignService
	c.ForeignAccount += other.ForeignAccount
	c.Shed += other.Shed
	c.Cancelled += other.Cancelled
	c.FlowsLost += other.FlowsLost
	c.Repeats += other.Repeats
}
