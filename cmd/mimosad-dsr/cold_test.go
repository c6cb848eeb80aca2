package main

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// Guards against settings or a configuration that don't bound the openings to an upstream that starts.
func TestStartedUpstreamGetsFewOpenings(t *testing.T) {
	f := newFleet(t, 1, func(s *dsrworld.HostSettings) {
		s.Control, s.Contacts, s.ColdOver, s.ColdSlack = netip.AddrPort{}, nil, 1.5, 5
	})
	config := dsrworld.Configuration(2, []any{dsrworld.Route("orders", orders, "unsafe", "orders-service")})
	config["services"] = []any{map[string]any{"name": "orders-service", "coldStartS": 2.0, "coldPerS": 0.0}}
	f.store.Put(dsrworld.ConfigurationKey, config)
	f.awaitVersion(2)
	c := f.caller()
	openFor := func(d time.Duration) {
		for began := time.Now(); time.Since(began) < d; {
			flow, err := c.Open(orders, f.randomHost)
			require.NoError(t, err)
			flow.Close()
		}
	}
	// The upstreams of the fleet have just started as well.
	time.Sleep(2500 * time.Millisecond)
	u := f.addUpstream(0xa9, "orders-service")
	f.awaitLog(f.hosts[0], "upstream registered", u.Key())
	openFor(1800 * time.Millisecond)
	require.GreaterOrEqual(t, u.Opened(), 8, "80 % of the bound")
	require.LessOrEqual(t, u.Opened(), 10)
	openFor(time.Second)
	require.Greater(t, u.Opened(), 20)
}
