package dsrhost

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// startWithPeers runs a feed of a host that exchanges with others: those say that they have the
// directory as requested, and are asked for it once the feed needs it.
func startWithPeers(t *testing.T, s store.Store, haveDirectory bool) (*feed, chan feedEvent) {
	f, events := newFeed(s)
	greeted := make(chan struct{})
	f.greeted, f.hasSource, f.peerUpdated = greeted, func() bool { return haveDirectory }, make(chan struct{}, 1)
	runUntilEnd(t, f.run, func(ctx context.Context) {
		sleep(ctx, 5*time.Millisecond)
		close(greeted)
		if haveDirectory && f.needsPeers() {
			f.applyFromPeer(ctx, netip.MustParseAddrPort("10.0.0.1:1"), replica.Update{Full: true, AtRevision: 30, Events: []store.Event{{Entry: entry("up/a", "orders", 5)}}}, 0)
		}
	})
	return f, events
}

// A host that starts takes the directory from another host and makes no full read: where all hosts of
// a large fleet start, the store can't serve all of them.
func TestFeedStartsWithDirectoryOfOtherHost(t *testing.T) {
	s := &scriptedStore{pages: []store.Page{{At: 20}}, watches: []watchAnswer{{at: 31}}}
	f, events := startWithPeers(t, s, true)
	first := <-events
	require.Equal(t, feedPeerUpdate, first.kind)
	require.Equal(t, []string{"up/a"}, upstreamKeys(first.change))
	require.Equal(t, feedAnswered, (<-events).kind)
	from, lists := s.calls()
	require.EqualValues(t, 30, from)
	require.Zero(t, lists)
	require.False(t, f.needsPeers())
}

// Guards against a host that starts with the directory of one that missed writes, and stays without them.
func TestFeedReadsStoreIfDirectoryOfOtherHostIsBehind(t *testing.T) {
	s := &scriptedStore{
		pages:    []store.Page{{At: 40, Entries: []store.Entry{entry("up/a", "orders", 5), entry("up/b", "orders", 35)}}},
		position: store.Page{At: 40}, watches: []watchAnswer{{at: 30}},
	}
	_, events := startWithPeers(t, s, true)
	require.Equal(t, []string{"up/a"}, upstreamKeys((<-events).change))
	require.Equal(t, feedAnswered, (<-events).kind)
	require.Equal(t, []string{"up/a", "up/b"}, upstreamKeys((<-events).change))
}

// Hosts that start together all know only hosts without the directory: none may wait for another.
func TestFeedReadsStoreIfNoHostHasDirectory(t *testing.T) {
	s := &scriptedStore{pages: []store.Page{{At: 20, Entries: []store.Entry{entry("up/a", "orders", 5)}}}}
	began := time.Now()
	_, events := startWithPeers(t, s, false)
	require.Equal(t, feedChange, (<-events).kind)
	require.Less(t, time.Since(began), startupSnapshotWait)
}

// Guards against a host that serves late because the hosts that it greets are gone and don't answer.
func TestFeedReadsStoreIfNoHostAnswers(t *testing.T) {
	f, events := newFeed(&scriptedStore{pages: []store.Page{{At: 20, Entries: []store.Entry{entry("up/a", "orders", 5)}}}})
	f.greeted, f.hasSource, f.peerUpdated = make(chan struct{}), func() bool { return false }, make(chan struct{}, 1)
	began := time.Now()
	runUntilEnd(t, f.run)
	require.Equal(t, feedChange, (<-events).kind)
	require.Less(t, time.Since(began), startupSnapshotWait)
}
