package dsr

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdempotentRequestAtSilentUpstreamIsReset(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	order := f.openFlowOnSameUpstream(c, orderPort)
	f.runTraffic(time.Second, nil)
	c.request()
	order.request()
	f.runTraffic(200*time.Millisecond, f.upstream(c))
	require.Equal(t, Forward, c.retransmit().Action)
	require.Equal(t, Forward, order.retransmit().Action)
	f.runTraffic(400*time.Millisecond, f.upstream(c))
	require.Equal(t, Forward, order.retransmit().Action, "an order is not idempotent and may have run")
	require.Equal(t, Reset, c.retransmit().Action)
	require.Equal(t, ReasonUpstreamSilent, c.last.Reason)
	require.Equal(t, Forward, order.retransmit().Action)
}

// An upstream that fails after it has acknowledged requests leaves callers waiting until their
// deadline, since they do not retransmit. The silence detected by another flow resets theirs.
func TestWaitingRequestsAtSilentUpstreamAreReset(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	waiting, order, idle := f.openFlowOnSameUpstream(c, streamPort), f.openFlowOnSameUpstream(c, orderPort), f.openFlowOnSameUpstream(c, streamPort)
	f.runTraffic(time.Second, nil)
	waiting.request()
	order.request()
	f.runTraffic(50*time.Millisecond, f.upstream(c))
	c.request()
	f.runTraffic(200*time.Millisecond, f.upstream(c))
	require.Equal(t, Forward, c.retransmit().Action)
	order.retransmit()
	require.Empty(t, f.core.TakeResets())
	f.runTraffic(400*time.Millisecond, f.upstream(c))
	require.Equal(t, Reset, c.retransmit().Action)
	resets := f.core.TakeResets()
	require.Len(t, resets, 2, "an order may have run, and an idle flow has no request")
	require.ElementsMatch(t, []netip.AddrPort{waiting.address(), c.address()}, []netip.AddrPort{resets[0].Caller, resets[1].Caller})
	require.Equal(t, waiting.ack, resets[0].Ack)
	require.Empty(t, f.core.TakeResets())
	require.Equal(t, Forward, order.retransmit().Action)
	require.NotEqual(t, c.address(), idle.address())
}

// When another flow detects the silence, only the flows whose requests have waited for
// silenceTimeout are reset.
func TestRecentRequestsAtSilentUpstreamAreKept(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	fresh, order := f.openFlowOnSameUpstream(c, streamPort), f.openFlowOnSameUpstream(c, orderPort)
	f.runTraffic(time.Second, nil)
	c.request()
	order.request()
	f.runTraffic(200*time.Millisecond, f.upstream(c))
	require.Equal(t, Forward, c.retransmit().Action)
	order.retransmit()
	f.runTraffic(200*time.Millisecond, f.upstream(c))
	fresh.request()
	f.runTraffic(200*time.Millisecond, f.upstream(c))
	require.Equal(t, Reset, c.retransmit().Action)
	resets := f.core.TakeResets()
	require.Len(t, resets, 1)
	require.Equal(t, c.address(), resets[0].Caller)
}

// On a saturated link no upstream answers. This says nothing about the upstreams, and a reset would
// end flows that they still serve.
func TestNoResetWhileHostIsCutOff(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	f.runTraffic(time.Second, nil)
	f.network.cutOff = true
	c.request()
	for _, pause := range []time.Duration{200, 400, 800} {
		for range 8 {
			f.caller(orderPort).sendSYN()
		}
		f.advance(pause * time.Millisecond)
		require.Equal(t, Forward, c.retransmit().Action, "%v after the last packet", pause*time.Millisecond)
	}
}

// A saturated link also delays the packets of callers: none arrive for a while, then the
// retransmissions of a request arrive together with packets that show a recovered link.
func TestNoResetRightAfterPause(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	f.runTraffic(time.Second, nil)
	c.request()
	f.network.cutOff = true
	f.advance(700 * time.Millisecond)
	c.retransmit()
	f.advance(checkTime - 100*time.Millisecond)
	f.network.cutOff = false
	f.runTraffic(100*time.Millisecond, nil)
	require.Equal(t, Forward, c.retransmit().Action)
	require.True(t, f.core.linkMonitor.suspected(f.now))
}

// Retransmissions of packets that were lost on the host's own link must not count against the
// upstream later.
func TestRetransmitsOnDegradedLinkDoNotCount(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	f.runTraffic(time.Second, nil)
	f.network.cutOff = true
	c.request()
	f.advance(300 * time.Millisecond)
	c.retransmit()
	f.advance(400 * time.Millisecond)
	c.retransmit()
	f.network.cutOff = false
	f.runTraffic(1500*time.Millisecond, nil)
	require.False(t, f.core.linkMonitor.suspected(f.now))
	require.Equal(t, Forward, c.retransmit().Action, "the first retransmission that was certainly sent on a healthy link")
	require.Empty(t, f.core.TakeResets())
}

