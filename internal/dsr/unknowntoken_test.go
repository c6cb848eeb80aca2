package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// startedWithout returns a host that started while the registration of an upstream was lapsed, has
// read the directory after the first packet of a flow there, and follows another host since.
func startedWithout(t *testing.T, removed ...directory.Removal) (*fixture, directory.Upstream, *caller) {
	f := &fixture{t: t, core: New("a", testFormat{}, 0), now: 350 * time.Millisecond, rev: 5}
	u := testUpstream(1, "orders", "a")
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, &directory.Change{Full: true, RequestedAt: f.now - 10*time.Millisecond, Revision: 5, Configuration: configuration(1), Removed: removed})
	c := f.caller(orderPort)
	c.token = TokenOf(u.ID, u.Incarnation)
	e := c.request()
	require.Equal(t, Drop, e.Action)
	require.True(t, e.Resync)
	f.advance(10 * time.Millisecond)
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, &directory.Change{Full: true, RequestedAt: f.now - 5*time.Millisecond, Revision: 5, Removed: removed})
	require.Equal(t, Drop, c.retransmit().Action)
	return f, u, c
}

// The registration is back 1.9 s after the return of the store, which the followed host does not
// hear: its link to the store is silent from 1.6 s on.
func TestUnknownTokenIsNotResetByFullReadBeforeSettleTime(t *testing.T) {
	f, u, c := startedWithout(t)
	for f.now < 4400*time.Millisecond {
		f.advance(400 * time.Millisecond)
		f.core.PeerAnswered(f.now, otherHost, max(f.now-1600*time.Millisecond, 0))
		e := c.retransmit()
		require.Equal(t, Drop, e.Action, "%v at %v", e.Reason, f.now)
	}
	f.register(u)
	require.Equal(t, Forward, c.retransmit().Action)
}

// Another writer's entry under the key of a live upstream names no upstream. A host that starts
// while it stands does not know the upstream's token.
func TestUnknownTokenIsNotResetWhileARegistrationIsUnreadable(t *testing.T) {
	f, u, c := startedWithout(t, directory.Removal{Key: "u1", Revision: 5, Malformed: true})
	f.advance(settleTime)
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, &directory.Change{Full: true, RequestedAt: f.now, Revision: 5, Removed: []directory.Removal{{Key: "u1", Revision: 5, Malformed: true}}})
	e := c.retransmit()
	require.Equal(t, Drop, e.Action, "%v", e.Reason)
	f.register(u)
	require.Equal(t, Forward, c.retransmit().Action)
}

// An entry that can't be read and that nobody overwrites hides no live upstream: a live one writes
// its registration again.
func TestUnknownTokenIsResetThoughUnreadableEntryStays(t *testing.T) {
	f := newFixture(t)
	bad := directory.Removal{Key: "junk", Revision: 11, Malformed: true}
	f.rev = 11
	f.core.Apply(f.now, &directory.Change{Revision: 11, Removed: []directory.Removal{bad}})
	f.advance(time.Minute)
	c := f.caller(orderPort)
	c.token = 12345
	require.True(t, c.request().Resync)
	f.advance(10 * time.Millisecond)
	ch := &directory.Change{Full: true, RequestedAt: f.now, Revision: 11, Removed: []directory.Removal{bad}}
	for _, u := range f.core.byKey {
		ch.Upstreams = append(ch.Upstreams, u.Upstream)
	}
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, ch)
	f.advance(time.Second)
	require.Equal(t, Reset, c.retransmit().Action)
}

// A host that did not know the upstream, since its registration was missing as the host started, does
// not reset flows of it because its registration is missing for longer than settleTime.
func TestUnknownTokenOfUpstreamThatLapsedForLongIsNotReset(t *testing.T) {
	f, _, c := startedWithout(t)
	f.advance(settleTime)
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, &directory.Change{Full: true, RequestedAt: f.now - 5*time.Millisecond, Revision: 5})
	e := c.retransmit()
	require.NotEqual(t, Reset, e.Action, "%v at %v", e.Reason, f.now)
}
