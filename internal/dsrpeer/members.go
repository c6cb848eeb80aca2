package dsrpeer

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hosts of a zone reconcile the sets of hosts that they know with three messages: the hello
// summarizes the sender's set, the answer names the hosts in which the receiver's set differs and
// summarizes it, and a last message names what the receiver lacks. Where the sets agree, the times
// at which hosts were last seen are exchanged without their names.

const (
	// memberBuckets is the number of parts of the hosts of a zone that are compared: with 814 hosts
	// a difference is found by naming 51.
	memberBuckets = 16
	// maxNamed is the largest number of hosts that one message names; a random sample of more.
	maxNamed = 256
	// zoneIntroductions and otherIntroductions are the numbers of hosts that an answer to a host of
	// another zone names, of that zone and others.
	zoneIntroductions  = 12
	otherIntroductions = 2
	// ageUnit is the unit of ages without names. Ages are rounded up, so that passing
	// them on never makes a host look more recent.
	ageUnit = 500 * time.Millisecond
	// maxAgeUnits bounds such an age; it is longer than peerExpiry.
	maxAgeUnits = 255
)

// bucket summarizes a part of the known hosts of a zone, including the sender.
type bucket struct {
	_ struct{} `cbor:",toarray"`
	// Digest is a digest of the addresses.
	Digest uint32
	// Ages holds the time since each host was last seen, in units of ageUnit and in the order of the
	// ranks; empty if only the digests are to be compared.
	Ages []byte
}

// zoneHost names a host of the sender's zone.
type zoneHost struct {
	_ struct{} `cbor:",toarray"`
	// Address is the binary form of the control address.
	Address []byte
	// Age is the time since the host was last seen, in units of ageUnit.
	Age uint8
}

// namedHosts is the last message of a reconciliation.
type namedHosts struct {
	_     struct{} `cbor:",toarray"`
	Hosts []zoneHost
}

// ranked is a host with its rank.
type ranked struct {
	address netip.AddrPort
	rank    uint64
}

// compareRanks orders the hosts of a zone; all hosts use the same order.
func compareRanks(x, y ranked) int {
	return cmp.Or(cmp.Compare(x.rank, y.rank), x.address.Compare(y.address))
}

// rankedZone returns this host and the known hosts of its zone in the order of their ranks. The
// caller holds the lock, and does not change the result.
func (t *peerTable) rankedZone(now time.Duration) []ranked {
	t.expire(now)
	if t.sorted != nil {
		return t.sorted
	}
	t.sorted = []ranked{{t.self, rank(t.self)}}
	for a, e := range t.hosts {
		if e.zone == t.zone {
			t.sorted = append(t.sorted, ranked{a, rank(a)})
		}
	}
	slices.SortFunc(t.sorted, compareRanks)
	return t.sorted
}

// buckets divides ranked hosts into the parts that are compared.
func buckets(hosts []ranked) [memberBuckets][]ranked {
	var out [memberBuckets][]ranked
	for _, h := range hosts {
		// The order of the ranks is that of the buckets.
		b := h.rank / (1 << 64 / memberBuckets)
		out[b] = append(out[b], h)
	}
	return out
}

func digest(hosts []ranked) uint32 {
	h := xxhash.New()
	for _, r := range hosts {
		b, err := r.address.MarshalBinary()
		if err != nil {
			continue
		}
		// Writing to a hash does not fail.
		_, _ = h.Write(b)
	}
	return uint32(h.Sum64())
}

// ageUnits returns the time since a host was last seen, rounded up. The caller holds the lock.
func (t *peerTable) ageUnits(now time.Duration, a netip.AddrPort) uint8 {
	if a == t.self {
		return 0
	}
	age := max(now-t.hosts[a].lastSeen, 0)
	return uint8(min((age+ageUnit-1)/ageUnit, maxAgeUnits))
}

