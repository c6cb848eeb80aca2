package dsr

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mimosashore.example/mimosashore/internal/directory"
)

func TestTokensRouteWithoutTheFlow(t *testing.T) {
	f, other := newFixture(t), newFixture(t)
	c := f.opened(streamPort)
	want := c.last.To
	c.f = other
	require.Equal(t, Forward, c.request().Action)
	require.Equal(t, want, c.last.To)
}

func TestCopyFollowsTheFirstPacketUnlessItsUpstreamIsInDoubt(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	c.open()
	to := c.last.To
	f.wait(30 * time.Millisecond)
	require.Equal(t, to, c.again(1).To)
	f.wait(170 * time.Millisecond)
	c.again(1)
	require.Equal(t, ReasonMoved, c.last.Reason)
	require.NotEqual(t, to, c.last.To)
}

// Flows that stay in their zone outlive a cut between zones. Other zones take
// flows when the upstreams of the own zone have no room.
func TestOwnZoneIsFilledFirst(t *testing.T) {
	f := newFixture(t)
	var zones []string
	for range 6 {
		c := f.opened(streamPort)
		c.request()
		zones = append(zones, f.upstream(c).Zone)
	}
	require.Equal(t, []string{"a", "a", "a", "a"}, zones[:4], "two upstreams with windows of two")
	require.NotContains(t, zones[4:], "a")
}

func TestCopyLeavesAnUpstreamThatIsGone(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	c.open()
	u := f.upstream(c)
	draining := u.Upstream
	draining.Draining = true
	f.write(draining)
	f.lapse(u.Key)
	f.wait(20 * time.Millisecond)
	c.again(1)
	require.Equal(t, ReasonMoved, c.last.Reason)
	require.NotEqual(t, u.Addr, c.last.To)
}

// Random packets and changes never make the counts of open work wrong.
func TestPropertyCountsMatchTheFlows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t)
		var callers []*caller
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			f.wait(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			if len(callers) == 0 || rapid.IntRange(0, 3).Draw(rt, "new") == 0 {
				callers = append(callers, f.caller(streamPort))
			}
			c := callers[rapid.IntRange(0, len(callers)-1).Draw(rt, "caller")]
			switch rapid.IntRange(0, 7).Draw(rt, "what") {
			case 0:
				c.open()
			case 1:
				c.again(1)
			case 2:
				c.confirm()
			case 3:
				c.request()
			case 4:
				c.repeat()
			case 5:
				c.answered()
			case 6:
				c.send(4|2, 0, 0)
			case 7:
				u := upstreamOf(rapid.IntRange(1, 6).Draw(rt, "upstream"), "orders", "a")
				switch rapid.IntRange(0, 3).Draw(rt, "change") {
				case 0:
					f.lapse(u.Key)
				case 1:
					u.Incarnation += int64(rapid.IntRange(0, 1).Draw(rt, "restart"))
					f.write(u)
				case 2:
					// An upstream with the token of another one.
					twin := upstreamOf(1, "orders", "b")
					u.ID, u.Incarnation = twin.ID, twin.Incarnation
					f.write(u)
				case 3:
					u.Draining = true
					f.write(u)
					f.lapse(u.Key)
				}
			}
			f.checkCounts(rt)
			f.checkIndex(rt)
		}
	})
}

// checkIndex compares services and tokens with the live upstreams.
func (f *fixture) checkIndex(t *rapid.T) {
	owners := make(map[Token]*upstream)
	count := make(map[Token]int)
	for _, u := range f.core.byKey {
		require.False(t, u.gone)
		require.Contains(t, f.core.services[u.Service].upstreams, u)
		count[u.token]++
		if o := owners[u.token]; o == nil || u.before(o) {
			owners[u.token] = u
		}
	}
	total := 0
	for _, s := range f.core.services {
		total += len(s.upstreams)
	}
	require.Equal(t, len(f.core.byKey), total)
	for _, u := range f.core.byKey {
		require.Equal(t, count[u.token] > 1, u.shared, u.Key)
		require.Same(t, owners[u.token], f.core.tokens[u.token])
	}
}

func (f *fixture) checkCounts(t *rapid.T) {
	type counts struct{ opening, busy, flows int }
	want := make(map[*upstream]counts)
	for _, fl := range f.core.cache.flows {
		n := want[fl.upstream]
		switch fl.phase {
		case phaseOpening:
			n.opening++
		case phaseBusy:
			n.busy++
			n.flows++
		case phaseIdle:
			n.flows++
		}
		want[fl.upstream] = n
	}
	for _, u := range f.core.tokens {
		require.Equal(t, want[u], counts{u.opening, u.busy, u.flows}, u.Key)
	}
	require.Equal(t, len(f.core.cache.flows), f.core.cache.used.Len())
}

// Hosts that start together know of no load. An upstream with two slots and a
// queue of eight sheds what more than ten of them send there at once.
func TestHostsThatStartTogetherChooseApart(t *testing.T) {
	const hosts, upstreams, most = 100, 60, 10
	chosen := make(map[uint64]int)
	for seed := range uint64(hosts) {
		core := New("a", testFormat{}, xxhash.Sum64(binary.BigEndian.AppendUint64(nil, seed)))
		ch := &directory.Change{Full: true, RequestedAt: time.Second, Revision: 10, Configuration: configuration(1)}
		for n := 1; n <= upstreams; n++ {
			ch.Upstreams = append(ch.Upstreams, upstreamOf(n, "orders", "a"))
		}
		f := &fixture{t: t, core: core, now: time.Second, rev: 10}
		core.StoreAnswered(f.now)
		core.Apply(f.now, ch)
		chosen[f.upstream(f.opened(orderPort)).ID]++
	}
	for id, n := range chosen {
		require.LessOrEqual(t, n, most, "upstream %d", id)
	}
}
