package dsr

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mimosashore.example/mimosashore/internal/directory"
)

func TestTokenRoutesWithoutCachedFlow(t *testing.T) {
	f, other := newFixture(t), newFixture(t)
	c := f.openFlow(streamPort)
	want := c.last.To
	c.f = other
	require.Equal(t, Forward, c.request().Action)
	require.Equal(t, want, c.last.To)
}

func TestSYNRetransmitStaysUnlessUpstreamIsSuspect(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	c.sendSYN()
	to := c.last.To
	f.advance(30 * time.Millisecond)
	require.Equal(t, to, c.retransmitSYN(1).To)
	f.advance(170 * time.Millisecond)
	c.retransmitSYN(1)
	require.Equal(t, ReasonMoved, c.last.Reason)
	require.NotEqual(t, to, c.last.To)
}

// Flows within a zone survive a partition between zones. Upstreams of other zones get flows only
// when those of the host's own zone are at their limits.
func TestOwnZoneIsPreferred(t *testing.T) {
	f := newFixture(t)
	var zones []string
	for range 6 {
		c := f.openFlow(streamPort)
		c.request()
		zones = append(zones, f.upstream(c).Zone)
	}
	require.Equal(t, []string{"a", "a", "a", "a"}, zones[:4], "two upstreams with two slots")
	require.NotContains(t, zones[4:], "a")
}

func TestSYNRetransmitMovesFromGoneUpstream(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	c.sendSYN()
	u := f.upstream(c)
	draining := u.Upstream
	draining.Draining = true
	f.register(draining)
	f.unregister(u.Key)
	f.advance(20 * time.Millisecond)
	c.retransmitSYN(1)
	require.Equal(t, ReasonMoved, c.last.Reason)
	require.NotEqual(t, u.Addr, c.last.To)
}

// Guards against new flows that go to a draining upstream, because their port was that of an attempt
// which its caller gave up: the SYN counted as a retransmission of the old one for a minute.
func TestSYNFromPortOfAbandonedAttemptOpensNewFlow(t *testing.T) {
	for what, next := range map[string]struct {
		completed   bool
		pause       time.Duration
		seq         uint32
		retransmits byte
	}{
		"another sequence number":               {false, 300 * time.Millisecond, 7000, 0},
		"first SYN was lost":                    {false, 300 * time.Millisecond, 7000, 1},
		"long after the attempt":                {false, attemptTime + time.Millisecond, 100, 0},
		"first SYN was lost, port of open flow": {true, 300 * time.Millisecond, 7000, 1},
	} {
		t.Run(what, func(t *testing.T) {
			f := newFixture(t)
			c := f.caller(orderPort)
			c.sendSYN()
			if next.completed {
				c.completeHandshake()
			}
			u := f.upstream(c)
			// Another flow gets an answer, so that the upstream is not suspect.
			other := f.openFlowOnSameUpstream(c, streamPort)
			other.request()
			d := u.Upstream
			d.Draining = true
			f.register(d)
			f.advance(next.pause)
			other.ackAnswer()
			c.seq = next.seq
			require.Equal(t, Forward, c.retransmitSYN(next.retransmits).Action)
			require.NotEqual(t, u.Addr, c.last.To)
			c.completeHandshake()
			require.Equal(t, f.upstream(c).Addr, c.last.To)
		})
	}
}

// Guards against a second upstream that answers the SYN of an open flow, because the SYN or a copy of it
// arrived late and the flow's upstream takes no new flows.
func TestLateSYNOfOpenFlowReachesNoOtherUpstream(t *testing.T) {
	for retransmits := range byte(3) {
		f := newFixture(t)
		c := f.openFlow(orderPort)
		own := f.upstream(c)
		d := own.Upstream
		d.Draining = true
		f.register(d)
		f.advance(500 * time.Millisecond)
		late := &caller{f: f, id: c.id, port: c.port, seq: 100}
		late.retransmitSYN(retransmits)
		require.Contains(t, []netip.AddrPort{{}, own.Addr}, late.last.To)
		c.token = f.core.byKey["u6"].token
		require.Equal(t, own.Addr, c.request().To)
	}
}

