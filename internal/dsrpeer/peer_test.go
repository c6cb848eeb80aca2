package dsrpeer

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
	"mimosashore.example/mimosashore/internal/virtualtime"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// host is a running Peer with its replica.
type host struct {
	*Peer
	replica      *replica.Replica
	needsPeers   atomic.Bool
	storeFailing atomic.Bool
	// storeAge is the time since the last store answer that the host reports, in nanoseconds.
	storeAge          atomic.Int64
	resumed, resyncs  atomic.Int32
	readerLost        atomic.Int32
	mu                sync.Mutex
	receivedStoreAges []time.Duration
	// stop ends the host and waits for its goroutines.
	stop func()
}

// latestEra is a policy by which the entry of the latest era holds, and the registrations
// ("up/...") that the store lost expire.
type latestEra struct{}

func (latestEra) Resolve(_, later store.Entry) store.Entry { return later }
func (latestEra) Expires(key string) bool                  { return strings.HasPrefix(key, "up/") }
func (latestEra) EndsByRemoval(string) bool                { return false }

// start runs a host on a free port until its stop or the end of the test.
func start(t *testing.T, contacts ...netip.AddrPort) *host {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	h := &host{replica: replica.New(latestEra{}, now)}
	h.storeAge.Store(int64(40 * time.Millisecond))
	s := Settings{
		Control: netip.MustParseAddrPort("127.0.0.1:0"), Contacts: contacts, Replica: h.replica,
		Zone: "a", Delegate: true,
		NeedsPeers: h.needsPeers.Load, StoreAge: func() time.Duration { return time.Duration(h.storeAge.Load()) },
		StoreFailing: h.storeFailing.Load, ResumeReading: func() { h.resumed.Add(1) }, Resync: func() { h.resyncs.Add(1) },
		ReaderLostStore: func(context.Context) { h.readerLost.Add(1) },
		ApplyUpdate: func(_ context.Context, _ netip.AddrPort, u replica.Update, age time.Duration) {
			h.replica.Apply(u)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.receivedStoreAges = append(h.receivedStoreAges, age)
		},
		Log: logging.ForComponent(zap.NewNop(), "peer"), Now: now,
	}
	p, err := Listen(s)
	require.NoError(t, err)
	p.settings.Control = netip.MustParseAddrPort(p.listener.Addr().String())
	p.peers.self = p.settings.Control
	h.Peer = p
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { require.NoError(t, p.Serve(ctx)) })
	tasks.Go(func() { p.SendHellos(ctx) })
	tasks.Go(func() { p.Follow(ctx) })
	h.stop = func() {
		cancel()
		tasks.Wait()
	}
	t.Cleanup(h.stop)
	return h
}

func writeEvent(key string, revision store.Revision) store.Event {
	return store.Event{Entry: store.Entry{Key: key, Value: []byte("v"), Modified: revision}}
}

func TestHostFollowsPeerWhileStoreDoesNotAnswer(t *testing.T) {
	a := start(t)
	a.replica.Apply(replica.Update{Full: true, AtRevision: 10, Events: []store.Event{writeEvent("x", 3)}})
	b := start(t, a.settings.Control)
	b.needsPeers.Store(true)
	require.Eventually(t, func() bool { return b.replica.Position().Revision == 10 }, 5*time.Second, 5*time.Millisecond)
	a.replica.Apply(replica.Update{AtRevision: 12, Events: []store.Event{writeEvent("y", 12)}})
	require.Eventually(t, func() bool { return b.replica.Position().Revision == 12 }, 5*time.Second, 5*time.Millisecond)
	b.mu.Lock()
	require.Equal(t, 40*time.Millisecond, b.receivedStoreAges[0])
	b.mu.Unlock()
	snapshot, s := b.replica.Subscribe()
	b.replica.Unsubscribe(s)
	require.Len(t, snapshot.Events, 2)
}

