package dsrhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// A host that drops what a restored store lost has heard nothing of the store: it may follow another
// host while the store does not answer it.
func TestDropOfLostRegistrationsIsNoAnswerOfTheStore(t *testing.T) {
	ctx := context.Background()
	f, events := confirmFeed(t, 1, 20)
	f.applyFromPeer(ctx, otherHost, replica.Update{Full: true, Era: 1, AtRevision: 21, Events: []store.Event{{Entry: inEra(entry("up/a", "a", 21), 1)}}}, 0)
	f.applyFromPeer(ctx, otherHost, replica.Update{Full: true, Era: 2, AtRevision: 5, KeptFor: time.Millisecond}, 0)
	require.Equal(t, 1, f.replica.Kept())
	for len(events) > 0 {
		<-events
	}
	time.Sleep(2 * time.Millisecond)
	f.dropExpired(ctx)
	dropped := <-events
	require.Len(t, dropped.change.Removed, 1)

	h := &Host{started: time.Now().Add(-10 * time.Second), ready: &readiness{}}
	d := &coreLoop{host: h, core: dsr.New("a", benchFormat{}, 0), log: newRecordLog(zap.NewNop(), nil)}
	d.handleFeedEvent(feedEvent{kind: feedFailed, reason: "test"})
	d.handleFeedEvent(dropped)
	s := d.core.State(h.elapsed())
	require.True(t, s.StoreDown)
	require.GreaterOrEqual(t, s.StoreAnswerAgeMs, int64(10000))
}
