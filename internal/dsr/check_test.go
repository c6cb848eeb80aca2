package dsr

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	checkTransit = 3 * time.Millisecond
	// refusalTime is the length of a check of an upstream that refuses connections.
	refusalTime = checkInterval + checkTransit
)

// Each result of connections, and what it says of the upstream.
func TestCheckOutcome(t *testing.T) {
	accepted, refused := Attempts{Accepted: controlAttempts}, Attempts{Refused: controlAttempts}
	none, lossy := Attempts{Unanswered: controlAttempts}, Attempts{Accepted: 3, Unanswered: controlAttempts - 3}
	few := Attempts{Accepted: controlAttempts - 2, Unanswered: 2}
	target, gone := Attempts{Unanswered: checkAttempts}, Attempts{Refused: minRefusals}
	for _, tc := range []struct {
		name              string
		target            Attempts
		inZone, elsewhere []Attempts
		want              CheckOutcome
	}{
		{"accepted at last", Attempts{Unanswered: checkAttempts - 1, Accepted: 1}, []Attempts{none}, []Attempts{accepted}, CheckAccepted},
		{"accepted after a refusal", Attempts{Refused: 1, Accepted: 1}, []Attempts{accepted}, nil, CheckAccepted},
		{"refused", gone, []Attempts{{Accepted: 1}}, nil, CheckRefused},
		{"refused once", Attempts{Refused: 1, Unanswered: checkAttempts - 1}, []Attempts{accepted}, nil, CheckInconclusive},
		{"refused, after loss", Attempts{Unanswered: 2, Refused: minRefusals}, []Attempts{lossy}, nil, CheckRefused},
		{"refused, no control in the zone", gone, nil, []Attempts{accepted}, CheckZoneRefused},
		{"refused behind a cut that refuses", gone, []Attempts{{Refused: 1}, {Refused: 1}}, []Attempts{{Accepted: 1}}, CheckZoneRefused},
		{"refused, as by all", gone, []Attempts{{Refused: 1}}, []Attempts{{Refused: 1}}, CheckInconclusive},
		{"refused, no control", gone, nil, nil, CheckInconclusive},
		{"unanswered", target, []Attempts{accepted, accepted}, []Attempts{accepted}, CheckUnanswered},
		{"unanswered, as by a control that is dead too", target, []Attempts{accepted, none}, nil, CheckUnanswered},
		{"unanswered beside ended ones", target, []Attempts{refused}, []Attempts{accepted}, CheckUnanswered},
		{"unanswered, few losses on the way to the zone", target, []Attempts{accepted, few}, nil, CheckUnanswered},
		{"unanswered, lossy way to the zone", target, []Attempts{lossy, lossy, accepted}, []Attempts{accepted}, CheckInconclusive},
		{"zone unanswered", target, []Attempts{none, none, none}, []Attempts{accepted}, CheckInconclusive},
		{"alone in its zone", target, nil, []Attempts{accepted}, CheckInconclusive},
		{"zone unanswered, lossy way to another zone", target, []Attempts{none, none, none}, []Attempts{lossy}, CheckInconclusive},
		{"own link", target, []Attempts{none, none, none}, []Attempts{none}, CheckInconclusive},
		{"no control elsewhere", target, []Attempts{none}, nil, CheckInconclusive},
		{"check that was cut short", Attempts{Unanswered: checkAttempts - 1}, []Attempts{accepted}, nil, CheckInconclusive},
		{"attempts that failed on this host", Attempts{Unanswered: checkAttempts, Failed: 1}, []Attempts{accepted}, nil, CheckInconclusive},
		{"control that failed on this host", target, []Attempts{{Accepted: controlAttempts - 1, Failed: 1}}, nil, CheckInconclusive},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := &check{attempts: checkAttempts, inZone: make([]*upstream, len(tc.inZone)), elsewhere: make([]*upstream, len(tc.elsewhere))}
			r := &CheckResult{Target: tc.target, Controls: append(slices.Clone(tc.inZone), tc.elsewhere...)}
			require.Equal(t, tc.want, k.outcome(r))
		})
	}
}

