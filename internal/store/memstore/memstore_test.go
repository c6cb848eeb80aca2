package memstore

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"mimosashore.example/mimosashore/internal/store"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

var ctx = context.Background()

// newStore returns a store that retains eight events, and its clock.
func newStore() (*Store, *ManualClock) {
	clock := NewManualClock(time.Unix(0, 0))
	return New(clock, 8), clock
}

func put(t *testing.T, s *Store, key string, expect store.Position, value string) store.Entry {
	t.Helper()
	e, err := s.CompareAndSwap(ctx, key, expect, []byte(value), 0)
	require.NoError(t, err)
	return e
}

func requireFault(t *testing.T, err error, want store.Fault) *store.Error {
	t.Helper()
	var e *store.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, want, e.Fault)
	require.Equal(t, store.EffectNone, e.Effect)
	return e
}

func TestCompareAndSwap(t *testing.T) {
	s, _ := newStore()
	first := put(t, s, "a", store.Position{}, "1")
	_, err := s.CompareAndSwap(ctx, "a", store.Position{}, []byte("2"), 0)
	require.Equal(t, "1", string(requireFault(t, err, store.FaultConflict).Current.Value))
	second := put(t, s, "a", first.Position(), "2")
	require.Greater(t, second.Modified, first.Modified)
	_, err = s.CompareAndSwap(ctx, "a", second.Position(), nil, 0)
	require.NoError(t, err)
	e, err := s.Get(ctx, "a")
	require.NoError(t, err)
	require.Zero(t, e.Modified)
	_, err = s.CompareAndSwap(ctx, "a", store.Position{}, make([]byte, store.MaxValue+1), 0)
	requireFault(t, err, store.FaultTooLarge)
}

func TestCallersDoNotShareValues(t *testing.T) {
	s, _ := newStore()
	value := []byte("abc")
	e, err := s.CompareAndSwap(ctx, "a", store.Position{}, value, 0)
	require.NoError(t, err)
	value[0], e.Value[1] = 'x', 'x'
	e, _ = s.Get(ctx, "a")
	require.Equal(t, "abc", string(e.Value))
}

func TestListContinuesAfterKey(t *testing.T) {
	s, _ := newStore()
	for _, k := range []string{"b/3", "a/1", "b/1", "c/1", "b/2"} {
		put(t, s, k, store.Position{}, k)
	}
	page, err := s.List(ctx, "b/", "", 2)
	require.NoError(t, err)
	require.True(t, page.More)
	require.Len(t, page.Entries, 2)
	page, err = s.List(ctx, "b/", page.Entries[1].Key, 2)
	require.NoError(t, err)
	require.False(t, page.More)
	require.Equal(t, "b/3", page.Entries[0].Key)
	require.Equal(t, s.Revision(), page.At)
}

func TestLeaseExpires(t *testing.T) {
	s, clock := newStore()
	id, err := s.Grant(ctx, 10*time.Second)
	require.NoError(t, err)
	_, err = s.CompareAndSwap(ctx, "held", store.Position{}, []byte("x"), id)
	require.NoError(t, err)
	clock.Advance(9 * time.Second)
	require.NoError(t, s.KeepAlive(ctx, id))
	clock.Advance(9 * time.Second)
	e, _ := s.Get(ctx, "held")
	require.NotZero(t, e.Modified)
	clock.Advance(time.Second)
	e, _ = s.Get(ctx, "held")
	require.Zero(t, e.Modified)
	requireFault(t, s.KeepAlive(ctx, id), store.FaultLease)
	_, err = s.CompareAndSwap(ctx, "held", store.Position{}, []byte("x"), id)
	requireFault(t, err, store.FaultLease)
	events, _, err := s.Watch(ctx, "held", store.Position{Revision: 1}, 0)
	require.NoError(t, err)
	require.True(t, events[0].Deleted)
	require.Zero(t, clock.PendingTimers())
}

func TestExpireLeaseEndsLeaseImmediately(t *testing.T) {
	s, clock := newStore()
	id, err := s.Grant(ctx, time.Minute)
	require.NoError(t, err)
	_, err = s.CompareAndSwap(ctx, "held", store.Position{}, []byte("x"), id)
	require.NoError(t, err)
	require.True(t, s.ExpireLease(id))
	require.False(t, s.ExpireLease(id))
	e, _ := s.Get(ctx, "held")
	require.Zero(t, e.Modified)
	requireFault(t, s.KeepAlive(ctx, id), store.FaultLease)
	require.Zero(t, clock.PendingTimers())
}

func TestKeyRewrittenWithoutLeaseOutlivesLease(t *testing.T) {
	s, clock := newStore()
	id, err := s.Grant(ctx, time.Second)
	require.NoError(t, err)
	e, err := s.CompareAndSwap(ctx, "k", store.Position{}, []byte("x"), id)
	require.NoError(t, err)
	put(t, s, "k", e.Position(), "y")
	clock.Advance(time.Minute)
	e, _ = s.Get(ctx, "k")
	require.Equal(t, "y", string(e.Value))
}

