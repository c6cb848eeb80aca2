package spread

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

// Parameters of the topology. They are independent of the fleet size.
const (
	// WatchersPerZone is the number of hosts per availability zone that read the
	// store.
	WatchersPerZone = 2
	// zoneRings and fleetRings are the numbers of rings over the hosts of an
	// availability zone and over all hosts. Each host dials its successor on each
	// ring.
	zoneRings  = 1
	fleetRings = 2
)

// isWatcher reports whether the host is among the WatchersPerZone hosts of its
// availability zone with the highest scores in rendezvous hashing. Other hosts are
// counted only if they are eligible.
func isWatcher(self ids.HostID, zone string, view *member.View) bool {
	score := rendezvous(zone, self)
	higher := 0
	for i := range view.Members {
		m := &view.Members[i]
		if m.Zone != zone || m.Instance.Host == self || !watcherEligible(m.State) {
			continue
		}
		if rendezvous(zone, m.Instance.Host) > score {
			higher++
		}
	}
	return higher < WatchersPerZone
}

func watcherEligible(s member.State) bool {
	return s == member.StateLive || s == member.StateSuspect
}

// rendezvous returns the score of a host in the choice of its zone's watchers.
func rendezvous(zone string, host ids.HostID) uint64 {
	b := make([]byte, 0, len(zone)+8)
	b = append(b, zone...)
	b = binary.BigEndian.AppendUint64(b, uint64(host))
	return xxhash.Sum64(b)
}

// dialTargets returns the hosts that a host keeps links to, sorted by id. Each
// ring is a different pseudo-random order of the hosts, so the links form an
// expander graph in which each host has two links per ring. A membership change
// affects only the links of the neighbouring hosts.
func dialTargets(self ids.HostID, zone string, view *member.View) []ids.HostID {
	var zoneHosts, allHosts []ids.HostID
	for i := range view.Members {
		m := &view.Members[i]
		if m.Instance.Host == self || m.State == member.StateDead {
			continue
		}
		allHosts = append(allHosts, m.Instance.Host)
		if m.Zone == zone {
			zoneHosts = append(zoneHosts, m.Instance.Host)
		}
	}
	var targets []ids.HostID
	for ring := range uint64(zoneRings) {
		targets = appendSuccessor(targets, self, zoneHosts, ring)
	}
	for ring := range uint64(fleetRings) {
		targets = appendSuccessor(targets, self, allHosts, zoneRings+ring)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// appendSuccessor appends the successor of this host on a ring.
func appendSuccessor(targets []ids.HostID, self ids.HostID, hosts []ids.HostID, ring uint64) []ids.HostID {
	if len(hosts) == 0 {
		return targets
	}
	own := ringPosition(self, ring)
	// Unsigned differences wrap around, so positions before this host's sort after
	// all others.
	next := slices.MinFunc(hosts, func(a, b ids.HostID) int {
		return cmp.Or(cmp.Compare(ringPosition(a, ring)-own, ringPosition(b, ring)-own), cmp.Compare(a, b))
	})
	return append(targets, next)
}

// ringPosition returns the position of a host on a ring. It is a hash, so that each
// ring orders the hosts differently.
func ringPosition(host ids.HostID, ring uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], ring)
	binary.BigEndian.PutUint64(b[8:], uint64(host))
	return xxhash.Sum64(b[:])
}
