package main

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// afterCopy is a time after which callers have retransmitted a SYN once.
const afterCopy = 250 * time.Millisecond

// secondAnswer is a case in which two upstreams answer the SYN of a flow: the first one its SYN, and
// another one the copy.
type secondAnswer struct {
	// first and copied are the times in which they answer.
	first, copied time.Duration
	// copyHost is the host that the copy and the rest of the handshake come through.
	copyHost int
}

// Guards against a reset of an open flow by an upstream that answered a copy of its SYN after the flow was
// opened at another one.
func TestOpenFlowSurvivesLateAnswerToCopyOfItsSYN(t *testing.T) {
	for name, answers := range map[string]secondAnswer{
		"copy came through the same host": {first: afterCopy, copied: afterCopy},
		"copy came through another host":  {first: afterCopy, copied: afterCopy, copyHost: 1},
	} {
		t.Run(name, func(t *testing.T) { answers.requireFlowSurvives(t) })
	}
}

// Guards against a reset of an open flow by an upstream that answered its first SYN after the flow was
// opened at the one that the copy went to.
func TestOpenFlowSurvivesLateAnswerToItsFirstSYN(t *testing.T) {
	for name, answers := range map[string]secondAnswer{
		"copy came through the same host": {first: 2 * afterCopy},
		"copy came through another host":  {first: 2 * afterCopy, copyHost: 1},
	} {
		t.Run(name, func(t *testing.T) { answers.requireFlowSurvives(t) })
	}
}

// requireFlowSurvives opens a flow whose caller has the token of the last answer. Its next packets come
// through a host that joins the rotation for a moment and does not know the flow.
func (a secondAnswer) requireFlowSurvives(t *testing.T) {
	const joined = 500 * time.Millisecond
	f := newFleet(t, 3)
	for _, u := range f.upstreams {
		u.SetHandshakeTimes(a.first, a.copied)
	}
	flow, host := openWithSecondAnswer(t, f, a.copyHost)
	before := host.Swap(f.hosts[2])
	time.AfterFunc(joined, func() { host.Store(before) })
	name, err := flow.Request("while a host joins and leaves")
	require.NoError(t, err)
	require.Equal(t, flow.Trace().Upstream, uint32(f.upstreams[name].ID))
	for _, u := range f.upstreams {
		for _, s := range u.Strays() {
			require.NotEqual(t, flow.Trace().Local, s.Caller, "a packet of the flow at another upstream")
		}
	}
}

// openWithSecondAnswer opens a flow of which two upstreams answer the SYN, and waits for both answers. The
// first SYN comes through the first host, the rest through the given one. It returns the host that the
// next packets come through.
func openWithSecondAnswer(t *testing.T, f *fleet, copyHost int) (*dsrworld.Flow, *atomic.Pointer[hostProcess]) {
	for range 20 {
		host := new(atomic.Pointer[hostProcess])
		host.Store(f.hosts[copyHost])
		c := f.caller()
		c.TakeLastEcho()
		first := true
		flow, err := c.Open(orders, func() netip.AddrPort {
			if first {
				first = false
				return f.hosts[0].data
			}
			return host.Load().data
		})
		require.NoError(t, err)
		require.NoError(t, flow.Wait(600*time.Millisecond))
		if flow.Trace().OtherSYNACKs > 0 {
			return flow, host
		}
		flow.Close()
	}
	t.Fatal("no flow with two answers")
	return nil, nil
}
