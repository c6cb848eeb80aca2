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

// handleConnection answers a hello, and sends the directory and its updates if the
// hello requests them.
func (p *Peer) handleConnection(w http.ResponseWriter, r *http.Request) {
	if p.followers.Add(1) > maxFollowers {
		p.followers.Add(-1)
		p.Stats.Refused.Add(1)
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
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
		p.settings.Log.Warn("hello rejected", zap.Error(err))
		return
	}
	// decodeHello checked the address.
	control, _ := netip.ParseAddrPort(h.Self.Control)
	p.peers.add(p.settings.Now(), p.settings.Now(), control, h.Self.Zone)
	if !h.Follow {
		// If the write fails, the other host tries the next one.
		_ = p.send(r.Context(), ws, &syncMessage{Self: p.self(), Peers: p.peers.peerInfos(p.settings.Now(), h.Self.Zone)})
		return
	}
	p.serveFollower(ws.CloseRead(r.Context()), ws, control, h.Self.Zone)
}

// serveFollower sends a snapshot, then updates as they come and heartbeats in
// between, until the connection ends or the follower is too slow.
func (p *Peer) serveFollower(ctx context.Context, ws *websocket.Conn, to netip.AddrPort, zone string) {
	snapshot, updates := p.settings.Replica.Subscribe()
	defer p.settings.Replica.Unsubscribe(updates)
	p.settings.Log.Info("follower connected", zap.Stringer("host", to), zap.Uint64("era", uint64(snapshot.Era)), zap.Uint64("revision", uint64(snapshot.AtRevision)))
	first := &syncMessage{Self: p.self(), Peers: p.peers.peerInfos(p.settings.Now(), zone)}
	var err error
	if !snapshot.Position().IsZero() {
		if first.Update, err = p.encodedUpdate(snapshot); err != nil {
			p.settings.Log.Error("connection closed: directory can't be encoded for follower", zap.Stringer("host", to), zap.Error(err))
			return
		}
	}
	if p.send(ctx, ws, first) != nil {
		return
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		n := &syncMessage{}
		select {
		case <-ctx.Done():
			return
		case u, ok := <-updates.C:
			if !ok {
				return
			}
			// A follower that misses an update stays inconsistent. Closing the connection makes it start over with a snapshot.
			if n.Update, err = p.encodedUpdate(u); err != nil {
				p.settings.Log.Error("connection closed: update can't be encoded for follower", zap.Stringer("host", to), zap.Error(err))
				return
			}
		case <-ticker.C:
		}
		if p.send(ctx, ws, n) != nil {
			return
		}
	}
}

// encodedUpdate returns the encoded update. The last one is cached, so that it is
// encoded once for all followers.
func (p *Peer) encodedUpdate(u replica.Update) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastEncoded != nil && p.lastChange == u.Change && p.lastFull == u.Full {
		return p.lastEncoded, nil
	}
	b, err := p.encode(u)
	if err != nil {
		return nil, err
	}
	p.lastChange, p.lastFull, p.lastEncoded = u.Change, u.Full, b
	return b, nil
}

func (p *Peer) send(ctx context.Context, ws *websocket.Conn, n *syncMessage) error {
	n.StoreAgeMs = p.directoryAge().Milliseconds()
	n.ReadsStore = !p.settings.StoreFailing() && !p.Delegated()
	r := p.settings.Replica
	n.Era, n.KeptDigest, n.KeptForMs = uint64(r.Position().Era), r.KeptDigest(), r.KeptFor().Milliseconds()
	p.Stats.Served.Add(1)
	return write(ctx, ws, n)
}
