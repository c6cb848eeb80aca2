package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// orderRouteLater returns a fixture whose configuration lacks the route of orders, and the
// configuration that adds it.
func orderRouteLater(t *testing.T) (*fixture, *directory.Configuration) {
	f := newFixture(t)
	without := configuration(20)
	without.Routes = without.Routes[:1]
	f.core.Apply(f.now, &directory.Change{Revision: 20, Configuration: without})
	f.rev = 20
	return f, configuration(21)
}

// Guards against a reset of an open flow on a route that was just added, by a host whose reader of
// the store is cut off from it and does not know: all answers that the reader reports are recent.
func TestOpenFlowOnAddedRouteIsNotResetByHostThatMissesIt(t *testing.T) {
	f, added := orderRouteLater(t)
	other := newFixture(t)
	c := other.openFlow(orderPort)
	c.f = f
	require.Equal(t, Drop, c.request().Action)
	require.True(t, f.core.TakeConfirmRequest())
	for range 6 {
		f.advance(400 * time.Millisecond)
		f.core.PeerAnswered(f.now, otherHost, 50*time.Millisecond)
		f.core.StoreAnswered(f.now)
		require.Equal(t, Drop, c.retransmit().Action, "an answer that was under way proves nothing")
		require.Empty(t, f.core.TakeResets())
	}
	f.core.Apply(f.now, &directory.Change{Revision: 21, Configuration: added})
	f.confirm()
	require.Empty(t, f.core.TakeResets())
	require.Equal(t, Forward, c.retransmit().Action)
}

// Once the directory is confirmed up to the packet, a flow without a route is reset at once, so
// that its caller doesn't wait for a retransmission.
func TestOpenFlowOnDroppedRouteIsResetWhenConfirmed(t *testing.T) {
	f, _ := orderRouteLater(t)
	c := newFixture(t).openFlow(orderPort)
	c.f = f
	before := f.now - time.Millisecond
	require.Equal(t, Drop, c.request().Action)
	f.advance(5 * time.Millisecond)
	f.core.Confirmed(f.now, before)
	require.Empty(t, f.core.TakeResets(), "the read was requested before the packet came")
	asked := f.now
	f.advance(5 * time.Millisecond)
	f.core.Confirmed(f.now, asked)
	resets := f.core.TakeResets()
	require.Len(t, resets, 1)
	require.Equal(t, c.address(), resets[0].Caller)
	require.Equal(t, c.ack, resets[0].Ack)
	f.core.Confirmed(f.now, f.now)
	require.Empty(t, f.core.TakeResets())
}

// A retransmitted SYN may belong to a flow that another host has opened meanwhile.
func TestRetransmittedSYNWithoutRouteAwaitsConfirmation(t *testing.T) {
	f, _ := orderRouteLater(t)
	f.confirm()
	c := f.caller(orderPort)
	require.Equal(t, Reset, c.sendSYN().Action, "the first SYN is refused at once")
	f.advance(200 * time.Millisecond)
	require.Equal(t, Drop, c.retransmitSYN(1).Action)
	f.confirm()
	require.Len(t, f.core.TakeResets(), 1)
}

func TestFirstSYNWithoutRouteIsRefusedOnlyByRecentDirectory(t *testing.T) {
	f := newFixture(t)
	f.confirm()
	f.advance(refuseMaxAge)
	require.Equal(t, Reset, f.caller(81).sendSYN().Action)
	f.advance(time.Millisecond)
	require.Equal(t, Drop, f.caller(81).sendSYN().Action)
	require.True(t, f.core.TakeConfirmRequest())
	require.Equal(t, Drop, f.caller(81).sendSYN().Action)
	require.False(t, f.core.TakeConfirmRequest(), "one request for all of them")
	f.confirm()
	require.Len(t, f.core.TakeResets(), 2)
	f.core.StoreFailed(f.now, "test")
	f.advance(refuseMaxAgeStoreDown + settleTime)
	require.Equal(t, Drop, f.caller(81).sendSYN().Action, "the store is down")
	f.core.PeerAnswered(f.now, otherHost, 100*time.Millisecond)
	require.Equal(t, Reset, f.caller(81).sendSYN().Action, "the store answers another host")
	require.False(t, f.core.TakeConfirmRequest(), "the store does not answer this host")
	g := &fixture{t: t, core: New("a", testFormat{}, 0), now: f.now}
	require.Equal(t, Drop, g.caller(81).sendSYN().Action, "no configuration yet")
}

// A host that the store does not answer can't confirm its directory. It waits until the store has
// answered another host so much later that an added route must have arrived.
func TestOpenFlowIsResetByNewsOfOtherHostWhileStoreIsDown(t *testing.T) {
	f, _ := orderRouteLater(t)
	f.core.StoreFailed(f.now, "test")
	c := newFixture(t).openFlow(orderPort)
	c.f = f
	require.Equal(t, Drop, c.request().Action)
	f.advance(newsDelay)
	f.core.PeerAnswered(f.now, otherHost, time.Millisecond)
	require.Empty(t, f.core.TakeResets())
	f.advance(time.Millisecond)
	f.core.PeerAnswered(f.now, otherHost, 0)
	require.Len(t, f.core.TakeResets(), 1)
}

