// Package peer implements the transport between hosts. Membership messages are
// sent as UDP datagrams and configuration messages as CBOR over WebSocket links,
// both on the host's control address. The control network is trusted: messages
// are neither encrypted nor authenticated.
package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/spread"
)

// Queue sizes, in messages, and connection limits.
const (
	eventQueueSize    = 1024
	linkQueueSize     = 64
	datagramQueueSize = 256
	// maxInboundLinks is the maximum number of links opened by other hosts.
	maxInboundLinks = 64
)

// Timeouts and the redial backoff of links.
const (
	dialTimeout   = 2 * time.Second
	writeTimeout  = 5 * time.Second
	headerTimeout = 5 * time.Second
	// idleTimeout closes a link on which no message was received. Hello
	// messages keep a healthy link active.
	idleTimeout      = 5 * time.Second
	redialBackoffMin = 500 * time.Millisecond
	redialBackoffMax = 5 * time.Second
)

// maxListenAttempts is the number of ports tried to find one that is free for both
// TCP and UDP.
const maxListenAttempts = 20

// EventKind is the kind of an Event.
type EventKind uint8

// Event kinds.
const (
	// EventLinkUp reports a new link to Host, possibly in place of another one.
	EventLinkUp EventKind = iota + 1
	// EventLinkDown reports that the link to Host was closed.
	EventLinkDown
	// EventMessage carries a configuration message from Host.
	EventMessage
	// EventDatagram carries a membership message from the address From.
	EventDatagram
)

// Event is a link change or a received message, delivered to the control plane.
// The fields that are set depend on Kind.
type Event struct {
	Kind     EventKind
	Host     ids.HostID
	Message  *spread.Message
	From     netip.AddrPort
	Datagram *member.Message
}

// Target is a host to which a link is maintained.
type Target struct {
	Host    ids.HostID
	Control netip.AddrPort
}

// Transport exchanges messages with other hosts. While Run is running, SetTargets,
// Send and SendDatagram may be called, all from the same goroutine.
type Transport struct {
	self      ids.HostID
	log       logging.Logger
	tcp       net.Listener
	udp       *net.UDPConn
	events    chan Event
	datagrams chan member.Send
	targets   chan []Target
	Stats     Stats

	// done is closed when the context of Run is canceled.
	done <-chan struct{}
	// linkEventMu is held while a link is added or removed and its event is
	// emitted, so that events arrive in the order of the changes.
	linkEventMu sync.Mutex

	mu    sync.Mutex
	links map[ids.HostID]*conn
	// inbound is the number of links opened by other hosts. closed is set when the
	// transport stops, after which it accepts no more of them.
	inbound  int
	closed   bool
	handlers sync.WaitGroup
}

// Listen binds the control address for TCP and UDP. With port 0 the system chooses
// a port, which Addr returns.
func Listen(self ids.HostID, control netip.AddrPort, logger *zap.Logger) (*Transport, error) {
	tcp, udp, err := listenPair(control)
	if err != nil {
		return nil, err
	}
	return &Transport{
		self:      self,
		log:       logging.ForComponent(logger, "peer"),
		tcp:       tcp,
		udp:       udp,
		events:    make(chan Event, eventQueueSize),
		datagrams: make(chan member.Send, datagramQueueSize),
		targets:   make(chan []Target, 1),
		links:     make(map[ids.HostID]*conn),
	}, nil
}

// listenPair binds the same port for TCP and UDP. For port 0 it tries up to
// maxListenAttempts ports.
func listenPair(control netip.AddrPort) (net.Listener, *net.UDPConn, error) {
	var lastErr error
	for range maxListenAttempts {
		tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(control))
		if err != nil {
			return nil, nil, eris.Wrap(err, "listen on control address (TCP)")
		}
		addr := tcp.Addr().(*net.TCPAddr).AddrPort()
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err == nil {
			return tcp, udp, nil
		}
		tcp.Close()
		lastErr = err
		if control.Port() != 0 {
			break
		}
	}
	return nil, nil, eris.Wrap(lastErr, "listen on control address (UDP)")
}

// Addr returns the bound control address.
func (t *Transport) Addr() netip.AddrPort {
	return t.udp.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Events returns the channel of events.
func (t *Transport) Events() <-chan Event { return t.events }

// Close closes the sockets of a Transport whose Run was never called.
func (t *Transport) Close() {
	t.tcp.Close()
	t.udp.Close()
}

// Run accepts and maintains links and exchanges messages until the context is
// canceled, and then returns nil. It returns an error if the listener fails.
func (t *Transport) Run(ctx context.Context) error {
	t.done = ctx.Done()
	server := &http.Server{
		Handler:           http.HandlerFunc(t.acceptLink),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() {
		server.Close()
		t.Close()
	})
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() { t.readDatagrams(ctx) })
	tasks.Go(func() { t.writeDatagrams(ctx) })
	tasks.Go(func() { t.maintainLinks(ctx) })
	err := server.Serve(t.tcp)
	tasks.Wait()
	t.closeHandlers()
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "control listener failed")
}

// emit queues an event for the control plane. It blocks while the queue is full,
// until the transport stops.
func (t *Transport) emit(e Event) {
	select {
	case t.events <- e:
	case <-t.done:
	}
}

// SendDatagram queues a membership message. If the queue is full, the message is
// dropped and counted.
func (t *Transport) SendDatagram(s member.Send) {
	select {
	case t.datagrams <- s:
	default:
		t.Stats.DatagramsDropped.Add(1)
	}
}

// Send queues a configuration message for a linked host. If there is no link or its
// queue is full, the message is dropped and counted; the next digest exchange
// detects and repairs the loss.
func (t *Transport) Send(s spread.Send) {
	t.mu.Lock()
	defer t.mu.Unlock()
	link := t.links[s.To]
	if link == nil {
		t.Stats.MessagesDropped.Add(1)
		return
	}
	select {
	case link.out <- s.Message:
	default:
		t.Stats.MessagesDropped.Add(1)
	}
}

// SetTargets replaces the set of hosts to which links are maintained. It never
// blocks: an earlier set that has not been applied yet is discarded.
func (t *Transport) SetTargets(targets []Target) {
	for {
		select {
		case t.targets <- targets:
			return
		default:
		}
		select {
		case <-t.targets:
		default:
		}
	}
}
