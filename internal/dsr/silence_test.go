package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdempotentRequestIsHandedBackFromSilentUpstream(t *testing.T) {
	f := newFixture(t)
	c := f.opened(streamPort)
	order := f.openedBeside(c, orderPort)
	f.pass(time.Second, nil)
	c.request()
	order.request()
	f.pass(200*time.Millisecond, f.upstream(c))
	require.Equal(t, Forward, c.repeat().Action)
	f.pass(400*time.Millisecond, f.upstream(c))
	require.Equal(t, Forward, order.repeat().Action, "an order may have run")
	require.Equal(t, Reset, c.repeat().Action)
	require.Equal(t, ReasonUpstreamSilent, c.last.Reason)
	require.Equal(t, Forward, order.repeat().Action)
}

// An upstream that dies has acknowledged what it works on, so that callers repeat
// nothing and wait until their time is over. What another flow found out helps them.
func TestRequestsThatWaitAtASilentUpstreamAreHandedBack(t *testing.T) {
	f := newFixture(t)
	c := f.opened(streamPort)
	waiting, order, idle := f.openedBeside(c, streamPort), f.openedBeside(c, orderPort), f.openedBeside(c, streamPort)
	f.pass(time.Second, nil)
	waiting.request()
	order.request()
	f.pass(50*time.Millisecond, f.upstream(c))
	c.request()
	f.pass(200*time.Millisecond, f.upstream(c))
	require.Equal(t, Forward, c.repeat().Action)
	require.Empty(t, f.core.TakeResets())
	f.pass(400*time.Millisecond, f.upstream(c))
	require.Equal(t, Reset, c.repeat().Action)
	resets := f.core.TakeResets()
	require.Len(t, resets, 1, "an order may have run, and an idle flow waits for nothing")
	require.Equal(t, waiting.address(), resets[0].Caller)
	require.Equal(t, waiting.ack, resets[0].Ack)
	require.Empty(t, f.core.TakeResets())
	require.Equal(t, Forward, order.repeat().Action)
	require.NotEqual(t, c.address(), idle.address())
}

// A request that has not waited long is not taken away.
func TestFreshRequestsStayAtASilentUpstream(t *testing.T) {
	f := newFixture(t)
	c := f.opened(streamPort)
	fresh := f.openedBeside(c, streamPort)
	f.pass(time.Second, nil)
	c.request()
	f.pass(200*time.Millisecond, f.upstream(c))
	require.Equal(t, Forward, c.repeat().Action)
	f.pass(200*time.Millisecond, f.upstream(c))
	fresh.request()
	f.pass(200*time.Millisecond, f.upstream(c))
	require.Equal(t, Reset, c.repeat().Action)
	require.Empty(t, f.core.TakeResets())
}

// On a saturated link nothing comes back from any upstream; that says nothing
// of the upstreams, and a reset would end flows that they still serve.
func TestNoResetWhileTheHostItselfIsCutOff(t *testing.T) {
	f := newFixture(t)
	c := f.opened(streamPort)
	f.pass(time.Second, nil)
	c.request()
	for _, pause := range []time.Duration{200, 400, 800} {
		for range 8 {
			f.caller(orderPort).open()
		}
		f.wait(pause * time.Millisecond)
		require.Equal(t, Forward, c.repeat().Action, "%v after the last packet", pause*time.Millisecond)
	}
}

// A full link delays the packets of callers as well: none comes for a while, and
// then the repeats of a request at once, with those that show that all is well again.
func TestNoResetRightAfterAPause(t *testing.T) {
	f := newFixture(t)
	c := f.opened(streamPort)
	f.pass(time.Second, nil)
	c.request()
	f.wait(700 * time.Millisecond)
	c.repeat()
	f.pass(100*time.Millisecond, nil)
	require.Equal(t, Forward, c.repeat().Action)
	require.True(t, f.core.strain.high(f.now))
}

