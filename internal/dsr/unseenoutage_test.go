package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// The store was silent for 2.6 s, which is shorter than a watch and its timeout: no host reports a
// failure, and the registration of an upstream that still drains lapsed meanwhile.
func TestDrainingUpstreamThatLapsedInUnseenOutageKeepsFlows(t *testing.T) {
	for what, follows := range map[string]bool{"reads the store itself": false, "follows another host": true} {
		t.Run(what, func(t *testing.T) {
			f := newFixture(t)
			c := f.openFlow(orderPort)
			d := f.upstream(c).Upstream
			d.Draining = true
			f.register(d)
			c.request()
			c.ackAnswer()
			for age := 200 * time.Millisecond; age <= 2600*time.Millisecond; age += 400 * time.Millisecond {
				f.advance(400 * time.Millisecond)
				if follows {
					f.core.PeerAnswered(f.now, otherHost, age)
				}
			}
			f.rev++
			ch := &directory.Change{Revision: f.rev, Removed: []directory.Removal{{Key: d.Key, Revision: f.rev}}}
			if follows {
				ch.Host = otherHost
			} else {
				f.core.StoreAnswered(f.now)
			}
			f.core.Apply(f.now, ch)
			if follows {
				f.core.PeerAnswered(f.now, otherHost, 0)
			}
			f.advance(100 * time.Millisecond)
			e := c.request()
			require.Equal(t, Forward, e.Action, "%v", e.Reason)
			f.advance(1800 * time.Millisecond)
			f.register(d)
			require.Equal(t, Forward, c.retransmit().Action, "registered again within two seconds")
		})
	}
}
