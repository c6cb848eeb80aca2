package dsrpeer

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// handleHello answers a hello, and takes over the hosts that the sender knows.
func (p *Peer) handleHello(w http.ResponseWriter, r *http.Request) {
	defer p.hellos.Add(-1)
	if p.hellos.Add(1) > maxHellos || !p.helloLimit.Allow() {
		p.refuse(w)
		return
	}
	ws, h, control := p.accept(w, r)
	if ws == nil {
		return
	}
	defer ws.CloseNow()
	now := p.settings.Now()
	answer := &syncMessage{Self: p.self(), Peers: p.peers.introductions(now, h.Self.Zone)}
	var differs [memberBuckets]bool
	if h.Self.Zone == p.settings.Zone && len(h.Hosts) > 0 {
		differs = p.peers.mergeSummary(now, h.Hosts)
		answer.Named = p.peers.nameDiffering(now, differs, nil)
		answer.Hosts = p.peers.summarize(now, len(h.Hosts[0].Ages) > 0)
	}
	// If the write fails, the other host tries the next one.
	if p.send(r.Context(), ws, answer) != nil || differs == [memberBuckets]bool{} {
		return
	}
	// The other host closes the connection instead, if it knows no host that this one lacks.
	b, err := p.read(r.Context(), ws)
	if err != nil {
		return
	}
	named, err := decodeNamedHosts(b)
	if err != nil {
		p.settings.Log.Warn("named hosts rejected", zap.Stringer("host", control), zap.Error(err))
		return
	}
	p.peers.addZoneHosts(p.settings.Now(), named)
}

// refuse refuses a connection because of a limit.
func (p *Peer) refuse(w http.ResponseWriter) {
	p.Stats.Refused.Add(1)
	// The dialing side would keep the connection for reuse.
	w.Header().Set("Connection", "close")
	http.Error(w, "too many connections", http.StatusServiceUnavailable)
}

// accept accepts a connection, reads the hello and adds its sender to the known hosts. It returns
// nil if that fails.
func (p *Peer) accept(w http.ResponseWriter, r *http.Request) (*websocket.Conn, hello, netip.AddrPort) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, hello{}, netip.AddrPort{}
	}
	ws.SetReadLimit(maxHelloSize)
	var h hello
	b, err := p.read(r.Context(), ws)
	if err == nil {
		if h, err = decodeHello(b); err != nil {
			p.settings.Log.Warn("hello rejected", zap.Error(err))
		}
	}
	if err != nil {
		ws.CloseNow()
		return nil, hello{}, netip.AddrPort{}
	}
	// decodeHello checked the address.
	control, _ := netip.ParseAddrPort(h.Self.Control)
	p.peers.add(p.settings.Now(), p.settings.Now(), control, h.Self.Zone)
	if h.Era > 0 || h.Revision > 0 {
		p.noteSource(control)
	}
	return ws, h, control
}

// handleDirectory sends the directory and its updates to a host that the store does not answer.
func (p *Peer) handleDirectory(w http.ResponseWriter, r *http.Request) {
	defer p.directoryFollowers.Add(-1)
	if p.directoryFollowers.Add(1) > maxDirectoryFollowers {
		p.refuse(w)
		return
	}
	ws, h, control := p.accept(w, r)
	if ws == nil {
		return
	}
	defer ws.CloseNow()
	p.serveFollower(ws.CloseRead(r.Context()), ws, control, &h)
}

// handleFollower sends the directory and its updates to a host that reads the store through this one,
// if there is room for it among the followers.
func (p *Peer) handleFollower(w http.ResponseWriter, r *http.Request) {
	defer p.followConnections.Add(-1)
	if p.followConnections.Add(1) > 2*maxFollowers {
		p.refuse(w)
		return
	}
	ws, h, control := p.accept(w, r)
	if ws == nil {
		return
	}
	defer ws.CloseNow()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	f := &follower{ranked{control, rank(control)}, cancel}
	displaced, ok := p.followers.add(f)
	if !ok {
		p.Stats.Refused.Add(1)
		return
	}
	defer p.followers.remove(f)
	if displaced != nil {
		p.Stats.Displaced.Add(1)
		p.settings.Log.Info("follower gives way to one with a lower rank", zap.Stringer("host", displaced.address), zap.Stringer("for", control))
	}
	p.serveFollower(ws.CloseRead(ctx), ws, control, &h)
}

// serveFollower sends what a follower lacks, then updates as they come, what is heard of the store
// and heartbeats in between, until the connection ends or the follower is too slow.
func (p *Peer) serveFollower(ctx context.Context, ws *websocket.Conn, to netip.AddrPort, h *hello) {
	from := store.Position{Era: store.Era(h.Era), Revision: store.Revision(h.Revision)}
	u, updates := p.settings.Replica.SubscribeAfter(from, h.KeptDigest)
	defer p.settings.Replica.Unsubscribe(updates)
	p.settings.Log.Info("follower connected", zap.Stringer("host", to), zap.Uint64("era", uint64(u.Era)), zap.Uint64("revision", uint64(u.AtRevision)),
		zap.Bool("snapshot", u.Full), zap.Int("followers", p.followers.count()))
	first := &syncMessage{Self: p.self(), Peers: p.peers.introductions(p.settings.Now(), h.Self.Zone)}
	var err error
	if !u.Position().IsZero() && (u.Full || len(u.Events) > 0) {
		if first.Update, err = p.encodedStart(u); err != nil {
			p.settings.Log.Error("connection closed: directory can't be encoded for follower", zap.Stringer("host", to), zap.Error(err))
			return
		}
	}
	heard := p.heard.next()
	if p.send(ctx, ws, first) != nil {
		return
	}
	ticker := time.NewTicker(p.heartbeat())
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
		case <-heard:
		case <-ticker.C:
		}
		heard = p.heard.next()
		if p.send(ctx, ws, n) != nil {
			return
		}
		ticker.Reset(p.heartbeat())
	}
}

// heartbeat returns the longest time between two messages to a follower.
func (p *Peer) heartbeat() time.Duration {
	if p.Delegated() {
		return relayedHeartbeat
	}
	return heartbeatInterval
}

// encodedStart returns the encoded first update for a follower: a snapshot, or the changes since
// its position.
func (p *Peer) encodedStart(u replica.Update) ([]byte, error) {
	if !u.Full {
		return p.encode(u)
	}
	p.Stats.Snapshots.Add(1)
	return p.encodedUpdate(u)
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
	n.ReadsStore = !p.settings.StoreFailing()
	if p.Delegated() {
		n.ReadsStore, n.Depth = true, uint8(min(p.readerDepth.Load()+1, math.MaxUint8))
	}
	r := p.settings.Replica
	at := r.Position()
	n.Era, n.Revision, n.KeptDigest, n.KeptForMs = uint64(at.Era), uint64(at.Revision), r.KeptDigest(), r.KeptFor().Milliseconds()
	p.Stats.Served.Add(1)
	return p.write(ctx, ws, n)
}
