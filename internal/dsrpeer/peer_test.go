package dsrpeer

import (
	"context"
	"fmt"
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
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// host is a Peer with its replica.
type host struct {
	*Peer
	replica *replica.Replica
	needed  atomic.Bool
	lost    atomic.Bool
	// heardAgo is what the host tells of the store's last answer, in nanoseconds.
	heardAgo atomic.Int64
	resumed  atomic.Int32
	mu       sync.Mutex
	heard    []time.Duration
	// stop ends the host.
	stop func()
}

// start runs a host on a free port until the test ends.
func start(t *testing.T, contacts ...netip.AddrPort) *host {
	h := &host{replica: replica.New()}
	h.heardAgo.Store(int64(40 * time.Millisecond))
	began := time.Now()
	s := Settings{
		Control: netip.MustParseAddrPort("127.0.0.1:0"), Contacts: contacts, Replica: h.replica,
		Zone: "a", Delegate: true,
		Needed: h.needed.Load, Heard: func() time.Duration { return time.Duration(h.heardAgo.Load()) },
		Lost: h.lost.Load, Resume: func() { h.resumed.Add(1) },
		Take: func(_ context.Context, u replica.Update, heard time.Duration) {
			h.replica.Take(u)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.heard = append(h.heard, heard)
		},
		Log: logging.ForPart(zap.NewNop(), "peer"), Now: func() time.Duration { return time.Since(began) },
	}
	p, err := Listen(s)
	require.NoError(t, err)
	p.settings.Control = netip.MustParseAddrPort(p.listener.Addr().String())
	p.book.self = p.settings.Control
	h.Peer = p
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { require.NoError(t, p.Serve(ctx)) })
	duties.Go(func() { p.Greet(ctx) })
	duties.Go(func() { p.Follow(ctx) })
	h.stop = func() {
		cancel()
		duties.Wait()
	}
	t.Cleanup(h.stop)
	return h
}

func write1(key string, revision store.Revision) store.Event {
	return store.Event{Entry: store.Entry{Key: key, Value: []byte("v"), Modified: revision}}
}

func TestHostFollowsAnotherWhileTheStoreIsSilent(t *testing.T) {
	a := start(t)
	a.replica.Take(replica.Update{Full: true, At: 10, Events: []store.Event{write1("x", 3)}})
	b := start(t, a.settings.Control)
	b.needed.Store(true)
	require.Eventually(t, func() bool { return b.replica.At() == 10 }, 5*time.Second, 5*time.Millisecond)
	a.replica.Take(replica.Update{At: 12, Events: []store.Event{write1("y", 12)}})
	require.Eventually(t, func() bool { return b.replica.At() == 12 }, 5*time.Second, 5*time.Millisecond)
	b.mu.Lock()
	require.Equal(t, 40*time.Millisecond, b.heard[0])
	b.mu.Unlock()
	snapshot, s := b.replica.Subscribe()
	b.replica.Unsubscribe(s)
	require.Len(t, snapshot.Events, 2)
}

// A follower must not go on with the next update after one that it did not get.
func TestUpdateThatCantBePassedOnEndsTheLink(t *testing.T) {
	a := start(t)
	a.Peer.mu.Lock()
	a.encode = func(u replica.Update) ([]byte, error) {
		if !u.Full && u.At == 12 {
			return nil, eris.New("too large")
		}
		return encodeUpdate(u)
	}
	a.Peer.mu.Unlock()
	a.replica.Take(replica.Update{Full: true, At: 10, Events: []store.Event{write1("x", 3)}})
	b := start(t, a.settings.Control)
	b.needed.Store(true)
	require.Eventually(t, func() bool { return b.replica.At() == 10 }, 5*time.Second, 5*time.Millisecond)
	a.replica.Take(replica.Update{At: 12, Events: []store.Event{write1("y", 12)}})
	a.replica.Take(replica.Update{At: 13, Events: []store.Event{write1("z", 13)}})
	require.Eventually(t, func() bool { return b.replica.At() == 13 }, 5*time.Second, 5*time.Millisecond)
	snapshot, s := b.replica.Subscribe()
	b.replica.Unsubscribe(s)
	require.Len(t, snapshot.Events, 3)
}

// The contact is gone when it is needed; the host it named before isn't.
func TestHostsLearnOfEachOtherFromAContact(t *testing.T) {
	contact := start(t)
	a, b := start(t, contact.settings.Control), start(t, contact.settings.Control)
	a.replica.Take(replica.Update{Full: true, At: 7})
	require.Eventually(t, func() bool { return contact.Known() == 2 }, 5*time.Second, 5*time.Millisecond)
	c := start(t, contact.settings.Control)
	require.Eventually(t, func() bool { return c.Known() >= 2 }, 5*time.Second, 5*time.Millisecond)
	contact.stop()
	c.needed.Store(true)
	require.Eventually(t, func() bool { return c.replica.At() == 7 }, 5*time.Second, 5*time.Millisecond)
	require.Zero(t, b.replica.At())
}

