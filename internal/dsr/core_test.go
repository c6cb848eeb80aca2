package dsr

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/store"
)

func init() {
	// The same cases on each run.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// testFormat carries the fields of Packet in a fixed layout of its own.
type testFormat struct{}

func (testFormat) Overhead() int { return 8 }

func (testFormat) Parse(b []byte, p *Packet) error {
	if len(b) != 24 {
		return errors.New("wrong length")
	}
	*p = Packet{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[0:4])), binary.BigEndian.Uint16(b[4:])),
		Service: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), binary.BigEndian.Uint16(b[6:])),
		Seq:     binary.BigEndian.Uint32(b[8:]),
		Ack:     binary.BigEndian.Uint32(b[12:]),
		Length:  int(binary.BigEndian.Uint16(b[16:])),
		Token:   Token(binary.BigEndian.Uint32(b[18:])),
		Open:    b[22]&1 != 0, Fin: b[22]&2 != 0, HasAck: b[22]&4 != 0,
	}
	if p.Open {
		p.Copy = uint32(b[23])
	}
	return nil
}

func (testFormat) SetToken([]byte, Token)                 {}
func (testFormat) PutTarget([]byte, uint64)               {}
func (testFormat) AppendReset(b []byte, _ *Packet) []byte { return b }

// The addresses of the routes of the tests.
const (
	streamPort = 8443
	orderPort  = 8080
	uploadPort = 9090
)

// fixture drives a core as callers and upstreams would.
type fixture struct {
	t    *testing.T
	core *Core
	now  time.Duration
	rev  store.Revision
	next byte
}

// caller is one flow as its caller sees it.
type caller struct {
	f     *fixture
	id    byte
	port  uint16
	seq   uint32
	ack   uint32
	token Token
	last  Effect
}

func upstreamOf(n int, service, zone string) directory.Upstream {
	return directory.Upstream{
		Key: fmt.Sprintf("u%d", n), ID: uint64(n), Incarnation: int64(1000 + n), Service: service, Zone: zone,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80), Slots: 2,
	}
}

// newFixture returns a core in zone a with two upstreams of a service in each of the zones a, b and c.
func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, core: New("a", testFormat{}), now: time.Second, rev: 10}
	ch := &directory.Change{Full: true, Asked: f.now, At: f.rev, Configuration: configuration(1)}
	for n := 1; n <= 6; n++ {
		ch.Upstreams = append(ch.Upstreams, upstreamOf(n, "orders", string("abc"[(n-1)/2])))
	}
	for i := range ch.Upstreams {
		ch.Upstreams[i].Revision = f.rev
	}
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, ch)
	require.True(t, f.core.Ready())
	return f
}

func configuration(version uint64) *directory.Configuration {
	target := []directory.Target{{Service: "orders", Weight: 1}}
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port) }
	return &directory.Configuration{Version: version, Revision: store.Revision(version), Routes: []directory.Route{
		{Name: "stream", Addr: at(streamPort), Targets: target, Idempotent: true},
		{Name: "order", Addr: at(orderPort), Targets: target},
	}}
}

// write applies registrations with a new revision.
func (f *fixture) write(us ...directory.Upstream) {
	f.rev++
	for i := range us {
		us[i].Revision = f.rev
	}
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, &directory.Change{At: f.rev, Upstreams: us})
}

// lapse removes registrations.
func (f *fixture) lapse(keys ...string) {
	f.rev++
	ch := &directory.Change{At: f.rev}
	for _, k := range keys {
		ch.Removed = append(ch.Removed, directory.Removal{Key: k, Revision: f.rev})
	}
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, ch)
}

func (f *fixture) caller(port uint16) *caller {
	f.next++
	return &caller{f: f, id: f.next, port: port, seq: 100}
}

func (c *caller) send(flags, copies byte, length int) Effect {
	var b [24]byte
	copy(b[:], []byte{100, 64, 0, c.id, 4, 1})
	binary.BigEndian.PutUint16(b[6:], c.port)
	binary.BigEndian.PutUint32(b[8:], c.seq)
	binary.BigEndian.PutUint32(b[12:], c.ack)
	binary.BigEndian.PutUint16(b[16:], uint16(length))
	binary.BigEndian.PutUint32(b[18:], uint32(c.token))
	b[22], b[23] = flags, copies
	_, c.last = c.f.core.Packet(c.f.now, b[:])
	return c.last
}

