package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/measure/spreadrun"
	"mimosashore.example/mimosashore/internal/spread"
)

const (
	acct = config.AccountPrefix + "grower"
	// bound is the time in which an accepted change has to be in force.
	bound = 7 * time.Second
	lease = 30 * time.Second
)

// running returns a world whose hosts all have revision 1 in force.
func running(t *testing.T, n int) *spreadrun.World {
	w := spreadrun.New(n, 3, 1)
	w.Store.Put(spreadrun.Account("grower", 1, "first"))
	w.StartAll()
	w.Run(bound)
	require.True(t, w.AllHold(acct, 1))
	t.Cleanup(func() { require.Zero(t, w.Reverts, "a host went back") })
	return w
}

// fill puts documents into the store that come before the account, so that a
// check of single entries doesn't happen to read it.
func fill(w *spreadrun.World) {
	for i := range 40 {
		w.Store.Put(spreadrun.Account(fmt.Sprintf("another-%02d", i), 1, "filler"))
	}
	w.Run(bound)
}

func put(w *spreadrun.World, revision uint64) {
	w.Store.Put(spreadrun.Account("grower", revision, fmt.Sprint("change ", revision)))
}

func TestChangeReachesAllHosts(t *testing.T) {
	w := running(t, 30)
	put(w, 2)
	w.Run(bound)
	require.True(t, w.AllHold(acct, 2))
}

func TestChangeIsAnnouncedAtOnce(t *testing.T) {
	w := running(t, 60)
	put(w, 2)
	w.Run(200 * time.Millisecond)
	require.True(t, w.AllHold(acct, 2), "announcements don't wait for a comparison of digests")
}

func TestStoreDownForLongerThanALease(t *testing.T) {
	w := running(t, 9)
	w.Store.Down = true
	w.Run(2 * lease)
	require.True(t, w.AllHold(acct, 1), "what is accepted stays in force")
	w.Store.Down = false
	put(w, 2)
	w.Run(bound)
	require.True(t, w.AllHold(acct, 2))
}

func TestSlowStore(t *testing.T) {
	w := running(t, 9)
	w.Store.Delay = 1500 * time.Millisecond
	w.Run(lease)
	put(w, 2)
	w.Run(bound)
	require.True(t, w.AllHold(acct, 2))
}

func TestWatchThatStopsIsNoticed(t *testing.T) {
	for name, stop := range map[string]func(*spreadrun.Store){
		"silent": func(s *spreadrun.Store) { s.SilentWatch = true },
		"hung":   func(s *spreadrun.Store) { s.HungWatch = true },
	} {
		t.Run(name, func(t *testing.T) {
			w := running(t, 9)
			fill(w)
			stop(w.Store)
			w.Run(lease)
			put(w, 2)
			w.Run(2 * bound)
			require.True(t, w.AllHold(acct, 2))
		})
	}
}

func TestSilentWatchOfOneHostCostsNoListing(t *testing.T) {
	w := running(t, 9)
	fill(w)
	w.Store.SilentFor = func(n *spreadrun.Node) bool { return n == w.Nodes[0] }
	for !w.Nodes[0].Core.IsWatcher() {
		w.Nodes = append(w.Nodes[1:], w.Nodes[0])
	}
	before := w.Nodes[0].StoreBytes
	put(w, 2)
	w.Run(lease)
	require.True(t, w.AllHold(acct, 2))
	raw, err := spreadrun.Account("another-00", 1, "filler").Encode()
	require.NoError(t, err)
	read := (w.Nodes[0].StoreBytes - before) / len(raw)
	require.Less(t, read, 20, "checks of single documents, no listing of all 41")
}

func TestCompactedRevisionIsListedAnew(t *testing.T) {
	w := running(t, 9)
	fill(w)
	w.Store.Reachable = func(*spreadrun.Node) bool { return false }
	w.Run(bound)
	put(w, 2)
	w.Store.Compact()
	w.Store.Reachable = nil
	w.Run(2 * bound)
	require.True(t, w.AllHold(acct, 2))
}

