package replica

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/store"
)

// versions is a policy by which the higher value holds, and keys other than "config" expire.
type versions struct{}

func (versions) Resolve(earlier, later store.Entry) store.Entry {
	if bytes.Compare(earlier.Value, later.Value) > 0 {
		return earlier
	}
	return later
}

func (versions) Expires(key string) bool { return key != "config" && key != "zone" }

func (versions) EndsByRemoval(key string) bool { return key == "zone" }

// newReplica returns a replica and its clock.
func newReplica() (*Replica, *time.Duration) {
	now := time.Minute
	return New(versions{}, func() time.Duration { return now }), &now
}

// value returns a write of a value in an era.
func value(key, value string, era store.Era, revision store.Revision) store.Event {
	return store.Event{Entry: store.Entry{Key: key, Value: []byte(value), Era: era, Modified: revision}}
}

// contents returns the values of a snapshot by key.
func contents(r *Replica) map[string]string {
	out := make(map[string]string)
	for _, e := range r.Snapshot().Events {
		out[e.Entry.Key] = string(e.Entry.Value)
	}
	return out
}

func write(key string, revision store.Revision) store.Event {
	return store.Event{Entry: store.Entry{Key: key, Value: []byte(key), Modified: revision}}
}

func removal(key string, revision store.Revision) store.Event {
	return store.Event{Entry: store.Entry{Key: key, Modified: revision}, Deleted: true}
}

func keys(u Update) []string {
	var out []string
	for _, e := range u.Events {
		out = append(out, e.Entry.Key)
	}
	return out
}

func TestRevisionNeverDecreases(t *testing.T) {
	r, _ := newReplica()
	_, ok := r.Apply(Update{AtRevision: 5, Events: []store.Event{write("a", 5)}})
	require.False(t, ok, "an update without a preceding snapshot is rejected")
	_, ok = r.Apply(Update{Full: true, AtRevision: 10, Events: []store.Event{write("a", 3), write("b", 9)}})
	require.True(t, ok)
	fresh, ok := r.Apply(Update{AtRevision: 12, Events: []store.Event{write("a", 8), removal("b", 11), write("c", 12)}})
	require.True(t, ok)
	require.Equal(t, []string{"b", "c"}, keys(fresh), "events already in the replica are left out")
	_, ok = r.Apply(Update{Full: true, AtRevision: 10, Events: []store.Event{write("b", 9)}})
	require.False(t, ok, "an older snapshot does not restore deleted items")
	snapshot, _ := r.Subscribe()
	require.ElementsMatch(t, []string{"a", "c"}, keys(snapshot))
	require.EqualValues(t, 12, r.Position().Revision)
}

func TestSubscriberReceivesUpdatesAfterSnapshot(t *testing.T) {
	r, _ := newReplica()
	r.Apply(Update{Full: true, AtRevision: 10, Events: []store.Event{write("a", 3)}})
	_, s := r.Subscribe()
	r.Apply(Update{AtRevision: 11, Events: []store.Event{write("b", 11)}})
	require.Equal(t, []string{"b"}, keys(<-s.C))
	r.Unsubscribe(s)
	_, open := <-s.C
	require.False(t, open)
}

func TestSlowSubscriberIsDropped(t *testing.T) {
	r, _ := newReplica()
	r.Apply(Update{Full: true, AtRevision: 1})
	_, s := r.Subscribe()
	for at := store.Revision(2); at < 2+2*subscriberQueueSize; at++ {
		r.Apply(Update{AtRevision: at, Events: []store.Event{write("a", at)}})
	}
	n := 0
	for range s.C {
		n++
	}
	require.Equal(t, subscriberQueueSize, n)
	r.Unsubscribe(s)
}

// restored returns a replica that held a configuration and two registrations when the store came
// back from a copy with an older configuration and one of the registrations.
func restored(t *testing.T) (*Replica, *time.Duration) {
	r, now := newReplica()
	_, ok := r.Apply(Update{Full: true, Era: 1, AtRevision: 23, Events: []store.Event{value("config", "12", 1, 23), value("a", "1", 1, 3), value("b", "1", 1, 22)}})
	require.True(t, ok)
	fresh, ok := r.Apply(Update{Full: true, Era: 2, AtRevision: 22, Events: []store.Event{value("config", "09", 2, 21), value("a", "1", 2, 3)}})
	require.True(t, ok, "a lower revision of a later era is newer")
	require.True(t, fresh.Full)
	return r, now
}

