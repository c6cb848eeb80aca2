package dsrpeer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// followersOf returns the hosts of a fleet that follow a host.
func followersOf(fleet []*member, of *member) (out []*member) {
	for _, m := range fleet {
		if parent, ok := m.StoreReader(); ok && parent == of.settings.Control {
			out = append(out, m)
		}
	}
	return out
}

// findHost returns a host with followers that, as requested, reads the store or follows another one.
func findHost(t *testing.T, fleet []*member, readsStore bool) *member {
	i := slices.IndexFunc(fleet, func(m *member) bool {
		return m.Delegated() != readsStore && len(followersOf(fleet, m)) > 0
	})
	require.GreaterOrEqual(t, i, 0)
	return fleet[i]
}

// startTree starts a zone of three levels and awaits its tree.
func startTree(t *testing.T) (*fleetStore, []*member) {
	s := &fleetStore{}
	s.revision.Store(1)
	fleet := startFleet(t, s, 16, 1)
	awaitTree(t, fleet, 1)
	return s, fleet
}

// requireUpdates writes to the store and awaits the write at all of the hosts.
func requireUpdates(t *testing.T, s *fleetStore, hosts []*member, within time.Duration) {
	at := s.revision.Add(1)
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(hosts, func(m *member) bool { return m.revision() < at })
	}, within, 5*time.Millisecond)
}

// The followers of a host that fails get the next write from another one, in time for a configuration
// that may take 3 s, and report no outage of the store.
func TestFollowersOfFailedHostGoToAnother(t *testing.T) {
	for _, c := range []struct {
		what string
		fail func(*member)
	}{
		{"dies", func(m *member) { m.stop() }},
		{"hangs", func(m *member) { m.link.hung.Store(true) }},
		{"is cut off", func(m *member) { m.link.silent.Store(true) }},
	} {
		for _, root := range []bool{false, true} {
			t.Run(c.what, func(t *testing.T) {
				t.Parallel()
				s, fleet := startTree(t)
				failed := findHost(t, fleet, root)
				orphans := followersOf(fleet, failed)
				c.fail(failed)
				requireUpdates(t, s, orphans, 3*time.Second)
				require.Eventually(t, func() bool {
					return !slices.ContainsFunc(orphans, func(m *member) bool {
						parent, ok := m.StoreReader()
						return ok && parent == failed.settings.Control
					})
				}, time.Second, 5*time.Millisecond)
				for _, m := range orphans {
					require.Zero(t, m.lost.Load())
				}
				failed.link.hung.Store(false)
			})
		}
	}
}

// A host that sends heartbeats but hears nothing of the store must not be followed.
func TestFollowersLeaveHostThatLags(t *testing.T) {
	s, fleet := startTree(t)
	lagging := findHost(t, fleet, true)
	orphans := followersOf(fleet, lagging)
	lagging.frozen.Store(true)
	lagging.answeredAt.Store(1)
	// Its age exceeds maxReaderStoreAge by now or soon.
	requireUpdates(t, s, orphans, maxReaderStoreAge+2*time.Second)
}

// The hosts below those that lost their host go on following: one failure must not make a whole zone
// read the store.
func TestSubtreeOutlivesLossOfItsReader(t *testing.T) {
	s, fleet := startTree(t)
	var root *member
	var below []*member
	for _, m := range fleet {
		if m.Delegated() || len(below) > 0 {
			continue
		}
		root = m
		for _, follower := range followersOf(fleet, m) {
			below = append(below, followersOf(fleet, follower)...)
		}
	}
	require.NotEmpty(t, below)
	before := make(map[*member]int32)
	for _, m := range below {
		before[m] = m.reads.Load()
	}
	root.link.silent.Store(true)
	requireUpdates(t, s, below, 3*time.Second)
	for _, m := range below {
		require.Equal(t, before[m], m.reads.Load())
	}
}

// Hosts that know different hosts of their zone must not follow each other in a loop, which would
// get no updates.
func TestParentsHaveLowerRanks(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	at := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)
	}
	const hosts = 200
	for n := range hosts {
		table := newPeerTable(at(n), "a", nil)
		for m := range hosts {
			if random.IntN(3) > 0 {
				table.add(0, 0, at(m), "a")
			}
		}
		parents := table.parents(0)
		if len(parents) == 0 {
			require.Less(t, table.position(0).Index, storeReadersPerZone)
		}
		for _, p := range parents {
			require.Less(t, rank(p), rank(at(n)))
		}
	}
}

// Guards against hosts with low ranks that find no room, since hosts that could follow others took it,
// and read the store for ever.
func TestFollowerWithLowerRankDisplacesOther(t *testing.T) {
	var set followerSet
	closed := make(map[uint64]bool)
	add := func(rank uint64) bool {
		_, ok := set.add(&follower{ranked{rank: rank}, func() { closed[rank] = true }})
		return ok
	}
	for rank := range uint64(maxFollowers) {
		require.True(t, add(10+rank))
	}
	require.False(t, add(10+maxFollowers))
	require.True(t, add(3))
	require.Equal(t, map[uint64]bool{10 + maxFollowers - 1: true}, closed)
	require.Equal(t, maxFollowers, set.count())
}

// A follower that comes back with the directory gets the changes since, not the whole directory.
func TestFollowerThatComesBackGetsNoSnapshot(t *testing.T) {
	s, fleet := startTree(t)
	failed := findHost(t, fleet, false)
	orphans := followersOf(fleet, failed)
	snapshots := func() (n uint64) {
		for _, m := range fleet {
			n += m.Stats.Snapshots.Load()
		}
		return n
	}
	before := snapshots()
	failed.stop()
	requireUpdates(t, s, orphans, 3*time.Second)
	require.Equal(t, before, snapshots())
}