// Slow handshakes show that packets are queued on the host's link.
func TestNoResetWhileHandshakesAreSlow(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	f.runTraffic(time.Second, nil)
	u := f.upstream(c)
	f.network.cutOff = true
	c.request()
	for _, pause := range []time.Duration{200, 400, 400} {
		for end := f.now + pause*time.Millisecond; f.now < end; {
			n := f.caller(orderPort)
			n.sendSYN()
			f.advance(45 * time.Millisecond)
			if n.last.Action == Forward && f.upstream(n) != u {
				n.completeHandshake()
				n.send(flagACK|flagFIN, 0, 0)
			}
		}
		require.Equal(t, Forward, c.retransmit().Action)
	}
}

// Upstreams answer callers directly. In a partition between this host and an availability zone, an
// acknowledgement of an earlier answer shows that the upstream runs, not that packets of this host
// reach it.
func TestLateAnswerDoesNotClearBackoff(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	u := f.upstream(c)
	c.request()
	f.advance(100 * time.Millisecond)
	var failing *caller
	for failing == nil {
		n := f.caller(orderPort)
		if n.sendSYN(); n.last.Action == Forward && f.upstream(n) == u {
			failing = n
		}
	}
	f.advance(handshakeTimeoutMin + time.Millisecond)
	f.caller(orderPort).sendSYN()
	require.True(t, u.suspect(f.now))
	c.ackAnswer()
	require.True(t, u.suspect(f.now), "the request was sent before the SYN of the failed handshake")
	failing.completeHandshake()
	require.False(t, u.suspect(f.now))
}

// Once an upstream is found silent, requests of other flows are reset without a silence timeout of
// their own.
func TestSilenceAppliesToOtherFlowsAtOnce(t *testing.T) {
	f := newFixture(t)
	first := f.openFlow(streamPort)
	second := f.openFlowOnSameUpstream(first, streamPort)
	u := f.upstream(first)
	f.silenceUpstream(first)
	require.Equal(t, Reset, second.request().Action)
	require.True(t, u.suspect(f.now), "new flows avoid the upstream")
	require.GreaterOrEqual(t, u.backoff.delay, backoffMin)
}

// silenceUpstream makes the upstream of the flow silent until the flow is reset. The upstream does
// not answer another caller either.
func (f *fixture) silenceUpstream(c *caller) {
	u := f.upstream(c)
	order := f.openFlowOnSameUpstream(c, orderPort)
	f.runTraffic(time.Second, nil)
	c.request()
	order.request()
	f.runTraffic(200*time.Millisecond, u)
	c.retransmit()
	order.retransmit()
	f.runTraffic(400*time.Millisecond, u)
	require.Equal(f.t, Reset, c.retransmit().Action)
}

func TestAnswerEndsSilence(t *testing.T) {
	f := newFixture(t)
	first := f.openFlow(streamPort)
	second := f.openFlowOnSameUpstream(first, streamPort)
	order := f.openFlowOnSameUpstream(first, orderPort)
	f.silenceUpstream(first)
	order.request()
	f.advance(40 * time.Millisecond)
	order.ackAnswer()
	require.Equal(t, Forward, second.request().Action)
}

// The partition may have healed: a silent upstream is checked again while flows are open at it, until it
// accepts a connection.
func TestSilenceExpires(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	second := f.openFlowOnSameUpstream(c, streamPort)
	u := f.upstream(c)
	f.silenceUpstream(c)
	f.network.silent = map[netip.AddrPort]bool{u.Addr: true}
	f.advance(5 * time.Second)
	require.Equal(t, Reset, second.request().Action, "the silence lasts")
	require.True(t, u.suspect(f.now))
	f.network.silent = nil
	f.advance(recheckMax + checkTime)
	require.Equal(t, Forward, second.request().Action)
}

// Guards against resets of flows at a healthy upstream because the link of one caller loses answers:
// a host that sends little to the upstream sees no other answer meanwhile.
func TestLossOnLinkOfOneCallerIsNoSilence(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(streamPort)
	other := f.openFlowOnSameUpstream(c, streamPort)
	u := f.upstream(c)
	d := u.Upstream
	d.Draining = true
	f.register(d)
	f.runTraffic(time.Second, nil)
	c.request()
	f.runTraffic(200*time.Millisecond, nil)
	require.Equal(t, Forward, c.retransmit().Action)
	f.runTraffic(400*time.Millisecond, nil)
	require.Equal(t, Forward, c.retransmit().Action)
	require.Equal(t, Forward, other.request().Action)
	require.Empty(t, f.core.TakeResets())

	f.runTraffic(200*time.Millisecond, nil)
	require.Equal(t, Forward, c.retransmit().Action)
	require.Equal(t, Forward, other.retransmit().Action)
	f.runTraffic(400*time.Millisecond, nil)
	require.Equal(t, Forward, other.retransmit().Action, "the upstream accepts connections")
	require.Empty(t, f.core.TakeResets())
	f.runTraffic(retransmitTime+checkTransit, nil)
	require.Equal(t, Forward, c.retransmit().Action)
	f.runTraffic(400*time.Millisecond, u)
	require.Equal(t, Reset, other.retransmit().Action, "it does not any more")
	require.Len(t, f.core.TakeResets(), 2)
}
