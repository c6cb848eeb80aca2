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
	// bookSize is the number of hosts that are remembered; a few suffice to find one that answers.
	bookSize = 48
	// bookAge is how long a host is remembered after it was last heard of. Hosts say hello each helloInterval.
	bookAge = 60 * time.Second
	// watchersPerZone is the number of hosts of a zone that read the store for
	// the others; the second one is there when the first dies.
	watchersPerZone = 2
)

// book holds the other hosts that are known.
type book struct {
	mu       sync.Mutex
	self     netip.AddrPort
	zone     string
	contacts []netip.AddrPort
	hosts    map[netip.AddrPort]known
}

// known is a host of which was heard.
type known struct {
	zone string
	at   time.Duration
}

func newBook(self netip.AddrPort, zone string, contacts []netip.AddrPort) *book {
	return &book{self: self, zone: zone, contacts: contacts, hosts: make(map[netip.AddrPort]known)}
}

// add remembers a host that was heard of now.
func (b *book) add(now time.Duration, a netip.AddrPort, zone string) {
	if !a.IsValid() || a == b.self {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.hosts[a]; !ok && len(b.hosts) >= bookSize {
		b.forgetOldest()
	}
	b.hosts[a] = known{zone, now}
}

// hint remembers a host that another one named, unless it is known.
func (b *book) hint(now time.Duration, c contact) {
	a, err := netip.ParseAddrPort(c.Control)
	if err != nil {
		return
	}
	b.mu.Lock()
	_, ok := b.hosts[a]
	full := len(b.hosts) >= bookSize
	b.mu.Unlock()
	if !ok && !full {
		b.add(now, a, c.Zone)
	}
}

func (b *book) forgetOldest() {
	var oldest netip.AddrPort
	for a, k := range b.hosts {
		if !oldest.IsValid() || k.at < b.hosts[oldest].at {
			oldest = a
		}
	}
	delete(b.hosts, oldest)
}

// forget removes a host that did not answer. It is back with its next hello.
func (b *book) forget(a netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.hosts, a)
}

// setContacts replaces the contacts of the settings.
func (b *book) setContacts(contacts []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.contacts = contacts
}

// expire removes hosts of which was not heard for long. The lock is held.
func (b *book) expire(now time.Duration) {
	for a, k := range b.hosts {
		if now-k.at > bookAge {
			delete(b.hosts, a)
		}
	}
}

// list returns the known hosts in random order, the contacts last.
func (b *book) list(now time.Duration) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var out []netip.AddrPort
	for a := range b.hosts {
		out = append(out, a)
	}
	shuffle(out)
	count := len(out)
	for _, a := range b.contacts {
		if _, ok := b.hosts[a]; !ok && a != b.self {
			out = append(out, a)
		}
	}
	shuffle(out[count:])
	return out
}

// names returns the known hosts for a message.
func (b *book) names(now time.Duration) []contact {
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

// watchers returns the hosts of the own zone that this one expects to read the
// store for it, or none if it is one of them itself. All hosts rank the hosts of
// a zone in the same order; where they know different ones, more of them read the store.
func (b *book) watchers(now time.Duration) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	ranked := []netip.AddrPort{b.self}
	for a, k := range b.hosts {
		if k.zone == b.zone {
			ranked = append(ranked, a)
		}
	}
	slices.SortFunc(ranked, func(x, y netip.AddrPort) int { return cmp.Compare(score(x), score(y)) })
	ranked = ranked[:min(len(ranked), watchersPerZone)]
	if slices.Contains(ranked, b.self) {
		return nil
	}
	shuffle(ranked)
	return ranked
}

// score orders the hosts of a zone at random, the same on all hosts.
func score(a netip.AddrPort) uint64 {
	b, err := a.MarshalBinary()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func shuffle(a []netip.AddrPort) {
	rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] })
}
