package daemon

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/forward"
	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

// testPath returns a packet path that is driven by the test instead of a goroutine.
func testPath(t *testing.T, ringSize int) *pathReader {
	sockets, err := netio.Listen(context.Background(), netip.AddrPortFrom(loopback, 0), netio.Options{Batch: 4})
	require.NoError(t, err)
	t.Cleanup(sockets.Close)
	var tables atomic.Pointer[table.Table]
	tables.Store(hopTable(sockets.Addr()))
	path := &packetPath{table: &tables, fabricSources: map[netip.Addr]bool{loopback: true}, core: newCoreQueue(ringSize), stats: newStats()}
	reader, err := newPathReader(path, sockets, 0)
	require.NoError(t, err)
	return reader
}

// feed routes a datagram as if it had been received from sender.
func (r *pathReader) feed(datagram []byte, sender netip.AddrPort) {
	r.in[0].Data = append(r.in[0].Data[:0], datagram...)
	r.in[0].Addr = sender
	r.route(r.table.Load(), 0)
}

func TestInvalidDatagramsAreDroppedAndCounted(t *testing.T) {
	fabricAddr := netip.AddrPortFrom(loopback, 7300)
	unknownSender := netip.MustParseAddrPort("127.9.9.9:7300")
	change := func(f func(env []byte, p wire.Packet)) []byte {
		d := hopDatagram(t)
		f(d[:wire.EnvelopeSize], wire.Packet(d[wire.EnvelopeSize:]))
		return d
	}
	stale := flowid.NewKeys([]flowid.Key{{ID: 9}})
	foreign := hopFlow()
	foreign.Account = 99
	for _, test := range []struct {
		name     string
		datagram []byte
		sender   netip.AddrPort
		counter  func(c *pathCounts) uint64
	}{
		{"empty", nil, fabricAddr, func(c *pathCounts) uint64 { return c.badEnvelope }},
		{"without an envelope", hopDatagram(t)[wire.EnvelopeSize:], fabricAddr, func(c *pathCounts) uint64 { return c.badEnvelope }},
		{"from an unknown sender", hopDatagram(t), unknownSender, func(c *pathCounts) uint64 { return c.untrustedSender }},
		{"relayed by an unknown host", change(func(e []byte, _ wire.Packet) { e[1] = byte(wire.OriginRelay) }), fabricAddr, func(c *pathCounts) uint64 { return c.untrustedSender }},
		{"truncated header", hopDatagram(t)[:wire.EnvelopeSize+20], fabricAddr, func(c *pathCounts) uint64 { return c.malformed[wire.StatusShort] }},
		{"truncated payload", hopDatagram(t)[:190], fabricAddr, func(c *pathCounts) uint64 { return c.malformed[wire.StatusBadLength] }},
		{"oversized", append(hopDatagram(t), make([]byte, wire.MaxDatagram-hopPacketSize+1)...), fabricAddr, func(c *pathCounts) uint64 { return c.malformed[wire.StatusLong] }},
		{"forged", change(func(_ []byte, p wire.Packet) { p.Flow()[20] ^= 1 }), fabricAddr, func(c *pathCounts) uint64 { return c.dropped[forward.ReasonForged] }},
		{"stale key", change(func(_ []byte, p wire.Packet) { f := hopFlow(); stale.Seal(p.Flow(), &f) }), fabricAddr, func(c *pathCounts) uint64 { return c.dropped[forward.ReasonStaleKey] }},
		{"foreign account", change(func(_ []byte, p wire.Packet) { flowid.NewKeys(hopKeys()).Seal(p.Flow(), &foreign) }), fabricAddr,
			func(c *pathCounts) uint64 { return c.dropped[forward.ReasonForeignUpstream] }},
		{"answer replayed by a caller", change(func(_ []byte, p wire.Packet) { p.SetKind(wire.KindAnswer) }), fabricAddr,
			func(c *pathCounts) uint64 { return c.dropped[forward.ReasonUnknownUpstream] }},
		{"forward from outside", change(func(_ []byte, p wire.Packet) { p.SetKind(wire.KindForward) }), fabricAddr,
			func(c *pathCounts) uint64 { return c.dropped[forward.ReasonWrongDirection] }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := testPath(t, 4)
			r.feed(test.datagram, test.sender)
			require.EqualValues(t, 1, test.counter(&r.counts))
			require.Empty(t, r.out, "nothing is sent")
			require.Nil(t, r.core.take(), "nothing reaches the core")
		})
	}
}

func TestCoreQueueOverflowIsCounted(t *testing.T) {
	r := testPath(t, 1)
	d := hopDatagram(t)
	wire.Packet(d[wire.EnvelopeSize:]).SetKind(wire.KindRequest)
	for range 3 {
		r.feed(d, netip.AddrPortFrom(loopback, 7300))
	}
	require.EqualValues(t, 1, r.counts.toCore)
	require.EqualValues(t, 2, r.counts.coreOverflow)
}

func TestLastAnswerPartIsReportedToLocalCore(t *testing.T) {
	r := testPath(t, 4)
	d := hopDatagram(t)
	p := wire.Packet(d[wire.EnvelopeSize:])
	upstream, known := r.table.Load().Upstream(10)
	require.True(t, known)
	upstreamAddr := upstream.Address
	callerAddr := netip.MustParseAddrPort("127.0.0.9:5000")
	p.SetKind(wire.KindAnswer)
	p.SetFlags(wire.FlagLast)
	p.SetRequest(77)
	flowid.NewKeys(hopKeys()).SealRoute(p.Route(), p.Flow(), callerAddr)
	env := wire.Envelope{Origin: wire.OriginFabric, Source: upstreamAddr}
	env.Put(d)
	r.feed(d, netip.AddrPortFrom(loopback, 7300))
	require.Len(t, r.out, 1)
	require.Equal(t, callerAddr, r.out[0].Addr)
	require.Len(t, r.out[0].Data, hopPacketSize)
	done := r.core.take()
	require.Equal(t, wire.StatusOK, wire.Check(done.packet()))
	require.Equal(t, wire.KindDone, done.packet().Kind())
	require.EqualValues(t, 77, done.packet().Request())
	require.Equal(t, wire.Envelope{Origin: wire.OriginRelay, Relays: 1, Source: upstreamAddr}, done.env)
}
