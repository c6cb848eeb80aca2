package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// An upstream that returns after its absence was confirmed has its flows again, also when its
// earlier entry is forgotten.
func TestUpstreamThatReturnsHasItsFlowsAgain(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	u := f.upstream(c)
	f.unregister(u.Key)
	f.advance(lapseGrace)
	f.confirm()
	c.request()
	require.True(t, u.gone)
	f.advance(time.Second)
	f.stopUpstream(u)
	c.requireReset(refusalTime)
	f.network.refusing = nil
	f.register(u.Upstream)
	require.Equal(t, Forward, c.retransmit().Action)
	f.advance(goneRetention)
	require.Equal(t, Forward, c.retransmit().Action)
	require.Empty(t, f.core.goneList)
	require.Equal(t, u.Addr, c.last.To)
}

// A host that has the directory only from another one does not know whether it is complete.
func TestUnknownTokenIsNotResetByDirectoryOfOtherHost(t *testing.T) {
	f := &fixture{t: t, core: New("a", testFormat{}, 0), now: 300 * time.Millisecond, rev: 5}
	c := f.caller(orderPort)
	c.token = 12345
	for range 20 {
		f.core.Apply(f.now, &directory.Change{Full: true, Host: otherHost, RequestedAt: f.now, Revision: f.rev, Configuration: configuration(1)})
		f.core.PeerAnswered(f.now, otherHost, 0)
		require.Equal(t, Drop, c.request().Action)
		f.advance(settleTime)
		f.rev++
	}
}

// A restart after the clock was set back has an earlier start time than the incarnation before.
func TestRestartAfterClockWasSetBackReplacesUpstream(t *testing.T) {
	f := newFixture(t)
	u := f.core.byKey["u1"]
	next := u.Upstream
	next.Incarnation -= 500
	f.register(next)
	require.True(t, u.gone)
	require.Equal(t, next.Incarnation, f.core.byKey["u1"].Incarnation)
}
