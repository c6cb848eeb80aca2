package dsrpeer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/loadcontrol"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/replica"
)

// directoryPath is the path of the WebSocket of the control address.
const directoryPath = "/directory"

// Timeouts and intervals.
const (
	// dialTimeout is the longest wait for a host to accept a connection; an unreachable host does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout closes a connection whose other side does not read. After it two
	// heartbeats are missing, and the other side is about to reach its readTimeout.
	writeTimeout = time.Second
	// heartbeatInterval is the interval of messages to a follower without updates.
	heartbeatInterval = 400 * time.Millisecond
	// readTimeout closes a connection without messages for three heartbeat intervals.
	readTimeout = 1200 * time.Millisecond
	// helloMinInterval is the time between the first two hellos; it doubles with each
	// hello up to helloMaxInterval. helloRetry is the pause if no host answered.
	helloMinInterval = 1500 * time.Millisecond
	helloMaxInterval = 25 * time.Second
	helloRetry       = 500 * time.Millisecond
	// startHellos is the number of hosts that a host greets when it starts: the contacts.
	startHellos = 3
	// maxReaderStoreAge is the longest time since the last store answer of a host that
	// reads the store for others: the sum of a watch, its timeout and a pause.
	maxReaderStoreAge = 4 * time.Second
	// readerRetry is the pause before the next attempt to follow a store reader.
	readerRetry = 2 * time.Second
	// followRetry is the pause of a host without a directory if no known host could be followed,
	// probeRetry that of one whose directory is no older than those of others.
	followRetry = 300 * time.Millisecond
	probeRetry  = time.Second
	// probeHosts is the number of hosts that are asked how fresh their directory is before one is
	// followed.
	probeHosts = 4
	// fresherBy is how much later than this host another one must have heard of the store to
	// be followed, if both heard of it long ago.
	fresherBy = time.Second
	// checkInterval is how often a host checks whether it needs to follow another one.
	checkInterval = 100 * time.Millisecond
	// headerTimeout is the longest wait for the header of a request; it allows for a TCP retransmission within a second.
	headerTimeout = 2 * time.Second
	// maxFollowers is the largest number of connections from other hosts.
	maxFollowers = 64
)

// Settings configure a Peer. All are fixed for its lifetime except the contacts.
type Settings struct {
	// Control is the address that other hosts connect to.
	Control netip.AddrPort
	Zone    string
	// Contacts are control addresses of other hosts for discovery.
	Contacts []netip.AddrPort
	Replica  *replica.Replica
	// Delegate enables reading the store through other hosts: a few hosts of each zone read it for the rest.
	Delegate bool
	// NeedsPeers reports whether this host needs the directory from another one because the store does not answer.
	NeedsPeers func() bool
	// StoreAge returns the time since the store last answered this host; negative if it never did.
	StoreAge func() time.Duration
	// StoreFailing reports whether the last call to the store failed.
	StoreFailing func() bool
	// Resync requests a full read of the store by this host.
	Resync func()
	// ResumeReading is called when this host has to read the store itself again.
	ResumeReading func()
	// ReaderLostStore is called before ResumeReading if the reason is that the store no longer
	// answers the host that read it for this one.
	ReaderLostStore func(ctx context.Context)
	// ApplyUpdate is called with an update from another host, empty for a heartbeat,
	// and the time since the store last answered that host.
	ApplyUpdate func(ctx context.Context, host netip.AddrPort, u replica.Update, storeAge time.Duration)
	Log         logging.Logger
	// Now returns the time since the start of the host.
	Now func() time.Duration
}

// Stats holds counters since the start.
type Stats struct {
	// Followed is the number of messages received from followed hosts, Served that of
	// messages sent, Refused that of connections refused because of maxFollowers, and
	// Failed that of failed dials.
	Followed, Served, Refused, Failed atomic.Uint64
}

