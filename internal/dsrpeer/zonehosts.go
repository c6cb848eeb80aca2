package dsrpeer

import (
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/loadcontrol"
)

const (
	// seenWithin is the age up to which a host counts as seen. A hello takes up to one
	// helloMaxInterval to reach the zone's contact, and another one until a host asks that one. The rest
	// is for the hellos themselves.
	seenWithin = 2*helloMaxInterval + helloMinInterval
	// knownToZoneAfter is the time from the start of a host until all hosts of its zone know it and it
	// knows them: as long, if the zone's contact has started with it.
	knownToZoneAfter = seenWithin
	// ownerExpiry is how long a host without a sign keeps its cold upstreams. When a zone is cut in two,
	// the others may have seen it seenWithin before, and it notices up to seenWithin later.
	ownerExpiry = 2*seenWithin + 2*time.Second
	// formerRetention is how long a host that expired still counts as one of the zone. A part of the zone
	// that is cut off for as long counts as the whole zone then.
	formerRetention = 10 * time.Minute
	// maxZoneHosts is the largest zone whose hosts all learn of each other before entries expire.
	maxZoneHosts = maxPeers + 1
)

// ZoneHosts returns what this host knows of the hosts of its zone.
func (p *Peer) ZoneHosts() loadcontrol.ZoneHosts {
	return p.peers.ownerHosts(p.settings.Now(), p.answeredHellos.Load() > 0)
}

// ownerHosts returns the hosts of the zone, without any if they can't be known: messages don't name all of
// a larger zone, and a host that knows no other one there and had no answer to a hello may be cut off.
func (t *peerTable) ownerHosts(now time.Duration, answered bool) loadcontrol.ZoneHosts {
	z := t.zoneHosts(now)
	if len(z.Hosts) > maxZoneHosts || z.Known == 0 && !answered && len(t.list(now)) > 0 {
		z.Hosts = nil
	}
	return z
}

// ZoneHostsOf returns the hosts of a zone with only the given one.
func ZoneHostsOf(alone netip.AddrPort) loadcontrol.ZoneHosts {
	return loadcontrol.ZoneHosts{Self: rank(alone), Hosts: []uint64{rank(alone)}}
}

// zoneHosts returns the hosts of the zone. Unlike position, it has those that did not answer a call or
// expired until ownerExpiry: a host that is only slow may still open flows to cold upstreams.
func (t *peerTable) zoneHosts(now time.Duration) loadcontrol.ZoneHosts {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	z := ZoneHostsOf(t.self)
	z.NewcomerTime = knownToZoneAfter
	add := func(a netip.AddrPort, e peerEntry) {
		if e.zone != t.zone {
			return
		}
		z.Known++
		if now-e.lastSeen <= seenWithin {
			z.Seen++
		}
		if now-e.lastSeen <= ownerExpiry {
			z.Hosts = append(z.Hosts, rank(a))
		}
	}
	for a, e := range t.hosts {
		add(a, e)
	}
	for a, e := range t.former {
		if now-e.lastSeen > formerRetention {
			delete(t.former, a)
			continue
		}
		add(a, e)
	}
	slices.Sort(z.Hosts)
	return z
}

// retire deletes a host and keeps it as a former one. The caller holds the lock.
func (t *peerTable) retire(a netip.AddrPort) {
	if e, ok := t.hosts[a]; ok && e.zone == t.zone && len(t.former) < maxKnownPeers {
		t.former[a] = e
	}
	delete(t.hosts, a)
}
