package dsrpeer

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/replica"
)

// Follow runs until the context ends. While the store does not answer, it follows a
// host that has the directory; otherwise, if delegation is enabled, it follows a
// host of its own zone instead of reading the store.
func (p *Peer) Follow(ctx context.Context) {
	p.awaitGreeting(ctx)
	for ctx.Err() == nil {
		wait := checkInterval
		switch {
		case p.settings.NeedsPeers():
			if !p.followAny(ctx) {
				wait = jitter(followRetry)
				if !p.settings.Replica.Position().IsZero() {
					wait = jitter(probeRetry)
				}
			}
		case p.settings.Delegate && p.answeredHellos.Load() >= settledHellos && p.settings.Now() >= p.nextReaderAttempt:
			p.followStoreReader(ctx)
			p.nextReaderAttempt = p.settings.Now() + jitter(readerRetry)
		}
		p.awaitSource(ctx, wait)
	}
}

// awaitSource waits for a duration, or until a host without a directory learns of one that has it.
func (p *Peer) awaitSource(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.sourceNoted:
	}
}

// noteSource notes a host that has the directory, if this one has none.
func (p *Peer) noteSource(host netip.AddrPort) {
	if !p.settings.Replica.Position().IsZero() {
		return
	}
	p.source.Store(&host)
	select {
	case p.sourceNoted <- struct{}{}:
	default:
	}
}

// awaitGreeting waits for the end of the first round of hellos, at most freshOnly.
func (p *Peer) awaitGreeting(ctx context.Context) {
	timer := time.NewTimer(freshOnly)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.greeted:
	case <-timer.C:
	}
}

// followStoreReader follows a host of the zone that reads the store or follows such a host. This host does
// not read the store meanwhile. If the followed host is lost, it tries others for parentTime first.
func (p *Peer) followStoreReader(ctx context.Context) {
	var err error
	followed := false
	for ctx.Err() == nil {
		host, n, ws := p.findParent(ctx)
		if ws == nil {
			break
		}
		p.settings.Log.Info("another host reads the store for this one", zap.Stringer("host", host), zap.Uint8("depth", n.Depth), zap.Int64("heard_ms", n.StoreAgeMs),
			zap.Bool("snapshot", len(n.Update) > 0))
		followed = true
		p.Stats.Parents.Add(1)
		p.readerDepth.Store(int32(n.Depth))
		p.storeReader.Store(&host)
		if err = p.follow(ctx, host, ws, n, canBeParent); err == nil {
			p.settings.ReaderLostStore(ctx)
			break
		}
		p.failedParents[host] = p.settings.Now()
		p.settings.Log.Info("lost the host that reads the store for this one", zap.Stringer("host", host), zap.Error(err))
	}
	if !followed {
		return
	}
	p.storeReader.Store(nil)
	p.settings.ResumeReading()
	p.heard.signal()
	p.settings.Log.Info("reading the store again", zap.Error(err))
}

// findParent connects to the first host that can be followed instead of reading the store. It
// returns no connection if there is none.
func (p *Peer) findParent(ctx context.Context) (netip.AddrPort, *syncMessage, *websocket.Conn) {
	started := p.settings.Now()
	maps.DeleteFunc(p.failedParents, func(_ netip.AddrPort, failed time.Duration) bool { return started-failed >= parentRetry })
	tries := 0
	for _, host := range p.peers.parents(started) {
		now := p.settings.Now()
		if _, failed := p.failedParents[host]; failed {
			continue
		}
		if tries++; tries > parentTries || now-started > parentTime || ctx.Err() != nil {
			break
		}
		n, ws, err := p.dialDirectory(ctx, host, followPath, p.settings.Replica.Position(), p.settings.Replica.KeptDigest())
		if err != nil {
			p.Stats.Failed.Add(1)
			p.failedParents[host] = now
			continue
		}
		p.addPeers(host, n)
		if canBeParent(n) && n.hasDirectory() && !p.isBehind(n) {
			return host, n, ws
		}
		ws.CloseNow()
	}
	return netip.AddrPort{}, nil, nil
}

