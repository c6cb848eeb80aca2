package dsr

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// One zone loses packets, in both directions of a handshake; the others lose none.
func TestLossOnWayToOneZoneResetsNoFlow(t *testing.T) {
	for _, loss := range []float64{0.3, 0.5, 0.8, 0.95} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("loss %.2f, seed %d", loss, seed), func(t *testing.T) {
				f := newFixture(t)
				r := rand.New(rand.NewPCG(seed, 0))
				f.register(testUpstream(7, "orders", "b"), testUpstream(8, "orders", "b"))
				var callers []*lossyCaller
				for len(callers) < 12 {
					if c := f.openFlow(streamPort); f.upstream(c).Zone == "b" {
						callers = append(callers, &lossyCaller{caller: c})
					}
				}
				f.runTraffic(time.Second, nil)
				f.network.random, f.network.loss = r, func(a netip.AddrPort) float64 {
					if f.core.byAddress[a][0].Zone == "b" {
						return 1 - (1-loss)*(1-loss)
					}
					return 0
				}
				resets := 0
				for end := f.now + 20*time.Second; f.now < end; {
					for _, c := range callers {
						if c.act(r, 1-(1-loss)*(1-loss)) {
							resets++
						}
					}
					f.runTraffic(20*time.Millisecond, nil)
				}
				require.Zero(t, resets+len(f.core.TakeResets()), "all upstreams live")
			})
		}
	}
}

// A recheck of an upstream is one connection: on a lossy way, living upstreams stay silent.
func TestUpstreamBehindLossyWayDoesNotStaySilent(t *testing.T) {
	f := newFixture(t)
	f.network.random = rand.New(rand.NewPCG(1, 0))
	c := f.openFlow(streamPort)

	var others []*caller
	for range 40 {
		others = append(others, f.openFlowOnSameUpstream(c, streamPort))
	}
	f.silenceUpstream(c)
	f.network.silent = nil
	f.network.loss = func(netip.AddrPort) float64 { return 0.75 } // half of the packets each way
	f.core.TakeResets()
	last, began := time.Duration(0), f.now
	for _, o := range others {
		f.advance(200 * time.Millisecond)
		if o.request().Action == Reset {
			last = f.now - began
		}
	}
	require.Less(t, last, recheckMax+checkTime+100*time.Millisecond)
}

// A check must find a dead upstream on a way that loses a few packets in a hundred.
func TestUpstreamThatIsDeadIsFoundBehindSlightLoss(t *testing.T) {
	for _, loss := range []float64{0.01, 0.02, 0.05, 0.1, 0.2} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			found := 0
			const checks = 1000
			r := rand.New(rand.NewPCG(1, 0))
			k := &check{attempts: checkAttempts, inZone: make([]*upstream, zoneControls), elsewhere: make([]*upstream, 1)}
			for range checks {
				res := &CheckResult{Target: Attempts{Unanswered: checkAttempts}}
				for i := range zoneControls + 1 {
					var a Attempts
					for range controlAttempts {
						if i < zoneControls && r.Float64() < 1-(1-loss)*(1-loss) {
							a.Unanswered++
							continue
						}
						a.Accepted++
					}
					res.Controls = append(res.Controls, a)
				}
				if k.outcome(res) == CheckUnanswered {
					found++
				}
			}
			require.Greater(t, found, checks/2)
		})
	}
}

// The upstream ended 100 ms after the request, which another caller's answered packet followed: a connection
// that is refused later is the newer evidence.
func TestRefusedConnectionAfterAnswerIsSilence(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	other := f.openFlowOnSameUpstream(c, streamPort)
	f.advance(time.Second)
	c.request()
	f.advance(20 * time.Millisecond)
	other.request()
	f.advance(60 * time.Millisecond)
	other.ackAnswer()
	f.stopUpstream(f.upstream(c))
	f.advance(120 * time.Millisecond)
	c.retransmit()
	f.advance(refusalTime)
	require.Len(t, f.core.TakeResets(), 1)
}

// An upstream with a full accept queue, or one whose answers reach callers but not this host, answers callers
// throughout the check, though only packets that were sent before it.
func TestUpstreamThatAnswersDuringCheckIsNotSilent(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	others := []*caller{f.openFlowOnSameUpstream(c, orderPort), f.openFlowOnSameUpstream(c, orderPort), f.openFlowOnSameUpstream(c, orderPort)}
	f.network.silent = map[netip.AddrPort]bool{f.upstream(c).Addr: true}
	f.advance(time.Second)
	c.request()
	for _, o := range others {
		o.request()
	}
	f.advance(200 * time.Millisecond)
	c.retransmit()
	for _, o := range others {
		f.advance(100 * time.Millisecond)
		o.ackAnswer()
	}
	f.advance(100 * time.Millisecond)
	require.Empty(t, f.core.TakeResets())
	require.Equal(t, Forward, c.retransmit().Action)
}

// A flow that was reset is over for its caller, which uses another port for the next attempt.
func TestResetFlowsNoLongerCountAtUpstream(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	u := f.upstream(c)
	for range 8 {
		f.openFlowOnSameUpstream(c, streamPort).request()
	}
	f.network.silent = map[netip.AddrPort]bool{u.Addr: true}
	c.request()
	f.advance(200 * time.Millisecond)
	c.retransmit()
	f.advance(checkTime)
	require.Len(t, f.core.TakeResets(), 9)
	f.advance(2 * time.Second)
	require.Empty(t, f.core.TakeResets(), "once each")
	f.network.silent = nil
	f.advance(10 * time.Second)
	f.caller(orderPort).sendSYN()
	require.Zero(t, u.silentAt)
	require.LessOrEqual(t, u.flows, 1)
}

// A recheck that this host could not carry out (no free descriptor) says nothing.
func TestFailedRecheckIsNoEvidence(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	f.openFlowOnSameUpstream(c, streamPort)
	u := f.upstream(c)
	f.silenceUpstream(c)
	f.core.TakeResets()
	found := u.silentBy.At
	f.advance(10 * time.Millisecond)
	for id, k := range f.core.checks {
		if k.again {
			f.core.CheckDone(f.now, CheckResult{ID: id, StartedAt: f.now, Target: Attempts{Failed: 1}, Controls: []Attempts{}})
			break
		}
	}
	require.Equal(t, found, u.silentBy.At, "evidence is as old as the last connection without an answer")
}

func BenchmarkRecheckOfSilentUpstreams(b *testing.B) {
	for _, n := range []int{8000, maxFlows} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := New("a", testFormat{}, 0)
			d := testUpstream(1, "orders", "a")
			c.applyUpstream(0, &d, netip.AddrPort{})
			c.TakeRecords()
			u := c.byKey[d.Key]
			for i := range n {
				f := c.cache.add(time.Second, flowKey{caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1)})
				f.upstream, f.phase = u, phaseClosed
				c.cache.setPhase(time.Second, f, phaseIdle)
			}
			v := &upstream{}
			for b.Loop() {
				c.resetWaitingFlows(time.Second, v, silenceTimeout)
			}
		})
	}
}
