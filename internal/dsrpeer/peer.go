package dsrpeer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"mimosashore.example/mimosashore/internal/loadcontrol"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// Paths of the WebSockets of the control address. Each has limits of its own.
const (
	// helloPath is for hellos, followPath for hosts that this one reads the store for, and directoryPath for
	// hosts that need the directory because the store does not answer them.
	helloPath     = "/hello"
	followPath    = "/follow"
	directoryPath = "/directory"
)

// Timeouts and intervals.
const (
	// dialTimeout is the longest wait for a host to accept a connection; an unreachable host does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout closes a connection whose other side does not read. After it two
	// heartbeats are missing, and the other side is about to reach its readTimeout.
	writeTimeout = time.Second
	// heartbeatInterval is the interval of messages to a follower without updates.
	heartbeatInterval = 400 * time.Millisecond
	// relayedHeartbeat is the same of a host that follows another one and passes its heartbeats on. It is
	// longer, so that the host sends none of its own as long as those arrive.
	relayedHeartbeat = 600 * time.Millisecond
	// readTimeout closes a connection without messages for three heartbeat intervals.
	readTimeout = 1200 * time.Millisecond
	// helloMinInterval is the time between the first two hellos of a host that knows no other one of its zone; it doubles
	// with each hello up to helloMaxInterval. helloRetry is the pause if no host answered.
	helloMinInterval = 1500 * time.Millisecond
	helloMaxInterval = 25 * time.Second
	helloRetry       = 500 * time.Millisecond
	// announceInterval is the time between the next announceHellos hellos of a host that learned of a host of its zone, to
	// random hosts. The number of those that know it doubles with each interval: 2.5 s for 814. In an interval, a
	// host gets no random hello with a probability of 1/e, and one of 814 got none at all now and then. Those with a
	// number that ringDivisor divides go to the hosts 1, 2 and 4 places behind instead: each host gets them from three others.
	announceInterval = 250 * time.Millisecond
	announceHellos   = 10
	ringDivisor      = 3
	// steadyInterval is the time between hellos without an announcement. They keep known hosts from expiring.
	steadyInterval = 4 * time.Second
	// helloTries is the number of hosts that are tried for a hello, one after the other.
	helloTries = 3
	// startHellos is the number of hosts that a host greets when it starts.
	startHellos = 3
	// settledHellos is the number of answered hellos after which a host follows another one: its list
	// of the zone's hosts then is nearly complete.
	settledHellos = 4
	// KnownWithin is the time from the start of a host until all hosts of its zone know it: 2.5 s in which the number of
	// those that know it doubles with each announceInterval, 1.75 s until the last of them has announced it to its ring, and a margin.
	KnownWithin = 5 * time.Second
	// maxReaderStoreAge is the longest time since the last store answer of a host that
	// reads the store for others, also through hosts in between: the sum of a watch, its timeout and a pause.
	maxReaderStoreAge = 4 * time.Second
	// readerRetry is the pause before the next attempt to follow a store reader.
	readerRetry = 2 * time.Second
	// followTries is the number of hosts that a host without a directory asks for it before a pause.
	followTries = 2
	// freshOnly is the time since the start within which a host takes the directory only from hosts that
	// heard of the store lately: the store normally answers by then.
	freshOnly = 250 * time.Millisecond
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
	// maxDirectoryFollowers is the largest number of hosts that get the directory from this one because the
	// store does not answer them: the snapshots share a slow link.
	maxDirectoryFollowers = 8
	// maxHellos is the largest number of hellos that are answered at a time, helloRate the number each second
	// and helloBurst those at once: when all hosts start together, the contacts get hellos from all of them.
	maxHellos  = 32
	helloRate  = 32
	helloBurst = 128
	// maxHelloSize is the largest hello, in bytes: a summary of maxKnownPeers hosts, or maxNamed names.
	maxHelloSize = 16 << 10
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
	// messages sent, Refused that of connections refused because of a limit, and
	// Failed that of failed dials.
	Followed, Served, Refused, Failed atomic.Uint64
	// Hellos is the number of hellos sent, Parents that of hosts that this one began to follow while the
	// store answers, Displaced that of followers that gave way to others, Snapshots that of full directories sent.
	Hellos, Parents, Displaced, Snapshots atomic.Uint64
	// Received and Sent are the sizes of all messages, in bytes.
	Received, Sent atomic.Uint64
}