func TestPartitionBetweenZones(t *testing.T) {
	w := running(t, 9)
	inZone0 := func(n *spreadrun.Node) bool { return n.Zone == "zone-0" }
	w.Cut = func(a, b *spreadrun.Node) bool { return inZone0(a) != inZone0(b) }
	w.Store.Reachable = func(n *spreadrun.Node) bool { return !inZone0(n) }
	w.UpdateViews()
	w.Run(lease)
	// The operators of the reachable side act; those of the other side are refused by the store.
	put(w, 2)
	w.Run(lease)
	for _, n := range w.Nodes {
		require.Equal(t, !inZone0(n), n.Holds(acct, 2), n.Name)
		require.Equal(t, inZone0(n), n.Holds(acct, 1), n.Name)
	}
	w.Cut, w.Store.Reachable = nil, nil
	w.UpdateViews()
	w.Run(lease)
	require.True(t, w.AllHold(acct, 2))
}

func TestStoreReachedFromOneZoneOnly(t *testing.T) {
	w := running(t, 9)
	w.Store.Reachable = func(n *spreadrun.Node) bool { return n.Zone == "zone-2" }
	w.Run(lease)
	put(w, 2)
	w.Run(bound)
	require.True(t, w.AllHold(acct, 2), "the other zones hear from peers")
}

func TestHostThatMissedAHundredChanges(t *testing.T) {
	w := running(t, 12)
	n := notWatching(w)
	n.Paused = true
	for revision := uint64(2); revision <= 101; revision++ {
		put(w, revision)
		w.Run(100 * time.Millisecond)
	}
	w.Resume(n)
	w.Run(bound)
	require.True(t, w.AllHold(acct, 101))
}

func notWatching(w *spreadrun.World) *spreadrun.Node {
	for _, n := range w.Nodes {
		if !n.Core.IsWatcher() {
			return n
		}
	}
	return nil
}

func TestLostAnnouncementIsRepaired(t *testing.T) {
	w := running(t, 12)
	n := notWatching(w)
	w.Cut = func(a, b *spreadrun.Node) bool { return a == n || b == n }
	put(w, 2)
	w.Run(2 * time.Second)
	require.False(t, n.Holds(acct, 2))
	w.Cut = nil
	w.Run(bound)
	require.True(t, n.Holds(acct, 2), "the links never ended, so only a comparison finds the gap")
}

func TestLowerRevisionsAreRefused(t *testing.T) {
	t.Run("old peer", func(t *testing.T) {
		w := running(t, 9)
		put(w, 2)
		w.Run(bound)
		old, err := spreadrun.Account("grower", 1, "first").Encode()
		require.NoError(t, err)
		for _, n := range w.Nodes {
			for _, from := range w.Nodes {
				m := &spread.Message{Kind: spread.KindDocuments, Documents: [][]byte{old}}
				w.Do(n, func(out *spread.Effects) { n.Core.Receive(w.Queue.Now(), from.ID, m, out) })
			}
		}
		w.Run(bound)
		require.True(t, w.AllHold(acct, 2))
		require.EqualValues(t, 2, w.Nodes[0].Snapshot.Accounts[0].Revision)
	})
	t.Run("stale read", func(t *testing.T) {
		w := running(t, 9)
		old := w.Store.Backup()
		put(w, 2)
		w.Run(bound)
		w.Store.ServeStaleReads(old)
		w.Run(2 * lease)
		require.True(t, w.AllHold(acct, 2))
		put(w, 3)
		w.Run(bound)
		require.True(t, w.AllHold(acct, 3), "the watch still tells of changes")
	})
	t.Run("restored store", func(t *testing.T) {
		w := running(t, 9)
		backup := w.Store.Backup()
		put(w, 2)
		put(w, 3)
		w.Run(bound)
		w.Store.Restore(backup)
		w.Run(lease)
		require.True(t, w.AllHold(acct, 3))
		behind := 0
		for _, n := range w.Nodes {
			behind += n.Core.StoreBehind()
		}
		require.NotZero(t, behind, "the store's lower revision is told")
		w.Store.Put(spreadrun.Account("grower", 2, "after the restoring"))
		w.Run(bound)
		require.True(t, w.AllHold(acct, 3))
		put(w, 4)
		w.Run(bound)
		require.True(t, w.AllHold(acct, 4), "the operators go on above what is in force")
		for _, n := range w.Nodes {
			require.Zero(t, n.Core.StoreBehind())
		}
	})
}

