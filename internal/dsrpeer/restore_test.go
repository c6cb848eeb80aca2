package dsrpeer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// inEra returns a write of a key in an era.
func inEra(key string, era store.Era, revision store.Revision) store.Event {
	e := writeEvent(key, revision)
	e.Entry.Era = era
	return e
}

// holdLost makes the replica one whose store was restored and lost "config" and "up/b".
func holdLost(r *replica.Replica) {
	r.Apply(replica.Update{Full: true, Era: 1, AtRevision: 9, Events: []store.Event{inEra("config", 1, 8), inEra("up/a", 1, 2), inEra("up/b", 1, 9)}})
	r.Apply(replica.Update{Full: true, Era: 2, AtRevision: 5, Events: []store.Event{inEra("up/a", 2, 2)}})
}

// A follower gets what the store lost with the snapshot, and again with the next restore.
func TestFollowerGetsWhatStoreLost(t *testing.T) {
	a := start(t)
	holdLost(a.replica)
	b := start(t, a.settings.Control)
	b.needsPeers.Store(true)
	require.Eventually(t, func() bool { return b.replica.Position() == store.Position{Era: 2, Revision: 5} }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, 2, b.replica.Kept())
	require.Positive(t, b.replica.KeptFor())
	a.replica.Apply(replica.Update{Full: true, Era: 3, AtRevision: 4, Events: []store.Event{inEra("up/a", 3, 2)}})
	require.Eventually(t, func() bool { return b.replica.Position() == store.Position{Era: 3, Revision: 4} }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, 2, b.replica.Kept())
}

// A host that starts after the restore, and reads the store itself, asks others for what was lost.
func TestStartedHostFetchesWhatStoreLost(t *testing.T) {
	a := start(t)
	holdLost(a.replica)
	b := start(t, a.settings.Control)
	b.replica.Apply(replica.Update{Full: true, Era: 2, AtRevision: 6, Events: []store.Event{inEra("up/a", 2, 6)}})
	require.Eventually(t, func() bool { return b.replica.Kept() == 2 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, store.Position{Era: 2, Revision: 6}, b.replica.Position())
	<-b.Greeted()
	require.Zero(t, b.resyncs.Load())
}

// A host that missed the restore has a higher revision, which counts for nothing: it isn't followed,
// and it hears of the restore with its next hello.
func TestHostThatMissedRestoreIsNotFollowed(t *testing.T) {
	missed, reader := start(t), start(t)
	missed.replica.Apply(replica.Update{Full: true, Era: 1, AtRevision: 90, Events: []store.Event{inEra("up/old", 1, 90)}})
	reader.replica.Apply(replica.Update{Full: true, Era: 2, AtRevision: 7, Events: []store.Event{inEra("up/a", 2, 7)}})
	b := start(t, missed.settings.Control, reader.settings.Control)
	b.replica.Apply(replica.Update{Full: true, Era: 2, AtRevision: 3})
	b.needsPeers.Store(true)
	require.Eventually(t, func() bool { return b.replica.Position() == store.Position{Era: 2, Revision: 7} }, 5*time.Second, 5*time.Millisecond)
	b.mu.Lock()
	for _, age := range b.receivedStoreAges {
		require.NotZero(t, age)
	}
	b.mu.Unlock()
	late := start(t, reader.settings.Control)
	late.replica.Apply(replica.Update{Full: true, Era: 1, AtRevision: 90})
	require.Eventually(t, func() bool { return late.resyncs.Load() > 0 }, 5*time.Second, 5*time.Millisecond)
}

// Two updates at the same position differ after a restore, or when a host hears of another lost
// entry. A follower must not get the cached encoding of the other one.
func TestEncodedUpdateIsOfItsChange(t *testing.T) {
	a := start(t)
	a.replica.Apply(replica.Update{Full: true, Era: 1, AtRevision: 5, Events: []store.Event{inEra("up/a", 1, 5)}})
	first, err := a.encodedUpdate(a.replica.Snapshot())
	require.NoError(t, err)
	again, err := a.encodedUpdate(a.replica.Snapshot())
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0], "a snapshot is encoded once for all followers")
	a.replica.Apply(replica.Update{Full: true, Era: 2, AtRevision: 5, Events: []store.Event{inEra("up/b", 2, 5)}})
	b, err := a.encodedUpdate(a.replica.Snapshot())
	require.NoError(t, err)
	u, err := decodeUpdate(b)
	require.NoError(t, err)
	require.Equal(t, store.Era(2), u.Era)
	require.Len(t, u.Events, 2)
}

func TestUpdateWithItemOfLaterEraIsRejected(t *testing.T) {
	b, err := encodeUpdate(replica.Update{Era: 1, AtRevision: 5, Events: []store.Event{inEra("a", 2, 3)}})
	require.NoError(t, err)
	_, err = decodeUpdate(b)
	require.ErrorContains(t, err, `holds "a" of revision 3 of era 2`)
	b, err = encodeUpdate(replica.Update{Era: 2, AtRevision: 5, Events: []store.Event{inEra("a", 1, 30)}})
	require.NoError(t, err)
	u, err := decodeUpdate(b)
	require.NoError(t, err, "a lost entry may have a higher revision")
	require.Equal(t, inEra("a", 1, 30), u.Events[0])
}

// Two hosts that started after the restore keep as many lost entries, but not the same ones.
func TestHostsExchangeDifferentLostEntries(t *testing.T) {
	a := start(t)
	holdLost(a.replica)
	b := start(t, a.settings.Control)
	b.replica.Apply(replica.Update{Full: true, Era: 1, AtRevision: 9, Events: []store.Event{inEra("up/c", 1, 4), inEra("up/d", 1, 5)}})
	b.replica.Apply(replica.Update{Full: true, Era: 2, AtRevision: 5, Events: []store.Event{inEra("up/a", 2, 2)}})
	require.Eventually(t, func() bool { return b.replica.Kept() == 4 }, 5*time.Second, 5*time.Millisecond)
}

// A host that the store turns away must not settle on others that it turns away too, or two follow
// each other and get no changes while a third reads the store.
func TestHostFollowsOneThatReadsStore(t *testing.T) {
	var contacts []netip.AddrPort
	for n := range 6 {
		h := start(t)
		h.replica.Apply(replica.Update{Full: true, AtRevision: store.Revision(10 + n%2)})
		h.storeAge.Store(int64(10 * time.Second))
		if n == 5 {
			h.replica.Apply(replica.Update{Full: true, AtRevision: 20})
			h.storeAge.Store(int64(100 * time.Millisecond))
		}
		contacts = append(contacts, h.settings.Control)
	}
	b := start(t, contacts...)
	b.needsPeers.Store(true)
	require.Eventually(t, func() bool { return b.replica.Position().Revision == 20 }, 6*time.Second, 5*time.Millisecond)
}
