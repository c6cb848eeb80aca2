package loadcontrol

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldSpan is the span in which opening packets to a cold upstream are counted. The bound is for any
	// second; the rest is for packets that are delayed on the way and arrive closer together.
	coldSpan = 1050 * time.Millisecond
	// maxColdLimit bounds the packets in a span, and with them the memory of a ColdPacer.
	maxColdLimit = 4096
	// ownerDelay is how long a host that became responsible for a cold upstream by a change of the known
	// hosts opens nothing there: the one before may have used up the bound.
	ownerDelay = coldSpan
	// zoneHostsMaxAge is the age above which the known hosts decide nothing. They are set each second; those
	// of a host that was paused are older, and the others may have replaced it.
	zoneHostsMaxAge = 2500 * time.Millisecond
)

// ColdBound is the bound on the opening packets to a cold upstream in any second: the rate that its
// service declares, times Over, plus Slack.
type ColdBound struct {
	Over, Slack float64
}

// ColdLimit returns the number of opening packets that a cold upstream may get in a second.
func (b ColdBound) ColdLimit(perSecond float64) int {
	return int(math.Floor(min(max(perSecond*b.Over+b.Slack, 0), maxColdLimit)))
}

// ColdPacer counts the opening packets to a cold upstream in a sliding window.
type ColdPacer struct {
	// sent holds the times of the packets in the window, the oldest first.
	sent []time.Duration
}

// Admits reports whether another packet may be sent under the limit.
func (p *ColdPacer) Admits(now time.Duration, limit int) bool {
	return p.inWindow(now) < limit
}

// Sent records a packet.
func (p *ColdPacer) Sent(now time.Duration) {
	p.inWindow(now)
	p.sent = append(p.sent, now)
}

// NextAt returns when the oldest packet leaves the window.
func (p *ColdPacer) NextAt() time.Duration {
	if len(p.sent) == 0 {
		return 0
	}
	return p.sent[0] + coldSpan
}

func (p *ColdPacer) inWindow(now time.Duration) int {
	expired := 0
	for expired < len(p.sent) && now-p.sent[expired] >= coldSpan {
		expired++
	}
	p.sent = slices.Delete(p.sent, 0, expired)
	return len(p.sent)
}

// ZoneHosts is what a host knows of the hosts of its zone.
type ZoneHosts struct {
	// Self identifies this host. Hosts identifies all known ones including this one, in ascending order.
	// All hosts identify a host in the same way.
	Self  uint64
	Hosts []uint64
	// Known is the number of other hosts that were known lately, also of those that expired, and Seen
	// the number of those that were seen recently.
	Known, Seen int
	// NewcomerTime is how long after its start, or its return, a host may be unknown to others.
	NewcomerTime time.Duration
}

// inMajority reports whether the host is not cut off from half of the others or more, which may have
// replaced it.
func (z *ZoneHosts) inMajority() bool {
	return len(z.Hosts) > 0 && 2*(z.Seen+1) > z.Known+1
}

// ColdOwners decides which host of a zone opens flows to a cold upstream: one for each, by rendezvous
// hashing over the known hosts, so that a host that joins or leaves moves only its own upstreams. No
// message is sent for it. Where hosts disagree, none may open flows rather than two.
type ColdOwners struct {
	hosts ZoneHosts
	setAt time.Duration
	// unknownUntil is until when other hosts may not know this one.
	unknownUntil time.Duration
	// earlier holds the lists of hosts that were replaced within ownerDelay.
	earlier []replacedHosts
	version uint64
}

type replacedHosts struct {
	hosts []uint64
	until time.Duration
}

// Set replaces what the host knows, and reports whether the list of hosts changed.
func (o *ColdOwners) Set(now time.Duration, z ZoneHosts) bool {
	changed := !slices.Equal(z.Hosts, o.hosts.Hosts)
	if changed {
		o.version++
		o.earlier = slices.DeleteFunc(o.earlier, func(r replacedHosts) bool { return now-r.until >= ownerDelay })
		o.earlier = append(o.earlier, replacedHosts{o.hosts.Hosts, now})
	}
	// A host that starts, was paused or was cut off may have expired at the others.
	if o.version == 1 && changed || now-o.setAt > zoneHostsMaxAge || !z.inMajority() {
		o.unknownUntil = now + z.NewcomerTime
	}
	o.hosts, o.setAt = z, now
	return changed
}

// Hosts returns what the host knows.
func (o *ColdOwners) Hosts() ZoneHosts { return o.hosts }

// Owns reports whether this host may open flows to the cold upstream with the key. The cache belongs to
// the upstream.
func (o *ColdOwners) Owns(now time.Duration, key uint64, cache *ColdOwner) bool {
	if now-o.setAt > zoneHostsMaxAge || now < o.unknownUntil || !o.hosts.inMajority() || o.Owner(key, cache) != o.hosts.Self {
		return false
	}
	for _, r := range o.earlier {
		if now-r.until < ownerDelay && rendezvous(key, r.hosts) != o.hosts.Self {
			return false
		}
	}
	return true
}

// Owner returns the host that is responsible for a cold upstream by the known hosts; zero if none is
// known.
func (o *ColdOwners) Owner(key uint64, cache *ColdOwner) uint64 {
	if cache.version != o.version {
		cache.host, cache.version = rendezvous(key, o.hosts.Hosts), o.version
	}
	return cache.host
}

// ColdOwner is the owner of an upstream by one list of hosts.
type ColdOwner struct {
	host, version uint64
}

// rendezvous returns the host with the highest hash together with the key; zero if there are none.
func rendezvous(key uint64, hosts []uint64) (owner uint64) {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], key)
	best := uint64(0)
	for _, h := range hosts {
		binary.BigEndian.PutUint64(b[8:], h)
		if sum := xxhash.Sum64(b[:]); owner == 0 || sum > best {
			owner, best = h, sum
		}
	}
	return owner
}