// A follower must not apply an update if it missed the one before. If an update
// can't be encoded, the connection is closed and the follower gets a new snapshot.
func TestUnencodableUpdateClosesConnection(t *testing.T) {
	a := start(t)
	a.Peer.mu.Lock()
	a.encode = func(u replica.Update) ([]byte, error) {
		if !u.Full && u.AtRevision == 12 {
			return nil, eris.New("too large")
		}
		return encodeUpdate(u)
	}
	a.Peer.mu.Unlock()
	a.replica.Apply(replica.Update{Full: true, AtRevision: 10, Events: []store.Event{writeEvent("x", 3)}})
	b := start(t, a.settings.Control)
	b.needsPeers.Store(true)
	require.Eventually(t, func() bool { return b.replica.Position().Revision == 10 }, 5*time.Second, 5*time.Millisecond)
	a.replica.Apply(replica.Update{AtRevision: 12, Events: []store.Event{writeEvent("y", 12)}})
	a.replica.Apply(replica.Update{AtRevision: 13, Events: []store.Event{writeEvent("z", 13)}})
	require.Eventually(t, func() bool { return b.replica.Position().Revision == 13 }, 5*time.Second, 5*time.Millisecond)
	snapshot, s := b.replica.Subscribe()
	b.replica.Unsubscribe(s)
	require.Len(t, snapshot.Events, 3)
}

// The contact stops before a host needs the directory. The host follows another one
// that the contact named in its answer to the hello.
func TestHostsDiscoverEachOtherThroughContact(t *testing.T) {
	contact := start(t)
	a, b := start(t, contact.settings.Control), start(t, contact.settings.Control)
	a.replica.Apply(replica.Update{Full: true, AtRevision: 7})
	require.Eventually(t, func() bool { return contact.KnownPeers() == 2 }, 5*time.Second, 5*time.Millisecond)
	c := start(t, contact.settings.Control)
	require.Eventually(t, func() bool { return c.KnownPeers() >= 2 }, 5*time.Second, 5*time.Millisecond)
	contact.stop()
	c.needsPeers.Store(true)
	require.Eventually(t, func() bool { return c.replica.Position().Revision == 7 }, 5*time.Second, 5*time.Millisecond)
	require.Zero(t, b.replica.Position())
}

func TestHostWithoutDirectoryIsSkipped(t *testing.T) {
	empty, full := start(t), start(t)
	full.replica.Apply(replica.Update{Full: true, AtRevision: 9})
	c := start(t, empty.settings.Control, full.settings.Control)
	c.needsPeers.Store(true)
	require.Eventually(t, func() bool { return c.replica.Position().Revision == 9 }, 5*time.Second, 5*time.Millisecond)
}

// Of five hosts of a zone two read the store and the others follow them. When the
// store stops answering those two, their followers either read the store themselves
// or follow a host that does.
func TestTwoHostsPerZoneReadStoreForOthers(t *testing.T) {
	contact := start(t)
	hosts := []*host{contact}
	for range 4 {
		hosts = append(hosts, start(t, contact.settings.Control))
	}
	for _, h := range hosts {
		h.replica.Apply(replica.Update{Full: true, AtRevision: 3})
	}
	delegated := func() (n int) {
		for _, h := range hosts {
			if h.Delegated() {
				n++
			}
		}
		return n
	}
	// All hosts know each other after one full hello interval at the latest.
	require.Eventually(t, func() bool { return delegated() == 3 }, 2*helloMaxInterval, 10*time.Millisecond)
	for _, h := range hosts {
		h.storeFailing.Store(!h.Delegated())
	}
	byAddress := make(map[netip.AddrPort]*host)
	for _, h := range hosts {
		byAddress[h.settings.Control] = h
	}
	require.Eventually(t, func() bool {
		for _, h := range hosts {
			if reader, ok := h.StoreReader(); ok && (byAddress[reader].storeFailing.Load() || byAddress[reader].Delegated()) {
				return false
			}
		}
		return true
	}, 5*time.Second, 10*time.Millisecond)
	for _, h := range hosts {
		require.True(t, h.storeFailing.Load() || h.resumed.Load() > 0)
		require.True(t, h.storeFailing.Load() || h.readerLost.Load() > 0, "an outage of the store")
	}
}

func TestHostWithoutStoreAnswersIsNotStoreReader(t *testing.T) {
	require.True(t, readsStore(&syncMessage{StoreAgeMs: 100, ReadsStore: true}))
	require.False(t, readsStore(&syncMessage{StoreAgeMs: -1, ReadsStore: true}))
	require.False(t, readsStore(&syncMessage{StoreAgeMs: 100}), "its last call failed")
	require.False(t, canBeParent(&syncMessage{StoreAgeMs: 100, ReadsStore: true, Depth: maxDepth}), "too many hosts follow each other")
	require.False(t, readsStore(&syncMessage{StoreAgeMs: maxReaderStoreAge.Milliseconds() + 1, ReadsStore: true}), "its last store answer is too old")
}