func TestLostEntriesAreKept(t *testing.T) {
	r, now := restored(t)
	require.Equal(t, map[string]string{"config": "12", "a": "1", "b": "1"}, contents(r))
	_, ok := r.DropExpired()
	require.False(t, ok)
	fresh, ok := r.Apply(Update{Era: 2, AtRevision: 23, Events: []store.Event{value("config", "11", 2, 23)}})
	require.True(t, ok)
	require.Empty(t, fresh.Events, "written again in order, still older than what holds")
	fresh, _ = r.Apply(Update{Era: 2, AtRevision: 24, Events: []store.Event{value("config", "12", 2, 24)}})
	require.Equal(t, []string{"config"}, keys(fresh))
	*now += directory.RewriteTime
	dropped, ok := r.DropExpired()
	require.True(t, ok)
	require.Equal(t, []string{"b"}, keys(dropped))
	require.True(t, dropped.Events[0].Deleted)
	require.Equal(t, map[string]string{"config": "12", "a": "1"}, contents(r))
	require.Zero(t, r.Kept())
}

// The lease of an entry of the copy ends while the registration that was lost is kept.
func TestRemovalDoesNotEndKeptEntry(t *testing.T) {
	r, now := newReplica()
	r.Apply(Update{Full: true, Era: 1, AtRevision: 9, Events: []store.Event{value("a", "2", 1, 9)}})
	r.Apply(Update{Full: true, Era: 2, AtRevision: 8, Events: []store.Event{value("a", "1", 2, 5)}})
	fresh, ok := r.Apply(Update{Era: 2, AtRevision: 9, Events: []store.Event{{Entry: store.Entry{Key: "a", Era: 2, Modified: 9}, Deleted: true}}})
	require.True(t, ok)
	require.Empty(t, fresh.Events)
	require.Equal(t, map[string]string{"a": "2"}, contents(r))
	*now += directory.RewriteTime
	require.Empty(t, contents(r))
	dropped, _ := r.DropExpired()
	require.True(t, dropped.Events[0].Deleted)
}

// A writer whose clock was set back wrote an entry that only seems to be older.
func TestStoredEntryHoldsOnceKeptOneExpired(t *testing.T) {
	r, now := newReplica()
	r.Apply(Update{Full: true, Era: 1, AtRevision: 9, Events: []store.Event{value("a", "2", 1, 9)}})
	r.Apply(Update{Full: true, Era: 2, AtRevision: 9, Events: []store.Event{value("a", "1", 2, 9)}})
	require.Equal(t, map[string]string{"a": "2"}, contents(r))
	*now += directory.RewriteTime
	dropped, ok := r.DropExpired()
	require.True(t, ok)
	require.Equal(t, "1", string(dropped.Events[0].Entry.Value))
	require.Equal(t, map[string]string{"a": "1"}, contents(r))
}

func TestUpdatesOfAnotherEraNeedSnapshot(t *testing.T) {
	r, _ := restored(t)
	_, ok := r.Apply(Update{Era: 1, AtRevision: 40, Events: []store.Event{value("a", "5", 1, 40)}})
	require.True(t, ok, "a write that the store lost")
	_, ok = r.Apply(Update{Era: 3, AtRevision: 50, Events: []store.Event{value("a", "6", 3, 50)}})
	require.False(t, ok)
	_, ok = r.Apply(Update{Full: true, Era: 1, AtRevision: 90, Events: []store.Event{value("c", "1", 1, 90)}})
	require.True(t, ok)
	require.Equal(t, store.Position{Era: 2, Revision: 22}, r.Position())
	require.Equal(t, map[string]string{"config": "12", "a": "5", "b": "1", "c": "1"}, contents(r))
}

