package daemon

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/hostcore"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/wire"
)

// BenchmarkOwner measures the work of the owner per request: receiving the request,
// placing and forwarding it, and handling the end of its answer.
func BenchmarkOwner(b *testing.B) {
	upstreamAddr := netip.MustParseAddrPort("127.0.11.1:7500")
	core := hostcore.New(hostcore.Settings{Self: ids.Instance{Host: 1, Incarnation: 1}, Name: "a-1", Zone: "a"})
	var out hostcore.Effects
	core.SetTable(0, hopTable(upstreamAddr), &out)
	core.HandleReport(0, testService, placement.Report{Upstream: 10, Healthy: true, Incarnation: 7}, &out)
	fromCaller := wire.Envelope{Origin: wire.OriginFabric, Source: netip.MustParseAddrPort("127.0.0.9:5000")}
	fromUpstream := wire.Envelope{Origin: wire.OriginRelay, Source: upstreamAddr}

	open := wire.New(wire.KindOpen, 0)
	flowid.PutUnsealed(open.Flow(), &flowid.Flow{Account: testAccount, Service: testService, Nonce: 3})
	out.Reset()
	core.HandlePacket(0, fromCaller, open, &out)
	require.Equal(b, wire.KindOpened, out.Sends[0].Packet.Kind())

	const body = hopPacketSize - wire.HeaderSize
	request, done := wire.New(wire.KindRequest, body), wire.New(wire.KindDone, 0)
	copy(request.Flow(), out.Sends[0].Packet.Flow())
	copy(done.Flow(), request.Flow())
	request.SetTotal(body)
	request.SetDeadlineMillis(2000)
	done.SetPlacedUpstream(10)
	done.SetUpstreamIncarnation(7)

	now, id := time.Duration(0), ids.RequestID(0)
	forwarded := 0
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += time.Millisecond
		request.SetRequest(id)
		done.SetRequest(id)
		out.Reset()
		core.HandlePacket(now, fromCaller, request, &out)
		for i := range out.Sends {
			if out.Sends[i].Packet.Kind() == wire.KindForward {
				forwarded++
			}
		}
		core.HandlePacket(now, fromUpstream, done, &out)
		if id%20 == 0 {
			core.Tick(now, &out)
		}
	}
	b.ReportMetric(float64(forwarded)/float64(id), "forwarded/request")
}