// A check has controls in the upstream's zone, and one elsewhere, that answered last.
func TestControlsAnsweredLast(t *testing.T) {
	f := newFixture(t)
	u := f.core.byKey["u3"]
	for i, key := range []string{"u4", "u1", "u2", "u5"} {
		f.core.byKey[key].lastAnswerAt = f.now + time.Duration(i)
	}
	inZone, elsewhere := f.core.controls(u, zoneControls)
	require.Equal(t, []*upstream{f.core.byKey["u4"]}, inZone)
	require.Equal(t, []*upstream{f.core.byKey["u2"]}, elsewhere, "the host's own zone is preferred")

	for n := 7; n < 12; n++ {
		f.register(testUpstream(n, "orders", "b"))
	}
	f.core.byKey["u8"].lastAnswerAt = f.now + 10
	inZone, _ = f.core.controls(u, zoneControls)
	require.Len(t, inZone, zoneControls)
	require.Equal(t, []*upstream{f.core.byKey["u8"], f.core.byKey["u4"]}, inZone[:2])
}

// A retransmission costs one connection if the upstream lives, and the next ones none for a while.
func TestCheckOfLivingUpstreamIsOneConnection(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	f.advance(time.Second)
	c.request()
	f.advance(200 * time.Millisecond)
	for range 10 {
		c.retransmit()
		f.advance(10 * time.Millisecond)
	}
	require.Equal(t, 1, f.network.connections)
}

// A connection that was accepted before the packet was sent does not put off the check of the packet.
func TestUpstreamThatEndsAfterCheckIsCheckedAtNextRetransmission(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	second := f.openFlowOnSameUpstream(c, streamPort)
	f.advance(time.Second)
	c.request()
	f.advance(200 * time.Millisecond)
	c.retransmit()
	f.advance(10 * time.Millisecond)
	second.request()
	f.stopUpstream(f.upstream(c))
	f.advance(200 * time.Millisecond)
	second.retransmit()
	f.advance(refusalTime)
	require.Len(t, f.core.TakeResets(), 2)
}

// Requests that are not idempotent are not reset, so they cause no checks.
func TestRetransmissionOfOrderCausesNoCheck(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	f.advance(time.Second)
	c.request()
	f.advance(200 * time.Millisecond)
	c.retransmit()
	require.Empty(t, f.core.TakeChecks())
}

// A process that has ended refuses connections: its flows are reset at once.
func TestFlowAtUpstreamThatRefusesIsReset(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	f.stopUpstream(f.upstream(c))
	f.advance(time.Second)
	c.request()
	f.advance(200 * time.Millisecond)
	require.Equal(t, Forward, c.retransmit().Action)
	f.advance(refusalTime)
	require.Len(t, f.core.TakeResets(), 1)
	require.Equal(t, Reset, c.retransmit().Action)
	require.Equal(t, ReasonUpstreamSilent, c.last.Reason)
}

// If all refuse, the listeners may be elsewhere.
func TestNoResetWhereAllUpstreamsRefuseConnections(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	f.network.refusing = make(map[netip.AddrPort]bool)
	for _, u := range f.core.byKey {
		f.network.refusing[u.Addr] = true
	}
	c.request()
	for _, pause := range []time.Duration{200, 400, 800} {
		f.advance(pause * time.Millisecond)
		require.Equal(t, Forward, c.retransmit().Action)
	}
}

// The upstreams of a zone that does not answer at all may serve behind a lossy way or a cut. One that refuses
// connections is another matter: its way is whole, or what cuts it says so.
func TestNoResetWhereNoneInTheZoneAnswers(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 12} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFixture(t)
			f.network.silent = make(map[netip.AddrPort]bool)
			var all []*caller
			for n := range size {
				d := testUpstream(20+n, "orders", "d")
				f.register(d)
				f.network.silent[d.Addr] = true
				c := f.caller(streamPort)
				c.token, c.seq, c.ack = f.core.byKey[d.Key].token, 101, 500
				require.Equal(t, Forward, c.request().Action)
				all = append(all, c)
			}
			for _, pause := range []time.Duration{200, 400, 800, 1600} {
				f.advance(pause * time.Millisecond)
				for _, c := range all {
					require.Equal(t, Forward, c.retransmit().Action)
				}
			}
			require.Empty(t, f.core.TakeResets())

			f.network.silent, f.network.refusing = nil, f.network.silent
			f.advance(refusalTime)
			require.Len(t, f.core.TakeResets(), size)
		})
	}
}

// In a cut from the upstream to this host only, callers have answers.
func TestUpstreamWhoseAnswersArriveIsNotSilent(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	other := f.openFlowOnSameUpstream(c, streamPort)
	f.network.silent = map[netip.AddrPort]bool{f.upstream(c).Addr: true}
	f.advance(time.Second)
	c.request()
	f.advance(200 * time.Millisecond)
	c.retransmit()
	f.advance(50 * time.Millisecond)
	other.request()
	f.advance(50 * time.Millisecond)
	other.ackAnswer()
	f.advance(300 * time.Millisecond)
	require.Equal(t, Forward, c.retransmit().Action)
	require.Empty(t, f.core.TakeResets())
}

