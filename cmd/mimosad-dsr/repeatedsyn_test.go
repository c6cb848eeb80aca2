package main

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an open flow whose packets no other host forwards, because the first SYN was lost
// and a repeated one opened it.
func TestFlowOpenedByRepeatedSYNIsServedThroughOtherHosts(t *testing.T) {
	f := newFleet(t, 2)
	// No host listens at this address.
	lost := loopback(119, 1, f.port)
	hosts := []netip.AddrPort{lost, f.hosts[0].data}
	next := func() netip.AddrPort {
		if len(hosts) == 0 {
			return f.hosts[1].data
		}
		h := hosts[0]
		hosts = hosts[1:]
		return h
	}
	flow, err := f.caller().Open(orders, next)
	require.NoError(t, err)
	_, err = flow.Request("through the other host")
	require.NoError(t, err)
}