// An upstream without callers is not worth a call of the store: it is gone once the store has
// answered so late that the return of its registration would be known.
func TestLapsedUpstreamGoesByNewsUnlessCallersWait(t *testing.T) {
	for _, waits := range []bool{false, true} {
		f := newFixture(t)
		u := f.core.byKey["u1"]
		if waits {
			u = f.upstream(f.openFlow(orderPort))
		}
		f.unregister(u.Key)
		f.advance(lapseGrace)
		for _, step := range []struct {
			pause time.Duration
			gone  bool
		}{{0, false}, {newsDelay - time.Millisecond, false}, {time.Millisecond, true}} {
			f.advance(step.pause)
			f.core.PeerAnswered(f.now, otherHost, 0)
			f.core.advance(f.now)
			require.Equal(t, waits && !step.gone, f.core.TakeConfirmRequest(), "at most one in confirmInterval")
			require.Equal(t, step.gone && !waits, u.gone)
		}
		f.confirm()
		f.core.advance(f.now)
		require.True(t, u.gone)
	}
}

// A host that is cut off from the store, and whose reader is not, can't confirm its directory.
func TestOpenFlowIsResetByNewsOfReaderWhileConfirmationsFail(t *testing.T) {
	for _, fails := range []bool{false, true} {
		f, _ := orderRouteLater(t)
		c := newFixture(t).openFlow(orderPort)
		c.f = f
		require.Equal(t, Drop, c.request().Action)
		if fails {
			f.core.ConfirmationFailed()
		}
		f.advance(newsDelay)
		f.core.PeerAnswered(f.now, otherHost, 0)
		require.Equal(t, fails, len(f.core.TakeResets()) == 1)
	}
}

// A host that has just started has confirmed nothing.
func TestStartedHostRefusesNoSYNBeforeConfirmation(t *testing.T) {
	f := &fixture{t: t, core: New("a", testFormat{}, 0), now: 100 * time.Millisecond}
	f.core.PeerAnswered(f.now, otherHost, 0)
	f.core.Apply(f.now, &directory.Change{Full: true, Host: otherHost, Revision: 5, Configuration: configuration(1)})
	require.Equal(t, Drop, f.caller(81).sendSYN().Action)
}

// Guards against resets of the flows of an upstream whose registration lapsed and is back, by a
// host that does not know: its reader was cut off from the store in between.
func TestLapsedUpstreamIsNotGoneBeforeItsAbsenceIsConfirmed(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	u := f.upstream(c)
	f.unregister(u.Key)
	for range 3 {
		f.advance(time.Second)
		f.core.PeerAnswered(f.now, otherHost, 100*time.Millisecond)
		require.Equal(t, Forward, c.request().Action)
	}
	require.True(t, f.core.TakeConfirmRequest(), "a caller waits")
	back := u.Upstream
	f.register(back)
	f.confirm()
	f.advance(2 * lapseGrace)
	require.Equal(t, Forward, c.request().Action)
	require.Same(t, u, f.core.byKey[u.Key])
}

// Registrations also lapse while the store is down, which a host that follows another one can't
// tell from an upstream that has left.
func TestDrainingUpstreamIsNotGoneAtOnceWhileStoreDoesNotAnswer(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	u := f.upstream(c)
	d := u.Upstream
	d.Draining = true
	f.register(d)
	f.advance(2 * time.Second)
	f.core.StoreFailed(f.now, "test")
	f.rev++
	f.core.Apply(f.now, &directory.Change{Revision: f.rev, Removed: []directory.Removal{{Key: d.Key, Revision: f.rev}}})
	require.Equal(t, Forward, c.request().Action)
	f.advance(lapseGrace + newsDelay)
	require.False(t, u.gone)
	f.core.PeerAnswered(f.now, otherHost, 0)
	f.stopUpstream(u)
	c.requireReset(refusalTime)
	require.True(t, u.gone)
}

// More flows than the table holds, and flows that no confirmation comes for, do not stay in it.
func TestFlowsThatAwaitConfirmationAreBounded(t *testing.T) {
	f := newFixture(t)
	for n := range 2 * maxUnrouted {
		f.core.unrouted.add(f.now, &Packet{Seq: uint32(n), Caller: (&caller{id: byte(n), f: f}).address(), Service: serviceAddress(uint16(n))})
	}
	require.Equal(t, maxUnrouted, len(f.core.unrouted.byKey))
	require.Equal(t, maxUnrouted, f.core.unrouted.order.Len())
	f.advance(unroutedTime + time.Millisecond)
	f.core.advance(f.now)
	require.Empty(t, f.core.unrouted.byKey)
	require.Zero(t, f.core.unrouted.order.Len())
}
