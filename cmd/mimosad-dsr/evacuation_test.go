package main

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// Guards against hosts that miss an evacuation or its end: those that read the store, that start, that
// follow another host because the store is down, and after a restore that lost the entry.
func TestEvacuationReachesAllHosts(t *testing.T) {
	f := newFleet(t, 4, func(s *dsrworld.HostSettings) { s.ApplyTimeout, s.EvacuateTimeout = 5*time.Second, 5*time.Second })
	open, err := f.caller().Open(orders, f.randomHost)
	require.NoError(t, err)
	before := f.store.Copy()
	key := dsrworld.EvacuationPrefix + "zone-a"
	evacuated := func(h *hostProcess) bool {
		_, err := f.caller().Open(orders, func() netip.AddrPort { return h.data })
		return err == dsrworld.ErrReset
	}
	began := time.Now()
	f.store.PutBytes(key, []byte("{}"))
	for _, h := range f.hosts {
		f.awaitLog(h, "core: availability zone evacuated", `"why":"zone-a"`)
		require.True(t, evacuated(h))
	}
	require.Less(t, time.Since(began), 5*time.Second, "the bound in the settings")
	_, err = open.Request("on an open flow")
	require.NoError(t, err)
	f.restore(before)
	for _, h := range f.hosts {
		f.awaitLog(h, "evacuation that the store lost stays in force")
	}
	f.store.SetDown(true)
	f.hosts[0].kill()
	f.hosts[0].start()
	f.hosts[0].awaitReady(http.StatusOK)
	for _, h := range f.hosts {
		require.True(t, evacuated(h))
	}
	f.store.SetDown(false)
	f.store.PutBytes(key, []byte("{}"))
	for _, h := range f.hosts {
		f.awaitLog(h, "evacuation that the store lost was written again")
	}
	f.store.Remove(key)
	for _, h := range f.hosts {
		require.Eventually(t, func() bool { return !evacuated(h) }, waitTimeout, 50*time.Millisecond)
	}
}
