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
	// bound is the time within which an accepted change must be in force on all
	// hosts.
	bound = 7 * time.Second
	// lease is the assumed time to live of a lease in the store.
	lease = 30 * time.Second
)

// running returns a simulation of n hosts in three availability zones, all with
// revision 1 of the account in force. At the end of the test it checks that no host
// has reverted to a lower revision.
func running(t *testing.T, n int) *spreadrun.Simulation {
	w := spreadrun.New(n, 3, 1)
	w.Store.Put(spreadrun.Account("grower", 1, "first"))
	w.StartAll()
	w.Run(bound)
	require.True(t, w.AllHaveInForce(acct, 1))
	t.Cleanup(func() { require.Zero(t, w.Reverts, "a host reverted to a lower revision") })
	return w
}

// fill stores documents whose keys precede the account's, so that a watcher's check,
// which reads a single entry, does not read the account by chance.
func fill(w *spreadrun.Simulation) {
	for i := range 40 {
		w.Store.Put(spreadrun.Account(fmt.Sprintf("another-%02d", i), 1, "filler"))
	}
	w.Run(bound)
}

func put(w *spreadrun.Simulation, revision uint64) {
	w.Store.Put(spreadrun.Account("grower", revision, fmt.Sprint("change ", revision)))
}

func TestChangeReachesAllHosts(t *testing.T) {
	w := running(t, 30)
	put(w, 2)
	w.Run(bound)
	require.True(t, w.AllHaveInForce(acct, 2))
}

func TestChangeIsAnnouncedImmediately(t *testing.T) {
	w := running(t, 60)
	put(w, 2)
	w.Run(200 * time.Millisecond)
	require.True(t, w.AllHaveInForce(acct, 2), "announcements do not wait for a comparison of digests")
}

func TestStoreDownForLongerThanALease(t *testing.T) {
	w := running(t, 9)
	w.Store.Down = true
	w.Run(2 * lease)
	require.True(t, w.AllHaveInForce(acct, 1), "the accepted configuration stays in force while the store is down")
	w.Store.Down = false
	put(w, 2)
	w.Run(bound)
	require.True(t, w.AllHaveInForce(acct, 2))
}

func TestSlowStore(t *testing.T) {
	w := running(t, 9)
	w.Store.Delay = 1500 * time.Millisecond
	w.Run(lease)
	put(w, 2)
	w.Run(bound)
	require.True(t, w.AllHaveInForce(acct, 2))
}

// A watch can stop delivering writes without an error, or hang until its timeout. In
// both cases, the watchers must detect the writes that they missed.
func TestStalledWatchIsDetected(t *testing.T) {
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
			require.True(t, w.AllHaveInForce(acct, 2))
		})
	}
}

// If the watch of a single host stalls, its peers hold the missed writes. The host
// continues from their revision and must not load the store with a full listing.
func TestSilentWatchOfOneHostCausesNoListing(t *testing.T) {
	w := running(t, 9)
	fill(w)
	w.Store.SilentFor = func(n *spreadrun.Node) bool { return n == w.Nodes[0] }
	for !w.Nodes[0].Core.IsWatcher() {
		w.Nodes = append(w.Nodes[1:], w.Nodes[0])
	}
	before := w.Nodes[0].StoreBytes
	put(w, 2)
	w.Run(lease)
	require.True(t, w.AllHaveInForce(acct, 2))
	raw, err := spreadrun.Account("another-00", 1, "filler").Encode()
	require.NoError(t, err)
	read := (w.Nodes[0].StoreBytes - before) / len(raw)
	require.Less(t, read, 20, "only single documents are read for checks, not a listing of all 41")
}

func TestCompactedRevisionCausesRelisting(t *testing.T) {
	w := running(t, 9)
	fill(w)
	w.Store.Reachable = func(*spreadrun.Node) bool { return false }
	w.Run(bound)
	put(w, 2)
	w.Store.Compact()
	w.Store.Reachable = nil
	w.Run(2 * bound)
	require.True(t, w.AllHaveInForce(acct, 2))
}

func TestPartitionBetweenZones(t *testing.T) {
	w := running(t, 9)
	inZone0 := func(n *spreadrun.Node) bool { return n.Zone == "zone-0" }
	w.Cut = func(a, b *spreadrun.Node) bool { return inZone0(a) != inZone0(b) }
	w.Store.Reachable = func(n *spreadrun.Node) bool { return !inZone0(n) }
	w.UpdateViews()
	w.Run(lease)
	// The operators change the account through the reachable part of the store;
	// writes from the other side of the partition fail.
	put(w, 2)
	w.Run(lease)
	for _, n := range w.Nodes {
		require.Equal(t, !inZone0(n), n.HasInForce(acct, 2), n.Name)
		require.Equal(t, inZone0(n), n.HasInForce(acct, 1), n.Name)
	}
	w.Cut, w.Store.Reachable = nil, nil
	w.UpdateViews()
	w.Run(lease)
	require.True(t, w.AllHaveInForce(acct, 2))
}

