package main

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a reset of an open flow because the registration of its upstream has lapsed while
// it serves: its writes are done late, or not at all.
func TestOpenFlowSurvivesLapseOfRegistrationWhileUpstreamServes(t *testing.T) {
	for state, why := range map[string]string{"ready": "registration stayed away", "draining": "left after draining"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			u := f.addUpstream(0xa9, "orders-service")
			flow := f.openAt(u)
			if state == "draining" {
				u.Registration.State = state
				u.Registration.Seq++
				f.store.Put(u.Key(), u.Registration)
				for _, h := range f.hosts {
					f.awaitLog(h, "upstream draining", u.Key())
				}
			}
			// Registrations count as complete 3 s after the start of a host.
			time.Sleep(3500 * time.Millisecond)
			f.store.Remove(u.Key())
			// A host judges with the next packet, after the grace period of 2.2 s and another 2 s.
			for n := range 50 {
				f.store.Put("other/x", n)
				time.Sleep(100 * time.Millisecond)
			}
			for _, h := range f.hosts {
				require.Eventually(t, func() bool {
					other, err := f.caller().Open(orders, func() netip.AddrPort { return h.data })
					require.NoError(t, err)
					other.Close()
					return countLines(h, "upstream gone", u.Key(), why) > 0
				}, waitTimeout, 100*time.Millisecond)
			}
			for range 2 {
				_, err := flow.Request("while the registration is missing")
				require.NoError(t, err)
				time.Sleep(1500 * time.Millisecond)
			}
			u.Registration.Seq++
			f.store.Put(u.Key(), u.Registration)
			_, err := flow.Request("registered again")
			require.NoError(t, err)
		})
	}
}
