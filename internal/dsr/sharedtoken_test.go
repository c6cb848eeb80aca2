package dsr

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Tokens have 32 bits, so two upstreams may share one. An open flow stays where it was opened, as far as its host knows.
func TestFlowStaysAtItsUpstreamWhenAnotherOneSharesItsToken(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	own := f.upstream(c).Upstream
	twin := testUpstream(9, "orders", "a")
	twin.Key, twin.ID, twin.Incarnation = "u0", own.ID, own.Incarnation
	f.register(twin)
	require.Equal(t, own.Addr, c.request().To)
}
