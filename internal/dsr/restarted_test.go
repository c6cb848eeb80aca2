package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// An upstream that starts again under its key and address takes flows that hosts send it as the
// incarnation before, until its registration has reached them.
func TestFlowOpenedAtRestartedUpstreamBeforeItsRegistrationArrives(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	restarted := f.upstream(c).Upstream
	restarted.Incarnation += 5000
	f.advance(500 * time.Millisecond)
	f.register(restarted)
	f.advance(4500 * time.Millisecond)
	e := c.request()
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
	require.Equal(t, restarted.Addr, e.To)
}

// A host that starts after a restore has the incarnation that the copy names. The upstream that
// runs since before the restore writes its registration again within two seconds.
func TestFlowOpenedByRegistrationOfRestoredCopyIsKept(t *testing.T) {
	f := &fixture{t: t, core: New("a", testFormat{}, 0), now: 100 * time.Millisecond, rev: 5}
	copied := testUpstream(1, "orders", "a")
	copied.Era, copied.Revision = 2, 4
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, &directory.Change{Full: true, Era: 2, Revision: 5, RequestedAt: f.now, Configuration: versionAt(1, 2, 3), Upstreams: []directory.Upstream{copied}})
	c := f.openFlow(orderPort)
	running := copied
	running.Incarnation += 5000
	f.advance(1900 * time.Millisecond)
	f.registerIn(running)
	f.advance(4 * time.Second)
	e := c.request()
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
	require.Equal(t, running.Addr, e.To)
}

// While a late write of the incarnation before stands, new flows carry its token to the running one.
func TestFlowOpenedWhileLateWriteStandsIsKept(t *testing.T) {
	f := newFixture(t)
	ended := f.core.byKey["u1"].Upstream
	running := ended
	running.Incarnation += 5000
	f.register(running)
	f.advance(5 * time.Second)
	f.register(ended)
	c := f.openFlow(orderPort)
	for c.last.To != running.Addr {
		c = f.openFlow(orderPort)
	}
	f.advance(1200 * time.Millisecond)
	f.register(running)
	e := c.request()
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
	require.Equal(t, running.Addr, e.To)
}

// A flow that was opened at the running incarnation by the registration of the one before is kept
// also while the running one has no registration.
func TestFlowOpenedByEarlierRegistrationSurvivesLapseOfRunningIncarnation(t *testing.T) {
	for name, lose := range registrationLosses {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c := f.openFlow(orderPort)
			running := f.upstream(c).Upstream
			running.Incarnation += 5000
			f.advance(500 * time.Millisecond)
			f.register(running)
			f.advance(time.Second)
			lose(f, f.core.byKey[running.Key])
			e := c.request()
			require.Equal(t, Forward, e.Action, "%v", e.Reason)
			require.Equal(t, running.Addr, e.To)
		})
	}
}