// canBeParent reports whether the sender of a message can be followed instead of reading the store.
func canBeParent(n *syncMessage) bool { return readsStore(n) && n.Depth < maxDepth }

// readsStore reports whether the sender of the message reads the store, itself or through hosts that it
// follows, and the last answer was within maxReaderStoreAge.
func readsStore(n *syncMessage) bool {
	return n.ReadsStore && n.StoreAgeMs >= 0 && age(n.StoreAgeMs) <= maxReaderStoreAge
}

// followAny follows a host whose directory is fresh, as long as it stays so. It reports false
// if this host needs the directory from another one and found none to follow.
func (p *Peer) followAny(ctx context.Context) bool {
	held := p.settings.Replica.Position()
	for _, host := range p.directoryHosts(!held.IsZero()) {
		if ctx.Err() != nil || !p.settings.NeedsPeers() {
			return true
		}
		// Hosts that the store turns away must not settle on each other.
		if !held.IsZero() && !p.hasFreshDirectory(ctx, host) {
			continue
		}
		n, ws, err := p.dialDirectory(ctx, host, directoryPath, held, p.settings.Replica.KeptDigest())
		if err != nil {
			p.Stats.Failed.Add(1)
			p.dropSource(host)
			continue
		}
		p.addPeers(host, n)
		if !n.hasDirectory() || p.isBehind(n) || p.settings.Now() < freshOnly && age(n.StoreAgeMs) > maxReaderStoreAge {
			ws.CloseNow()
			p.dropSource(host)
			continue
		}
		p.settings.Log.Info("following another host", zap.Stringer("host", host), zap.Int64("heard_ms", n.StoreAgeMs))
		err = p.follow(ctx, host, ws, n, func(n *syncMessage) bool { return p.settings.NeedsPeers() && p.isFresh(n) })
		p.settings.Log.Info("stopped following another host", zap.Stringer("host", host), zap.Error(err))
		return true
	}
	return false
}

// directoryHosts returns a few hosts that may have the directory, first the one that said so last.
func (p *Peer) directoryHosts(held bool) []netip.AddrPort {
	hosts := p.peers.list(p.settings.Now())
	if held {
		shuffle(hosts)
		return firstHosts(hosts, probeHosts)
	}
	if source := p.source.Load(); source != nil {
		hosts = append([]netip.AddrPort{*source}, slices.DeleteFunc(hosts, func(a netip.AddrPort) bool { return a == *source })...)
	}
	return firstHosts(hosts, followTries)
}

// dropSource forgets a host as one that has a recent directory.
func (p *Peer) dropSource(host netip.AddrPort) {
	if source := p.source.Load(); source != nil && *source == host {
		p.source.CompareAndSwap(source, nil)
	}
}

// hasFreshDirectory reports whether the directory of a host is fresh by its answer to a hello.
func (p *Peer) hasFreshDirectory(ctx context.Context, host netip.AddrPort) bool {
	n, err := p.hello(ctx, host, false)
	if err != nil {
		p.Stats.Failed.Add(1)
		return false
	}
	return p.isFresh(n) && !p.isBehind(n)
}

// hasDirectory reports whether the sender of a message has the directory.
func (n *syncMessage) hasDirectory() bool { return n.Era > 0 || n.Revision > 0 }

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
		b, err := p.read(ctx, ws)
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
	p.readerDepth.Store(int32(n.Depth))
	p.settings.ApplyUpdate(ctx, host, u, storeAge)
	if len(n.Update) == 0 {
		// Followers of this host get a message with an update when they get the update.
		p.heard.signal()
	}
	if behind {
		return eris.Errorf("it is in era %d of the store, this host in a later one", n.Era)
	}
	return nil
}