func TestSameRevisionWithOtherContentIsRefused(t *testing.T) {
	w := running(t, 3)
	w.Store.Put(spreadrun.Account("grower", 1, "another"))
	w.Run(bound)
	require.True(t, w.AllHold(acct, 1))
	conflicts := uint64(0)
	for _, n := range w.Nodes {
		conflicts += n.Core.Counters().RefusedConflict
	}
	require.NotZero(t, conflicts)
}

func TestStartWithTheStoreDown(t *testing.T) {
	w := spreadrun.New(9, 3, 1)
	put(w, 1)
	w.Start(w.Nodes[:8]...)
	w.Run(bound)
	w.Store.Down = true
	w.Start(w.Nodes[8])
	w.Run(bound)
	require.True(t, w.Nodes[8].Holds(acct, 1))

	alone := spreadrun.New(1, 1, 1)
	alone.Store.Down = true
	alone.StartAll()
	alone.Run(bound)
	ready, why := alone.Nodes[0].Core.Readiness()
	require.False(t, ready)
	require.Equal(t, "the store does not answer and no other host is linked", why)
	require.Nil(t, alone.Nodes[0].Snapshot, "a part of a configuration is never in force")
}

func TestAllHostsReplacedInTurnWithTheStoreDown(t *testing.T) {
	w := running(t, 9)
	w.Store.Down = true
	for _, n := range w.Nodes {
		w.Stop(n)
		w.Start(n)
		w.Run(bound)
		require.True(t, n.Holds(acct, 1), n.Name)
	}
}

func TestWatchersOfAZoneDie(t *testing.T) {
	w := running(t, 12)
	w.Store.Reachable = func(n *spreadrun.Node) bool { return n.Zone == "zone-1" }
	var watchers []*spreadrun.Node
	for _, n := range w.Nodes {
		if n.Zone == "zone-1" && n.Core.IsWatcher() {
			watchers = append(watchers, n)
		}
	}
	require.Len(t, watchers, 2)
	for _, n := range watchers {
		w.Stop(n)
	}
	w.Run(bound)
	put(w, 2)
	w.Run(bound)
	require.True(t, w.AllHold(acct, 2), "other hosts of the zone watch")
}

func TestPartOfAConfigurationIsNotInForce(t *testing.T) {
	w := spreadrun.New(2, 2, 1)
	w.Store.Down = true
	n, other := w.Nodes[0], w.Nodes[1]
	w.Start(n)
	w.Do(n, func(out *spread.Effects) { n.Core.LinkUp(0, other.ID, out) })
	raw, err := spreadrun.Account("grower", 1, "first").Encode()
	require.NoError(t, err)
	hello := &spread.Message{Kind: spread.KindHello, Digest: 1, Count: 2, Ready: true}
	documents := &spread.Message{Kind: spread.KindDocuments, Documents: [][]byte{raw}}
	for _, m := range []*spread.Message{hello, documents} {
		w.Do(n, func(out *spread.Effects) { n.Core.Receive(0, other.ID, m, out) })
	}
	w.Run(bound)
	require.EqualValues(t, 1, n.Core.Revision(acct))
	require.Nil(t, n.Snapshot)
	_, why := n.Core.Readiness()
	require.Equal(t, "the configuration is being taken from other hosts", why)
}

func TestDeleteAndRecreate(t *testing.T) {
	w := running(t, 9)
	w.Store.Put(&config.Document{Name: acct, Revision: 2, Deleted: true})
	w.Run(bound)
	for _, n := range w.Nodes {
		require.Empty(t, n.Snapshot.Accounts)
	}
	old, err := spreadrun.Account("grower", 1, "first").Encode()
	require.NoError(t, err)
	n := w.Nodes[0]
	m := &spread.Message{Kind: spread.KindDocuments, Documents: [][]byte{old}}
	for _, from := range w.Nodes {
		w.Do(n, func(out *spread.Effects) { n.Core.Receive(w.Queue.Now(), from.ID, m, out) })
	}
	require.Empty(t, n.Snapshot.Accounts, "an older copy doesn't bring a deleted account back")
	put(w, 3)
	w.Run(bound)
	require.True(t, w.AllHold(acct, 3))
}
