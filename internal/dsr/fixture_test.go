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

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/store"
)

func init() {
	// A fixed seed makes each run use the same cases.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// testFormat encodes the fields of Packet in a fixed layout.
type testFormat struct{}

// Bits of the flags byte of testFormat.
const (
	flagSYN = 1
	flagFIN = 2
	flagACK = 4
)

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
		SYN:     b[22]&flagSYN != 0, FIN: b[22]&flagFIN != 0, HasAck: b[22]&flagACK != 0,
	}
	if p.SYN {
		p.SYNRetransmits = uint32(b[23])
	}
	return nil
}

func (testFormat) SetToken([]byte, Token) {}

func (testFormat) PutTarget([]byte, uint64) {}

func (testFormat) AppendReset(b []byte, _ *Packet) []byte { return b }

// Ports of the test routes.
const (
	streamPort = 8443
	orderPort  = 8080
	uploadPort = 9090
)

// fixture drives a core with the packets of callers and the registrations of upstreams.
type fixture struct {
	t    *testing.T
	core *Core
	now  time.Duration
	rev  store.Revision
	next byte
	// network answers the checks of the core; events holds what is due of them.
	network checkNetwork
	events  []dueEvent
}

// caller is the caller's end of one flow.
type caller struct {
	f     *fixture
	id    byte
	port  uint16
	seq   uint32
	ack   uint32
	token Token
	last  Effect
}

func testUpstream(n int, service, zone string) directory.Upstream {
	return directory.Upstream{
		Key: fmt.Sprintf("u%d", n), ID: uint64(n), Incarnation: int64(1000 + n), Service: service, Zone: zone,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80), Slots: 2,
	}
}

// newFixture returns a core in zone a that has run for longer than tokensUnknownTime, and a service with
// two upstreams in each of the zones a, b and c.
func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, core: New("a", testFormat{}, 0), now: time.Second, rev: 10}
	ch := &directory.Change{Full: true, RequestedAt: f.now, Revision: f.rev, Configuration: configuration(1)}
	for n := 1; n <= 6; n++ {
		ch.Upstreams = append(ch.Upstreams, testUpstream(n, "orders", string("abc"[(n-1)/2])))
	}
	for i := range ch.Upstreams {
		ch.Upstreams[i].Revision = f.rev
	}
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, ch)
	require.True(t, f.core.Ready())
	f.now += tokensUnknownTime
	f.core.StoreAnswered(f.now)
	return f
}

// otherHost is the control address of a followed host.
var otherHost = netip.MustParseAddrPort("10.1.0.2:8166")

// serviceAddress returns the address of a route with the port.
func serviceAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port)
}

func configuration(version uint64) *directory.Configuration {
	target := []directory.Target{{Service: "orders", Weight: 1}}
	at := serviceAddress
	return &directory.Configuration{Version: version, Revision: store.Revision(version), Routes: []directory.Route{
		{Name: "stream", Addr: at(streamPort), Targets: target, Idempotent: true},
		{Name: "order", Addr: at(orderPort), Targets: target},
	}}
}

// register writes registrations at a new revision.
func (f *fixture) register(us ...directory.Upstream) {
	f.rev++
	for i := range us {
		us[i].Revision = f.rev
	}
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, &directory.Change{Revision: f.rev, Upstreams: us})
}

// unregister removes registrations at a new revision.
func (f *fixture) unregister(keys ...string) {
	f.rev++
	ch := &directory.Change{Revision: f.rev}
	for _, k := range keys {
		ch.Removed = append(ch.Removed, directory.Removal{Key: k, Revision: f.rev})
	}
	f.core.StoreAnswered(f.now)
	f.core.Apply(f.now, ch)
}

// confirm confirms the directory up to now.
func (f *fixture) confirm() { f.core.Confirmed(f.now, f.now) }

func (f *fixture) caller(port uint16) *caller {
	f.next++
	return &caller{f: f, id: f.next, port: port, seq: 100}
}

