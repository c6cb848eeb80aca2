package dsrpeer

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosashore.example/mimosashore/internal/loadcontrol"
)

const (
	// maxKnownPeers is the capacity of the peer table. It holds the hosts of the largest planned zone,
	// 814, which divide the zone's upstreams among themselves.
	maxKnownPeers = 1024
	// peerExpiry is the time without a sign of a host after which it is removed. The hosts of a zone hear of
	// each other every few steadyInterval. Where a host knows no other of its zone, a hello takes up to one
	// helloMaxInterval to reach the zone's contact, and another one until a host asks that one.
	peerExpiry = 3 * helloMaxInterval
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
	// former holds hosts of the zone that expired or did not answer.
	former map[netip.AddrPort]peerEntry
	// sorted is the result of rankedZone; nil if hosts changed since.
	sorted []ranked
	// added counts the hosts of the zone that were added. memberAdded is signalled with each of them.
	added       uint64
	memberAdded chan struct{}
}

// peerEntry is a known host.
type peerEntry struct {
	zone string
	// lastSeen is when the host last sent a hello or answered, to this host or to the one that named it.
	lastSeen time.Duration
}

func newPeerTable(self netip.AddrPort, zone string, contacts []netip.AddrPort) *peerTable {
	return &peerTable{self: self, zone: zone, contacts: contacts, hosts: make(map[netip.AddrPort]peerEntry), former: make(map[netip.AddrPort]peerEntry), memberAdded: make(chan struct{}, 1)}
}

// add adds a host that was seen at the given time, or updates it if it was seen earlier. Hosts last
// seen more than peerExpiry ago are not added.
func (t *peerTable) add(now, seen time.Duration, a netip.AddrPort, zone string) {
	if !a.IsValid() || a == t.self || now-seen > peerExpiry {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.hosts[a]
	switch {
	case ok && known.lastSeen >= seen:
		return
	case !ok && len(t.hosts) >= maxKnownPeers && !t.evictOldest(zone):
		return
	}
	t.hosts[a] = peerEntry{zone, seen}
	delete(t.former, a)
	if !ok || known.zone != zone {
		t.sorted = nil
	}
	if !ok && zone == t.zone {
		t.added++
		select {
		case t.memberAdded <- struct{}{}:
		default:
		}
	}
}

// addedHosts returns the number of hosts of the zone that were added since the start.
func (t *peerTable) addedHosts() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.added
}

// addNamed adds the hosts named by another one, unless the table is full, and updates known ones. The
// age of each keeps hosts from passing on a dead one indefinitely.
func (t *peerTable) addNamed(now time.Duration, named []peerInfo) {
	for _, n := range named {
		a, err := netip.ParseAddrPort(n.Control)
		if err != nil || n.AgeMs < 0 {
			continue
		}
		t.mu.Lock()
		_, ok := t.hosts[a]
		full := len(t.hosts) >= maxKnownPeers
		t.mu.Unlock()
		if ok || !full {
			t.add(now, now-age(n.AgeMs), a, n.Zone)
		}
	}
}

// evictOldest makes room for a host of a zone: it removes the oldest host of another zone than this
// host's, or else, for one of this host's zone, the oldest of all. The caller holds the lock.
func (t *peerTable) evictOldest(forZone string) bool {
	var oldest, oldestForeign netip.AddrPort
	for a, e := range t.hosts {
		if !oldest.IsValid() || e.lastSeen < t.hosts[oldest].lastSeen {
			oldest = a
		}
		if e.zone != t.zone && (!oldestForeign.IsValid() || e.lastSeen < t.hosts[oldestForeign].lastSeen) {
			oldestForeign = a
		}
	}
	switch {
	case oldestForeign.IsValid():
		delete(t.hosts, oldestForeign)
	case forZone == t.zone:
		delete(t.hosts, oldest)
		t.sorted = nil
	default:
		return false
	}
	return true
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
			t.retire(a)
			t.sorted = nil
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

// helloOrder returns the hosts to try for a hello: the contacts, the known hosts of the zone, then the
// others in random order. All hosts of a zone put the first two in the same order, so that the first
// one that answers knows all of them, also while the zone is cut off from the contacts.
func (t *peerTable) helloOrder(now time.Duration) []netip.AddrPort {
	known := t.list(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	zone := xxhash.Sum64String(t.zone)
	place := func(a netip.AddrPort) (int, uint64) {
		switch e, ok := t.hosts[a]; {
		case slices.Contains(t.contacts, a):
			return 0, rank(a) ^ zone
		case ok && e.zone == t.zone:
			return 1, rank(a)
		default:
			return 2, 0
		}
	}
	slices.SortStableFunc(known, func(a, b netip.AddrPort) int {
		groupA, rankA := place(a)
		groupB, rankB := place(b)
		return cmp.Or(cmp.Compare(groupA, groupB), cmp.Compare(rankA, rankB))
	})
	return known
}

// peerInfos returns up to maxPeers known hosts for a message to a host of a zone, those of its zone
// first.
func (t *peerTable) peerInfos(now time.Duration, zone string) []peerInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var same, others []peerInfo
	for a, e := range t.hosts {
		info := peerInfo{Control: a.String(), Zone: e.zone, AgeMs: (now - e.lastSeen).Milliseconds()}
		if e.zone == zone {
			same = append(same, info)
		} else {
			others = append(others, info)
		}
	}
	all := append(same, others...)
	return all[:min(len(all), maxPeers)]
}

// position returns the place of this host among the known hosts of its zone.
func (t *peerTable) position(now time.Duration) loadcontrol.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	p := loadcontrol.Position{Count: 1}
	self := rank(t.self)
	for a, e := range t.hosts {
		if e.zone != t.zone {
			continue
		}
		p.Count++
		if rank(a) < self {
			p.Index++
		}
	}
	return p
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