func TestWatch(t *testing.T) {
	s, clock := newStore()
	put(t, s, "a/1", store.Position{}, "1")
	put(t, s, "b/1", store.Position{}, "1")
	events, at, err := s.Watch(ctx, "a/", store.Position{}, time.Minute)
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.Equal(t, store.Position{Revision: s.Revision()}, at)

	type result struct {
		events []store.Event
		at     store.Position
		err    error
	}
	results := make(chan result, 1)
	wait := func(c context.Context) {
		events, at, err := s.Watch(c, "a/", at, time.Minute)
		results <- result{events, at, err}
	}
	waiting := func() bool { return s.Stats().Waiting == 1 && clock.PendingTimers() == 1 }
	go wait(ctx)
	require.Eventually(t, waiting, time.Minute, time.Millisecond)
	put(t, s, "b/2", store.Position{}, "1")
	put(t, s, "a/2", store.Position{}, "1")
	got := <-results
	require.NoError(t, got.err)
	require.Equal(t, "a/2", got.events[0].Entry.Key)

	at = got.at
	go wait(ctx)
	require.Eventually(t, waiting, time.Minute, time.Millisecond)
	clock.Advance(time.Minute)
	got = <-results
	require.Empty(t, got.events)
	require.Equal(t, at, got.at)

	canceled, cancel := context.WithCancel(ctx)
	go wait(canceled)
	cancel()
	requireFault(t, (<-results).err, store.FaultUnavailable)
}

func TestWatchFromCompactedRevision(t *testing.T) {
	s, _ := newStore()
	for i := range 12 {
		put(t, s, fmt.Sprint("k", i), store.Position{}, "x")
	}
	_, _, err := s.Watch(ctx, "", store.Position{Revision: 3}, 0)
	requireFault(t, err, store.FaultCompacted)
	events, _, err := s.Watch(ctx, "", store.Position{Revision: 4}, 0)
	require.NoError(t, err)
	require.Len(t, events, 8)
	s.Compact(10)
	_, _, err = s.Watch(ctx, "", store.Position{Revision: 9}, 0)
	requireFault(t, err, store.FaultCompacted)
	_, _, err = s.Watch(ctx, "", store.Position{Revision: 13}, 0)
	requireFault(t, err, store.FaultCompacted)
}

func TestCanceledContextChangesNothing(t *testing.T) {
	s, _ := newStore()
	ended, cancel := context.WithCancel(ctx)
	cancel()
	_, err := s.CompareAndSwap(ended, "a", store.Position{}, []byte("1"), 0)
	requireFault(t, err, store.FaultUnavailable)
	require.Zero(t, s.Revision())
}

// TestEventsYieldSameEntriesAsListing checks that applying the events in order
// yields the same entries as a listing, for random sequences of writes.
func TestEventsYieldSameEntriesAsListing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(NewManualClock(time.Unix(0, 0)), 1000)
		copied := map[string]string{}
		var last store.Position
		for range rapid.IntRange(1, 60).Draw(t, "writes") {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			current, err := s.Get(ctx, key)
			require.NoError(t, err)
			value := rapid.SampledFrom([][]byte{nil, []byte("1"), []byte("2")}).Draw(t, "value")
			_, err = s.CompareAndSwap(ctx, key, current.Position(), value, 0)
			require.NoError(t, err)
			if rapid.Bool().Draw(t, "skip") {
				continue
			}
			events, at, err := s.Watch(ctx, "", last, 0)
			require.NoError(t, err)
			for _, e := range events {
				require.Greater(t, e.Entry.Modified, last.Revision)
				last.Revision = e.Entry.Modified
				if e.Deleted {
					delete(copied, e.Entry.Key)
				} else {
					copied[e.Entry.Key] = string(e.Entry.Value)
				}
			}
			last = at
			page, err := s.List(ctx, "", "", 0)
			require.NoError(t, err)
			require.True(t, slices.IsSortedFunc(page.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) }))
			require.Len(t, copied, len(page.Entries))
			for _, e := range page.Entries {
				require.Equal(t, string(e.Value), copied[e.Key])
			}
		}
	})
}

// A restored store lacks the writes since the copy and gives their revisions out again. Neither a
// watch nor a condition of the era before may refer to them.
func TestRestoreBeginsNewEra(t *testing.T) {
	s, _ := newStore()
	put(t, s, "a", store.Position{}, "1")
	before := s.Copy()
	lost := put(t, s, "b", store.Position{}, "lost")
	id, err := s.Grant(ctx, time.Second)
	require.NoError(t, err)
	s.Restore(before)
	e, err := s.Get(ctx, "b")
	require.NoError(t, err)
	require.Zero(t, e.Modified)
	requireFault(t, s.KeepAlive(ctx, id), store.FaultLease)

	again := put(t, s, "b", store.Position{}, "again")
	require.Equal(t, lost.Modified, again.Modified)
	_, err = s.CompareAndSwap(ctx, "b", lost.Position(), []byte("2"), 0)
	require.Equal(t, "again", string(requireFault(t, err, store.FaultConflict).Current.Value))
	_, _, err = s.Watch(ctx, "", lost.Position(), 0)
	requireFault(t, err, store.FaultRestored)
	page, err := s.List(ctx, "", "", 0)
	require.NoError(t, err)
	require.Equal(t, again.Position(), page.Position())
	put(t, s, "b", again.Position(), "2")
}

func TestWaitingWatchEndsWithRestore(t *testing.T) {
	s, _ := newStore()
	put(t, s, "a", store.Position{}, "1")
	before := s.Copy()
	at := put(t, s, "b", store.Position{}, "lost").Position()
	result := make(chan error, 1)
	go func() {
		_, _, err := s.Watch(ctx, "", at, time.Minute)
		result <- err
	}()
	require.Eventually(t, func() bool { return s.Stats().Waiting == 1 }, time.Minute, time.Millisecond)
	s.Restore(before)
	requireFault(t, <-result, store.FaultRestored)
}
