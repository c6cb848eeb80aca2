package dsrhost

import (
	"context"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// otherHost is the control address of a followed host.
var otherHost = netip.MustParseAddrPort("10.1.0.2:8166")

// confirmFeed returns a feed whose directory is complete up to revision 20, a store with the given
// position, and the feed's events.
func confirmFeed(t *testing.T, era store.Era, revision store.Revision) (*feed, chan feedEvent) {
	s := &scriptedStore{pages: []store.Page{{At: 20, Era: 1}}, config: inEra(store.Entry{Key: "config"}, 1), position: store.Page{Era: era, At: revision}}
	f, events := runFeed(t, s)
	require.True(t, (<-events).change.Full)
	return f, events
}

// Guards against a confirmation that comes before what it confirms: the read of the position tells
// that there are writes that this host does not have.
func TestConfirmationFollowsWritesThatItConfirms(t *testing.T) {
	ctx := context.Background()
	f, events := confirmFeed(t, 1, 22)
	before := f.elapsed()
	f.readPosition(ctx)
	f.applyFromPeer(ctx, otherHost, replica.Update{Era: 1, AtRevision: 21}, 0)
	require.Equal(t, feedPeerUpdate, (<-events).kind)
	require.Empty(t, events, "revision 22 is missing")
	f.applyWatch(ctx, replica.Update{Era: 1, AtRevision: 22, Events: []store.Event{{Entry: inEra(entry("config", "8", 22), 1)}}})
	require.EqualValues(t, 8, (<-events).change.Configuration.Version)
	confirmed := <-events
	require.Equal(t, feedConfirmed, confirmed.kind)
	require.GreaterOrEqual(t, confirmed.confirmedAt, before)
	require.Empty(t, events)
}

func TestCompleteDirectoryIsConfirmedAtOnce(t *testing.T) {
	f, events := confirmFeed(t, 1, 20)
	f.readPosition(context.Background())
	require.Equal(t, feedConfirmed, (<-events).kind)
}

func TestOnlyOneConfirmationIsAwaited(t *testing.T) {
	f, _ := confirmFeed(t, 1, 22)
	s := f.store.(*scriptedStore)
	f.readPosition(context.Background())
	f.readPosition(context.Background())
	require.Equal(t, 1, s.positions, "each call is charged")
}

func TestFailedConfirmationIsReported(t *testing.T) {
	f, events := confirmFeed(t, 1, 20)
	s := f.store.(*scriptedStore)
	s.positionErr = &store.Error{Fault: store.FaultUnavailable}
	f.readPosition(context.Background())
	require.Equal(t, feedConfirmationFailed, (<-events).kind)
	require.Nil(t, f.awaited)
}

// Revisions of a restored store say nothing about the directory that this host has.
func TestPositionOfRestoredStoreConfirmsNothing(t *testing.T) {
	f, events := confirmFeed(t, 2, 5)
	f.readPosition(context.Background())
	require.Len(t, f.resync, 1)
	require.Empty(t, events)
	require.Nil(t, f.awaited)
	g, events := confirmFeed(t, 1, 22)
	g.readPosition(context.Background())
	g.applyFullRead(context.Background(), replica.Update{Full: true, Era: 2, AtRevision: 30}, 0)
	require.Equal(t, feedChange, (<-events).kind)
	require.Empty(t, events)
	require.Nil(t, g.awaited)
}

// Events of several goroutines reach the core in the order of the replica.
func TestEventsKeepOrderOfReplica(t *testing.T) {
	ctx := context.Background()
	f, events := confirmFeed(t, 1, 20)
	const updates = 20
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range updates {
			f.applyFromPeer(ctx, otherHost, replica.Update{Era: 1, AtRevision: store.Revision(21 + 2*n), Events: []store.Event{{Entry: inEra(entry("up/a", "a", store.Revision(21+2*n)), 1)}}}, 0)
		}
	}()
	for n := range updates {
		f.applyWatch(ctx, replica.Update{Era: 1, AtRevision: store.Revision(22 + 2*n), Events: []store.Event{{Entry: inEra(entry("up/b", "b", store.Revision(22+2*n)), 1)}}})
	}
	<-done
	var last store.Position
	for len(events) > 0 {
		if e := <-events; e.change != nil {
			require.GreaterOrEqual(t, e.change.Position().Compare(last), 0)
			last = e.change.Position()
		}
	}
	require.Equal(t, store.Position{Era: 1, Revision: 2*updates + 20}, last)
}
