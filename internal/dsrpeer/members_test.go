package dsrpeer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/virtualtime"
)

// gossip is a zone in virtual time whose hosts send hellos as SendHellos does; none of them can be
// reached by way of a contact.
type gossip struct {
	queue  virtualtime.Queue
	random *rand.Rand
	hosts  map[netip.AddrPort]*gossipHost
	// lossy is the part of hellos without an answer; hellos counts all, named the hosts named in messages.
	lossy         float64
	hellos, named int
}

type gossipHost struct {
	*peerTable
	pace helloPace
	// scheduled is the number of the next hello; one that was put off is not sent.
	scheduled int
	ended     bool
}

func zoneAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)
}

func (g *gossip) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.random.Int64N(int64(d)))
}

// start starts a host that knows some others.
func (g *gossip) start(self netip.AddrPort, known ...netip.AddrPort) *gossipHost {
	h := &gossipHost{peerTable: newPeerTable(self, "a", nil)}
	for _, a := range known {
		h.add(g.queue.Now(), g.queue.Now(), a, "a")
	}
	g.hosts[self] = h
	g.schedule(h, 0)
	return h
}

func (g *gossip) schedule(h *gossipHost, d time.Duration) {
	h.scheduled++
	number := h.scheduled
	g.queue.After(d, func() {
		if h.ended || number != h.scheduled {
			return
		}
		now := g.queue.Now()
		interval := h.pace.next(h.addedHosts(), h.position(now).Count > 1)
		for _, a := range h.pace.targets(now, h.peerTable) {
			if other := g.hosts[a]; !other.ended && g.random.Float64() >= g.lossy {
				g.hello(h, other)
				break
			}
		}
		g.schedule(h, g.jitter(interval))
	})
}

// hello reconciles the hosts that two hosts know, as Peer.hello and Peer.handleHello do.
func (g *gossip) hello(a, b *gossipHost) {
	now := g.queue.Now()
	g.hellos++
	addedB := b.addedHosts()
	summary := a.summarize(now, a.pace.steady())
	b.add(now, now, a.self, "a")
	differsB := b.mergeSummary(now, summary)
	named := b.nameDiffering(now, differsB, nil)
	answer := b.summarize(now, a.pace.steady())
	a.add(now, now, b.self, "a")
	a.addZoneHosts(now, named)
	push := a.nameDiffering(now, a.mergeSummary(now, answer), named)
	b.addZoneHosts(now, push)
	g.named += len(named) + len(push)
	if b.addedHosts() != addedB && b.pace.steady() {
		g.schedule(b, g.jitter(announceInterval))
	}
}

func newGossip(hosts int) *gossip {
	g := &gossip{random: rand.New(rand.NewPCG(1, uint64(hosts))), hosts: make(map[netip.AddrPort]*gossipHost)}
	var all []netip.AddrPort
	for n := range hosts {
		all = append(all, zoneAddress(n))
	}
	for n := range hosts {
		h := g.start(zoneAddress(n), all...)
		// The hosts are long known.
		h.pace.added, h.pace.announcements = h.addedHosts(), 0
		g.schedule(h, time.Duration(g.random.Int64N(int64(steadyInterval))))
	}
	return g
}

// knownBy returns the number of hosts that know a host.
func (g *gossip) knownBy(a netip.AddrPort) (count int) {
	for _, h := range g.hosts {
		if _, ok := h.hosts[a]; ok && !h.ended {
			count++
		}
	}
	return count
}

// oldest returns the longest time since a running host was last seen.
func (g *gossip) oldest() (oldest time.Duration) {
	for _, h := range g.hosts {
		for a, e := range h.hosts {
			if !h.ended && !g.hosts[a].ended {
				oldest = max(oldest, g.queue.Now()-e.lastSeen)
			}
		}
	}
	return oldest
}

// All hosts of a zone know a host that starts within KnownWithin, and it knows all of them, though it
// begins with one and there is no contact; also if a fifth of the hellos gets no answer.
func TestNewcomerIsKnownToItsZone(t *testing.T) {
	for _, c := range []struct {
		hosts int
		lossy float64
	}{{11, 0}, {11, 0.2}, {33, 0}, {100, 0}, {100, 0.2}, {814, 0}} {
		g := newGossip(c.hosts)
		g.lossy = c.lossy
		g.queue.RunUntil(steadyInterval)
		hellos, named := g.hellos, g.named
		newcomer := g.start(zoneAddress(c.hosts), zoneAddress(c.hosts/2))
		g.queue.RunUntil(g.queue.Now() + KnownWithin)
		require.Equal(t, c.hosts, g.knownBy(newcomer.self), "%d hosts, %v lost", c.hosts, c.lossy)
		require.Equal(t, c.hosts+1, newcomer.position(g.queue.Now()).Count)
		t.Logf("%d hosts: %.1f hellos and %.1f named for each", c.hosts, float64(g.hellos-hellos)/float64(c.hosts), float64(g.named-named)/float64(c.hosts))
	}
}

