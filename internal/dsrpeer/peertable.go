package dsrpeer

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxKnownPeers is the capacity of the peer table; a few hosts suffice to find one that answers.
	maxKnownPeers = 48
	// peerExpiry is the time after which a host without a new hello is removed. Hosts send one at least every helloMaxInterval.
	peerExpiry = 60 * time.Second
	// storeReadersPerZone is the number of hosts of a zone that read the store for
	// the others; the second is the standby for a failure of the first.
	storeReadersPerZone = 2
)

// peerTable holds the known hosts and the configured contacts.
type peerTable struct {
	mu       sync.Mutex
	self     netip.AddrPort
	zone     string
	contacts []netip.AddrPort
	hosts    map[netip.AddrPort]peerEntry
}

// peerEntry is a known host.
type peerEntry struct {
	zone string
	// lastSeen is when the host last sent a hello, answered, or was first named by another host.
	lastSeen time.Duration
}

func newPeerTable(self netip.AddrPort, zone string, contacts []netip.AddrPort) *peerTable {
	return &peerTable{self: self, zone: zone, contacts: contacts, hosts: make(map[netip.AddrPort]peerEntry)}
}

// add adds a host, or updates its zone and the time it was last seen.
func (t *peerTable) add(now time.Duration, a netip.AddrPort, zone string) {
	if !a.IsValid() || a == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.hosts[a]; !ok && len(t.hosts) >= maxKnownPeers {
		t.evictOldest()
	}
	t.hosts[a] = peerEntry{zone, now}
}

// addIfUnknown adds a host named by another one, unless it is known or the table is full.
func (t *peerTable) addIfUnknown(now time.Duration, c peerInfo) {
	a, err := netip.ParseAddrPort(c.Control)
	if err != nil {
		return
	}
	t.mu.Lock()
	_, ok := t.hosts[a]
	full := len(t.hosts) >= maxKnownPeers
	t.mu.Unlock()
	if !ok && !full {
		t.add(now, a, c.Zone)
	}
}

func (t *peerTable) evictOldest() {
	var oldest netip.AddrPort
	for a, e := range t.hosts {
		if !oldest.IsValid() || e.lastSeen < t.hosts[oldest].lastSeen {
			oldest = a
		}
	}
	delete(t.hosts, oldest)
}

// remove removes a host that did not answer. Its next hello adds it again.
func (t *peerTable) remove(a netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.hosts, a)
}

// setContacts replaces the configured contacts.
func (t *peerTable) setContacts(contacts []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contacts = contacts
}

// expire removes hosts last seen more than peerExpiry ago. The caller holds the lock.
func (t *peerTable) expire(now time.Duration) {
	for a, e := range t.hosts {
		if now-e.lastSeen > peerExpiry {
			delete(t.hosts, a)
		}
	}
}

// list returns the known hosts in random order, followed by the other contacts in random order.
func (t *peerTable) list(now time.Duration) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []netip.AddrPort
	for a := range t.hosts {
		out = append(out, a)
	}
	shuffle(out)
	known := len(out)
	for _, a := range t.contacts {
		if _, ok := t.hosts[a]; !ok && a != t.self {
			out = append(out, a)
		}
	}
	shuffle(out[known:])
	return out
}

// peerInfos returns up to maxPeers known hosts for a message.
func (t *peerTable) peerInfos(now time.Duration) []peerInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []peerInfo
	for a, e := range t.hosts {
		if len(out) < maxPeers {
			out = append(out, peerInfo{Control: a.String(), Zone: e.zone})
		}
	}
	return out
}

// storeReaders returns the hosts of this host's zone that should read the store for
// it, or none if this host is one of them. All hosts rank the hosts of a zone
// in the same order; where their tables differ, more hosts than necessary read the store.
func (t *peerTable) storeReaders(now time.Duration) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	ranked := []netip.AddrPort{t.self}
	for a, e := range t.hosts {
		if e.zone == t.zone {
			ranked = append(ranked, a)
		}
	}
	slices.SortFunc(ranked, func(x, y netip.AddrPort) int { return cmp.Compare(rank(x), rank(y)) })
	ranked = ranked[:min(len(ranked), storeReadersPerZone)]
	if slices.Contains(ranked, t.self) {
		return nil
	}
	shuffle(ranked)
	return ranked
}

// rank returns a hash of the address, by which all hosts put a zone's hosts in the same order.
func rank(a netip.AddrPort) uint64 {
	b, err := a.MarshalBinary()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func shuffle(a []netip.AddrPort) {
	rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] })
}