// address returns the address of the caller.
func (c *caller) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, c.id}), 4<<8|1)
}

// send sends a packet with the flags, the number of the SYN's retransmission and length bytes of
// data.
func (c *caller) send(flags, synRetransmits byte, length int) Effect {
	var b [24]byte
	copy(b[:], []byte{100, 64, 0, c.id, 4, 1})
	binary.BigEndian.PutUint16(b[6:], c.port)
	binary.BigEndian.PutUint32(b[8:], c.seq)
	binary.BigEndian.PutUint32(b[12:], c.ack)
	binary.BigEndian.PutUint16(b[16:], uint16(length))
	binary.BigEndian.PutUint32(b[18:], uint32(c.token))
	b[22], b[23] = flags, synRetransmits
	_, c.last = c.f.core.HandlePacket(c.f.now, b[:])
	return c.last
}

// sendSYN sends the SYN of the flow.
func (c *caller) sendSYN() Effect {
	e := c.send(flagSYN, 0, 0)
	c.token = e.Token
	return e
}

// retransmitSYN sends the nth retransmission of the SYN.
func (c *caller) retransmitSYN(n byte) Effect {
	token := c.token
	c.token = 0
	e := c.send(flagSYN, n, 0)
	c.token = token
	if e.Token != 0 {
		c.token = e.Token
	}
	return e
}

func (c *caller) completeHandshake() Effect {
	c.seq, c.ack = 101, 500
	return c.send(flagACK, 0, 0)
}

// request sends a request of one packet; retransmit sends it again.
func (c *caller) request() Effect {
	e := c.send(flagACK, 0, 300)
	c.seq += 300
	return e
}

func (c *caller) retransmit() Effect {
	c.seq -= 300
	e := c.send(flagACK, 0, 300)
	c.seq += 300
	return e
}

// ackAnswer acknowledges an answer of the upstream.
func (c *caller) ackAnswer() Effect {
	c.ack += 2000
	return c.send(flagACK, 0, 0)
}

// advance advances the time and carries out the checks that are due.
func (f *fixture) advance(d time.Duration) {
	for end := f.now + d; ; {
		f.startChecks()
		due := f.takeDue(end)
		if due == nil {
			f.now = end
			return
		}
		f.now = max(f.now, due.at)
		due.run()
	}
}

// openFlow opens a flow and completes its handshake.
func (f *fixture) openFlow(port uint16) *caller {
	c := f.caller(port)
	require.Equal(f.t, Forward, c.sendSYN().Action)
	f.advance(7 * time.Millisecond)
	require.Equal(f.t, Forward, c.completeHandshake().Action)
	return c
}

func (f *fixture) upstream(c *caller) *upstream {
	u := f.core.tokens[c.token]
	require.NotNil(f.t, u)
	return u
}

// openFlowOnSameUpstream opens flows until one is on the upstream of the given flow.
func (f *fixture) openFlowOnSameUpstream(c *caller, port uint16) *caller {
	for {
		if n := f.openFlow(port); f.upstream(n) == f.upstream(c) {
			return n
		}
	}
}

// runTraffic advances the time with background traffic: every 20 ms a flow is opened and closed.
// The silent upstream, if any, does not answer.
func (f *fixture) runTraffic(d time.Duration, silent *upstream) {
	if silent != nil {
		f.network.silent = map[netip.AddrPort]bool{silent.Addr: true}
		defer func() { f.network.silent = nil }()
	}
	for end := f.now + d; f.now < end; {
		c := f.caller(orderPort)
		if c.sendSYN(); c.last.Action == Forward && f.upstream(c) != silent {
			f.advance(7 * time.Millisecond)
			c.completeHandshake()
			c.send(flagACK|flagFIN, 0, 0)
			f.advance(13 * time.Millisecond)
			continue
		}
		f.advance(20 * time.Millisecond)
	}
}
