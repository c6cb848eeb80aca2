package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// A write that got no answer may be done up to 6 s later, after the upstream has crashed and started again under its key.
func TestLateWriteOfEndedIncarnationKeepsFlowsOfRunningOne(t *testing.T) {
	f := newFixture(t)
	ended := f.core.byKey["u1"].Upstream
	running := ended
	running.Incarnation += 5000
	running.Addr = testUpstream(40, "orders", "a").Addr
	f.register(running)
	c := f.openFlow(orderPort)
	for f.upstream(c).Key != running.Key {
		c = f.openFlow(orderPort)
	}
	for range 10 {
		f.advance(400 * time.Millisecond)
		require.Equal(t, Forward, c.request().Action)
		c.ackAnswer()
	}
	f.register(ended)
	e := c.request()
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
	require.Equal(t, running.Addr, e.To)
	require.Equal(t, running.Incarnation, f.core.byKey[running.Key].Incarnation)
}

// A host that started after the restart can't tell the late write from a restart whose clock was set
// back. The flow goes on while the upstream answers it.
func TestLateWriteOfUnknownIncarnationKeepsFlowsThatAreAnswered(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	running := f.upstream(c).Upstream
	ended := running
	ended.Incarnation -= 5000
	f.advance(400 * time.Millisecond)
	c.request()
	c.ackAnswer()
	f.register(ended)
	e := c.request()
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
	require.Equal(t, running.Addr, e.To)
	c.ackAnswer()
	f.advance(1200 * time.Millisecond)
	f.register(running)
	require.Equal(t, Forward, c.request().Action, "its next heartbeat")
}

// A heartbeat that got no answer may be done after the report of draining, which it does not take back.
func TestLateHeartbeatDoesNotUndoDraining(t *testing.T) {
	f := newFixture(t)
	late := f.core.byKey["u1"].Upstream
	late.Sequence = 7
	draining := late
	draining.Sequence, draining.Draining = 8, true
	f.register(draining)
	f.advance(3 * time.Second)
	f.register(late)
	require.False(t, f.core.byKey["u1"].usable())
}

// An earlier heartbeat of an upstream that has drained and left may be done after its removal.
func TestLateHeartbeatDoesNotBringBackUpstreamThatLeft(t *testing.T) {
	f := newFixture(t)
	late := f.core.byKey["u1"].Upstream
	late.Sequence = 7
	draining := late
	draining.Sequence, draining.Draining = 8, true
	f.register(draining)
	f.advance(3 * time.Second)
	f.unregister(late.Key)
	f.advance(time.Second)
	f.register(late)
	u := f.core.byKey[late.Key]
	require.False(t, u != nil && u.usable(), "it gets new flows")
}

// After the clock was set back, the running incarnation has the earlier start time. A late write of
// the ended one must not make the host deaf to the running one.
func TestDrainingIsKnownAfterClockWasSetBackAndLateWrite(t *testing.T) {
	f := newFixture(t)
	ended := f.core.byKey["u1"].Upstream
	running := ended
	running.Incarnation -= 500
	f.register(running)
	f.advance(time.Second)
	f.register(ended)
	c := f.openFlow(orderPort)
	for c.last.To != running.Addr {
		c = f.openFlow(orderPort)
	}
	f.advance(time.Second)
	running.Sequence, running.Draining = 9, true
	f.register(running)
	require.False(t, f.core.byKey["u1"].usable(), "it gets new flows")
}

// A late write of an incarnation that ended does not reset flows of the running one at another
// address, whose start time is earlier since the clock was set back.
func TestLateWriteAfterClockWasSetBackKeepsFlowsAtOtherAddress(t *testing.T) {
	f := newFixture(t)
	ended := f.core.byKey["u1"].Upstream
	running := ended
	running.Incarnation -= 500
	running.Addr = testUpstream(40, "orders", "a").Addr
	f.register(running)
	c := f.openFlow(orderPort)
	for c.last.To != running.Addr {
		c = f.openFlow(orderPort)
	}
	f.advance(400 * time.Millisecond)
	c.request()
	c.ackAnswer()
	f.register(ended)
	e := c.request()
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
}

// A write of the running incarnation that only renews its registration, by an entry that names an
// undeclared service and has a lower sequence, is another writer's.
func TestUndeclaredServiceWithLowerSequenceIsUnreadable(t *testing.T) {
	f := newFixture(t)
	conf := configuration(11)
	conf.Services = []string{"orders"}
	f.core.Apply(f.now, &directory.Change{Revision: 11, Configuration: conf})
	f.rev = 11
	u := f.core.byKey["u1"].Upstream
	u.Sequence = 9
	f.register(u)
	other := u
	other.Sequence, other.Service = 3, "unknown"
	f.register(other)
	require.True(t, f.core.byKey["u1"].unreadable)
}

// What looks like a late write may be the state of the upstream: after a restore, and where nothing
// shows that the registered incarnation runs.
func TestRegistrationThatIsNotWrittenLateIsApplied(t *testing.T) {
	t.Run("lower sequence in a later era", func(t *testing.T) {
		f := newFixture(t)
		d := f.core.byKey["u1"].Upstream
		d.Sequence, d.Draining = 8, true
		f.register(d)
		d.Sequence, d.Draining, d.Era = 7, false, 1
		f.core.Apply(f.now, &directory.Change{Era: 1, Revision: 3, Upstreams: []directory.Upstream{d}})
		require.False(t, f.core.byKey["u1"].Draining)
	})
	t.Run("incarnation that ended, of which the next one has not answered", func(t *testing.T) {
		f := newFixture(t)
		first := f.core.byKey["u1"].Upstream
		next := first
		next.Incarnation += 5000
		next.Addr = testUpstream(40, "orders", "a").Addr
		f.register(next)
		f.register(first)
		require.Equal(t, first.Incarnation, f.core.byKey["u1"].Incarnation)
	})
}

// An upstream with another identity at the same address does not take the flows.
func TestFlowsDoNotGoToOtherIdentityAtSameAddress(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	next := f.upstream(c).Upstream
	next.ID, next.Incarnation = next.ID+100, next.Incarnation+5000
	f.register(next)
	e := c.request()
	require.NotEqual(t, next.ID, e.ID)
}