// Packets that the host lost on its own link don't count against the upstream later.
func TestRepeatsDuringStrainDoNotCount(t *testing.T) {
	f := newFixture(t)
	c := f.opened(streamPort)
	f.pass(time.Second, nil)
	u := f.upstream(c)
	c.request()
	f.wait(300 * time.Millisecond)
	c.repeat()
	f.wait(400 * time.Millisecond)
	c.repeat()
	f.pass(1500*time.Millisecond, u)
	require.False(t, f.core.strain.high(f.now))
	require.Equal(t, Forward, c.repeat().Action, "the first repeat that left the host for certain")
}

// Handshakes that take longer than usual show that packets wait on the host's link.
func TestNoResetWhileHandshakesAreSlow(t *testing.T) {
	f := newFixture(t)
	c := f.opened(streamPort)
	f.pass(time.Second, nil)
	u := f.upstream(c)
	c.request()
	for _, pause := range []time.Duration{200, 400, 400} {
		for end := f.now + pause*time.Millisecond; f.now < end; {
			n := f.caller(orderPort)
			n.open()
			f.wait(45 * time.Millisecond)
			if n.last.Action == Forward && f.upstream(n) != u {
				n.confirm()
				n.send(4|2, 0, 0)
			}
		}
		require.Equal(t, Forward, c.repeat().Action)
	}
}

// Upstreams answer callers directly. In a cut between this host and an
// availability zone, an old answer that a caller acknowledges late shows that the
// upstream lives, not that packets of this host reach it.
func TestLateAnswersDoNotClearDoubt(t *testing.T) {
	f := newFixture(t)
	c := f.opened(streamPort)
	u := f.upstream(c)
	c.request()
	f.wait(100 * time.Millisecond)
	var failing *caller
	for failing == nil {
		n := f.caller(orderPort)
		if n.open(); n.last.Action == Forward && f.upstream(n) == u {
			failing = n
		}
	}
	f.wait(handshakeMin + time.Millisecond)
	f.caller(orderPort).open()
	require.True(t, u.doubtful(f.now))
	c.answered()
	require.True(t, u.doubtful(f.now), "the request went before the handshake that failed")
	failing.confirm()
	require.False(t, u.doubtful(f.now))
}

// Once an upstream is known to be silent, other callers needn't find out for themselves.
func TestSilentUpstreamIsLeftAtOnceByOtherFlows(t *testing.T) {
	f := newFixture(t)
	first := f.opened(streamPort)
	second := f.openedBeside(first, streamPort)
	u := f.upstream(first)
	f.fallSilent(first)
	require.Equal(t, Reset, second.request().Action)
	require.True(t, u.doubtful(f.now), "new flows go elsewhere")
	require.GreaterOrEqual(t, u.doubt.step, doubtMin)
}

// fallSilent lets the flow's upstream go silent until the flow is reset.
func (f *fixture) fallSilent(c *caller) {
	u := f.upstream(c)
	f.pass(time.Second, nil)
	c.request()
	f.pass(200*time.Millisecond, u)
	c.repeat()
	f.pass(400*time.Millisecond, u)
	require.Equal(f.t, Reset, c.repeat().Action)
}

func TestAnswerEndsSilence(t *testing.T) {
	f := newFixture(t)
	first := f.opened(streamPort)
	second := f.openedBeside(first, streamPort)
	order := f.openedBeside(first, orderPort)
	f.fallSilent(first)
	order.request()
	f.wait(40 * time.Millisecond)
	order.answered()
	require.Equal(t, Forward, second.request().Action)
}

// A cut may have healed meanwhile; the next request finds out.
func TestSilenceIsNotRememberedForLong(t *testing.T) {
	f := newFixture(t)
	first := f.opened(streamPort)
	second := f.openedBeside(first, streamPort)
	u := f.upstream(first)
	f.fallSilent(first)
	f.pass(silentKeep-100*time.Millisecond, u)
	require.Equal(t, Reset, second.request().Action)
	third := f.caller(streamPort)
	third.token = second.token
	f.pass(200*time.Millisecond, u)
	require.Equal(t, Forward, third.request().Action)
}
