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
func (b *peerTable) add(now time.Duration, a netip.AddrPort, zone string) {
	if !a.IsValid() || a == b.self {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.hosts[a]; !ok && len(b.hosts) >= maxKnownPeers {
		b.evictOldest()
	}
	b.hosts[a] = peerEntry{zone, now}
}

// addIfUnknown adds a host named by another one, unless it is known or the table is full.
func (b *peerTable) addIfUnknown(now time.Duration, c contact) {
	a, err := netip.ParseAddrPort(c.Control)
	if err != nil {
		return
	}
	b.mu.Lock()
	_, ok := b.hosts[a]
	full := len(b.hosts) >= maxKnownPeers
	b.mu.Unlock()
	if !ok && !full {
		b.add(now, a, c.Zone)
	}
}

func (b *peerTable) evictOldest() {
	var oldest netip.AddrPort
	for a, k := range b.hosts {
		if !oldest.IsValid() || k.lastSeen < b.hosts[oldest].lastSeen {
			oldest = a
		}
	}
	delete(b.hosts, oldest)
}

// remove removes a host that did not answer. Its next hello adds it again.
func (b *peerTable) remove(a netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.hosts, a)
}

// setContacts replaces the configured contacts.
func (b *peerTable) setContacts(contacts []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.contacts = contacts
}

// expire removes hosts last seen more than peerExpiry ago. The caller holds the lock.
func (b *peerTable) expire(now time.Duration) {
	for a, k := range b.hosts {
		if now-k.lastSeen > peerExpiry {
			delete(b.hosts, a)
		}
	}
}

// list returns the known hosts in random order, followed by the other contacts in random order.
func (b *peerTable) list(now time.Duration) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var out []netip.AddrPort
	for a := range b.hosts {
		out = append(out, a)
	}
	shuffle(out)
	known := len(out)
	for _, a := range b.contacts {
		if _, ok := b.hosts[a]; !ok && a != b.self {
			out = append(out, a)
		}
	}
	shuffle(out[known:])
	return out
}

// contactList returns up to maxPeers known hosts for a message.
func (b *peerTable) contactList(now time.Duration) []contact {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var out []contact
	for a, k := range b.hosts {
		if len(out) < maxPeers {
			out = append(out, contact{Control: a.String(), Zone: k.zone})
		}
	}
	return out
}

// storeReaders returns the hosts of the own zone that should read the store for
// this one, or none if this host is one of them. All hosts rank the hosts of a zone
// in the same order; where their tables differ, more hosts than necessary read the store.
func (b *peerTable) storeReaders(now time.Duration) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	ranked := []netip.AddrPort{b.self}
	for a, k := range b.hosts {
		if k.zone == b.zone {
			ranked = append(ranked, a)
		}
	}
	slices.SortFunc(ranked, func(x, y netip.AddrPort) int { return cmp.Compare(rank(x), rank(y)) })
	ranked = ranked[:min(len(ranked), storeReadersPerZone)]
	if slices.Contains(ranked, b.self) {
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