// Peer exchanges the directory with other hosts.
type Peer struct {
	settings  Settings
	peers     *peerTable
	listener  net.Listener
	followers atomic.Int32
	// storeReader is the host that reads the store for this one, or nil.
	storeReader atomic.Pointer[netip.AddrPort]
	// answeredHellos counts hellos that got an answer.
	answeredHellos atomic.Uint64
	// storeHeardAt is when the store last answered a followed host, in nanoseconds since the
	// start; zero is never.
	storeHeardAt atomic.Int64
	// greeted is closed when the first round of hellos is over.
	greeted chan struct{}
	// nextReaderAttempt is when Follow next tries to follow a store reader.
	nextReaderAttempt time.Duration
	Stats             Stats

	// mu guards encode and the cache of the last encoded update.
	mu          sync.Mutex
	encode      func(replica.Update) ([]byte, error)
	lastChange  uint64
	lastFull    bool
	lastEncoded []byte
}

// AnsweredHellos returns the number of hellos that were answered.
func (p *Peer) AnsweredHellos() uint64 { return p.answeredHellos.Load() }

// StoreReader returns the host that reads the store for this one. It reports false
// if there is none.
func (p *Peer) StoreReader() (netip.AddrPort, bool) {
	if r := p.storeReader.Load(); r != nil {
		return *r, true
	}
	return netip.AddrPort{}, false
}

// Delegated reports whether another host reads the store for this one.
func (p *Peer) Delegated() bool { return p.storeReader.Load() != nil }

// Listen returns a Peer that listens on the control address.
func Listen(s Settings) (*Peer, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Control))
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen on control address %s", s.Control)
	}
	return &Peer{
		settings: s, peers: newPeerTable(s.Control, s.Zone, s.Contacts), listener: l, encode: encodeUpdate, greeted: make(chan struct{}),
	}, nil
}

// Greeted returns a channel that is closed when the first round of hellos is over: this
// host then has what the answering hosts keep of the entries that the store lost.
func (p *Peer) Greeted() <-chan struct{} { return p.greeted }

// SetContacts replaces the contacts after a reload of the settings.
func (p *Peer) SetContacts(contacts []netip.AddrPort) { p.peers.setContacts(contacts) }

// KnownPeers returns the number of known hosts and contacts.
func (p *Peer) KnownPeers() int { return len(p.peers.list(p.settings.Now())) }

// Position returns the place of this host among the known hosts of its zone.
func (p *Peer) Position() loadcontrol.Position { return p.peers.position(p.settings.Now()) }

// Close closes the listener. It is needed only if Serve was not called.
func (p *Peer) Close() { p.listener.Close() }

// Serve accepts connections from other hosts until the context ends.
func (p *Peer) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(directoryPath, p.handleConnection)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, BaseContext: func(net.Listener) context.Context { return ctx }}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(p.listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "control listener failed")
}

// dial opens a connection, sends a hello and returns the answer.
func (p *Peer) dial(ctx context.Context, host netip.AddrPort, follow bool) (*syncMessage, *websocket.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(dialCtx, "ws://"+host.String()+directoryPath, nil)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "can't dial host %s", host)
	}
	ws.SetReadLimit(maxMessage)
	n, err := p.exchangeHello(ctx, ws, follow)
	if err != nil {
		ws.CloseNow()
		return nil, nil, err
	}
	return n, ws, nil
}

func (p *Peer) exchangeHello(ctx context.Context, ws *websocket.Conn, follow bool) (*syncMessage, error) {
	if err := write(ctx, ws, &hello{Self: p.self(), Follow: follow}); err != nil {
		return nil, err
	}
	b, err := read(ctx, ws)
	if err != nil {
		return nil, err
	}
	return decodeSyncMessage(b)
}

func (p *Peer) self() peerInfo {
	return peerInfo{Control: p.settings.Control.String(), Zone: p.settings.Zone}
}

func read(ctx context.Context, ws *websocket.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, b, err := ws.Read(ctx)
	return b, err
}

func write(ctx context.Context, ws *websocket.Conn, message any) error {
	b, err := messageCodec.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "message can't be encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return ws.Write(ctx, websocket.MessageBinary, b)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
