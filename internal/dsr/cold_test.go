package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/loadcontrol"
)

// newColdFixture returns a fixture whose host is alone in zone a and bounds openings to five a second, and
// whose service has cold starts of 2 s. All upstreams are warm.
func newColdFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.core.SetColdBound(loadcontrol.ColdBound{Over: 1.5, Slack: 5})
	config := configuration(2)
	config.ColdStarts = map[string]directory.ColdStart{"orders": {Duration: 2 * time.Second}}
	f.rev++
	f.core.Apply(f.now, &directory.Change{Revision: f.rev, Configuration: config})
	f.core.SetZoneHosts(f.now, loadcontrol.ZoneHosts{Self: 1, Hosts: []uint64{1}})
	f.advance(3 * time.Second)
	return f
}

// openings opens flows for the given time and returns the number of opening packets to the upstream.
func (f *fixture) openings(key string, d time.Duration) (n int) {
	for end := f.now + d; f.now < end; f.advance(10 * time.Millisecond) {
		f.core.SetZoneHosts(f.now, f.core.cold.owners.Hosts())
		c := f.caller(streamPort)
		if e := c.sendSYN(); e.Action == Forward && f.upstream(c).Key == key {
			n++
			c.completeHandshake()
			c.send(flagACK|flagFIN, 0, 0)
		}
	}
	return n
}

// Guards against more than the bound to an upstream that returns, against none, and against a bound that
// holds for others or without the settings.
func TestColdUpstreamGetsFewOpenings(t *testing.T) {
	warm := func(n int) bool { return n > 12 }
	paced := func(n int) bool { return n >= 8 && n <= 10 }
	none := func(n int) bool { return n == 0 }
	start := func(zone string) func(f *fixture) {
		return func(f *fixture) { f.register(testUpstream(7, "orders", zone)) }
	}
	fullRead := func(age int64) func(f *fixture) {
		return func(f *fixture) {
			f.rev++
			ch := &directory.Change{Full: true, Revision: f.rev, Upstreams: append(allOf(f), testUpstream(7, "orders", "a"))}
			ch.Clock = ch.Upstreams[6].Incarnation + age
			f.core.Apply(f.now, ch)
		}
	}
	for _, c := range []struct {
		what string
		do   func(f *fixture)
		want func(int) bool
	}{
		{"started", start("a"), paced},
		{"started in another zone", start("b"), none},
		{"started just before a full read", fullRead(100), paced},
		{"started long before a full read", fullRead(60_000), warm},
		{"started by a clock that is ahead", fullRead(-3_000), paced},
		{"by a later write of the incarnation", func(f *fixture) {
			start("a")(f)
			f.advance(3 * time.Second)
			u := testUpstream(7, "orders", "a")
			u.SlowStart = 2 * time.Second
			f.register(u)
		}, paced},
		{"the start is over", func(f *fixture) { start("a")(f); f.advance(2 * time.Second) }, warm},
		{"the zone is in use again", func(f *fixture) {
			start("a")(f)
			f.advance(3 * time.Second)
			f.evacuate(directory.EvacuationInForce, "a")
			f.evacuate(directory.EvacuationEnded, "a")
		}, paced},
		{"another host opens its flows", func(f *fixture) {
			f.core.SetZoneHosts(f.now, loadcontrol.ZoneHosts{Self: 1, Hosts: []uint64{2}, Known: 1, Seen: 1})
			start("a")(f)
		}, none},
		{"without the settings", func(f *fixture) { f.core.cold.bound = nil; start("a")(f) }, warm},
		{"without the configuration", func(f *fixture) { f.core.services["orders"].coldStart = nil; start("a")(f) }, warm},
	} {
		f := newColdFixture(t)
		f.core.services["orders"].setWork(time.Millisecond)
		c.do(f)
		n := f.openings("u7", 1900*time.Millisecond)
		require.True(t, c.want(n), "%s: %d", c.what, n)
	}
}

// Guards against copies of a SYN that exceed the bound, and against flows that are not opened at others
// because of it; with all upstreams cold, callers wait.
func TestColdUpstreamsAtTheirBound(t *testing.T) {
	f := newColdFixture(t)
	f.core.SetZoneHosts(f.now, f.core.cold.owners.Hosts())
	f.register(testUpstream(7, "orders", "a"))
	u := f.core.byKey["u7"]
	var c *caller
	for c == nil || c.last.Action == Forward && f.upstream(c) != u {
		c = f.caller(streamPort)
		c.sendSYN()
		f.advance(time.Millisecond)
	}
	for n := 1; n < 5; n++ {
		require.Equal(t, ReasonSYNRetransmit, c.retransmitSYN(byte(n)).Reason)
	}
	require.Equal(t, Effect{Action: Drop, Reason: ReasonCold}, c.retransmitSYN(5))
	sent, passedOver := f.core.ColdOpenings()
	require.Equal(t, []uint64{5, 1}, []uint64{sent, passedOver})
	require.NotEqual(t, u.Addr, f.caller(streamPort).sendSYN().To)
	for _, s := range f.core.State(f.now).Upstreams {
		require.Equal(t, s.Key == "u7", s.ColdMs > 0 && s.ColdOwned)
	}
	f.evacuate(directory.EvacuationInForce, "b", "c")
	f.evacuate(directory.EvacuationEnded, "b", "c")
	f.core.coolZone(f.now, "a")
	require.Positive(t, f.openings("u1", 400*time.Millisecond))
	require.Equal(t, ReasonPaced, f.caller(streamPort).sendSYN().Reason)
}

// Guards against copies of a SYN that are dropped for good, since the upstream became cold and another host
// opens its flows.
func TestOverdueSYNLeavesColdUpstream(t *testing.T) {
	f := newColdFixture(t)
	c := f.caller(streamPort)
	c.sendSYN()
	u := f.upstream(c)
	f.core.SetZoneHosts(f.now, loadcontrol.ZoneHosts{Self: 1, Hosts: []uint64{2}, Known: 1, Seen: 1})
	f.core.extendCold(f.now, u, time.Minute)
	require.Equal(t, ReasonCold, c.retransmitSYN(1).Reason)
	f.advance(600 * time.Millisecond)
	f.core.State(f.now)
	f.advance(700 * time.Millisecond)
	require.False(t, u.suspect(f.now))
	require.Equal(t, ReasonMoved, c.retransmitSYN(2).Reason)
}
