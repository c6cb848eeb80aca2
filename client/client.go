// Package client is the library for callers of mimosashore. A Session is a
// connection to one service of a client account. It keeps a flow, its association
// with the service and with the upstream of its stream, open across planned changes
// of hosts, keys and upstreams, sends requests and reports for each of them whether
// it ran.
//
// A request that is not idempotent is reissued only if it is certain that it did
// not run. Its Outcome has one of three verdicts: the request ran and the answer
// is complete, it did not run, or it may have run.
package client

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/callercore"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Verdict says whether a request ran, did not run or may have run.
type Verdict = verdict.Verdict

// The verdicts of a request.
const (
	// NotRun means that no copy of the request ran and none can still run.
	NotRun = verdict.NotRun
	// Ran means that the request ran and that its complete answer was received.
	Ran = verdict.Ran
	// MayHaveRun means that the request may have run or may still run.
	MayHaveRun = verdict.MayHaveRun
)

// Reason is the cause of a request ending without an answer.
type Reason = verdict.Reason

// Request is a request to the service.
type Request struct {
	// Body is passed to the upstream unchanged.
	Body []byte
	// Idempotent allows the request to run more than once.
	Idempotent bool
	// Timeout is the time from the start of the request to its deadline.
	Timeout time.Duration
}

// Outcome is the result of a request.
type Outcome struct {
	Verdict Verdict
	// Reason is the cause if the verdict is not Ran.
	Reason Reason
	// RetryAfter is the time to wait before the request is retried.
	RetryAfter time.Duration
	// Answer is set if the verdict is Ran.
	Answer []byte
	// Nonce and RequestID identify the request at the upstream. Both are zero if it
	// was not sent, or was waiting to be reissued.
	Nonce     uint64
	RequestID uint64
}

// Push is a message that the upstream sends on the session's stream. Messages are
// delivered in order within a flow. After a move to another flow a message may be
// delivered twice.
type Push struct {
	// Nonce identifies the flow.
	Nonce uint64
	// Sequence is the number of the message within the flow, starting at one.
	Sequence uint64
	Payload  []byte
}

// Event is a change of the session's flow.
type Event = callercore.Event

// The kinds of events.
const (
	// EventOpened reports that the first flow of the session is open.
	EventOpened = callercore.EventOpened
	// EventRenewed reports that the flow has a new owner, the host that handles its
	// requests.
	EventRenewed = callercore.EventRenewed
	// EventMoved reports that another flow replaced one whose upstream is draining.
	EventMoved = callercore.EventMoved
	// EventBroken reports that the flow was lost and another one replaces it.
	EventBroken = callercore.EventBroken
	// EventRefused reports that an open or a renewal was refused; it is retried.
	EventRefused = callercore.EventRefused
)

// Options configure a session.
type Options struct {
	// Fabric is the address at which the fabric, the network in front of the hosts,
	// receives datagrams. It is required.
	Fabric netip.AddrPort
	// Local is the local address of the session's socket; the zero value lets the
	// operating system choose.
	Local netip.AddrPort
	// Account and Service are the numeric identifiers of the client account and its
	// service.
	Account uint32
	Service uint32
	// Subscribe is the payload of the message that starts the stream; nil means no
	// stream.
	Subscribe []byte
	// OnEvent, if set, is called for each change of the flow from the session's
	// goroutine. It must not block.
	OnEvent func(Event)
	// OnPush, if set, is called for each message of the stream from the session's
	// goroutine. It must not block.
	OnPush func(Push)
}

// commandQueueSize is the maximum number of commands queued for the session's
// goroutine.
const commandQueueSize = 64

// Session is a connection to a service. It is safe for concurrent use.
type Session struct {
	options  Options
	socket   *socket
	core     *callercore.Core
	commands chan command
	opened   chan struct{}
	done     chan struct{}
	started  time.Time
	// pending holds the reply channels of unfinished requests.
	pending map[callercore.Handle]chan Outcome
}

// command is an operation for the session's goroutine. Exactly one of request,
// cancel and close is set.
type command struct {
	request *Request
	reply   chan Outcome
	// cancel cancels the request that was submitted with the same reply channel.
	cancel bool
	close  bool
}

// Open opens a session and waits for its first flow. It returns an error if the
// socket cannot be opened or if ctx ends first.
func Open(ctx context.Context, o Options) (*Session, error) {
	s, err := newSession(o)
	if err != nil {
		return nil, err
	}
	go s.socket.read()
	go s.run()
	select {
	case <-s.opened:
		return s, nil
	case <-ctx.Done():
		s.Close()
		return nil, eris.Wrapf(ctx.Err(), "client: flow to service %d of account %d through %v was not opened in time", o.Service, o.Account, o.Fabric)
	}
}

func newSession(o Options) (*Session, error) {
	sock, err := newSocket(o)
	if err != nil {
		return nil, err
	}
	seed, err := randomSeed()
	if err != nil {
		return nil, err
	}
	core := callercore.New(callercore.Settings{
		Account:   ids.AccountID(o.Account),
		Service:   ids.ServiceID(o.Service),
		Seed:      seed,
		Subscribe: o.Subscribe,
	})
	return &Session{
		options:  o,
		socket:   sock,
		core:     core,
		commands: make(chan command, commandQueueSize),
		opened:   make(chan struct{}),
		done:     make(chan struct{}),
		started:  time.Now(),
		pending:  make(map[callercore.Handle]chan Outcome),
	}, nil
}

func randomSeed() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, eris.Wrap(err, "client: read random seed")
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

// Do runs a request and waits for its outcome. If ctx ends first, Do cancels the
// request and still waits for the verdict, which then arrives within a fraction of
// a second.
func (s *Session) Do(ctx context.Context, r Request) Outcome {
	reply := make(chan Outcome, 1)
	if !s.submit(command{request: &r, reply: reply}) {
		return Outcome{Verdict: NotRun, Reason: verdict.ReasonClosed}
	}
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
		s.submit(command{reply: reply, cancel: true})
	case <-s.done:
	}
	return s.awaitOutcome(reply)
}

// awaitOutcome waits for the outcome of a request that was cancelled or whose
// session is closed.
func (s *Session) awaitOutcome(reply chan Outcome) Outcome {
	select {
	case o := <-reply:
		return o
	case <-s.done:
	}
	select {
	case o := <-reply:
		return o
	default:
		return Outcome{Verdict: NotRun, Reason: verdict.ReasonClosed}
	}
}

// Close closes the session and waits for its goroutine to end. Requests in flight
// get their outcome.
func (s *Session) Close() {
	s.submit(command{close: true})
	<-s.done
}

// submit queues a command. It reports false if the session is closed.
func (s *Session) submit(c command) bool {
	select {
	case s.commands <- c:
		return true
	case <-s.done:
		return false
	}
}
