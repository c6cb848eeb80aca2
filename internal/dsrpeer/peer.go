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
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// linkPath is the path of the WebSocket of the control address.
const linkPath = "/directory"

// Times of the links.
const (
	// dialTimeout is the longest wait for a host to accept a link: a cut host gives no answer.
	dialTimeout  = 400 * time.Millisecond
	writeTimeout = time.Second
	// newsInterval is the longest time between two messages to a follower.
	newsInterval = 400 * time.Millisecond
	// silenceTimeout ends a link on which nothing came: three intervals.
	silenceTimeout = 1200 * time.Millisecond
	// helloInterval is the time between two hellos to a random host, helloRetry that until the first one was answered.
	helloInterval = 25 * time.Second
	helloRetry    = 500 * time.Millisecond
	// helloSecond is the time from the first hello to the second, when those that started at the same time are known.
	helloSecond = 1500 * time.Millisecond
	// watcherAge is how long ago the store may have answered a host that reads it for others: a watch, its timeout and a pause.
	watcherAge = 4 * time.Second
	// watcherRetry is the pause after none of the hosts that should read the store could be followed.
	watcherRetry = 2 * time.Second
	// followRetry is the pause after all known hosts were asked in vain.
	followRetry = 300 * time.Millisecond
	// checkInterval is how often a host looks whether it needs the directory from others.
	checkInterval = 100 * time.Millisecond
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
	// Hellos counts hellos that were answered, Followed updates taken from other
	// hosts, Served those given, Refused links over the limit, Failed dials without answer.
	Hellos, Followed, Served, Refused, Failed atomic.Uint64
}

// Peer exchanges the directory with other hosts.
type Peer struct {
	settings  Settings
	book      *book
	listener  net.Listener
	followers atomic.Int32
	delegated atomic.Bool
	Stats     Stats

	// The last encoded update, with what it leads to.
	mu        sync.Mutex
	lastAt    store.Revision
	lastFull  bool
	lastBytes []byte
}

// Delegated reports whether another host reads the store for this one.
func (p *Peer) Delegated() bool { return p.delegated.Load() }

// Listen opens the control address.
func Listen(s Settings) (*Peer, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Control))
	if err != nil {
		return nil, eris.Wrap(err, "control address can't be listened on")
	}
	return &Peer{settings: s, book: newBook(s.Control, s.Zone, s.Contacts), listener: l}, nil
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

// accept answers a hello, and sends the directory to a host that asks for it.
func (p *Peer) accept(w http.ResponseWriter, r *http.Request) {
	if p.followers.Add(1) > maxFollowers {
		p.followers.Add(-1)
		p.Stats.Refused.Add(1)
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	defer p.followers.Add(-1)
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer ws.CloseNow()
	b, err := read(r.Context(), ws)
	if err != nil {
		return
	}
	h, err := decodeHello(b)
	if err != nil {
		p.settings.Log.Warn("hello refused", zap.Error(err))
		return
	}
	// decodeHello checked the address.
	control, _ := netip.ParseAddrPort(h.Self.Control)
	p.book.add(p.settings.Now(), control, h.Self.Zone)
	if !h.Follow {
		// A failed write leaves the other host to ask elsewhere.
		_ = p.send(r.Context(), ws, &news{Self: p.self(), Peers: p.book.names(p.settings.Now())})
		return
	}
	p.serveFollower(ws.CloseRead(r.Context()), ws, control)
}

func (p *Peer) serveFollower(ctx context.Context, ws *websocket.Conn, to netip.AddrPort) {
	snapshot, updates := p.settings.Replica.Subscribe()
	defer p.settings.Replica.Unsubscribe(updates)
	p.settings.Log.Info("host follows this one", zap.Stringer("host", to), zap.Uint64("revision", uint64(snapshot.At)))
	first := &news{Self: p.self(), Peers: p.book.names(p.settings.Now())}
	if snapshot.At != 0 {
		first.Update = p.encoded(snapshot)
	}
	if p.send(ctx, ws, first) != nil {
		return
	}
	ticker := time.NewTicker(newsInterval)
	defer ticker.Stop()
	for {
		n := &news{}
		select {
		case <-ctx.Done():
			return
		case u, ok := <-updates.C:
			if !ok {
				return
			}
			n.Update = p.encoded(u)
		case <-ticker.C:
		}
		if p.send(ctx, ws, n) != nil {
			return
		}
	}
}

// encoded returns the encoded update; all followers get the same bytes.
func (p *Peer) encoded(u replica.Update) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastBytes != nil && p.lastAt == u.At && p.lastFull == u.Full {
		return p.lastBytes
	}
	b, err := encodeUpdate(u)
	if err != nil {
		p.settings.Log.Error("update is not passed on", zap.Error(err))
		return nil
	}
	p.lastAt, p.lastFull, p.lastBytes = u.At, u.Full, b
	return b
}

