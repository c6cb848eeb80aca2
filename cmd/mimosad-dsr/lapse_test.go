package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a reset of an open flow because the registration of its upstream has lapsed while
// it serves: its writes are done late, or not at all.
func TestOpenFlowSurvivesLapseOfRegistrationWhileUpstreamServes(t *testing.T) {
	for _, state := range []string{"ready", "draining"} {
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
			f.store.Remove(u.Key())
			// The grace period ends after 2.2 s, and the host then hears of the store for another 2 s.
			for n := range 50 {
				f.store.Put("other/x", n)
				time.Sleep(100 * time.Millisecond)
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