// A host that starts after the restore reads the older configuration, and then hears of the lost
// one from a host that keeps it.
func TestStartedReplicaTakesWhatOthersKeep(t *testing.T) {
	other, _ := restored(t)
	r, now := newReplica()
	r.Apply(Update{Full: true, Era: 2, AtRevision: 22, Events: []store.Event{value("config", "09", 2, 21), value("a", "1", 2, 3)}})
	fresh, ok := r.Apply(other.Snapshot())
	require.True(t, ok)
	require.False(t, fresh.Full)
	require.ElementsMatch(t, []string{"config", "b"}, keys(fresh))
	require.Equal(t, contents(other), contents(r))
	_, ok = r.Apply(other.Snapshot())
	require.False(t, ok)
	*now += directory.RewriteTime
	r.DropExpired()
	_, ok = r.Apply(other.Snapshot())
	require.False(t, ok, "what expired doesn't come back")
}

func TestSecondRestoreKeepsWhatFirstLost(t *testing.T) {
	r, _ := restored(t)
	r.Apply(Update{Era: 2, AtRevision: 23, Events: []store.Event{value("b", "2", 2, 23)}})
	r.Apply(Update{Full: true, Era: 3, AtRevision: 22, Events: []store.Event{value("config", "09", 3, 21)}})
	require.Equal(t, map[string]string{"config": "12", "a": "1", "b": "2"}, contents(r))
	r.Apply(Update{Era: 3, AtRevision: 23, Events: []store.Event{value("config", "15", 3, 23)}})
	require.Equal(t, "15", contents(r)["config"])
}

// Updates at one position can differ, so that a position does not identify one.
func TestChangesAreNumbered(t *testing.T) {
	r, _ := restored(t)
	before := r.Snapshot()
	require.Equal(t, before.Change, r.Snapshot().Change)
	r.Apply(Update{Era: 1, AtRevision: 40, Events: []store.Event{value("d", "1", 1, 40)}})
	after := r.Snapshot()
	require.Equal(t, before.Position(), after.Position())
	require.NotEqual(t, before.Change, after.Change)
}

// Guards against a host that started from the snapshot of a host that kept a lost entry, and then
// lacks what the store has under that key.
func TestStoredEntryBehindKeptOneReachesStartedReplica(t *testing.T) {
	other, _ := newReplica()
	other.Apply(Update{Full: true, Era: 1, AtRevision: 9, Events: []store.Event{value("a", "2", 1, 9)}})
	other.Apply(Update{Full: true, Era: 2, AtRevision: 9, Events: []store.Event{value("a", "1", 2, 9)}})
	started, now := newReplica()
	snapshot, _ := other.Subscribe()
	_, ok := started.Apply(snapshot)
	require.True(t, ok)
	// Its own full read at the same position holds nothing new.
	started.Apply(Update{Full: true, Era: 2, AtRevision: 9, Events: []store.Event{value("a", "1", 2, 9)}})
	*now += directory.RewriteTime
	_, _ = started.DropExpired()
	require.Equal(t, map[string]string{"a": "1"}, contents(started))
}

// Guards against a lost evacuation that ends by the removal of nothing, and against one that was written
// again and removed and comes back from a host that missed that.
func TestLostEntryEndsByRewriteAndRemoval(t *testing.T) {
	removed := func(at store.Revision) store.Event {
		return store.Event{Entry: store.Entry{Key: "zone", Era: 2, Modified: at}, Deleted: true}
	}
	held := Update{Full: true, Era: 1, AtRevision: 9, Events: []store.Event{value("zone", "{}", 1, 9)}}
	for _, c := range []struct {
		what string
		end  []Update
	}{
		{"watched", []Update{{Era: 2, AtRevision: 10, Events: []store.Event{removed(10)}}, {Era: 2, AtRevision: 12, Events: []store.Event{value("zone", "{}", 2, 11), removed(12)}}}},
		{"missed by the watch", []Update{{Era: 2, AtRevision: 10, Events: []store.Event{removed(10)}}, {Era: 2, AtRevision: 11, Events: []store.Event{value("zone", "{}", 2, 11)}}, {Full: true, Era: 2, AtRevision: 12}}},
	} {
		r, now := newReplica()
		r.Apply(held)
		r.Apply(Update{Full: true, Era: 2, AtRevision: 8})
		*now += time.Hour
		for _, u := range c.end {
			require.Equal(t, map[string]string{"zone": "{}"}, contents(r), c.what)
			r.Apply(u)
		}
		require.Empty(t, contents(r), c.what)
		r.Apply(held)
		require.Empty(t, contents(r), c.what)
	}
}

