package dsr

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.core.Apply(f.now, &directory.Change{Revision: 30, Configuration: configuration(30)})
	f.core.Apply(f.now, &directory.Change{Full: true, Revision: 20, Configuration: configuration(20)})
	require.EqualValues(t, 30, f.core.Version())
}

func TestLapsedRegistrationHasGracePeriod(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	u := f.upstream(c)
	f.unregister(u.Key)
	c.request()
	require.Equal(t, Forward, c.last.Action)
	for range 20 {
		n := f.caller(streamPort)
		n.sendSYN()
		require.NotEqual(t, u.Addr, n.last.To, "other upstreams are preferred")
	}
	f.advance(time.Second)
	back := u.Upstream
	f.register(back)
	f.advance(lapseGrace)
	require.Equal(t, Forward, c.retransmit().Action)
	f.unregister(u.Key)
	f.advance(lapseGrace + time.Millisecond)
	f.confirm()
	f.stopUpstream(u)
	c.requireReset(refusalTime)
	require.Equal(t, ReasonUpstreamGone, c.last.Reason)
}

func TestDrainedUpstreamIsGoneAtOnce(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	u := f.upstream(c)
	draining := u.Upstream
	draining.Draining = true
	f.register(draining)
	require.Equal(t, Forward, c.request().Action, "open flows continue")
	f.advance(2 * time.Second)
	f.unregister(draining.Key)
	require.True(t, u.gone)
	f.stopUpstream(u)
	c.requireReset(refusalTime)
}

func TestUnregisteredUpstreamThatAnswersKeepsFlows(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	u := f.upstream(c)
	f.unregister(u.Key)
	f.advance(lapseGrace - 100*time.Millisecond)
	c.request()
	c.ackAnswer()
	f.advance(200 * time.Millisecond)
	f.confirm()
	require.Equal(t, Forward, c.request().Action)
	require.True(t, u.gone)
}

func TestUnknownTokenResetsOnlyAfterFullRead(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	c.token = 12345
	require.Equal(t, Drop, c.request().Action)
	require.True(t, c.last.Resync)
	require.Equal(t, Drop, c.retransmit().Action)
	require.False(t, c.last.Resync, "at most one read per resyncInterval")
	f.advance(50 * time.Millisecond)
	requestedAt := f.now
	f.advance(10 * time.Millisecond)
	ch := &directory.Change{Full: true, RequestedAt: requestedAt, Revision: 11}
	for _, u := range f.core.byKey {
		ch.Upstreams = append(ch.Upstreams, u.Upstream)
	}
	f.core.Apply(f.now, ch)
	require.Equal(t, Reset, c.retransmit().Action)
	f.core.StoreFailed(f.now, "test")
	require.Equal(t, Drop, c.retransmit().Action, "no reset while the store is down")
	f.core.StoreAnswered(f.now)
	require.Equal(t, Drop, c.retransmit().Action, "registrations may not be restored yet")
	f.advance(settleTime - time.Millisecond)
	require.Equal(t, Drop, c.retransmit().Action)
	f.advance(resyncInterval)
	require.Equal(t, Drop, c.retransmit().Action, "the read was requested before they were")
	require.True(t, c.last.Resync)
	ch.RequestedAt = f.now + time.Millisecond
	f.advance(10 * time.Millisecond)
	f.core.Apply(f.now, ch)
	require.Equal(t, Reset, c.retransmit().Action)
}

func TestUnreadableRegistrationKeepsOpenFlows(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	u := f.upstream(c)
	f.rev++
	f.core.Apply(f.now, &directory.Change{Revision: f.rev, Removed: []directory.Removal{{Key: u.Key, Revision: f.rev, Malformed: true}}})
	for range 20 {
		n := f.caller(streamPort)
		n.sendSYN()
		require.NotEqual(t, u.Addr, n.last.To)
	}
	f.advance(2 * lapseGrace)
	require.Equal(t, Forward, c.request().Action)
}