func TestHostThatKnowsNothingIsPassedOver(t *testing.T) {
	empty, full := start(t), start(t)
	full.replica.Take(replica.Update{Full: true, At: 9})
	c := start(t, empty.settings.Control, full.settings.Control)
	c.needed.Store(true)
	require.Eventually(t, func() bool { return c.replica.At() == 9 }, 5*time.Second, 5*time.Millisecond)
}

// Of five hosts of a zone two read the store; the others follow them. When the
// store no longer answers those two, no host stays with one of them: it reads the
// store itself, or follows one that does.
func TestTwoHostsOfAZoneReadTheStoreForTheOthers(t *testing.T) {
	contact := start(t)
	hosts := []*host{contact}
	for range 4 {
		hosts = append(hosts, start(t, contact.settings.Control))
	}
	for _, h := range hosts {
		h.replica.Take(replica.Update{Full: true, At: 3})
	}
	delegated := func() (n int) {
		for _, h := range hosts {
			if h.Delegated() {
				n++
			}
		}
		return n
	}
	// All know each other after the hellos of one full interval at the latest.
	require.Eventually(t, func() bool { return delegated() == 3 }, 2*helloInterval, 10*time.Millisecond)
	for _, h := range hosts {
		h.lost.Store(!h.Delegated())
	}
	byAddress := make(map[netip.AddrPort]*host)
	for _, h := range hosts {
		byAddress[h.settings.Control] = h
	}
	require.Eventually(t, func() bool {
		for _, h := range hosts {
			if reader, ok := h.Reader(); ok && (byAddress[reader].lost.Load() || byAddress[reader].Delegated()) {
				return false
			}
		}
		return true
	}, 5*time.Second, 10*time.Millisecond)
	for _, h := range hosts {
		require.True(t, h.lost.Load() || h.resumed.Load() > 0)
	}
}

func TestHostThatTheStoreDoesNotAnswerIsNoWatcher(t *testing.T) {
	require.True(t, watches(&news{HeardMs: 100, Reads: true}))
	require.False(t, watches(&news{HeardMs: -1, Reads: true}))
	require.False(t, watches(&news{HeardMs: 100}), "it lost the store, or rests on another host itself")
	require.False(t, watches(&news{HeardMs: watcherAge.Milliseconds() + 1, Reads: true}), "the store's last answer is too old")
}

// Ten followers of a configuration of a thousand routes must not fill a link of 10 Mbit/s for long.
func TestConfigurationTravelsDeflated(t *testing.T) {
	var routes strings.Builder
	for n := range 1000 {
		fmt.Fprintf(&routes, `{"name":"r-%07x","host":"198.18.%d.%d","prefix":"/8443/","kind":"safe","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"huvo11a"},`, n*7919, n>>8, n&255)
	}
	u := replica.Update{At: 9, Events: []store.Event{{Entry: store.Entry{Key: "config", Value: []byte(routes.String()), Modified: 9}}}}
	b, err := encodeUpdate(u)
	require.NoError(t, err)
	require.Less(t, 5*len(b), routes.Len())
	back, err := decodeUpdate(b)
	require.NoError(t, err)
	require.Equal(t, u, back)
}

func TestBookForgetsTheOldestHost(t *testing.T) {
	b := newBook(netip.MustParseAddrPort("10.0.0.1:1"), "a", nil)
	at := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1)
	}
	for n := range bookSize + 5 {
		b.add(time.Duration(n)*time.Second, at(n), "a")
	}
	known := b.list(time.Duration(bookSize) * time.Second)
	require.Len(t, known, bookSize)
	require.NotContains(t, known, at(4))
	b.add(bookSize*time.Second, b.self, "a")
	require.NotContains(t, b.list(bookSize*time.Second), b.self)
	require.Empty(t, b.list(10*bookAge))
}

func FuzzDecode(f *testing.F) {
	inner, err := encodeUpdate(replica.Update{Full: true, At: 4, Events: []store.Event{write1("a", 3)}})
	require.NoError(f, err)
	f.Add(inner)
	seed, err := messages.Marshal(&news{Peers: []contact{{Control: "10.0.0.1:1", Zone: "a"}}, Update: inner})
	require.NoError(f, err)
	f.Add(seed)
	hi, err := messages.Marshal(&hello{Self: contact{Control: "10.0.0.1:1"}})
	require.NoError(f, err)
	f.Add(hi)
	f.Fuzz(func(t *testing.T, b []byte) {
		if n, err := decodeNews(b); err == nil {
			require.LessOrEqual(t, len(n.Peers), maxPeers)
		}
		if u, err := decodeUpdate(b); err == nil {
			for _, e := range u.Events {
				require.LessOrEqual(t, e.Entry.Modified, u.At)
			}
		}
		if h, err := decodeHello(b); err == nil {
			_, err := netip.ParseAddrPort(h.Self.Control)
			require.NoError(t, err)
		}
	})
}