func (p *Peer) send(ctx context.Context, ws *websocket.Conn, n *news) error {
	n.HeardMs, n.Lost = p.settings.Heard().Milliseconds(), p.settings.Lost()
	p.Stats.Served.Add(1)
	return write(ctx, ws, n)
}

// Run says hello to other hosts, follows one while the store leaves this host
// without answers, and lets another read the store for it, until the context ends.
func (p *Peer) Run(ctx context.Context) {
	var nextHello, nextWatcher time.Duration
	for hellos := 0; ctx.Err() == nil; {
		now := p.settings.Now()
		switch {
		case p.settings.Needed():
			if !p.followAny(ctx) {
				pause(ctx, followRetry)
			}
		case now >= nextHello:
			if !p.helloAny(ctx) {
				nextHello = now + helloRetry
				continue
			}
			nextHello = now + helloInterval
			if hellos++; hellos == 1 {
				nextHello = now + helloSecond
			}
		case p.settings.Delegate && hellos > 1 && now >= nextWatcher:
			p.followWatcher(ctx, &nextHello)
			nextWatcher = p.settings.Now() + watcherRetry
		default:
			pause(ctx, checkInterval)
		}
	}
}

// followWatcher follows a host that reads the store for this one, as long as
// the store answers that host. The reader of this host rests meanwhile.
func (p *Peer) followWatcher(ctx context.Context, nextHello *time.Duration) {
	for _, host := range p.book.watchers(p.settings.Now()) {
		n, ws, err := p.dial(ctx, host, true)
		if err != nil {
			p.Stats.Failed.Add(1)
			p.book.forget(host)
			continue
		}
		p.learn(host, n)
		if !watches(n) || len(n.Update) == 0 {
			ws.CloseNow()
			continue
		}
		p.settings.Log.Info("another host reads the store for this one", zap.Stringer("host", host), zap.Int64("heard_ms", n.HeardMs))
		p.delegated.Store(true)
		err = p.follow(ctx, ws, n, func(n *news) bool { return watches(n) && p.settings.Now() < *nextHello })
		p.delegated.Store(false)
		p.settings.Resume()
		p.settings.Log.Info("reading the store again", zap.Stringer("host", host), zap.Error(err))
		return
	}
}

// watches reports whether the sender of news hears from the store itself.
func watches(n *news) bool {
	return !n.Lost && n.HeardMs >= 0 && time.Duration(n.HeardMs)*time.Millisecond <= watcherAge
}

// helloAny says hello to the first host that answers, a contact before others,
// since all hosts meet there.
func (p *Peer) helloAny(ctx context.Context) bool {
	hosts := p.book.list(p.settings.Now())
	if len(hosts) == 0 {
		return true
	}
	for i := len(hosts) - 1; i >= 0; i-- {
		n, ws, err := p.dial(ctx, hosts[i], false)
		if err != nil {
			continue
		}
		ws.CloseNow()
		p.learn(hosts[i], n)
		p.Stats.Hellos.Add(1)
		return true
	}
	return false
}

func (p *Peer) learn(from netip.AddrPort, n *news) {
	now := p.settings.Now()
	for _, c := range n.Peers {
		p.book.hint(now, c)
	}
	if n.Self.Control == from.String() {
		p.book.add(now, from, n.Self.Zone)
	}
}

// followAny follows the first host that knows more, and reports whether one did.
func (p *Peer) followAny(ctx context.Context) bool {
	for _, host := range p.book.list(p.settings.Now()) {
		if ctx.Err() != nil || !p.settings.Needed() {
			return true
		}
		n, ws, err := p.dial(ctx, host, true)
		if err != nil {
			p.Stats.Failed.Add(1)
			continue
		}
		p.learn(host, n)
		if len(n.Update) == 0 {
			ws.CloseNow()
			continue
		}
		p.settings.Log.Info("following another host", zap.Stringer("host", host), zap.Int64("heard_ms", n.HeardMs))
		err = p.follow(ctx, ws, n, func(*news) bool { return p.settings.Needed() })
		p.settings.Log.Info("no longer following", zap.Stringer("host", host), zap.Error(err))
		return true
	}
	return false
}

// follow takes updates as long as the condition holds for each, and until the link ends.
func (p *Peer) follow(ctx context.Context, ws *websocket.Conn, n *news, while func(*news) bool) error {
	defer ws.CloseNow()
	for {
		var u replica.Update
		if len(n.Update) > 0 {
			var err error
			if u, err = decodeUpdate(n.Update); err != nil {
				return err
			}
		}
		p.settings.Take(ctx, u, time.Duration(n.HeardMs)*time.Millisecond)
		p.Stats.Followed.Add(1)
		if !while(n) {
			return nil
		}
		b, err := read(ctx, ws)
		if err != nil {
			return err
		}
		if n, err = decodeNews(b); err != nil {
			return err
		}
	}
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
