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