// The address of an upstream that ended may be in use by another one, which accepts connections.
func TestFlowAtAddressOfAnotherUpstreamIsReset(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	u := f.upstream(c)
	next := testUpstream(9, "orders", "a")
	next.Addr = u.Addr
	f.register(next)
	f.advance(time.Second)
	c.request()
	f.advance(200 * time.Millisecond)
	require.Equal(t, Forward, c.retransmit().Action)
	f.advance(400 * time.Millisecond)
	require.Equal(t, Forward, c.retransmit().Action, "an entry of another writer says nothing")
	v := f.core.byKey[next.Key]
	for n := f.openFlow(orderPort); f.upstream(n) != v; n = f.openFlow(orderPort) {
		n.send(flagACK|flagFIN, 0, 0)
	}
	f.advance(800 * time.Millisecond)
	c.retransmit()
	f.advance(checkTransit)
	require.Len(t, f.core.TakeResets(), 1)
}

// An upstream that ended, by a check or by its registration, does not live again because another one that
// started later accepts connections at its address.
func TestAcceptedConnectionAtAddressInUseAgainIsNoLife(t *testing.T) {
	for name, end := range map[string]func(f *fixture, u *upstream){
		"silent before": func(f *fixture, u *upstream) {
			f.network.silent = map[netip.AddrPort]bool{u.Addr: true}
			f.advance(200 * time.Millisecond)
		},
		"registration lapsed": func(f *fixture, u *upstream) { f.unregister(u.Key) },
		"registration lapsed and gone": func(f *fixture, u *upstream) {
			f.unregister(u.Key)
			f.advance(lapseGrace)
			f.confirm()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.declare("feed")
			c := f.openFlow(streamPort)
			f.openFlowOnSameUpstream(c, streamPort)
			u := f.upstream(c)
			c.request()
			end(f, u)
			c.retransmit()
			f.advance(checkTime)
			next := testUpstream(9, "feed", "a")
			next.Addr = u.Addr
			f.network.silent = nil
			f.register(next)
			f.advance(retransmitTime)
			c.retransmit()
			f.advance(recheckMax)
			require.Equal(t, Reset, c.retransmit().Action)
			require.NotZero(t, u.silentAt)
		})
	}
}

// Guards against an answer of the upstream that had the address before, taken for a sign that the living one
// has ended: this host has sent the living one nothing yet that was answered.
func TestEarlierUpstreamAtAddressIsNoSuccessor(t *testing.T) {
	f := newFixture(t)
	first := f.openFlow(streamPort)
	v := f.upstream(first)
	// The process ends; its entry stays for three heartbeats. Its address goes to another upstream.
	f.advance(2 * time.Second)
	next := testUpstream(9, "orders", "a")
	next.Addr, next.Incarnation = v.Addr, v.Incarnation+100000
	f.register(next)
	u := f.core.byKey[next.Key]
	// A flow that was opened at it through another host.
	c, other := f.caller(streamPort), f.caller(streamPort)
	for _, c := range []*caller{c, other} {
		c.token, c.seq, c.ack = u.token, 101, 500
	}
	require.Equal(t, Forward, c.request().Action)
	f.advance(200 * time.Millisecond)
	require.Equal(t, Forward, c.retransmit().Action, "its link lost a packet, or the answer takes longer")
	f.advance(400 * time.Millisecond)
	require.Equal(t, Forward, c.retransmit().Action, "the upstream lives")
	require.Equal(t, Forward, other.request().Action, "a first request")
	require.Empty(t, f.core.TakeResets())
}

// An entry of another writer names no upstream, also under a key of its own: its service is not declared.
func TestEntryOfUnknownServiceIsNoSuccessor(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	u := f.upstream(c)
	f.unregister(u.Key) // a heartbeat was done late
	other := testUpstream(9, "no such service", "a")
	other.Addr = u.Addr
	f.register(other)
	f.advance(time.Second)
	c.request()
	f.advance(200 * time.Millisecond)
	require.Equal(t, Forward, c.retransmit().Action)
	f.advance(400 * time.Millisecond)
	require.Equal(t, Forward, c.retransmit().Action, "the upstream accepts connections")
	require.Empty(t, f.core.TakeResets())
}