// summarize returns a summary of the known hosts of the zone, with ages if requested.
func (t *peerTable) summarize(now time.Duration, ages bool) []bucket {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]bucket, memberBuckets)
	for i, hosts := range buckets(t.rankedZone(now)) {
		out[i].Digest = digest(hosts)
		if !ages {
			continue
		}
		for _, h := range hosts {
			out[i].Ages = append(out[i].Ages, t.ageUnits(now, h.address))
		}
	}
	return out
}

// mergeSummary takes over the later of the times at which hosts were last seen, where the summary of
// another host is of the same hosts. It returns whether each part differs.
func (t *peerTable) mergeSummary(now time.Duration, theirs []bucket) (differs [memberBuckets]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, hosts := range buckets(t.rankedZone(now)) {
		if i >= len(theirs) || theirs[i].Digest != digest(hosts) {
			differs[i] = true
			continue
		}
		if len(theirs[i].Ages) != len(hosts) {
			continue
		}
		for j, h := range hosts {
			if e, ok := t.hosts[h.address]; ok {
				e.lastSeen = max(e.lastSeen, now-time.Duration(theirs[i].Ages[j])*ageUnit)
				t.hosts[h.address] = e
			}
		}
	}
	return differs
}

// nameDiffering names the known hosts of the zone in the parts that differ, except those that the
// other host named: all of them, or a random sample of maxNamed.
func (t *peerTable) nameDiffering(now time.Duration, differs [memberBuckets]bool, theirs []zoneHost) []zoneHost {
	known := make(map[string]bool, len(theirs))
	for i := range theirs {
		known[string(theirs[i].Address)] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []zoneHost
	for i, hosts := range buckets(t.rankedZone(now)) {
		if !differs[i] {
			continue
		}
		for _, h := range hosts {
			b, err := h.address.MarshalBinary()
			if err != nil || known[string(b)] {
				continue
			}
			out = append(out, zoneHost{Address: b, Age: t.ageUnits(now, h.address)})
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxNamed)]
}

// addZoneHosts adds the hosts of the zone that another host named.
func (t *peerTable) addZoneHosts(now time.Duration, hosts []zoneHost) {
	for i := range hosts {
		var a netip.AddrPort
		if a.UnmarshalBinary(hosts[i].Address) == nil {
			t.add(now, now-time.Duration(hosts[i].Age)*ageUnit, a, t.zone)
		}
	}
}

// randomZoneHosts returns up to count known hosts of the zone in random order.
func (t *peerTable) randomZoneHosts(now time.Duration, count int) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []netip.AddrPort
	for a, e := range t.hosts {
		if e.zone == t.zone {
			out = append(out, a)
		}
	}
	shuffle(out)
	return firstHosts(out, count)
}

// distantZoneHost returns the host of the zone that is the given power of two of places behind this one in the order
// of the ranks, which is a ring. If all hosts go through the powers, each host is chosen as often
// as any other. It returns none if this host knows no other one.
func (t *peerTable) distantZoneHost(now time.Duration, power int) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	zone := t.rankedZone(now)
	if len(zone) < 2 {
		return nil
	}
	// The distances are less than the number of hosts.
	power %= bits.Len(uint(len(zone) - 1))
	index := slices.IndexFunc(zone, func(r ranked) bool { return r.address == t.self })
	return []netip.AddrPort{zone[(index+(1<<power))%len(zone)].address}
}

// introductions returns a few random hosts for a message to a host of a zone: some of its zone, unless
// it is this host's, and some others.
func (t *peerTable) introductions(now time.Duration, zone string) []peerInfo {
	if zone == t.zone {
		named := t.peerInfos(now, "")
		return named[:min(len(named), otherIntroductions)]
	}
	named := t.peerInfos(now, zone)
	if len(named) <= zoneIntroductions+otherIntroductions {
		return named
	}
	return append(named[:zoneIntroductions:zoneIntroductions], named[len(named)-otherIntroductions:]...)
}
