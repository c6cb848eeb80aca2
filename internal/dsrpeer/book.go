package dsrpeer

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// bookSize is the number of hosts that are remembered; a few suffice to find one that answers.
	bookSize = 48
	// bookAge is how long a host is remembered after it was last heard of. Hosts say hello each helloInterval.
	bookAge = 60 * time.Second
)

// book holds the control addresses of other hosts.
type book struct {
	mu       sync.Mutex
	self     netip.AddrPort
	contacts []netip.AddrPort
	heard    map[netip.AddrPort]time.Duration
}

func newBook(self netip.AddrPort, contacts []netip.AddrPort) *book {
	return &book{self: self, contacts: contacts, heard: make(map[netip.AddrPort]time.Duration)}
}

// add remembers a host that was heard of now.
func (b *book) add(now time.Duration, a netip.AddrPort) {
	if !a.IsValid() || a == b.self {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.heard[a]; !known && len(b.heard) >= bookSize {
		b.forgetOldest()
	}
	b.heard[a] = now
}

// hint remembers a host that another one named, unless it is known.
func (b *book) hint(now time.Duration, text string) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return
	}
	b.mu.Lock()
	_, known := b.heard[a]
	full := len(b.heard) >= bookSize
	b.mu.Unlock()
	if !known && !full {
		b.add(now, a)
	}
}

func (b *book) forgetOldest() {
	var oldest netip.AddrPort
	for a, at := range b.heard {
		if !oldest.IsValid() || at < b.heard[oldest] {
			oldest = a
		}
	}
	delete(b.heard, oldest)
}

// setContacts replaces the contacts of the settings.
func (b *book) setContacts(contacts []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.contacts = contacts
}

// list returns the known hosts in random order, the contacts last.
func (b *book) list(now time.Duration) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []netip.AddrPort
	for a, at := range b.heard {
		if now-at > bookAge {
			delete(b.heard, a)
			continue
		}
		out = append(out, a)
	}
	shuffle(out)
	known := len(out)
	for _, a := range b.contacts {
		if _, ok := b.heard[a]; !ok && a != b.self {
			out = append(out, a)
		}
	}
	shuffle(out[known:])
	return out
}

// names returns the known hosts as text.
func (b *book) names(now time.Duration) []string {
	var out []string
	for _, a := range b.list(now) {
		if len(out) < maxPeers {
			out = append(out, a.String())
		}
	}
	return out
}

func shuffle(a []netip.AddrPort) {
	rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] })
}