// A subscriber that has the directory up to a recent position gets the changes since; one that lacks
// more, or that keeps something else, gets the snapshot.
func TestSubscriberGetsChangesSinceItsPosition(t *testing.T) {
	r, _ := newReplica()
	follower, _ := newReplica()
	full := Update{Full: true, Era: 1, AtRevision: 10, Events: []store.Event{value("a", "1", 1, 5), value("b", "1", 1, 6)}}
	r.Apply(full)
	follower.Apply(full)
	r.Apply(Update{Era: 1, AtRevision: 12, Events: []store.Event{value("a", "2", 1, 11), {Entry: store.Entry{Key: "b", Era: 1, Modified: 12}, Deleted: true}}})
	r.Apply(Update{Era: 1, AtRevision: 14, Events: []store.Event{value("c", "1", 1, 13)}})
	after := func(p store.Position, kept uint64) Update {
		u, s := r.SubscribeAfter(p, kept)
		r.Unsubscribe(s)
		return u
	}
	u := after(follower.Position(), follower.KeptDigest())
	require.False(t, u.Full)
	require.Len(t, u.Events, 3)
	follower.Apply(u)
	require.Equal(t, contents(r), contents(follower))
	require.Equal(t, r.Position(), follower.Position())
	require.Empty(t, after(r.Position(), 0).Events)
	require.False(t, after(store.Position{Era: 1, Revision: 20}, 0).Full, "it is ahead")
	require.True(t, after(store.Position{Era: 1, Revision: 9}, 0).Full, "too old")
	require.True(t, after(store.Position{Era: 2, Revision: 14}, 0).Full)
	require.True(t, after(r.Position(), 7).Full, "it keeps what this one does not")
	for n := range store.Revision(recentEvents + 5) {
		r.Apply(Update{Era: 1, AtRevision: 20 + n, Events: []store.Event{value("d", "1", 1, 20+n)}})
	}
	require.True(t, after(follower.Position(), 0).Full)
	require.Len(t, after(store.Position{Era: 1, Revision: 24}, 0).Events, recentEvents)
}

// A removal behind a kept entry is no event, so events can't replace the snapshot after it.
func TestSubscriberGetsSnapshotAfterKeptEntries(t *testing.T) {
	r, now := newReplica()
	r.Apply(Update{Full: true, Era: 1, AtRevision: 10, Events: []store.Event{value("a", "2", 1, 9)}})
	r.Apply(Update{Full: true, Era: 2, AtRevision: 5, Events: []store.Event{value("a", "1", 2, 4)}})
	require.Equal(t, 1, r.Kept())
	r.Apply(Update{Era: 2, AtRevision: 6, Events: []store.Event{{Entry: store.Entry{Key: "a", Era: 2, Modified: 6}, Deleted: true}}})
	*now += directory.RewriteTime
	r.DropExpired()
	u, s := r.SubscribeAfter(store.Position{Era: 2, Revision: 5}, 0)
	r.Unsubscribe(s)
	require.True(t, u.Full)
}

// Guards against a follower that loses a stored registration when a kept one expires: its replica lacked the stored
// entry behind the kept one, since it followed while the store was restored.
func TestFollowerOfRestoreHasStoredEntryBehindKeptOne(t *testing.T) {
	r, now := newReplica()
	follower, _ := newReplica()
	first := Update{Full: true, Era: 1, AtRevision: 9, Events: []store.Event{value("a", "2", 1, 9)}}
	r.Apply(first)
	follower.Apply(first)
	_, s := r.Subscribe()
	r.Apply(Update{Full: true, Era: 2, AtRevision: 5, Events: []store.Event{value("a", "1", 2, 4)}})
	follower.Apply(<-s.C)
	require.Equal(t, r.Position(), follower.Position())
	*now += time.Hour
	follower.mu.Lock()
	_, stored := follower.items["a"]
	follower.mu.Unlock()
	require.True(t, stored)
}
