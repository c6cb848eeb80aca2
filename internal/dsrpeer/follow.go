package dsrpeer

import (
	"context"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/replica"
)

// SendHellos sends hellos to other hosts until the context ends, so that hosts
// discover each other. Hosts that start at the same time discover each other within
// the first few hellos.
func (p *Peer) SendHellos(ctx context.Context) {
	p.helloSeveral(ctx)
	close(p.greeted)
	interval := helloMinInterval
	for ctx.Err() == nil {
		if !p.helloAny(ctx) {
			sleep(ctx, helloRetry)
			continue
		}
		p.answeredHellos.Add(1)
		sleep(ctx, interval)
		interval = min(2*interval, helloMaxInterval)
	}
}

// Follow runs until the context ends. While the store does not answer, it follows a
// host that has the directory; otherwise, if delegation is enabled, it follows a
// host of its own zone that reads the store for this one.
func (p *Peer) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		wait := checkInterval
		switch {
		case p.settings.NeedsPeers():
			if !p.followAny(ctx) {
				wait = followRetry
				if !p.settings.Replica.Position().IsZero() {
					wait = probeRetry
				}
			}
		case p.settings.Delegate && p.answeredHellos.Load() > 1 && p.settings.Now() >= p.nextReaderAttempt:
			p.followStoreReader(ctx)
			p.nextReaderAttempt = p.settings.Now() + readerRetry
		}
		sleep(ctx, wait)
	}
}

// followStoreReader follows a host that reads the store for this one, as long as
// the store answers that host. This host does not read the store meanwhile.
func (p *Peer) followStoreReader(ctx context.Context) {
	for _, host := range p.peers.storeReaders(p.settings.Now()) {
		n, ws, err := p.dial(ctx, host, true)
		if err != nil {
			p.Stats.Failed.Add(1)
			p.peers.remove(host)
			continue
		}
		p.addPeers(host, n)
		if !readsStore(n) || len(n.Update) == 0 || p.isBehind(n) {
			ws.CloseNow()
			continue
		}
		p.settings.Log.Info("another host reads the store for this one", zap.Stringer("host", host), zap.Int64("heard_ms", n.StoreAgeMs))
		p.storeReader.Store(&host)
		err = p.follow(ctx, host, ws, n, readsStore)
		p.storeReader.Store(nil)
		if err == nil {
			p.settings.ReaderLostStore(ctx)
		}
		p.settings.ResumeReading()
		p.settings.Log.Info("reading the store again", zap.Stringer("host", host), zap.Error(err))
		return
	}
}

// readsStore reports whether the sender of the message reads the store itself and
// got an answer within maxReaderStoreAge.
func readsStore(n *syncMessage) bool {
	return n.ReadsStore && n.StoreAgeMs >= 0 && age(n.StoreAgeMs) <= maxReaderStoreAge
}

// helloAny sends hellos until a host answers. It reports false if hosts are known
// but none answered. It tries contacts first, since all hosts of the zone send hellos to them.
func (p *Peer) helloAny(ctx context.Context) bool {
	hosts := p.peers.helloOrder(p.settings.Now())
	if len(hosts) == 0 {
		return true
	}
	for _, host := range hosts {
		n, err := p.hello(ctx, host)
		if err != nil {
			continue
		}
		p.fetchLost(ctx, host, n)
		return true
	}
	return false
}

// hello sends a hello to a host and returns its answer.
func (p *Peer) hello(ctx context.Context, host netip.AddrPort) (*syncMessage, error) {
	n, ws, err := p.dial(ctx, host, false)
	if err != nil {
		return nil, err
	}
	ws.CloseNow()
	p.addPeers(host, n)
	return n, nil
}

// helloSeveral sends a hello to a few hosts, so that a host that starts learns what any
// of them keeps of the entries that the store lost.
func (p *Peer) helloSeveral(ctx context.Context) {
	for _, host := range firstHosts(p.peers.helloOrder(p.settings.Now()), startHellos) {
		n, err := p.hello(ctx, host)
		if err != nil {
			continue
		}
		p.fetchLost(ctx, host, n)
	}
}

func firstHosts(hosts []netip.AddrPort, count int) []netip.AddrPort {
	return hosts[:min(len(hosts), count)]
}

// fetchLost fetches the directory of a host that, by its message, keeps other entries that
// the store lost than this host. It requests a full read of the store if the other host
// has seen a later restore.
func (p *Peer) fetchLost(ctx context.Context, host netip.AddrPort, n *syncMessage) {
	own := p.settings.Replica.Position()
	if !own.IsZero() && n.Era > uint64(own.Era) {
		p.settings.Resync()
	}
	if n.KeptDigest == 0 || n.KeptDigest == p.settings.Replica.KeptDigest() {
		return
	}
	n, ws, err := p.dial(ctx, host, true)
	if err != nil {
		return
	}
	defer ws.CloseNow()
	if len(n.Update) == 0 {
		return
	}
	err = p.applyMessage(ctx, host, n)
	p.settings.Log.Info("read what the store lost from another host", zap.Stringer("host", host), zap.Uint64("era", n.Era),
		zap.Int("kept", p.settings.Replica.Kept()), zap.Error(err))
}