func TestStoreReachableFromOneZoneOnly(t *testing.T) {
	w := running(t, 9)
	w.Store.Reachable = func(n *spreadrun.Node) bool { return n.Zone == "zone-2" }
	w.Run(lease)
	put(w, 2)
	w.Run(bound)
	require.True(t, w.AllHaveInForce(acct, 2), "the other zones receive the change from peers")
}

func TestHostThatMissedAHundredChangesCatchesUp(t *testing.T) {
	w := running(t, 12)
	n := notWatching(w)
	n.Paused = true
	for revision := uint64(2); revision <= 101; revision++ {
		put(w, revision)
		w.Run(100 * time.Millisecond)
	}
	w.Resume(n)
	w.Run(bound)
	require.True(t, w.AllHaveInForce(acct, 101))
}

func notWatching(w *spreadrun.Simulation) *spreadrun.Node {
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
	require.False(t, n.HasInForce(acct, 2))
	w.Cut = nil
	w.Run(bound)
	require.True(t, n.HasInForce(acct, 2), "the links stayed up, so only a comparison of digests detects the missed change")
}

func TestLowerRevisionsAreRejected(t *testing.T) {
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
		require.True(t, w.AllHaveInForce(acct, 2))
		require.EqualValues(t, 2, w.Nodes[0].Snapshot.Accounts[0].Revision)
	})
	t.Run("stale read", func(t *testing.T) {
		w := running(t, 9)
		old := w.Store.Backup()
		put(w, 2)
		w.Run(bound)
		w.Store.ServeStaleReads(old)
		w.Run(2 * lease)
		require.True(t, w.AllHaveInForce(acct, 2))
		put(w, 3)
		w.Run(bound)
		require.True(t, w.AllHaveInForce(acct, 3), "the watch still delivers changes")
	})
	t.Run("restored store", func(t *testing.T) {
		w := running(t, 9)
		backup := w.Store.Backup()
		put(w, 2)
		put(w, 3)
		w.Run(bound)
		w.Store.Restore(backup)
		w.Run(lease)
		require.True(t, w.AllHaveInForce(acct, 3))
		behind := 0
		for _, n := range w.Nodes {
			behind += n.Core.StoreBehind()
		}
		require.NotZero(t, behind, "the lower revision in the store is reported")
		w.Store.Put(spreadrun.Account("grower", 2, "after the restore"))
		w.Run(bound)
		require.True(t, w.AllHaveInForce(acct, 3))
		put(w, 4)
		w.Run(bound)
		require.True(t, w.AllHaveInForce(acct, 4), "a revision above the one in force is applied")
		for _, n := range w.Nodes {
			require.Zero(t, n.Core.StoreBehind())
		}
	})
}

func TestSameRevisionWithDifferentContentIsRejected(t *testing.T) {
	w := running(t, 3)
	w.Store.Put(spreadrun.Account("grower", 1, "another"))
	w.Run(bound)
	require.True(t, w.AllHaveInForce(acct, 1))
	conflicts := uint64(0)
	for _, n := range w.Nodes {
		conflicts += n.Core.Counters().RefusedConflict
	}
	require.NotZero(t, conflicts)
}

func TestStartWithStoreDown(t *testing.T) {
	w := spreadrun.New(9, 3, 1)
	put(w, 1)
	w.Start(w.Nodes[:8]...)
	w.Run(bound)
	w.Store.Down = true
	w.Start(w.Nodes[8])
	w.Run(bound)
	require.True(t, w.Nodes[8].HasInForce(acct, 1))

	alone := spreadrun.New(1, 1, 1)
	alone.Store.Down = true
	alone.StartAll()
	alone.Run(bound)
	ready, why := alone.Nodes[0].Core.Readiness()
	require.False(t, ready)
	require.Equal(t, "the store does not answer and no other host is linked", why)
	require.Nil(t, alone.Nodes[0].Snapshot, "a partial configuration is never in force")
}

func TestRollingReplacementWithStoreDown(t *testing.T) {
	w := running(t, 9)
	w.Store.Down = true
	for _, n := range w.Nodes {
		w.Stop(n)
		w.Start(n)
		w.Run(bound)
		require.True(t, n.HasInForce(acct, 1), n.Name)
	}
}

func TestFailedWatchersAreReplaced(t *testing.T) {
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
	require.True(t, w.AllHaveInForce(acct, 2), "other hosts of the zone become watchers")
}

// A starting host receives one of the two documents of a ready host and then nothing
// more. It must not put this partial configuration in force.
func TestPartialConfigurationIsNotInForce(t *testing.T) {
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
	require.Empty(t, n.Snapshot.Accounts, "an older copy does not restore a deleted account")
	put(w, 3)
	w.Run(bound)
	require.True(t, w.AllHaveInForce(acct, 3))
}
