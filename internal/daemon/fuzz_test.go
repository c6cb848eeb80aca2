package daemon

import (
	"net/netip"
	"testing"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/forward"
	"mimosashore.example/mimosashore/internal/hostcore"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/wire"
)

// FuzzHost passes two datagrams through the packet path to the core, as a reader
// would. The response to an unsealed datagram must not be larger than the datagram,
// so that a host cannot be used for amplification, and the core must not buffer more
// than its limit.
func FuzzHost(f *testing.F) {
	const maxBodyBytes = 1 << 16
	upstreamAddr := netip.MustParseAddrPort("127.0.11.1:7500")
	callerAddr := netip.MustParseAddrPort("127.0.0.9:5000")
	hostTable := hopTable(upstreamAddr)
	open := wire.New(wire.KindOpen, 0)
	flowid.PutUnsealed(open.Flow(), &flowid.Flow{Account: testAccount, Service: testService, Nonce: 3})
	f.Add([]byte(open), []byte(open), true)
	for kind := wire.KindOpen; kind <= wire.KindDone; kind++ {
		for _, fromCaller := range []bool{true, false} {
			p := wire.Packet(hopDatagram(f)[wire.EnvelopeSize:])
			p.SetRequest(1)
			p.SetPlacedUpstream(10)
			p.SetUpstreamIncarnation(7)
			p.SetDeadlineMillis(1000)
			request := append(wire.Packet(nil), p...)
			request.SetKind(wire.KindRequest)
			p.SetKind(kind)
			f.Add([]byte(request), []byte(p), fromCaller)
		}
	}
	f.Fuzz(func(t *testing.T, first, second []byte, fromCaller bool) {
		core := hostcore.New(hostcore.Settings{Self: ids.Instance{Host: 1, Incarnation: 1}, Name: "a-1", Zone: "a", MaxBodyBytes: maxBodyBytes})
		var out hostcore.Effects
		core.SetTable(0, hostTable, &out)
		core.HandleReport(0, testService, placement.Report{Upstream: 10, Healthy: true, Incarnation: 7}, &out)
		core.HandlePacket(0, wire.Envelope{Origin: wire.OriginFabric, Source: callerAddr}, open, &out)
		env := wire.Envelope{Origin: wire.OriginFabric, Source: upstreamAddr}
		if fromCaller {
			env.Source = callerAddr
		}
		for _, b := range [][]byte{first, second} {
			if wire.Check(b) != wire.StatusOK {
				continue
			}
			p := append(wire.Packet(nil), b...)
			if forward.Route(hostTable, env, p).Action != forward.ActionCore {
				continue
			}
			out.Reset()
			core.HandlePacket(0, env, p, &out)
			sent := 0
			for i := range out.Sends {
				sent += len(out.Sends[i].Packet)
			}
			if p.Kind() == wire.KindOpen && sent > len(b) {
				t.Fatalf("response of %d bytes to an open of %d bytes", sent, len(b))
			}
			if core.Load().BodyBytes > maxBodyBytes {
				t.Fatal("buffered request bodies exceed the limit")
			}
		}
		core.Tick(hostcore.TickInterval, &out)
	})
}
