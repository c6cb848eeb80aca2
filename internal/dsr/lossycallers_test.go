package dsr

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against resets of flows at an upstream with a queue, which answers all the time, but packets
// that were sent long ago.
func TestUpstreamThatAnswersOldPacketsIsNotSilent(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	second, third := f.openFlowOnSameUpstream(c, streamPort), f.openFlowOnSameUpstream(c, streamPort)
	u := f.upstream(c)
	f.network.accepting = map[netip.AddrPort]bool{u.Addr: true}
	f.runTraffic(time.Second, u)
	third.request()
	c.request()
	second.request()
	f.runTraffic(200*time.Millisecond, u)
	require.Equal(t, Forward, c.retransmit().Action)
	require.Equal(t, Forward, second.retransmit().Action)
	f.runTraffic(400*time.Millisecond, u)
	require.Equal(t, Forward, third.ackAnswer().Action)
	require.Equal(t, Forward, c.retransmit().Action)
	require.Equal(t, Forward, second.retransmit().Action)
	require.Empty(t, f.core.TakeResets())
}

// lossyCaller repeats requests on one stream. Its link loses answers.
type lossyCaller struct {
	*caller
	// waits is set while a request has no answer, which is lost unless answerAt is set.
	waits              bool
	answerAt, resendAt time.Duration
	interval           time.Duration
}

const lossyCallerAnswerTime = 60 * time.Millisecond

// act sends what is due and reports whether the flow was reset.
func (c *lossyCaller) act(r *rand.Rand, loss float64) bool {
	now := c.f.now
	send := func(packet func() Effect) bool {
		if r.Float64() >= loss {
			c.answerAt = now + lossyCallerAnswerTime
		}
		c.resendAt = now + c.interval
		return packet().Action == Reset
	}
	switch {
	case c.waits && c.answerAt != 0 && now >= c.answerAt:
		c.waits, c.answerAt = false, 0
		return c.ackAnswer().Action == Reset
	case c.waits && now >= c.resendAt:
		c.interval *= 2
		return send(c.retransmit)
	case !c.waits && r.Float64() < 0.03:
		c.waits, c.interval = true, 200*time.Millisecond
		return send(c.request)
	}
	return false
}

// Guards against resets of flows whose upstreams live, because the links of callers lose answers.
func TestLossOnLinksOfManyCallersResetsNoFlow(t *testing.T) {
	for _, loss := range []float64{0.2, 0.5, 0.8} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("loss %.1f, seed %d", loss, seed), func(t *testing.T) {
				f := newFixture(t)
				r := rand.New(rand.NewPCG(seed, 0))
				var callers []*lossyCaller
				for range 24 {
					callers = append(callers, &lossyCaller{caller: f.openFlow(streamPort)})
				}
				f.runTraffic(time.Second, nil)
				f.network.random, f.network.loss = r, func(netip.AddrPort) float64 { return loss }
				resets := 0
				for end := f.now + 20*time.Second; f.now < end; {
					for _, c := range callers {
						if c.act(r, loss) {
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
