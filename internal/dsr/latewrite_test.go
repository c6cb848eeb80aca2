package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A write that got no answer may be done up to 6 s later, after the upstream has crashed and started again under its key.
func TestLateWriteOfEndedIncarnationKeepsFlowsOfRunningOne(t *testing.T) {
	f := newFixture(t)
	ended := f.core.byKey["u1"].Upstream
	running := ended
	running.Incarnation += 5000
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