func TestUpstreamsSharingTokenGetNoNewFlows(t *testing.T) {
	f := newFixture(t)
	twin := testUpstream(7, "orders", "a")
	other := testUpstream(1, "orders", "a")
	twin.ID, twin.Incarnation = other.ID, other.Incarnation
	f.register(twin)
	for range 10 {
		n := f.caller(orderPort)
		n.sendSYN()
		require.NotContains(t, []byte{1, 7}, n.last.To.Addr().As4()[3])
	}
	f.unregister(twin.Key)
	f.advance(lapseGrace + time.Millisecond)
	f.confirm()
	f.runTraffic(time.Second, nil)
	require.False(t, f.core.byKey["u1"].tokenShared)
}

// A restarted upstream does not have the flows of its earlier incarnation. It resets them itself, if
// their packets reach it; else the host does when the old address does not answer.
func TestRestartedUpstreamResetsOldFlows(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(*directory.Upstream)
		want   Action
	}{
		"same address":    {func(*directory.Upstream) {}, Forward},
		"another address": {func(d *directory.Upstream) { d.Addr = testUpstream(40, "orders", "a").Addr }, Reset},
		"another service": {func(d *directory.Upstream) { d.Service = "feed" }, Reset},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			ch := configuration(11)
			ch.Services = []string{"feed"}
			f.core.Apply(f.now, &directory.Change{Revision: 11, Configuration: ch})
			f.rev = 11
			c := f.openFlow(orderPort)
			next := f.upstream(c).Upstream
			next.Incarnation += 5000
			tt.change(&next)
			f.stopUpstream(f.upstream(c))
			f.register(next)
			e := c.request()
			require.Equal(t, Forward, e.Action)
			require.Equal(t, tt.want == Forward, e.Token == TokenOf(next.ID, next.Incarnation))
			f.runTraffic(200*time.Millisecond, nil)
			require.Equal(t, Forward, c.retransmit().Action)
			f.runTraffic(400*time.Millisecond, nil)
			e = c.retransmit()
			require.Equal(t, tt.want, e.Action)
			if tt.want == Forward {
				require.Equal(t, next.Addr, e.To)
			}
		})
	}
}

// Guards against an entry of another writer under the key of a live upstream, which was taken for a
// restart of the upstream and moved it to another service.
func TestEntryWithUnknownServiceKeepsUpstream(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	u := f.upstream(c)
	own, other := u.Upstream, u.Upstream
	other.Service, other.Incarnation, other.Addr = "other", own.Incarnation+5, netip.MustParseAddrPort("10.9.9.9:9")
	f.register(other)
	require.Equal(t, Forward, c.request().Action)
	require.Equal(t, own.Addr, c.last.To)
	for range 20 {
		n := f.caller(streamPort)
		n.sendSYN()
		require.NotEqual(t, own.Addr, n.last.To, "it may be gone as well")
	}
	f.register(own)
	require.True(t, u.usable())
	f.register(other)
	declared := configuration(30)
	declared.Services = []string{"other"}
	f.core.Apply(f.now, &directory.Change{Revision: 30, Configuration: declared})
	require.Equal(t, "other", f.core.byKey[u.Key].Service, "a service that is declared later")
	c.request()
	require.Equal(t, own.Addr, c.last.To)
	f.stopUpstream(u)
	f.runTraffic(200*time.Millisecond, nil)
	c.requireReset(400 * time.Millisecond)
}

// A configuration that the store took late does not undo a newer one.
func TestLateConfigurationDoesNotUndoNewerOne(t *testing.T) {
	f := newFixture(t)
	late, newer := configuration(2), configuration(3)
	newer.Revision, late.Revision = 21, 22
	f.core.Apply(f.now, &directory.Change{Revision: 21, Configuration: newer})
	f.core.Apply(f.now, &directory.Change{Revision: 22, Configuration: late})
	require.Equal(t, uint64(3), f.core.Version())
}
