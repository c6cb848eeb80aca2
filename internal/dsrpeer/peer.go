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

	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// linkPath is the path of the WebSocket of the control address.
const linkPath = "/directory"

// Times of the links.
const (
	// dialTimeout is the longest wait for a host to accept a link: a cut host gives no answer.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout ends a link whose other side takes nothing: it would miss two messages and give the link up itself.
	writeTimeout = time.Second
	// newsInterval is the longest time between two messages to a follower.
	newsInterval = 400 * time.Millisecond
	// silenceTimeout ends a link on which nothing came: three intervals.
	silenceTimeout = 1200 * time.Millisecond
	// helloFirst is the time from the first hello to the second; it doubles up to
	// helloInterval. helloRetry is the pause after none was answered.
	helloFirst    = 1500 * time.Millisecond
	helloInterval = 25 * time.Second
	helloRetry    = 500 * time.Millisecond
	// watcherAge is how long ago the store may have answered a host that reads it for others: a watch, its timeout and a pause.
	watcherAge = 4 * time.Second
	// watcherRetry is the pause after none of the hosts that should read the store could be followed.
	watcherRetry = 2 * time.Second
	// followRetry is the pause after all known hosts were asked in vain.
	followRetry = 300 * time.Millisecond
	// checkInterval is how often a host looks whether it needs the directory from others.
	checkInterval = 100 * time.Millisecond
	// headerTimeout is the longest wait for the header of a request: a lost packet is sent again within a second.
	headerTimeout = 2 * time.Second
	// maxFollowers bounds the links that other hosts hold to this one.
	maxFollowers = 64
)

// Settings are fixed for the life of a Peer but for the contacts.
type Settings struct {
	Control  netip.AddrPort
	Zone     string
	Contacts []netip.AddrPort
	Replica  *replica.Replica
	// Delegate lets some hosts of a zone read the store for the others.
	Delegate bool
	// Needed reports whether the store leaves this host without answers.
	Needed func() bool
	// Heard returns how long ago the store answered this host; negative is never.
	Heard func() time.Duration
	// Lost reports whether the last call of the store has no answer.
	Lost func() bool
	// Resume is called when the host has to read the store itself again.
	Resume func()
	// Take hands over an update of another host and how long ago the store answered that host.
	Take func(ctx context.Context, u replica.Update, heard time.Duration)
	Log  logging.Part
	Now  func() time.Duration
}

// Stats count since the start.
type Stats struct {
	// Followed counts updates taken from other hosts, Served those given, Refused
	// links over the limit, Failed dials without answer.
	Followed, Served, Refused, Failed atomic.Uint64
}

// Peer exchanges the directory with other hosts.
type Peer struct {
	settings  Settings
	book      *book
	listener  net.Listener
	followers atomic.Int32
	// reader is the host that reads the store for this one; nil is none.
	reader atomic.Pointer[netip.AddrPort]
	// hellos counts the hellos that were answered.
	hellos atomic.Uint64
	// nextWatcher is when Follow looks again for a host that reads the store.
	nextWatcher time.Duration
	Stats       Stats

	// The last encoded update, with what it leads to.
	mu        sync.Mutex
	encode    func(replica.Update) ([]byte, error)
	lastAt    store.Revision
	lastFull  bool
	lastBytes []byte
}

// Hellos returns the number of hellos that were answered.
func (p *Peer) Hellos() uint64 { return p.hellos.Load() }

// Reader returns the host that reads the store for this one, if there is one.
func (p *Peer) Reader() (netip.AddrPort, bool) {
	if r := p.reader.Load(); r != nil {
		return *r, true
	}
	return netip.AddrPort{}, false
}

// Delegated reports whether another host reads the store for this one.
func (p *Peer) Delegated() bool { return p.reader.Load() != nil }

// Listen opens the control address.
func Listen(s Settings) (*Peer, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Control))
	if err != nil {
		return nil, eris.Wrap(err, "control address can't be listened on")
	}
	return &Peer{settings: s, book: newBook(s.Control, s.Zone, s.Contacts), listener: l, encode: encodeUpdate}, nil
}

// SetContacts replaces the contacts after a change of the settings.
func (p *Peer) SetContacts(contacts []netip.AddrPort) { p.book.setContacts(contacts) }

// Known returns the number of hosts that this one knows.
func (p *Peer) Known() int { return len(p.book.list(p.settings.Now())) }

// Close closes the listener of a Peer that doesn't run.
func (p *Peer) Close() { p.listener.Close() }

// Serve answers other hosts until the context ends.
func (p *Peer) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(linkPath, p.accept)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, BaseContext: func(net.Listener) context.Context { return ctx }}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(p.listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "control listener failed")
}

// dial opens a link, says hello and returns the first answer.
func (p *Peer) dial(ctx context.Context, host netip.AddrPort, follow bool) (*news, *websocket.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(dialCtx, "ws://"+host.String()+linkPath, nil)
	if err != nil {
		return nil, nil, eris.Wrap(err, "host can't be dialled")
	}
	ws.SetReadLimit(maxMessage)
	n, err := p.greet(ctx, ws, follow)
	if err != nil {
		ws.CloseNow()
		return nil, nil, err
	}
	return n, ws, nil
}

func (p *Peer) greet(ctx context.Context, ws *websocket.Conn, follow bool) (*news, error) {
	if err := write(ctx, ws, &hello{Self: p.self(), Follow: follow}); err != nil {
		return nil, err
	}
	b, err := read(ctx, ws)
	if err != nil {
		return nil, err
	}
	return decodeNews(b)
}

func (p *Peer) self() contact {
	return contact{Control: p.settings.Control.String(), Zone: p.settings.Zone}
}

func read(ctx context.Context, ws *websocket.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	_, b, err := ws.Read(ctx)
	return b, err
}

func write(ctx context.Context, ws *websocket.Conn, message any) error {
	b, err := messages.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "message can't be encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return ws.Write(ctx, websocket.MessageBinary, b)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
