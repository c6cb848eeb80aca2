package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/store"
)

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
	r := New()
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
	require.EqualValues(t, 12, r.AtRevision())
}

func TestSubscriberReceivesUpdatesAfterSnapshot(t *testing.T) {
	r := New()
	r.Apply(Update{Full: true, AtRevision: 10, Events: []store.Event{write("a", 3)}})
	_, s := r.Subscribe()
	r.Apply(Update{AtRevision: 11, Events: []store.Event{write("b", 11)}})
	require.Equal(t, []string{"b"}, keys(<-s.C))
	r.Unsubscribe(s)
	_, open := <-s.C
	require.False(t, open)
}

func TestSlowSubscriberIsDropped(t *testing.T) {
	r := New()
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
