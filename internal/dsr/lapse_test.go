package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// registrationLosses holds the ways in which an upstream that serves is missing in the directory.
var registrationLosses = map[string]func(*fixture, *upstream){
	"lapsed": func(f *fixture, u *upstream) {
		f.unregister(u.Key)
		f.advance(lapseGrace)
		f.confirm()
	},
	"lapsed while draining": func(f *fixture, u *upstream) {
		d := u.Upstream
		d.Draining = true
		f.register(d)
		f.unregister(u.Key)
	},
	"lapsed, by another host's news": func(f *fixture, u *upstream) {
		f.core.Apply(f.now, &directory.Change{Revision: 11, Host: otherHost, Removed: []directory.Removal{{Key: u.Key, Revision: 11}}})
		f.core.StoreFailed(f.now, "test")
		f.advance(lapseGrace + newsDelay)
		f.core.PeerAnswered(f.now, otherHost, 0)
	},
	"entry of an earlier incarnation at another address, written late": func(f *fixture, u *upstream) {
		d := u.Upstream
		d.Incarnation -= 500
		d.Addr = testUpstream(40, "orders", "a").Addr
		f.register(d)
	},
}

// Guards against a reset of an open flow because the registration of its upstream is missing, while
// the upstream serves: at a host that has seen the flow, also long before, and at one that has not.
func TestOpenFlowSurvivesLapseWhileUpstreamServes(t *testing.T) {
	for name, lose := range registrationLosses {
		for _, moves := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				f := newFixture(t)
				c := f.openFlow(orderPort)
				u := f.upstream(c)
				if moves {
					f = newFixture(t)
					u, c.f = f.core.byKey[u.Key], f
				}
				lose(f, u)
				for range 3 {
					f.advance(2 * time.Second)
					require.Equal(t, Forward, c.request().Action)
					require.Equal(t, ReasonUnregistered, c.last.Reason)
					require.Equal(t, u.Addr, c.last.To)
					f.advance(50 * time.Millisecond)
					require.Equal(t, Forward, c.ackAnswer().Action)
				}
				require.True(t, u.gone, "it gets no new flows")
			})
		}
	}
}

// A caller does not wait for its deadline if the upstream has left: its second retransmission is
// answered by a reset, but not the first one.
func TestUnansweredFlowOfUpstreamWithoutRegistrationIsReset(t *testing.T) {
	for name, lose := range registrationLosses {
		for _, moves := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				f := newFixture(t)
				c := f.openFlow(orderPort)
				u := f.upstream(c)
				if moves {
					f = newFixture(t)
					u, c.f = f.core.byKey[u.Key], f
				}
				lose(f, u)
				f.runTraffic(2*time.Second, u)
				c.request()
				f.runTraffic(200*time.Millisecond, u)
				require.Equal(t, Forward, c.retransmit().Action)
				f.runTraffic(400*time.Millisecond, u)
				require.Equal(t, Reset, c.retransmit().Action)
				require.Equal(t, ReasonUpstreamGone, c.last.Reason)
			})
		}
	}
}

// A retransmission proves nothing if the upstream has answered another caller since.
func TestRetransmissionToAnsweringUpstreamWithoutRegistrationIsForwarded(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	other := f.openFlowOnSameUpstream(c, orderPort)
	registrationLosses["lapsed while draining"](f, f.upstream(c))
	f.advance(2 * time.Second)
	c.request()
	f.advance(300 * time.Millisecond)
	other.request()
	f.advance(50 * time.Millisecond)
	other.ackAnswer()
	f.advance(250 * time.Millisecond)
	require.Equal(t, Forward, c.retransmit().Action)
	f.stopUpstream(f.upstream(c))
	f.advance(800 * time.Millisecond)
	require.Equal(t, Reset, c.retransmit().Action, "silent since")
}

// A caller that sends further data of a request, and has not retransmitted, has the upstream's
// acknowledgement of what came before.
func TestNewDataToServingUpstreamWithoutRegistrationIsForwarded(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	registrationLosses["lapsed while draining"](f, f.upstream(c))
	for part := range 4 {
		e := c.request()
		require.Equal(t, Forward, e.Action, "part %d: %v", part, e.Reason)
		f.advance(time.Second)
	}
}

// Data beyond the caller's window shows that the upstream has acknowledged what came before.
func TestDataBeyondWindowToUpstreamWithoutRegistrationIsForwarded(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	registrationLosses["lapsed while draining"](f, f.upstream(c))
	send := func() Effect {
		e := c.send(flagACK, 0, 1200)
		c.seq += 1200
		return e
	}
	for range 16 {
		require.Equal(t, Forward, send().Action)
	}
	f.advance(700 * time.Millisecond)
	e := send()
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
}

// A caller acknowledges again what it has when packets of the answer arrive out of order. The
// upstream answers then.
func TestRepeatedAckToServingUpstreamWithoutRegistrationIsForwarded(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	registrationLosses["lapsed while draining"](f, f.upstream(c))
	c.request()
	f.advance(700 * time.Millisecond)
	e := c.send(flagACK, 0, 0)
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
}

// An upstream that has answered a later packet has the SYN too, or will have its retransmission.
// If another one accepts it as well, the caller's packets go to either.
func TestSYNOfAnsweringUpstreamWithoutRegistrationIsNotMoved(t *testing.T) {
	f := newFixture(t)
	other := f.openFlow(orderPort)
	u := f.upstream(other)
	c := f.caller(orderPort)
	for c.sendSYN(); c.last.To != u.Addr; c.sendSYN() {
		c = f.caller(orderPort)
	}
	f.advance(10 * time.Millisecond)
	other.request()
	f.advance(10 * time.Millisecond)
	other.ackAnswer()
	registrationLosses["lapsed while draining"](f, u)
	f.advance(180 * time.Millisecond)
	require.Equal(t, u.Addr, c.retransmitSYN(1).To)
}
