package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Tokens have 32 bits, so two upstreams may share one. An open flow stays where it was opened, as far as its host knows.
func TestFlowStaysAtItsUpstreamWhenAnotherOneSharesItsToken(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	own := f.upstream(c).Upstream
	twin := testUpstream(9, "orders", "a")
	twin.Key, twin.ID, twin.Incarnation = "u0", own.ID, own.Incarnation
	f.register(twin)
	require.Equal(t, own.Addr, c.request().To)
}

// Two upstreams answer the SYN if a copy of it went to another one. The caller acknowledges the answer
// that came first and has the token of the last one.
func TestFlowStaysAtUpstreamThatItAcknowledged(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	own, other := f.upstream(c), f.core.byKey["u6"]
	c.token = other.token
	for range 3 {
		e := c.request()
		require.Equal(t, own.Addr, e.To)
		require.Equal(t, own.token, e.Token, "the upstream's answer has it again")
		f.advance(50 * time.Millisecond)
		c.ackAnswer()
	}
}

// Another flow from the port that was opened through another host has other sequence numbers.
func TestFlowFromReusedPortGoesByItsToken(t *testing.T) {
	for name, change := range map[string]func(*caller){
		"other sequence numbers of the caller":   func(c *caller) { c.seq += 1 << 30 },
		"other sequence numbers of the upstream": func(c *caller) { c.ack += 1 << 30 },
		"earlier acknowledgement":                func(c *caller) { c.ack -= 400 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c := f.openFlow(orderPort)
			c.token = f.core.byKey["u6"].token
			change(c)
			require.Equal(t, f.core.byKey["u6"].Addr, c.request().To)
		})
	}
}

// The handshake of the flow was completed with the other upstream.
func TestFlowGoesToUpstreamThatItsHandshakeWasCompletedWith(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	c.sendSYN()
	c.token = f.core.byKey["u6"].token
	require.Equal(t, f.core.byKey["u6"].Addr, c.completeHandshake().To)
	require.Equal(t, f.core.byKey["u6"].Addr, c.request().To)
}

// Guards against an upstream whose answers are not seen, since the acknowledgements of a flow that it
// completed in place of another one were compared with those of the other.
func TestAnswersAreSeenAfterHandshakeWithAnotherUpstream(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	c.sendSYN()
	other := f.core.byKey["u6"]
	c.token, c.seq, c.ack = other.token, 101, 3<<30
	c.send(flagACK, 0, 0)
	c.request()
	f.advance(50 * time.Millisecond)
	c.ackAnswer()
	require.Equal(t, f.now, other.lastAnswerAt)
}

// Guards against a packet of an open flow that reaches another upstream, which answered the SYN too, through
// a host that does not know the flow.
func TestProvisionalTokenOfUnknownFlowIsNotRouted(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	e := c.retransmitSYN(1)
	require.Equal(t, f.upstream(c).token.provisional(), e.Token)
	other := f.caller(orderPort)
	other.token, other.seq, other.ack = e.Token, 101, 500
	e = other.request()
	require.Equal(t, Drop, e.Action)
	require.Equal(t, ReasonProvisionalToken, e.Reason)
	require.False(t, e.Resync, "the upstream is known")
}

// The upstream gets its token with the packet that opens the flow there, which any host routes by then.
func TestFlowIsOpenedWithTokenOfItsUpstream(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	provisional := c.retransmitSYN(1).Token
	own := f.upstream(c)
	require.NotEqual(t, own.token, provisional)
	require.Equal(t, own.token, c.completeHandshake().Token)
	c.token = provisional
	e := c.request()
	require.Equal(t, own.Addr, e.To)
	require.Equal(t, own.token, e.Token, "the acknowledgement that was lost behind this host is repeated by the request")
}

func TestOpenFlowIgnoresProvisionalTokenOfAnotherUpstream(t *testing.T) {
	for name, tt := range map[string]struct {
		jump uint32
		want Action
	}{
		"packet continues the flow":    {0, Forward},
		"sequence numbers are unknown": {1 << 30, Drop},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c := f.openFlow(orderPort)
			own := f.upstream(c)
			c.token = f.core.byKey["u6"].token.provisional()
			c.seq += tt.jump
			e := c.request()
			require.Equal(t, tt.want, e.Action)
			if tt.want == Forward {
				require.Equal(t, own.Addr, e.To)
			}
		})
	}
}

// The first upstream answers late, after the copy of the SYN went to another one.
func TestHandshakeIsCompletedWithUpstreamOfFirstSYN(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	first := c.sendSYN()
	f.advance(200 * time.Millisecond)
	require.Equal(t, ReasonMoved, c.retransmitSYN(1).Reason)
	require.NotEqual(t, first.To, c.last.To)
	c.token = first.Token
	require.Equal(t, first.To, c.completeHandshake().To)
	require.Equal(t, first.To, c.request().To)
}

// Guards against a host that forwards a copy of the SYN of a flow that is opened through another one, and that
// the flow comes back to later.
func TestProvisionalTokenIsNotRoutedAfterAttempt(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	c.retransmitSYN(1)
	f.advance(attemptTime + time.Millisecond)
	require.Equal(t, ReasonProvisionalToken, c.completeHandshake().Reason)
}

// Guards against packets with the token of one upstream that count as ones with the provisional token of another.
func TestUpstreamWhoseTokenIsProvisionalTokenOfAnotherGetsNoNewFlows(t *testing.T) {
	f := newFixture(t)
	u := f.core.byKey["u1"]
	d := testUpstream(9, "orders", "a")
	twin := &upstream{Upstream: d, token: u.token.provisional(), zone: f.core.zoneOf("a"), service: f.core.serviceOf("orders")}
	f.core.byKey[d.Key] = twin
	f.core.indexUpstream(twin)
	require.False(t, u.usable())
	require.False(t, twin.usable())
	f.core.markGone(f.now, twin, "test", Evidence{})
	require.True(t, u.usable())
}
