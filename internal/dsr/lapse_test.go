package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// losesRegistration holds the ways in which an upstream that serves is missing in the directory.
var losesRegistration = map[string]func(*fixture, *upstream){
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
	"entry of an earlier incarnation, written late": func(f *fixture, u *upstream) {
		d := u.Upstream
		d.Incarnation -= 500
		f.register(d)
	},
}

// Guards against a reset of an open flow because the registration of its upstream is missing, while
// the upstream serves: at a host that has seen the flow, also long before, and at one that has not.
func TestOpenFlowSurvivesLapseWhileUpstreamServes(t *testing.T) {
	for name, lose := range losesRegistration {
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
	for name, lose := range losesRegistration {
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
	losesRegistration["lapsed while draining"](f, f.upstream(c))
	f.advance(2 * time.Second)
	c.request()
	f.advance(300 * time.Millisecond)
	other.request()
	f.advance(50 * time.Millisecond)
	other.ackAnswer()
	f.advance(250 * time.Millisecond)
	require.Equal(t, Forward, c.retransmit().Action)
	f.advance(800 * time.Millisecond)
	require.Equal(t, Reset, c.retransmit().Action, "silent since")
}
