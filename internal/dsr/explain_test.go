package dsr

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/loadcontrol"
)

// newExplainFixture returns a fixture with objectives, a route to two services, and many upstreams
// if asked for. With a deadline, requests wait.
func newExplainFixture(t *testing.T, many bool, deadline time.Duration) *fixture {
	f := newFixture(t)
	n := configuration(2)
	for i := range n.Routes {
		n.Routes[i].LatencyObjective, n.Routes[i].Priority = 300*time.Millisecond, 1-i
		n.Routes[i].Timeout = deadline
	}
	n.Routes = append(n.Routes, directory.Route{Name: "upload", LatencyObjective: 300 * time.Millisecond, Timeout: deadline, Addr: serviceAddress(uploadPort), Targets: []directory.Target{{Service: "orders", Weight: 3}, {Service: "empty", Weight: 1}}})
	f.core.Apply(f.now, &directory.Change{Revision: f.rev, Configuration: n})
	// The core learns how long the work takes.
	for range 8 {
		c := f.openFlow(orderPort)
		c.request()
		f.advance(40 * time.Millisecond)
		c.ackAnswer()
	}
	if many {
		for i := 7; i < 90; i++ {
			f.register(testUpstream(i, "orders", string("abc"[i%3])))
		}
	}
	return f
}

// Guards against explanations that differ from what the next packet gets, and against queries that
// change what later packets get: of two equal cores, one is asked before each packet.
func TestExplanationForetellsDecisionsAndChangesNothing(t *testing.T) {
	outcomes := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		many := rapid.IntRange(0, 3).Draw(rt, "many") == 0
		deadline := rapid.SampledFrom([]time.Duration{0, 2 * time.Second}).Draw(rt, "deadline")
		asked, other := newExplainFixture(t, many, deadline), newExplainFixture(t, many, deadline)
		waits := Drop
		if deadline > 0 {
			waits = Hold
		}
		both := func(do func(f *fixture) Effect) Effect {
			e := do(asked)
			require.Equal(rt, do(other), e)
			return e
		}
		var callers [][2]*caller
		each := func(i int, do func(c *caller)) {
			do(callers[i][0])
			do(callers[i][1])
		}
		pace := rapid.SampledFrom([]int{2, 10, 60}).Draw(rt, "pace")
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			d := time.Duration(rapid.IntRange(0, pace).Draw(rt, "ms")) * time.Millisecond
			asked.advance(d)
			other.advance(d)
			what := rapid.IntRange(0, 11).Draw(rt, "what")
			switch {
			case what < 6 || len(callers) == 0:
				port := []uint16{streamPort, orderPort}[rapid.IntRange(0, 1).Draw(rt, "port")]
				callers = append(callers, [2]*caller{asked.caller(port), other.caller(port)})
				c := callers[len(callers)-1]
				for _, f := range []*fixture{asked, other} {
					f.core.linkMonitor.packetReceived(f.now)
					f.core.advance(f.now)
				}
				e, err := asked.core.Explain(asked.now, c[0].address(), serviceAddress(port))
				require.NoError(rt, err)
				s := e.Services[0]
				outcomes[s.Outcome]++
				got := both(func(f *fixture) Effect {
					if f == asked {
						return c[0].sendSYN()
					}
					return c[1].sendSYN()
				})
				require.Equal(rt, map[string]Action{OutcomeForwarded: Forward, OutcomeWaits: waits, OutcomeRejected: Reset, OutcomeDropped: Drop}[s.Outcome], got.Action)
				require.Equal(rt, got.Reason.String(), s.Reason)
				chosen := 0
				for _, u := range s.Upstreams {
					if u.Verdict == "chosen" {
						chosen++
						require.Equal(rt, got.To.String(), u.To)
					}
					require.False(rt, u.Verdict != "chosen" && u.Cost != nil && u.Suspicion == "" && got.Action == Forward && *u.Cost < asked.costOf(s, got), "a cheaper one is not chosen")
				}
				require.Equal(rt, got.Action == Forward, chosen == 1)
			case what < 8:
				each(rapid.IntRange(0, len(callers)-1).Draw(rt, "caller"), func(c *caller) { c.completeHandshake(); c.request() })
			case what < 10:
				each(rapid.IntRange(0, len(callers)-1).Draw(rt, "caller"), func(c *caller) { c.ackAnswer() })
			case what < 11:
				u := testUpstream(rapid.IntRange(1, 6).Draw(rt, "upstream"), "orders", "a")
				u.Draining = rapid.Bool().Draw(rt, "draining")
				asked.register(u)
				other.register(u)
			default:
				p := loadcontrol.Position{Index: 0, Count: rapid.IntRange(1, 3).Draw(rt, "hosts")}
				asked.core.SetPosition(p)
				other.core.SetPosition(p)
			}
		}
		require.Equal(rt, other.core.rotation, asked.core.rotation)
		require.Equal(rt, other.core.TakeRecords(), asked.core.TakeRecords())
		require.Equal(rt, other.core.TakeSamples(), asked.core.TakeSamples())
		require.Equal(rt, other.core.State(other.now), asked.core.State(asked.now))
	})
	for _, o := range []string{OutcomeForwarded, OutcomeWaits, OutcomeRejected} {
		assert.Positive(t, outcomes[o], o)
	}
}

// costOf returns the cost of the chosen upstream in an explanation.
func (f *fixture) costOf(s ExplainedService, e Effect) float64 {
	for _, u := range s.Upstreams {
		if u.To == e.To.String() && u.Cost != nil {
			return *u.Cost
		}
	}
	return 0
}

func TestExplanationNamesRouteServicesAndFlow(t *testing.T) {
	f := newExplainFixture(t, false, 0)
	drained := testUpstream(1, "orders", "a")
	drained.Draining = true
	f.register(drained)
	c := f.caller(uploadPort)
	for c.sendSYN().Action != Forward {
		c = f.caller(uploadPort)
	}
	f.advance(7 * time.Millisecond)
	c.completeHandshake()
	e, err := f.core.Explain(f.now, c.address(), serviceAddress(uploadPort))
	require.NoError(t, err)
	assert.Equal(t, "upload", e.Route)
	assert.Equal(t, uint64(2), e.Version)
	assert.Equal(t, &ExplainedFlow{Phase: "idle", Upstream: f.upstream(c).Key, Token: c.token}, e.Flow)
	require.Len(t, e.Services, 2)
	assert.InDelta(t, 0.75, e.Services[0].Part, 0)
	assert.Equal(t, 6, e.Services[0].Compared)
	for _, u := range e.Services[0].Upstreams {
		if u.Key == "u1" {
			assert.Equal(t, "takes no new flows: draining", u.Verdict)
		}
	}
	assert.Equal(t, OutcomeDropped, e.Services[1].Outcome)
	assert.Equal(t, "no upstream", e.Services[1].Reason)
	_, err = f.core.Explain(f.now, c.address(), netip.MustParseAddrPort("198.18.0.1:1"))
	require.ErrorIs(t, err, ErrNoRoute)
	_, err = New("a", testFormat{}, 0).Explain(0, c.address(), serviceAddress(uploadPort))
	require.ErrorIs(t, err, ErrNotReady)
}
