package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFixture(t)
	f.core.Apply(f.now, &directory.Change{Revision: 30, Configuration: configuration(30)})
	f.core.Apply(f.now, &directory.Change{Full: true, Revision: 20, Configuration: configuration(20)})
	require.EqualValues(t, 30, f.core.Version())
}

func TestMissingRouteIsJudgedOnlyWithAFreshConfiguration(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, Reset, f.caller(81).open().Action)
	f.wait(freshFor + time.Millisecond)
	require.Equal(t, Drop, f.caller(81).open().Action)
	f.core.StoreAnswered(f.now)
	f.core.StoreFailed(f.now, "test")
	f.wait(freshDown + time.Millisecond)
	require.Equal(t, Drop, f.caller(81).open().Action, "the store is down")
	f.core.PeerAnswered(f.now, 100*time.Millisecond)
	require.Equal(t, Reset, f.caller(81).open().Action, "another host hears from the store")
	empty := New("a", testFormat{}, 0)
	g := &fixture{t: t, core: empty, now: f.now}
	require.Equal(t, Drop, g.caller(81).open().Action, "nothing is known yet")
}

func TestLapsedRegistrationIsHeldUntilItIsBackOrGone(t *testing.T) {
	f := newFixture(t)
	c := f.opened(orderPort)
	u := f.upstream(c)
	f.lapse(u.Key)
	c.request()
	require.Equal(t, Forward, c.last.Action)
	for range 20 {
		n := f.caller(streamPort)
		n.open()
		require.NotEqual(t, u.Addr, n.last.To, "others are chosen first")
	}
	f.wait(time.Second)
	back := u.Upstream
	f.write(back)
	f.wait(removalHold)
	require.Equal(t, Forward, c.repeat().Action)
	f.lapse(u.Key)
	f.wait(removalHold + time.Millisecond)
	require.Equal(t, Reset, c.repeat().Action)
	require.Equal(t, ReasonUpstreamGone, c.last.Reason)
}

func TestUpstreamThatLeftAfterDrainingIsGoneAtOnce(t *testing.T) {
	f := newFixture(t)
	c := f.opened(orderPort)
	draining := f.upstream(c).Upstream
	draining.Draining = true
	f.write(draining)
	require.Equal(t, Forward, c.request().Action, "open flows stay")
	f.wait(2 * time.Second)
	f.lapse(draining.Key)
	require.Equal(t, Reset, c.repeat().Action)
}

func TestUpstreamWithoutRegistrationThatAnswersKeepsItsFlows(t *testing.T) {
	f := newFixture(t)
	c := f.opened(orderPort)
	u := f.upstream(c)
	f.lapse(u.Key)
	f.wait(removalHold - 100*time.Millisecond)
	c.request()
	c.answered()
	f.wait(200 * time.Millisecond)
	require.Equal(t, Forward, c.request().Action)
	require.True(t, u.gone)
}

func TestUnknownTokenIsJudgedOnlyAfterAFullRead(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	c.token = 12345
	require.Equal(t, Drop, c.request().Action)
	require.True(t, c.last.Refresh)
	require.Equal(t, Drop, c.repeat().Action)
	require.False(t, c.last.Refresh, "one read at a time")
	f.wait(50 * time.Millisecond)
	asked := f.now
	f.wait(10 * time.Millisecond)
	ch := &directory.Change{Full: true, RequestedAt: asked, Revision: 11}
	for _, u := range f.core.byKey {
		ch.Upstreams = append(ch.Upstreams, u.Upstream)
	}
	f.core.Apply(f.now, ch)
	require.Equal(t, Reset, c.repeat().Action)
	f.core.StoreFailed(f.now, "test")
	require.Equal(t, Drop, c.repeat().Action, "nothing is judged while the store is down")
	f.core.StoreAnswered(f.now)
	require.Equal(t, Drop, c.repeat().Action, "registrations may be on their way back")
	f.wait(removalHold)
	require.Equal(t, Reset, c.repeat().Action)
}

func TestUnreadableRegistrationGetsNoNewFlowsAndKeepsItsOwn(t *testing.T) {
	f := newFixture(t)
	c := f.opened(orderPort)
	u := f.upstream(c)
	f.rev++
	f.core.Apply(f.now, &directory.Change{Revision: f.rev, Removed: []directory.Removal{{Key: u.Key, Revision: f.rev, Malformed: true}}})
	for range 20 {
		n := f.caller(streamPort)
		n.open()
		require.NotEqual(t, u.Addr, n.last.To)
	}
	f.wait(2 * removalHold)
	require.Equal(t, Forward, c.request().Action)
}

func TestSharedTokenIsNotChosen(t *testing.T) {
	f := newFixture(t)
	twin := upstreamOf(7, "orders", "a")
	other := upstreamOf(1, "orders", "a")
	twin.ID, twin.Incarnation = other.ID, other.Incarnation
	f.write(twin)
	for range 10 {
		n := f.caller(orderPort)
		n.open()
		require.NotContains(t, []byte{1, 7}, n.last.To.Addr().As4()[3])
	}
	f.lapse(twin.Key)
	f.wait(removalHold + time.Millisecond)
	f.pass(time.Second, nil)
	require.False(t, f.core.byKey["u1"].shared)
}

func TestRestartedUpstreamIsAnotherOne(t *testing.T) {
	f := newFixture(t)
	c := f.opened(orderPort)
	next := f.upstream(c).Upstream
	next.Incarnation += 5000
	f.write(next)
	require.Equal(t, Reset, c.request().Action, "it knows nothing of the flow")
}