// addPeers adds the hosts named in a message, and its sender if the message came
// from the sender's control address.
func (p *Peer) addPeers(from netip.AddrPort, n *syncMessage) {
	now := p.settings.Now()
	p.peers.addNamed(now, n.Peers)
	if n.Self.Control == from.String() {
		p.peers.add(now, now, from, n.Self.Zone)
	}
}

// followAny follows a host whose directory is fresh, as long as it stays so. It reports false
// if this host needs the directory from another one and found none to follow.
func (p *Peer) followAny(ctx context.Context) bool {
	hosts := p.peers.list(p.settings.Now())
	if !p.settings.Replica.Position().IsZero() {
		shuffle(hosts)
		hosts = p.freshHosts(ctx, firstHosts(hosts, probeHosts))
	}
	for _, host := range hosts {
		if ctx.Err() != nil || !p.settings.NeedsPeers() {
			return true
		}
		n, ws, err := p.dial(ctx, host, true)
		if err != nil {
			p.Stats.Failed.Add(1)
			continue
		}
		p.addPeers(host, n)
		if len(n.Update) == 0 || p.isBehind(n) {
			ws.CloseNow()
			continue
		}
		p.settings.Log.Info("following another host", zap.Stringer("host", host), zap.Int64("heard_ms", n.StoreAgeMs))
		err = p.follow(ctx, host, ws, n, func(n *syncMessage) bool { return p.settings.NeedsPeers() && p.isFresh(n) })
		p.settings.Log.Info("stopped following another host", zap.Stringer("host", host), zap.Error(err))
		return true
	}
	return false
}

// freshHosts returns the first of the hosts whose directory is fresh by its answer to a hello, or
// none. Hosts that the store turns away must not settle on each other.
func (p *Peer) freshHosts(ctx context.Context, hosts []netip.AddrPort) []netip.AddrPort {
	for _, host := range hosts {
		n, err := p.hello(ctx, host)
		if err != nil {
			p.Stats.Failed.Add(1)
			continue
		}
		if p.isFresh(n) && !p.isBehind(n) {
			return []netip.AddrPort{host}
		}
	}
	return nil
}

// isFresh reports whether the sender of a message heard of the store lately, itself or through
// the host that it follows, or at least later than this host.
func (p *Peer) isFresh(n *syncMessage) bool {
	theirs, own := age(n.StoreAgeMs), p.directoryAge()
	return theirs >= 0 && (theirs <= maxReaderStoreAge || own < 0 || theirs+fresherBy < own)
}

// directoryAge returns the time since the store last answered this host or, as far as it knows,
// one that it follows; negative if it never did.
func (p *Peer) directoryAge() time.Duration {
	own := p.settings.StoreAge()
	heard := p.storeHeardAt.Load()
	if heard == 0 {
		return own
	}
	if age := p.settings.Now() - time.Duration(heard); own < 0 || age < own {
		return age
	}
	return own
}

// follow applies updates while the condition holds for each message, the connection
// lasts and the other host is not in an earlier era of the store.
func (p *Peer) follow(ctx context.Context, host netip.AddrPort, ws *websocket.Conn, n *syncMessage, while func(*syncMessage) bool) error {
	defer ws.CloseNow()
	for {
		if err := p.applyMessage(ctx, host, n); err != nil {
			return err
		}
		p.Stats.Followed.Add(1)
		if !while(n) {
			return nil
		}
		b, err := read(ctx, ws)
		if err != nil {
			return err
		}
		if n, err = decodeSyncMessage(b); err != nil {
			return err
		}
	}
}

// isBehind reports whether the sender of a message is in an earlier era of the store than
// this host: it has missed a restore.
func (p *Peer) isBehind(n *syncMessage) bool {
	return n.Era < uint64(p.settings.Replica.Position().Era)
}

// applyMessage applies the update of a message, if any. It returns an error if the sender
// is behind: the time of its last answer of the store then says nothing about the
// directory of this host.
func (p *Peer) applyMessage(ctx context.Context, host netip.AddrPort, n *syncMessage) error {
	var u replica.Update
	if len(n.Update) > 0 {
		var err error
		if u, err = decodeUpdate(n.Update); err != nil {
			return err
		}
		u.KeptFor = age(n.KeptForMs)
	}
	storeAge := age(n.StoreAgeMs)
	behind := p.isBehind(n)
	if behind {
		storeAge = -1
	}
	if storeAge >= 0 {
		heard := max(int64(p.settings.Now()-storeAge), 1)
		p.storeHeardAt.Store(max(p.storeHeardAt.Load(), heard))
	}
	p.settings.ApplyUpdate(ctx, host, u, storeAge)
	if behind {
		return eris.Errorf("it is in era %d of the store, this host in a later one", n.Era)
	}
	return nil
}