// The counters of open work match the flows after any sequence of packets and changes.
func TestPropertyCountsMatchFlows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t)
		var callers []*caller
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			f.advance(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			if len(callers) == 0 || rapid.IntRange(0, 3).Draw(rt, "new") == 0 {
				callers = append(callers, f.caller(streamPort))
			}
			c := callers[rapid.IntRange(0, len(callers)-1).Draw(rt, "caller")]
			switch rapid.IntRange(0, 7).Draw(rt, "what") {
			case 0:
				c.sendSYN()
			case 1:
				c.retransmitSYN(1)
			case 2:
				c.completeHandshake()
			case 3:
				c.request()
			case 4:
				c.retransmit()
			case 5:
				c.ackAnswer()
			case 6:
				c.send(flagACK|flagFIN, 0, 0)
			case 7:
				u := testUpstream(rapid.IntRange(1, 6).Draw(rt, "upstream"), "orders", "a")
				switch rapid.IntRange(0, 3).Draw(rt, "change") {
				case 0:
					f.unregister(u.Key)
				case 1:
					u.Incarnation += int64(rapid.IntRange(0, 1).Draw(rt, "restart"))
					f.register(u)
				case 2:
					// Another upstream has the same token.
					twin := testUpstream(1, "orders", "b")
					u.ID, u.Incarnation = twin.ID, twin.Incarnation
					f.register(u)
				case 3:
					u.Draining = true
					f.register(u)
					f.unregister(u.Key)
				}
			}
			f.checkCounts(rt)
			f.checkIndex(rt)
		}
	})
}

// checkIndex checks that services and tokens match the live upstreams.
func (f *fixture) checkIndex(t *rapid.T) {
	owners := make(map[Token]*upstream)
	count := make(map[Token]int)
	for _, u := range f.core.byKey {
		require.False(t, u.gone)
		require.Contains(t, f.core.services[u.Service].upstreams, u)
		count[u.token]++
		if o := owners[u.token]; o == nil || u.startedBefore(o) {
			owners[u.token] = u
		}
	}
	total := 0
	for _, s := range f.core.services {
		total += len(s.upstreams)
	}
	require.Equal(t, len(f.core.byKey), total)
	inZones, atAddresses := 0, 0
	for _, z := range f.core.zones {
		inZones += len(z.upstreams)
	}
	for _, same := range f.core.byAddress {
		atAddresses += len(same)
	}
	require.Equal(t, len(f.core.byKey), inZones)
	require.Equal(t, len(f.core.byKey), atAddresses)
	for _, u := range f.core.byKey {
		require.Same(t, u, u.zone.upstreams[u.zoneIndex])
		require.Contains(t, f.core.byAddress[u.Addr], u)
		require.Equal(t, count[u.token] > 1, u.tokenShared, u.Key)
		require.Same(t, owners[u.token], f.core.tokens[u.token])
	}
}

// checkCounts checks the counters of upstreams against the flows in the cache.
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
	require.Equal(t, len(f.core.cache.flows), f.core.cache.lru.Len())
}

// Hosts that start together know no load yet and could all select the same upstream. An upstream
// with two slots and a queue of eight sheds load when more than ten of them send it a request at
// once.
func TestSeedsSpreadChoicesOfHostsStartedTogether(t *testing.T) {
	const hosts, upstreams, capacity = 100, 60, 10
	chosen := make(map[uint64]int)
	for seed := range uint64(hosts) {
		core := New("a", testFormat{}, xxhash.Sum64(binary.BigEndian.AppendUint64(nil, seed)))
		ch := &directory.Change{Full: true, RequestedAt: time.Second, Revision: 10, Configuration: configuration(1)}
		for n := 1; n <= upstreams; n++ {
			ch.Upstreams = append(ch.Upstreams, testUpstream(n, "orders", "a"))
		}
		f := &fixture{t: t, core: core, now: time.Second, rev: 10}
		core.StoreAnswered(f.now)
		core.Apply(f.now, ch)
		chosen[f.upstream(f.openFlow(orderPort)).ID]++
	}
	for id, n := range chosen {
		require.LessOrEqual(t, n, capacity, "upstream %d", id)
	}
}