// A host that starts again at its address, with nothing known but one host, is known all the time and
// knows its zone within KnownWithin.
func TestRestartedHostKnowsItsZone(t *testing.T) {
	g := newGossip(100)
	g.queue.RunUntil(steadyInterval)
	g.hosts[zoneAddress(7)].ended = true
	g.queue.RunUntil(g.queue.Now() + time.Second)
	again := g.start(zoneAddress(7), zoneAddress(50))
	g.queue.RunUntil(g.queue.Now() + KnownWithin)
	require.Equal(t, 100, again.position(g.queue.Now()).Count)
	require.Equal(t, 99, g.knownBy(zoneAddress(7)))
}

// Hosts must not expire while they run, and one that ended must expire: ages that hosts pass on stay
// below half of peerExpiry.
func TestHostsOfZoneStayFreshWithoutContacts(t *testing.T) {
	g := newGossip(100)
	g.lossy = 0.1
	ended := g.hosts[zoneAddress(3)]
	var oldest time.Duration
	for g.queue.Now() < 2*time.Minute {
		if g.queue.RunUntil(g.queue.Now() + time.Second); g.queue.Now() == 30*time.Second {
			ended.ended = true
		}
		oldest = max(oldest, g.oldest())
	}
	t.Logf("oldest age %v", oldest)
	require.Less(t, oldest, peerExpiry/2)
	for _, h := range g.hosts {
		require.True(t, h.ended || h.position(g.queue.Now()).Count == 99)
	}
	require.Zero(t, g.knownBy(ended.self))
}

// Guards against names of hosts that both sides know, and against ages of the wrong hosts where the sets differ.
func TestReconciliationNamesOnlyWhatDiffers(t *testing.T) {
	a, b := newPeerTable(zoneAddress(0), "a", nil), newPeerTable(zoneAddress(1), "a", nil)
	for n := range 500 {
		a.add(time.Minute, time.Duration(n%30)*time.Second+30*time.Second, zoneAddress(n), "a")
		b.add(time.Minute, 30*time.Second, zoneAddress(n), "a")
	}
	b.add(time.Minute, time.Minute, zoneAddress(600), "a")
	differs := b.mergeSummary(time.Minute, a.summarize(time.Minute, true))
	named := b.nameDiffering(time.Minute, differs, nil)
	require.Less(t, len(named), 3*500/memberBuckets)
	a.addZoneHosts(time.Minute, named)
	require.Contains(t, a.list(time.Minute), zoneAddress(600))
	require.Equal(t, [memberBuckets]bool{}, a.mergeSummary(time.Minute, b.summarize(time.Minute, true)))
	for n := 2; n < 500; n++ {
		require.LessOrEqual(t, b.hosts[zoneAddress(n)].lastSeen, a.hosts[zoneAddress(n)].lastSeen, "ages are rounded up")
	}
}

// Guards against messages that make a host keep more than it should.
func TestReconciliationHasLimits(t *testing.T) {
	p := newPeerTable(zoneAddress(0), "a", nil)
	for n := range maxKnownPeers {
		p.add(0, 0, zoneAddress(n+1), "a")
	}
	require.Len(t, p.nameDiffering(0, p.mergeSummary(0, nil), nil), maxNamed)
	p.add(0, 0, zoneAddress(5000), "b")
	require.NotContains(t, p.hosts, zoneAddress(5000), "a host of another zone takes no room from this one")
	for what, m := range map[string]any{
		"parts": &syncMessage{Hosts: make([]bucket, memberBuckets+1)},
		"ages":  &syncMessage{Hosts: []bucket{{Ages: make([]byte, maxKnownPeers+1)}}},
		"names": &syncMessage{Named: make([]zoneHost, maxNamed+1)},
	} {
		b, err := messageCodec.Marshal(m)
		require.NoError(t, err)
		_, err = decodeSyncMessage(b)
		require.Error(t, err, what)
	}
	b, err := messageCodec.Marshal(&namedHosts{Hosts: make([]zoneHost, maxNamed+1)})
	require.NoError(t, err)
	_, err = decodeNamedHosts(b)
	require.Error(t, err)
	p.addZoneHosts(0, []zoneHost{{Address: []byte{1, 2}}, {}})
	b, err = messageCodec.Marshal(&hello{Self: peerInfo{Control: "10.0.0.1:1", Zone: "zone-of-a-long-name"}, Hosts: func() []bucket {
		out := make([]bucket, memberBuckets)
		for i := range out {
			out[i] = bucket{Digest: 1 << 31, Ages: make([]byte, maxKnownPeers/memberBuckets)}
		}
		return out
	}()})
	require.NoError(t, err)
	require.Less(t, len(b), maxHelloSize, fmt.Sprint("a hello of ", maxKnownPeers, " hosts"))
}
