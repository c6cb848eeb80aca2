package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// An answer of the store may be 0.9 s under way to the followed host and its message 1.2 s to this
// one, so its age is up to 2.1 s too small.
func TestLapsedUpstreamWithCallersIsNotGoneByAgeOfNews(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	u := f.upstream(c)
	f.unregister(u.Key)
	back := u.Upstream
	f.advance(lapseGrace)
	c.request()
	require.True(t, f.core.TakeConfirmRequest(), "a caller waits")
	f.advance(2100 * time.Millisecond)
	f.core.PeerAnswered(f.now, otherHost, 0)
	e := c.retransmit()
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
	f.register(back)
	f.confirm()
	require.Equal(t, Forward, c.retransmit().Action)
}

// The pages of a full read of a slow store arrive one after the other, each within the 0.9 s of a
// call. The answer is as old as the first page.
func TestLapsedUpstreamIsNotGoneByLongFullRead(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow(orderPort)
	u := f.upstream(c)
	back := u.Upstream
	f.unregister(u.Key)
	f.advance(lapseGrace - 100*time.Millisecond)
	ch := &directory.Change{Full: true, RequestedAt: f.now, Revision: f.rev}
	for _, other := range f.core.byKey {
		if other != u {
			ch.Upstreams = append(ch.Upstreams, other.Upstream)
		}
	}
	f.advance(newsDelay + 200*time.Millisecond)
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, ch)
	e := c.request()
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
	f.register(back)
	require.Equal(t, Forward, c.retransmit().Action)
}

// No flow of this host is at the upstream, so no call confirms its absence. Flows of another host
// arrive when the rotation changes.
func TestFlowOfOtherHostIsNotResetByUnconfirmedAbsence(t *testing.T) {
	f, other := newFixture(t), newFixture(t)
	c := other.openFlow(orderPort)
	u := f.upstream(c)
	back := u.Upstream
	f.unregister(u.Key)
	f.advance(lapseGrace + 2100*time.Millisecond)
	f.core.PeerAnswered(f.now, otherHost, 0)
	f.core.advance(f.now)
	f.advance(100 * time.Millisecond)
	c.f = f
	e := c.request()
	require.Equal(t, Forward, e.Action, "%v", e.Reason)
	f.register(back)
	f.confirm()
	require.Empty(t, f.core.TakeResets())
	require.Equal(t, Forward, c.retransmit().Action)
}
