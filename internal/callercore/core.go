// Package callercore implements the caller's side of the data path as a
// deterministic state machine without clock or sockets. It opens a flow, renews its
// identifier to change or confirm its owner, replaces it if its upstream drains or
// fails, sends requests and reports for each of them whether it ran.
//
// A flow associates the caller's session with a service and, for the stream, with
// one upstream. Its owner is the host that opened or last renewed it and handles its
// requests.
//
// Each call takes the current time, as the duration since an arbitrary fixed
// start, and appends effects that the surrounding code has to carry out. Equal
// sequences of calls give equal effects. Package client adds clock and socket.
package callercore

import (
	"math/rand/v2"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// Default intervals and timeouts of a session.
const (
	// DefaultResendInterval is the time after which an unanswered datagram is
	// retransmitted.
	DefaultResendInterval = 150 * time.Millisecond
	// DefaultPollInterval is the time between two status polls for a request that
	// the owner has received completely.
	DefaultPollInterval = 500 * time.Millisecond
	// DefaultKeepAliveInterval is the time between two keep-alives of a stream.
	DefaultKeepAliveInterval = time.Second
	// DefaultStreamTimeout is the time without a datagram after which a stream is
	// reopened on another flow.
	DefaultStreamTimeout = 5 * time.Second
	// DefaultIdleTimeout is the time without a datagram after which a flow is
	// confirmed or renewed before its next request.
	DefaultIdleTimeout = 2 * time.Second
	// DefaultVerdictGrace is the time after a deadline during which the session
	// still waits for the owner's verdict.
	DefaultVerdictGrace = 400 * time.Millisecond
)

// TickInterval is the interval at which Tick is to be called.
const TickInterval = 20 * time.Millisecond

// sendWindow is the maximum number of parts of a request that are in flight, not
// yet acknowledged by the owner.
const sendWindow = 32

// Settings configure a session. They do not change while the session is open.
type Settings struct {
	Account ids.AccountID
	Service ids.ServiceID
	// Seed seeds the generator of flow nonces.
	Seed uint64
	// Subscribe is the payload of the message that starts the stream; nil means no
	// stream.
	Subscribe []byte

	// Zero values are replaced by the defaults above.
	ResendInterval, PollInterval, KeepAliveInterval, StreamTimeout, IdleTimeout, VerdictGrace time.Duration
}

func (s *Settings) setDefaults() {
	setDefault(&s.ResendInterval, DefaultResendInterval)
	setDefault(&s.PollInterval, DefaultPollInterval)
	setDefault(&s.KeepAliveInterval, DefaultKeepAliveInterval)
	setDefault(&s.StreamTimeout, DefaultStreamTimeout)
	setDefault(&s.IdleTimeout, DefaultIdleTimeout)
	setDefault(&s.VerdictGrace, DefaultVerdictGrace)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Handle identifies a request within a session.
type Handle uint64

// Request is a request of the caller to an upstream.
type Request struct {
	Body []byte
	// Idempotent allows the request to run more than once.
	Idempotent bool
	// Timeout is the time from the call of Core.Request to the deadline.
	Timeout time.Duration
}

// Result is the outcome of a request. Each handle gets exactly one.
type Result struct {
	Handle     Handle
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	RetryAfter time.Duration
	// Answer is set if the verdict is Ran.
	Answer []byte
	// Nonce and Request identify the request on the wire. Both are zero if it was not
	// sent, or was waiting to be reissued.
	Nonce   ids.Nonce
	Request ids.RequestID
}

// Push is a stream message from the upstream. After a move to another flow a
// message may be delivered twice, with another nonce and sequence number; only its
// payload can tell its position in the stream.
type Push struct {
	Nonce    ids.Nonce
	Sequence uint64
	Payload  []byte
}

// EventKind is the kind of a change of the session's flow.
type EventKind uint8

// The kinds of events.
const (
	// EventOpened reports that the first flow of the session is open.
	EventOpened EventKind = iota
	// EventRenewed reports that the flow has a new owner.
	EventRenewed
	// EventMoved reports that another flow replaced one whose upstream is draining.
	EventMoved
	// EventBroken reports that the flow was lost and another one replaces it.
	EventBroken
	// EventRefused reports that an open or a renewal was refused; it is retried after
	// the retry-after delay.
	EventRefused
)

// String returns the name of the event for transcripts.
func (k EventKind) String() string {
	switch k {
	case EventOpened:
		return "opened"
	case EventRenewed:
		return "renewed"
	case EventMoved:
		return "moved"
	case EventBroken:
		return "broken"
	case EventRefused:
		return "refused"
	default:
		return "invalid"
	}
}

// Event is a change of the flow of a session.
type Event struct {
	Kind     EventKind
	Nonce    ids.Nonce
	Upstream ids.UpstreamID
	Owner    ids.Instance
	Reason   verdict.Reason
}

// Effects holds the output of the core, each list in order. The packets are to be
// sent to the fabric.
type Effects struct {
	Sends   []wire.Packet
	Results []Result
	Pushes  []Push
	Events  []Event
}

// Reset empties the lists and keeps their capacity.
func (e *Effects) Reset() {
	e.Sends = e.Sends[:0]
	e.Results = e.Results[:0]
	e.Pushes = e.Pushes[:0]
	e.Events = e.Events[:0]
}

// Core is the state of one session of a caller. It is not safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	// current is the flow in use; next is the flow that is being opened to replace it.
	current *flow
	next    *flow
	// old holds replaced flows that still have unfinished requests.
	old        []*flow
	requests   []*request
	nextHandle Handle
	opened     bool
	closed     bool
}

// New returns a session without a flow.
func New(s Settings) *Core {
	s.setDefaults()
	return &Core{settings: s, random: rand.New(rand.NewPCG(s.Seed, uint64(s.Service)))}
}

// Start opens the first flow.
func (c *Core) Start(now time.Duration, out *Effects) {
	if c.current == nil {
		c.current = c.newFlow()
		c.sendOpen(now, c.current, out)
	}
}

// Close closes all flows. Requests in flight get their results at once.
func (c *Core) Close(now time.Duration, out *Effects) {
	c.closed = true
	for _, r := range c.requests {
		c.finishWithoutAnswer(r, r.unresolvedVerdict(), verdict.ReasonClosed, out)
	}
	c.requests = nil
	for _, f := range c.flows() {
		c.sendClose(f, out)
	}
	c.current, c.next, c.old = nil, nil, nil
}

// HandlePacket handles a received datagram, which must have passed wire.Check. The core
// does not retain p.
func (c *Core) HandlePacket(now time.Duration, p wire.Packet, out *Effects) {
	f := c.flowOf(p)
	if f == nil || c.closed {
		return
	}
	f.lastReceived = now
	switch p.Kind() {
	case wire.KindOpened:
		c.onOpened(now, f, p, out)
	case wire.KindRefused:
		c.onRefused(now, f, p, out)
	case wire.KindAccepted:
		c.onAccepted(now, f, p, out)
	case wire.KindAnswer:
		c.onAnswer(now, f, p, out)
	case wire.KindPush:
		c.onPush(now, f, p, out)
	case wire.KindFlowLost:
		c.onFlowLost(now, f, out)
	}
	c.onFlags(now, f, p, out)
}

// Tick performs the retransmissions, keep-alives and timeouts that are due.
func (c *Core) Tick(now time.Duration, out *Effects) {
	if c.closed {
		return
	}
	for _, f := range c.flows() {
		c.tickFlow(now, f, out)
	}
	c.tickRequests(now, out)
	c.closeFinishedFlows(out)
}

// Flow returns the nonce and the upstream of the flow in use. It reports false if
// that flow is not open.
func (c *Core) Flow() (ids.Nonce, ids.UpstreamID, bool) {
	if c.current == nil || !c.current.open {
		return 0, 0, false
	}
	return c.current.nonce, c.current.fields.Upstream, true
}
