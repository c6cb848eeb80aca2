package dsrpeer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/loadcontrol"
)

// ownerHost is a host of a zone that sends hellos in virtual time.
type ownerHost struct {
	self     netip.AddrPort
	started  time.Duration
	table    *peerTable
	owners   loadcontrol.ColdOwners
	nextAt   time.Duration
	interval time.Duration
	side     int
	stalled  bool
	answered bool
}

func (h *ownerHost) start(now time.Duration, contacts []netip.AddrPort) {
	h.started, h.table, h.owners = now, newPeerTable(h.self, "a", contacts), loadcontrol.ColdOwners{}
	h.nextAt, h.interval, h.answered = now, helloMinInterval, false
}

// hello sends a hello to the first host that it reaches.
func (h *ownerHost) hello(now time.Duration, all map[netip.AddrPort]*ownerHost) {
	own := now - h.started
	for _, a := range h.table.helloOrder(own) {
		to := all[a]
		if to == nil || to.stalled || to.side != h.side {
			h.table.retire(a)
			continue
		}
		theirs := now - to.started
		to.table.add(theirs, theirs, h.self, "a")
		h.table.addNamed(own, to.table.peerInfos(theirs, "a"))
		h.table.add(own, own, a, "a")
		h.answered = true
		h.nextAt, h.interval = now+h.interval, min(2*h.interval, helloMaxInterval)
		return
	}
	h.nextAt = now + helloRetry
}

// Guards against two hosts that open flows to a cold upstream within a second, while hosts start
// again, stall, or are cut in two parts for up to three minutes; and against too few owners on a calm day.
func TestColdUpstreamHasOneOwnerUnderFaults(t *testing.T) {
	const count, keys, tick = 11, 40, 500 * time.Millisecond
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 1))
		all := make(map[netip.AddrPort]*ownerHost)
		var hosts []*ownerHost
		var contacts []netip.AddrPort
		for n := range count {
			h := &ownerHost{self: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 1)}
			hosts, all[h.self] = append(hosts, h), h
			if n < 3 {
				contacts = append(contacts, h.self)
			}
		}
		for _, h := range hosts {
			h.start(0, contacts)
		}
		owner := make([]*ownerHost, keys)
		ownedAt := make([]time.Duration, keys)
		healAt := time.Duration(0)
		owned, asked := 0, 0
		for now := tick; now < 30*time.Minute; now += tick {
			calm := now < 2*time.Minute
			if now > healAt {
				for _, h := range hosts {
					h.side, h.stalled = 0, false
				}
			}
			if !calm && now > healAt+seenWithin+knownToZoneAfter && rng.IntN(20) == 0 {
				healAt = now + time.Duration(rng.IntN(180))*time.Second
				cut := rng.IntN(2) == 0
				for _, h := range hosts {
					switch rng.IntN(6) {
					case 0:
						if !cut {
							h.start(now, contacts)
						}
					case 1:
						h.stalled = true
					case 2, 3:
						if cut {
							h.side = 1
						}
					}
				}
			}
			for _, h := range hosts {
				if !h.stalled && now >= h.nextAt {
					h.hello(now, all)
				}
			}
			for _, h := range hosts {
				own := now - h.started
				if now%time.Second == 0 && !h.stalled {
					h.owners.Set(own, h.table.ownerHosts(own, h.answered))
				}
				for key := range uint64(keys) {
					if h.stalled || !h.owners.Owns(own, key, new(loadcontrol.ColdOwner)) {
						continue
					}
					if owner[key] != nil && owner[key] != h {
						require.GreaterOrEqual(t, now-ownedAt[key], time.Second, "seed %d at %v: key %d: %v after %v", seed, now, key, h.self, owner[key].self)
					}
					owner[key], ownedAt[key] = h, now
					owned++
				}
			}
			if calm && now >= knownToZoneAfter+2*time.Second {
				asked += keys
			} else if calm {
				owned = 0
			}
			if now == 2*time.Minute {
				require.GreaterOrEqual(t, owned, asked*9/10)
			}
		}
	}
}
