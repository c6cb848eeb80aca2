package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// A host that starts with the directory of another one knows neither the outage in which a
// registration lapsed nor whether the store has settled.
func TestDrainingUpstreamKeepsFlowsOnHostStartedFromPeer(t *testing.T) {
	f := &fixture{t: t, core: New("a", testFormat{}, 0), now: 300 * time.Millisecond}
	d := testUpstream(1, "orders", "a")
	d.Draining, d.Revision = true, 5
	f.core.Apply(f.now, &directory.Change{Full: true, Host: otherHost, Revision: 5, Configuration: configuration(1), Upstreams: []directory.Upstream{d}})
	f.core.PeerAnswered(f.now, otherHost, 0)
	c := f.caller(orderPort)
	c.token = TokenOf(d.ID, d.Incarnation)
	require.Equal(t, Forward, c.request().Action)
	f.advance(200 * time.Millisecond)
	f.core.Apply(f.now, &directory.Change{Host: otherHost, Revision: 6, Removed: []directory.Removal{{Key: d.Key, Revision: 6}}})
	f.core.PeerAnswered(f.now, otherHost, 0)
	e := c.retransmit()
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
}