// Peer exchanges the directory with other hosts.
type Peer struct {
	settings Settings
	peers    *peerTable
	listener net.Listener
	// hellos, followConnections and directoryFollowers count the connections of other hosts by path.
	hellos, followConnections, directoryFollowers atomic.Int32
	followers                                     followerSet
	helloLimit                                    *rate.Limiter
	// storeReader is the host that this one follows instead of reading the store, or nil. readerDepth is the number of
	// hosts between that host and the store.
	storeReader atomic.Pointer[netip.AddrPort]
	readerDepth atomic.Int32
	// source is a host that, by its hello or answer, has the directory, or nil. sourceNoted is signalled when
	// it is set.
	source      atomic.Pointer[netip.AddrPort]
	sourceNoted chan struct{}
	// heard is signalled when followers should get a message before the next heartbeat.
	heard broadcast
	// answeredHellos counts hellos that got an answer.
	answeredHellos atomic.Uint64
	// storeHeardAt is when the store last answered a followed host, in nanoseconds since the
	// start; zero is never.
	storeHeardAt atomic.Int64
	// greeted is closed when the first round of hellos is over.
	greeted chan struct{}
	// nextReaderAttempt is when Follow next tries to follow a host instead of reading the store, and failedParents
	// says when hosts last failed at that. Both belong to Follow.
	nextReaderAttempt time.Duration
	failedParents     map[netip.AddrPort]time.Duration
	// contactedAt is when SendHellos last sent a hello to a contact, contactFactor a random part of the time until the next
	// one.
	contactedAt   time.Duration
	contactFactor float64
	Stats         Stats

	// mu guards encode and the cache of the last encoded update.
	mu          sync.Mutex
	encode      func(replica.Update) ([]byte, error)
	lastChange  uint64
	lastFull    bool
	lastEncoded []byte
}

// AnsweredHellos returns the number of hellos that were answered.
func (p *Peer) AnsweredHellos() uint64 { return p.answeredHellos.Load() }

// StoreReader returns the host that this one follows instead of reading the store. It reports false
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
		sourceNoted: make(chan struct{}, 1), helloLimit: rate.NewLimiter(helloRate, helloBurst), failedParents: make(map[netip.AddrPort]time.Duration),
	}, nil
}

// Greeted returns a channel that is closed when the first round of hellos is over: this
// host then has what the answering hosts keep of the entries that the store lost.
func (p *Peer) Greeted() <-chan struct{} { return p.greeted }

// HasSource reports whether a host is known that has the directory.
func (p *Peer) HasSource() bool { return p.source.Load() != nil }

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
	mux.HandleFunc(helloPath, p.handleHello)
	mux.HandleFunc(followPath, p.handleFollower)
	mux.HandleFunc(directoryPath, p.handleDirectory)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, BaseContext: func(net.Listener) context.Context { return ctx }}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(p.listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "control listener failed")
}

// dial opens a connection to a path of a host, sends a hello and returns the answer.
func (p *Peer) dial(ctx context.Context, host netip.AddrPort, path string, h *hello) (*syncMessage, *websocket.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(dialCtx, "ws://"+host.String()+path, nil)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "can't dial host %s", host)
	}
	ws.SetReadLimit(maxMessage)
	n, err := p.exchangeHello(ctx, ws, h)
	if err != nil {
		ws.CloseNow()
		return nil, nil, err
	}
	return n, ws, nil
}

// dialDirectory requests the directory from a host, from a position on.
func (p *Peer) dialDirectory(ctx context.Context, host netip.AddrPort, path string, from store.Position, keptDigest uint64) (*syncMessage, *websocket.Conn, error) {
	h := p.helloFrom(from, nil)
	h.KeptDigest = keptDigest
	return p.dial(ctx, host, path, h)
}

func (p *Peer) helloFrom(at store.Position, hosts []bucket) *hello {
	return &hello{Self: p.self(), Hosts: hosts, Era: uint64(at.Era), Revision: uint64(at.Revision)}
}

func (p *Peer) exchangeHello(ctx context.Context, ws *websocket.Conn, h *hello) (*syncMessage, error) {
	if err := p.write(ctx, ws, h); err != nil {
		return nil, err
	}
	b, err := p.read(ctx, ws)
	if err != nil {
		return nil, err
	}
	return decodeSyncMessage(b)
}

func (p *Peer) self() peerInfo {
	return peerInfo{Control: p.settings.Control.String(), Zone: p.settings.Zone}
}

func (p *Peer) read(ctx context.Context, ws *websocket.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, b, err := ws.Read(ctx)
	p.Stats.Received.Add(uint64(len(b)))
	return b, err
}

func (p *Peer) write(ctx context.Context, ws *websocket.Conn, message any) error {
	b, err := messageCodec.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "message can't be encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	p.Stats.Sent.Add(uint64(len(b)))
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

// jitter returns a random duration between half and one and a half times d, so that hosts that fail
// together do not retry together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
