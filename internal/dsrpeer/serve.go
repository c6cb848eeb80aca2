package dsrpeer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/replica"
)

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
	var err error
	if snapshot.At != 0 {
		if first.Update, err = p.encoded(snapshot); err != nil {
			p.settings.Log.Error("link ended, the directory can't be passed on", zap.Stringer("host", to), zap.Error(err))
			return
		}
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
			// A follower that misses an update is wrong from then on; without the link it reads anew.
			if n.Update, err = p.encoded(u); err != nil {
				p.settings.Log.Error("link ended, an update can't be passed on", zap.Stringer("host", to), zap.Error(err))
				return
			}
		case <-ticker.C:
		}
		if p.send(ctx, ws, n) != nil {
			return
		}
	}
}

// encoded returns the encoded update; all followers get the same bytes.
func (p *Peer) encoded(u replica.Update) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastBytes != nil && p.lastAt == u.At && p.lastFull == u.Full {
		return p.lastBytes, nil
	}
	b, err := p.encode(u)
	if err != nil {
		return nil, err
	}
	p.lastAt, p.lastFull, p.lastBytes = u.At, u.Full, b
	return b, nil
}

func (p *Peer) send(ctx context.Context, ws *websocket.Conn, n *news) error {
	n.HeardMs = p.settings.Heard().Milliseconds()
	n.Reads = !p.settings.Lost() && !p.Delegated()
	p.Stats.Served.Add(1)
	return write(ctx, ws, n)
}
