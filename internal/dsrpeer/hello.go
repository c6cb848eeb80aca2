package dsrpeer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/store"
)

// SendHellos sends hellos to other hosts until the context ends, so that the hosts of a zone know each
// other: to random hosts of the zone, often while hosts are announced; to contacts at the start, seldom
// afterwards, and while no host of the zone is known.
func (p *Peer) SendHellos(ctx context.Context) {
	p.greet(ctx)
	close(p.greeted)
	p.contactedAt, p.contactFactor = p.settings.Now(), rand.Float64()-0.5
	var pace helloPace
	for ctx.Err() == nil {
		interval := pace.next(p.peers.addedHosts(), p.peers.position(p.settings.Now()).Count > 1)
		if !p.helloAny(ctx, &pace) {
			interval = helloRetry
		}
		p.awaitMember(ctx, jitter(interval), pace.steady())
	}
}

// helloPace decides about the time between hellos.
type helloPace struct {
	// added is the number of hosts of the zone that were added so far, and announcements the number of hellos that are
	// still to be sent because of the last of them.
	added         uint64
	announcements int
	// steadyHellos is the number of hellos without an announcement.
	steadyHellos int
	// alone is the last interval of a host that knew no other one of its zone.
	alone time.Duration
}

// next returns the time from the next hello to the one after it. Its arguments are the number of
// hosts of the zone that were added since the start and whether any is known now.
func (p *helloPace) next(added uint64, known bool) time.Duration {
	p.announcements = max(p.announcements-1, 0)
	if added != p.added {
		p.added, p.announcements = added, announceHellos
	}
	if p.announcements == 0 {
		p.steadyHellos++
	}
	switch {
	case !known:
		p.alone = min(max(2*p.alone, helloMinInterval), helloMaxInterval)
		return p.alone
	case p.announcements > 0:
		p.alone = 0
		return announceInterval
	default:
		return steadyInterval
	}
}

// steady reports whether no host is announced.
func (p *helloPace) steady() bool { return p.announcements == 0 }

// targets returns the hosts of the zone that the next hello is sent to, until one answers. Announcements go to random
// hosts, and some of them to the next places of the ring, so that each host gets some; ages reach each host the same
// number of times.
func (p *helloPace) targets(now time.Duration, t *peerTable) []netip.AddrPort {
	hosts := t.randomZoneHosts(now, helloTries)
	switch {
	case p.steady():
		return append(t.distantZoneHost(now, p.steadyHellos), hosts...)
	case p.announcements%ringDivisor == 0:
		return append(t.distantZoneHost(now, p.announcements/ringDivisor-1), hosts...)
	default:
		return hosts
	}
}

// awaitMember waits for a duration, and no longer than announceInterval after the host learned of another
// one of its zone in a steady state.
func (p *Peer) awaitMember(ctx context.Context, d time.Duration, steady bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	added := p.peers.memberAdded
	if !steady {
		added = nil
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-added:
		sleep(ctx, min(jitter(announceInterval), d))
	}
}

// helloAny sends hellos until a host answers, in a steady state with the ages of known hosts. It reports false
// if hosts are known but none answered.
func (p *Peer) helloAny(ctx context.Context, pace *helloPace) bool {
	now := p.settings.Now()
	hosts := pace.targets(now, p.peers)
	if order := p.peers.helloOrder(now); len(hosts) == 0 {
		hosts = order
	} else if now-p.contactedAt >= p.contactInterval(now) {
		hosts = append(firstHosts(order, helloTries), hosts...)
		p.contactedAt, p.contactFactor = now, rand.Float64()
	}
	for _, host := range hosts {
		if n, err := p.hello(ctx, host, pace.steady()); err == nil {
			p.answeredHellos.Add(1)
			p.fetchLost(ctx, host, n)
			return true
		}
	}
	return len(hosts) == 0
}

// contactInterval returns a random time between hellos to contacts, such that about startHellos hosts of a zone send
// one in each helloMaxInterval: the contacts then know some hosts of each zone, and parts of a zone that don't
// know each other meet there.
func (p *Peer) contactInterval(now time.Duration) time.Duration {
	hosts := max(1, float64(p.peers.position(now).Count)/startHellos)
	return time.Duration(hosts * (0.5 + p.contactFactor) * float64(helloMaxInterval))
}

// hello sends a hello to a host, reconciles the known hosts of the zone with it and returns its answer.
func (p *Peer) hello(ctx context.Context, host netip.AddrPort, ages bool) (*syncMessage, error) {
	p.Stats.Hellos.Add(1)
	n, ws, err := p.dial(ctx, host, helloPath, p.helloFrom(p.settings.Replica.Position(), p.peers.summarize(p.settings.Now(), ages)))
	if err != nil {
		return nil, err
	}
	defer ws.CloseNow()
	p.addPeers(host, n)
	if n.hasDirectory() {
		p.noteSource(host)
	}
	if n.Self.Zone != p.settings.Zone || len(n.Hosts) == 0 {
		return n, nil
	}
	now := p.settings.Now()
	p.peers.addZoneHosts(now, n.Named)
	differs := p.peers.mergeSummary(now, n.Hosts)
	if named := p.peers.nameDiffering(now, differs, n.Named); len(named) > 0 && differs != [memberBuckets]bool{} {
		// If the write fails, the next hello names the hosts again.
		_ = p.write(ctx, ws, &namedHosts{Hosts: named})
		// The other host closes the connection when it has read them.
		_, _ = p.read(ctx, ws)
	}
	return n, nil
}

// greet sends hellos to a few hosts, so that a host that starts learns which others its zone has and what any
// of them keeps of the entries that the store lost: a contact, and hosts of the zone as soon as some
// are known. The hosts of a zone begin with the same contact: those that start together meet there.
func (p *Peer) greet(ctx context.Context) {
	greeted := make(map[netip.AddrPort]bool)
	for range startHellos {
		now := p.settings.Now()
		for _, host := range append(p.peers.randomZoneHosts(now, maxKnownPeers), p.peers.helloOrder(now)...) {
			if greeted[host] {
				continue
			}
			greeted[host] = true
			if n, err := p.hello(ctx, host, true); err == nil {
				p.answeredHellos.Add(1)
				p.fetchLost(ctx, host, n)
			}
			break
		}
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
	n, ws, err := p.dialDirectory(ctx, host, directoryPath, store.Position{}, 0)
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
