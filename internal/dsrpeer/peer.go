package dsrpeer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/replica"
)

// linkPath is the path of the WebSocket of the control address.
const linkPath = "/directory"

// Times of the links.
const (
	// dialTimeout is the longest wait for a host to accept a link: a cut host gives no answer.
	dialTimeout  = 400 * time.Millisecond
	writeTimeout = time.Second
	// newsInterval is the longest time between two messages to a follower.
	newsInterval = time.Second
	// silenceTimeout ends a link on which nothing came.
	silenceTimeout = 2500 * time.Millisecond
	// helloInterval is the time between two hellos to a random host, helloRetry that until the first one was answered.
	helloInterval = 15 * time.Second
	helloRetry    = 500 * time.Millisecond
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
	Contacts []netip.AddrPort
	Replica  *replica.Replica
	// Needed reports whether the store leaves this host without answers.
	Needed func() bool
	// Heard returns how long ago the store answered this host; negative is never.
	Heard func() time.Duration
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
	Stats     Stats
}

// Listen opens the control address.
func Listen(s Settings) (*Peer, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Control))
	if err != nil {
		return nil, eris.Wrap(err, "control address can't be listened on")
	}
	return &Peer{settings: s, book: newBook(s.Control, s.Contacts), listener: l}, nil
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
	control, _ := netip.ParseAddrPort(h.Control)
	p.book.add(p.settings.Now(), control)
	if !h.Follow {
		// A failed write leaves the other host to ask elsewhere.
		_ = p.send(r.Context(), ws, &news{Peers: p.book.names(p.settings.Now())})
		return
	}
	p.serveFollower(ws.CloseRead(r.Context()), ws, control)
}

func (p *Peer) serveFollower(ctx context.Context, ws *websocket.Conn, to netip.AddrPort) {
	snapshot, updates := p.settings.Replica.Subscribe()
	defer p.settings.Replica.Unsubscribe(updates)
	p.settings.Log.Info("host follows this one", zap.Stringer("host", to), zap.Uint64("revision", uint64(snapshot.At)))
	first := newsOf(snapshot)
	first.Peers = p.book.names(p.settings.Now())
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
			n = newsOf(u)
		case <-ticker.C:
		}
		if p.send(ctx, ws, n) != nil {
			return
		}
	}
}

func (p *Peer) send(ctx context.Context, ws *websocket.Conn, n *news) error {
	n.HeardMs = p.settings.Heard().Milliseconds()
	p.Stats.Served.Add(1)
	return write(ctx, ws, n)
}

// Run says hello to other hosts, and follows one while the store leaves this
// host without answers, until the context ends.
func (p *Peer) Run(ctx context.Context) {
	next := time.Duration(0)
	for ctx.Err() == nil {
		now := p.settings.Now()
		switch {
		case p.settings.Needed():
			if !p.followAny(ctx) {
				pause(ctx, followRetry)
			}
		case now >= next:
			if p.helloAny(ctx) {
				next = now + helloInterval
			} else {
				next = now + helloRetry
			}
		default:
			pause(ctx, checkInterval)
		}
	}
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
	p.book.add(now, from)
	for _, text := range n.Peers {
		p.book.hint(now, text)
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
		if n.At == 0 {
			ws.CloseNow()
			continue
		}
		p.settings.Log.Info("following another host", zap.Stringer("host", host), zap.Uint64("revision", n.At), zap.Int64("heard_ms", n.HeardMs))
		err = p.follow(ctx, ws, n)
		p.settings.Log.Info("no longer following", zap.Stringer("host", host), zap.Error(err))
		return true
	}
	return false
}

// follow takes updates until the store answers again or the link ends.
func (p *Peer) follow(ctx context.Context, ws *websocket.Conn, n *news) error {
	defer ws.CloseNow()
	for {
		p.settings.Take(ctx, n.update(), time.Duration(n.HeardMs)*time.Millisecond)
		p.Stats.Followed.Add(1)
		if !p.settings.Needed() {
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
	if err := write(ctx, ws, &hello{Control: p.settings.Control.String(), Follow: follow}); err != nil {
		return nil, err
	}
	b, err := read(ctx, ws)
	if err != nil {
		return nil, err
	}
	return decodeNews(b)
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