// Guards against an age that overflows a duration and then counts as a recent answer of the store.
func TestAgesTooLargeAreNotRecent(t *testing.T) {
	for _, ms := range []int64{math.MaxInt64, 18_446_744_073_710, math.MaxInt64 / 1_000_000 * 2} {
		require.False(t, readsStore(&syncMessage{StoreAgeMs: ms, ReadsStore: true}), ms)
		require.Equal(t, maxAgeMs*time.Millisecond, age(ms))
	}
	for _, ms := range []int64{-1, math.MinInt64, -18_446_744_073_710} {
		require.Negative(t, age(ms), ms)
	}
}

// Sending a configuration of a thousand routes to ten followers must not saturate a link of 10 Mbit/s for long.
func TestUpdateIsCompressed(t *testing.T) {
	var routes strings.Builder
	for n := range 1000 {
		fmt.Fprintf(&routes, `{"name":"r-%07x","host":"198.18.%d.%d","prefix":"/8443/","kind":"safe","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"huvo11a"},`, n*7919, n>>8, n&255)
	}
	u := replica.Update{AtRevision: 9, Events: []store.Event{{Entry: store.Entry{Key: "config", Value: []byte(routes.String()), Modified: 9}}}}
	b, err := encodeUpdate(u)
	require.NoError(t, err)
	require.Less(t, 5*len(b), routes.Len())
	back, err := decodeUpdate(b)
	require.NoError(t, err)
	require.Equal(t, u, back)
}

func TestPeerTableEvictsOldestHost(t *testing.T) {
	b := newPeerTable(netip.MustParseAddrPort("10.0.0.1:1"), "a", nil)
	at := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1)
	}
	for n := range maxKnownPeers + 5 {
		b.add(time.Duration(n)*time.Millisecond, time.Duration(n)*time.Millisecond, at(n), "a")
	}
	const end = (maxKnownPeers + 5) * time.Millisecond
	known := b.list(end)
	require.Len(t, known, maxKnownPeers)
	require.NotContains(t, known, at(4))
	require.Contains(t, known, at(5))
	b.add(end, end, b.self, "a")
	require.NotContains(t, b.list(end), b.self)
	require.Empty(t, b.list(10*peerExpiry))
}

// Hosts that name a dead host to each other must not keep it in their tables.
func TestDeadHostIsNotPassedOnForEver(t *testing.T) {
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 1) }
	a, b := newPeerTable(at(1), "a", nil), newPeerTable(at(2), "a", nil)
	a.add(time.Second, time.Second, at(9), "a")
	b.addNamed(30*time.Second, a.peerInfos(30*time.Second, "a"))
	require.Contains(t, b.list(30*time.Second), at(9))
	for now := 31 * time.Second; now < 5*time.Minute; now += 5 * time.Second {
		a.addNamed(now, b.peerInfos(now, "a"))
		b.addNamed(now, a.peerInfos(now, "a"))
	}
	require.NotContains(t, a.list(5*time.Minute), at(9))
	require.NotContains(t, b.list(5*time.Minute), at(9))
	b.addNamed(time.Minute, []peerInfo{{Control: at(8).String(), Zone: "a", AgeMs: -5}, {Control: at(7).String(), Zone: "a", AgeMs: 1 << 62}})
	require.Empty(t, b.list(time.Minute), "hosts without a valid age")
}

// The hosts of a zone agree on their places, from 0 to their number.
func TestHostsOfZoneAgreeOnTheirPlaces(t *testing.T) {
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 1) }
	places := make(map[int]bool)
	for n := range byte(6) {
		p := newPeerTable(at(n), "a", nil)
		for m := range byte(6) {
			p.add(0, 0, at(m), "a")
			p.add(0, 0, at(m+100), "b")
		}
		place := p.position(0)
		require.Equal(t, 6, place.Count)
		places[place.Index] = true
	}
	require.Len(t, places, 6)
}

