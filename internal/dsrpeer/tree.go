package dsrpeer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// The hosts of a zone that read the store for the others are the roots of trees. Each other host
// follows a host with a lower rank. Ranks are a function of the address alone, so hosts that know
// different hosts still can't follow each other in a loop.

const (
	// treeArity is the number of followers that a host has if all hosts know each other. It is less than
	// maxFollowers, so that the followers of a host that ended find room at others.
	treeArity = 4
	// maxFollowers is the largest number of hosts that follow this one while the store answers them.
	maxFollowers = 5
	// maxDepth is the largest number of hosts between the store and a follower. 814 hosts need 5. With
	// 0.1 s for each, where a host gets its processor for a few ms in 100 ms, an update takes 0.8 s.
	maxDepth = 8
	// parentTries is the number of hosts that are tried one after the other as a parent.
	parentTries = 5
	// parentTime bounds the search for another parent; after it the host reads the store itself.
	parentTime = time.Second
	// parentRetry is how long a host that failed as a parent is not tried again.
	parentRetry = 5 * time.Second
)

// parents returns the hosts of this host's zone that it should try to follow, in order: its parent in
// a complete tree, then random ones of the upper half of those with a lower rank. There are none
// for the hosts that read the store for the zone.
func (t *peerTable) parents(now time.Duration) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	zone := t.rankedZone(now)
	index := slices.IndexFunc(zone, func(r ranked) bool { return r.address == t.self })
	if index < storeReadersPerZone {
		return nil
	}
	first := (index - storeReadersPerZone) / treeArity
	out := []netip.AddrPort{zone[first].address}
	for _, i := range rand.Perm(max(index/2, storeReadersPerZone)) {
		if i != first {
			out = append(out, zone[i].address)
		}
	}
	return out
}

// follower is a connection of a host that reads the store through this one.
type follower struct {
	ranked
	// close ends the connection.
	close func()
}

// followerSet holds up to maxFollowers followers. One with a lower rank displaces the one with the highest: the
// lower the rank, the fewer hosts can be followed, down to the two that read the store.
type followerSet struct {
	mu   sync.Mutex
	list []*follower
}

// add adds a follower and returns the one that it displaced, if any. It reports false if there is no room.
func (s *followerSet) add(f *follower) (displaced *follower, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.list) >= maxFollowers {
		displaced = slices.MaxFunc(s.list, func(x, y *follower) int { return compareRanks(x.ranked, y.ranked) })
		if compareRanks(f.ranked, displaced.ranked) >= 0 {
			return nil, false
		}
		s.list = slices.DeleteFunc(s.list, func(x *follower) bool { return x == displaced })
		displaced.close()
	}
	s.list = append(s.list, f)
	return displaced, true
}

// remove removes a follower, unless it was displaced.
func (s *followerSet) remove(f *follower) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = slices.DeleteFunc(s.list, func(x *follower) bool { return x == f })
}

func (s *followerSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.list)
}

// broadcast wakes all goroutines that wait for it.
type broadcast struct {
	mu sync.Mutex
	c  chan struct{}
}

// next returns a channel that is closed by the next call of signal.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c == nil {
		b.c = make(chan struct{})
	}
	return b.c
}

func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c != nil {
		close(b.c)
		b.c = nil
	}
}