// open sends the first packet of the flow.
func (c *caller) open() Effect {
	e := c.send(1, 0, 0)
	c.token = e.Token
	return e
}

// again sends a copy of the first packet.
func (c *caller) again(n byte) Effect {
	token := c.token
	c.token = 0
	e := c.send(1, n, 0)
	c.token = token
	if e.Token != 0 {
		c.token = e.Token
	}
	return e
}

// confirm completes the handshake.
func (c *caller) confirm() Effect {
	c.seq, c.ack = 101, 500
	return c.send(4, 0, 0)
}

// request sends a request of one packet; repeat sends it again.
func (c *caller) request() Effect {
	e := c.send(4, 0, 300)
	c.seq += 300
	return e
}

func (c *caller) repeat() Effect {
	c.seq -= 300
	e := c.send(4, 0, 300)
	c.seq += 300
	return e
}

// answered acknowledges an answer.
func (c *caller) answered() Effect {
	c.ack += 2000
	return c.send(4, 0, 0)
}

func (f *fixture) wait(d time.Duration) { f.now += d }

// opened returns an open flow to the service.
func (f *fixture) opened(port uint16) *caller {
	c := f.caller(port)
	require.Equal(f.t, Forward, c.open().Action)
	f.wait(7 * time.Millisecond)
	require.Equal(f.t, Forward, c.confirm().Action)
	return c
}

func (f *fixture) upstream(c *caller) *upstream {
	u := f.core.tokens[c.token]
	require.NotNil(f.t, u)
	return u
}

func TestTokensRouteWithoutTheFlow(t *testing.T) {
	f, other := newFixture(t), newFixture(t)
	c := f.opened(streamPort)
	want := c.last.To
	c.f = other
	require.Equal(t, Forward, c.request().Action)
	require.Equal(t, want, c.last.To)
}

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

// openedBeside returns an open flow on the same upstream.
func (f *fixture) openedBeside(c *caller, port uint16) *caller {
	for {
		if n := f.opened(port); f.upstream(n) == f.upstream(c) {
			return n
		}
	}
}

// pass lets time pass with ordinary traffic: each 20 ms a flow is opened and
// closed. The silent upstream, if any, answers nothing.
func (f *fixture) pass(d time.Duration, silent *upstream) {
	for end := f.now + d; f.now < end; {
		c := f.caller(orderPort)
		if c.open(); c.last.Action == Forward && f.upstream(c) != silent {
			f.now += 7 * time.Millisecond
			c.confirm()
			c.send(4|2, 0, 0)
			f.now += 13 * time.Millisecond
			continue
		}
		f.now += 20 * time.Millisecond
	}
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

func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFixture(t)
	f.core.Apply(f.now, &directory.Change{At: 30, Configuration: configuration(30)})
	f.core.Apply(f.now, &directory.Change{Full: true, At: 20, Configuration: configuration(20)})
	require.EqualValues(t, 30, f.core.Version())
}

func TestMissingRouteIsJudgedOnlyWithAFreshConfiguration(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, Reset, f.caller(81).open().Action)
	f.wait(freshFor + time.Millisecond)
	require.Equal(t, Drop, f.caller(81).open().Action)
	f.core.StoreAnswered(f.now)
	f.core.StoreFailed(f.now, "test")
	f.wait(freshDown + time.Millisecond)
	require.Equal(t, Drop, f.caller(81).open().Action, "the store is down")
	f.core.PeerAnswered(f.now, 100*time.Millisecond)
	require.Equal(t, Reset, f.caller(81).open().Action, "another host hears from the store")
	empty := New("a", testFormat{})
	g := &fixture{t: t, core: empty, now: f.now}
	require.Equal(t, Drop, g.caller(81).open().Action, "nothing is known yet")
}