// Hosts send a hello to one of three contacts every helloMaxInterval, one of which is down for a while, and then all. All of a zone must keep knowing
// each other, or their division of the upstreams changes without cause, and forget one that ended.
func TestHostsOfZoneKeepKnowingEachOther(t *testing.T) {
	const hosts, zones = 78, 6
	at := func(n int) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1) }
	zone := func(n int) string { return fmt.Sprint("zone", n%zones) }
	random := rand.New(rand.NewPCG(1, 1))
	var queue virtualtime.Queue
	var tables []*peerTable
	for n := range hosts {
		tables = append(tables, newPeerTable(at(n), zone(n), []netip.AddrPort{at(0), at(1), at(2)}))
	}
	ended := -1
	down := make(map[int]bool)
	for n := range hosts {
		hello := func() {
			now := queue.Now()
			if n == ended {
				return
			}
			c := n
			for _, a := range tables[n].helloOrder(now) {
				if c = int(a.Addr().As4()[3]); !down[c] && c != ended {
					break
				}
			}
			tables[c].add(now, now, at(n), zone(n))
			tables[n].addNamed(now, tables[c].peerInfos(now, zone(n)))
			tables[n].add(now, now, at(c), zone(c))
		}
		queue.After(time.Duration(random.Int64N(int64(helloMaxInterval))), func() {
			hello()
			queue.Every(helloMaxInterval, hello)
		})
	}
	queue.RunUntil(2 * time.Minute)
	for queue.Now() < 12*time.Minute {
		queue.RunUntil(queue.Now() + time.Second)
		if queue.Now() == 5*time.Minute {
			down[1] = true
		}
		if queue.Now() == 8*time.Minute {
			down[0], down[2] = true, true
		}
		for n, table := range tables {
			require.Equal(t, hosts/zones, table.position(queue.Now()).Count, "host %d at %v", n, queue.Now())
		}
	}
	ended = hosts - 1
	queue.RunUntil(queue.Now() + 2*peerExpiry)
	require.Equal(t, hosts/zones-1, tables[zones-1].position(queue.Now()).Count)
}

// A message names the hosts of the receiver's zone before others.
func TestMessageNamesHostsOfZoneFirst(t *testing.T) {
	p := newPeerTable(netip.MustParseAddrPort("10.0.0.1:1"), "a", nil)
	for n := range 2 * maxPeers {
		zone := "b"
		if n%8 == 0 {
			zone = "a"
		}
		p.add(0, 0, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1), zone)
	}
	named := p.peerInfos(0, "a")
	require.Len(t, named, maxPeers)
	for i, n := range named {
		require.Equal(t, i < maxPeers/4, n.Zone == "a")
	}
}

func FuzzDecode(f *testing.F) {
	updateSeed, err := encodeUpdate(replica.Update{Full: true, AtRevision: 4, Events: []store.Event{writeEvent("a", 3)}})
	require.NoError(f, err)
	f.Add(updateSeed)
	seed, err := messageCodec.Marshal(&syncMessage{Peers: []peerInfo{{Control: "10.0.0.1:1", Zone: "a"}}, Update: updateSeed})
	require.NoError(f, err)
	f.Add(seed)
	helloSeed, err := messageCodec.Marshal(&hello{Self: peerInfo{Control: "10.0.0.1:1"}})
	require.NoError(f, err)
	f.Add(helloSeed)
	table := newPeerTable(netip.MustParseAddrPort("10.0.0.1:1"), "a", nil)
	table.add(0, 0, netip.MustParseAddrPort("10.0.0.2:1"), "a")
	namedSeed, err := messageCodec.Marshal(&namedHosts{Hosts: table.nameDiffering(0, table.mergeSummary(0, nil), nil)})
	require.NoError(f, err)
	f.Add(namedSeed)
	summarySeed, err := messageCodec.Marshal(&hello{Self: peerInfo{Control: "10.0.0.1:1"}, Hosts: table.summarize(0, true)})
	require.NoError(f, err)
	f.Add(summarySeed)
	f.Fuzz(func(t *testing.T, b []byte) {
		if n, err := decodeSyncMessage(b); err == nil {
			require.LessOrEqual(t, len(n.Peers), maxPeers)
		}
		if u, err := decodeUpdate(b); err == nil {
			for _, e := range u.Events {
				require.LessOrEqual(t, e.Entry.Modified, u.AtRevision)
			}
		}
		if named, err := decodeNamedHosts(b); err == nil {
			require.LessOrEqual(t, len(named), maxNamed)
			p := newPeerTable(netip.MustParseAddrPort("10.0.0.1:1"), "a", nil)
			p.addZoneHosts(0, named)
		}
		if h, err := decodeHello(b); err == nil {
			require.LessOrEqual(t, len(h.Hosts), memberBuckets)
			_, err := netip.ParseAddrPort(h.Self.Control)
			require.NoError(t, err)
		}
	})
}
