package dsrpeer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host that counts as gone, and whose cold upstreams another one takes over, before its
// entry expires, and against a part of a zone that counts as the whole once the others expired.
func TestZoneHostsOutliveFailedCalls(t *testing.T) {
	address := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 1) }
	table := newPeerTable(address(1), "a", nil)
	const start = time.Hour
	table.add(start, start, address(2), "a")
	table.add(start, start, address(3), "a")
	table.add(start, start, address(4), "b")
	table.retire(address(2))
	table.add(start, start, address(2), "a")
	require.Empty(t, table.former)
	table.retire(address(2))
	for _, c := range []struct {
		at                  time.Duration
		hosts, known, heard int
	}{
		{start, 3, 2, 2},
		{start + seenWithin + 1, 3, 2, 0},
		{start + ownerExpiry + 1, 1, 2, 0},
		{start + formerRetention + 1, 1, 0, 0},
	} {
		z := table.zoneHosts(c.at)
		require.Equal(t, []int{c.hosts, c.known, c.heard}, []int{len(z.Hosts), z.Known, z.Seen}, "%v", c.at-start)
		require.Contains(t, z.Hosts, z.Self)
	}
}

// Guards against a host that opens flows to cold upstreams although it can't know the zone's hosts.
func TestOwnerHostsUnknown(t *testing.T) {
	contact := netip.MustParseAddrPort("10.1.0.1:1")
	table := newPeerTable(netip.MustParseAddrPort("10.0.0.1:1"), "a", []netip.AddrPort{contact})
	require.Empty(t, table.ownerHosts(0, false).Hosts, "no host has answered")
	require.Len(t, table.ownerHosts(0, true).Hosts, 1)
	for n := range maxZoneHosts {
		require.Len(t, table.ownerHosts(0, true).Hosts, n+1)
		table.add(0, 0, netip.AddrPortFrom(contact.Addr(), uint16(n+2)), "a")
	}
	require.Empty(t, table.ownerHosts(0, true).Hosts, "the zone is too large")
}