func TestLapsedRegistrationIsHeldUntilItIsBackOrGone(t *testing.T) {
	f := newFixture(t)
	c := f.opened(orderPort)
	u := f.upstream(c)
	f.lapse(u.Key)
	c.request()
	require.Equal(t, Forward, c.last.Action)
	for range 20 {
		n := f.caller(streamPort)
		n.open()
		require.NotEqual(t, u.Addr, n.last.To, "others are chosen first")
	}
	f.wait(time.Second)
	back := u.Upstream
	f.write(back)
	f.wait(removalHold)
	require.Equal(t, Forward, c.repeat().Action)
	f.lapse(u.Key)
	f.wait(removalHold + time.Millisecond)
	require.Equal(t, Reset, c.repeat().Action)
	require.Equal(t, ReasonUpstreamGone, c.last.Reason)
}

func TestUpstreamThatLeftAfterDrainingIsGoneAtOnce(t *testing.T) {
	f := newFixture(t)
	c := f.opened(orderPort)
	draining := f.upstream(c).Upstream
	draining.Draining = true
	f.write(draining)
	require.Equal(t, Forward, c.request().Action, "open flows stay")
	f.wait(2 * time.Second)
	f.lapse(draining.Key)
	require.Equal(t, Reset, c.repeat().Action)
}

func TestUpstreamWithoutRegistrationThatAnswersKeepsItsFlows(t *testing.T) {
	f := newFixture(t)
	c := f.opened(orderPort)
	u := f.upstream(c)
	f.lapse(u.Key)
	f.wait(removalHold - 100*time.Millisecond)
	c.request()
	c.answered()
	f.wait(200 * time.Millisecond)
	require.Equal(t, Forward, c.request().Action)
	require.True(t, u.gone)
}

func TestUnknownTokenIsJudgedOnlyAfterAFullRead(t *testing.T) {
	f := newFixture(t)
	c := f.caller(orderPort)
	c.token = 12345
	require.Equal(t, Drop, c.request().Action)
	require.True(t, c.last.Refresh)
	require.Equal(t, Drop, c.repeat().Action)
	require.False(t, c.last.Refresh, "one read at a time")
	f.wait(50 * time.Millisecond)
	asked := f.now
	f.wait(10 * time.Millisecond)
	ch := &directory.Change{Full: true, Asked: asked, At: 11}
	for _, u := range f.core.byKey {
		ch.Upstreams = append(ch.Upstreams, u.Upstream)
	}
	f.core.Apply(f.now, ch)
	require.Equal(t, Reset, c.repeat().Action)
	f.core.StoreFailed(f.now, "test")
	require.Equal(t, Drop, c.repeat().Action, "nothing is judged while the store is down")
	f.core.StoreAnswered(f.now)
	require.Equal(t, Drop, c.repeat().Action, "registrations may be on their way back")
	f.wait(removalHold)
	require.Equal(t, Reset, c.repeat().Action)
}

func TestUnreadableRegistrationGetsNoNewFlowsAndKeepsItsOwn(t *testing.T) {
	f := newFixture(t)
	c := f.opened(orderPort)
	u := f.upstream(c)
	f.rev++
	f.core.Apply(f.now, &directory.Change{At: f.rev, Removed: []directory.Removal{{Key: u.Key, Revision: f.rev, Malformed: true}}})
	for range 20 {
		n := f.caller(streamPort)
		n.open()
		require.NotEqual(t, u.Addr, n.last.To)
	}
	f.wait(2 * removalHold)
	require.Equal(t, Forward, c.request().Action)
}

func TestSharedTokenIsNotChosen(t *testing.T) {
	f := newFixture(t)
	twin := upstreamOf(7, "orders", "a")
	other := upstreamOf(1, "orders", "a")
	twin.ID, twin.Incarnation = other.ID, other.Incarnation
	f.write(twin)
	for range 10 {
		n := f.caller(orderPort)
		n.open()
		require.NotContains(t, []byte{1, 7}, n.last.To.Addr().As4()[3])
	}
	f.lapse(twin.Key)
	f.wait(removalHold + time.Millisecond)
	f.pass(time.Second, nil)
	require.False(t, f.core.byKey["u1"].shared)
}

func TestRestartedUpstreamIsAnotherOne(t *testing.T) {
	f := newFixture(t)
	c := f.opened(orderPort)
	next := f.upstream(c).Upstream
	next.Incarnation += 5000
	f.write(next)
	require.Equal(t, Reset, c.request().Action, "it knows nothing of the flow")
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
