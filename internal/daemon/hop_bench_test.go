package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

const (
	// hopPacketSize is the size of the forwarded datagrams, in bytes.
	hopPacketSize = 200
	// hopWindow is the number of datagrams in flight. They fit into the default
	// receive buffer of a socket, so that none is lost.
	hopWindow = 128
	// hopLossTimeout is the time after which datagrams in flight count as lost.
	hopLossTimeout = time.Second
)

// hopFunc forwards datagrams from one socket to the address of the sink until the
// socket is closed.
type hopFunc func(b *testing.B, in *netio.Sockets, sink netip.AddrPort)

// BenchmarkHop measures one hop, the forwarding of datagrams by one host. It compares
// the packet path with a plain relay, with single and with batched system calls.
func BenchmarkHop(b *testing.B) {
	for _, batch := range []int{1, 32} {
		b.Run(fmt.Sprintf("relay/batch=%d", batch), func(b *testing.B) {
			runHop(b, batch, make([]byte, hopPacketSize), bareRelay)
		})
		b.Run(fmt.Sprintf("host/batch=%d", batch), func(b *testing.B) {
			runHop(b, batch, hopDatagram(b), hostHop)
		})
	}
}

func hopKeys() []flowid.Key { return []flowid.Key{{ID: 1, Secret: [flowid.KeySize]byte{1}}} }

func hopFlow() flowid.Flow {
	return flowid.Flow{Account: testAccount, Service: testService, Upstream: 10, Owner: ids.Instance{Host: 1, Incarnation: 1}, Nonce: 3}
}

// hopDatagram returns a stream message with the fabric's envelope.
func hopDatagram(b testing.TB) []byte {
	p := wire.New(wire.KindStream, hopPacketSize-wire.HeaderSize)
	p.SetTotal(hopPacketSize - wire.HeaderSize)
	flow := hopFlow()
	require.True(b, flowid.NewKeys(hopKeys()).Seal(p.Flow(), &flow))
	datagram := make([]byte, wire.EnvelopeSize+len(p))
	env := wire.Envelope{Origin: wire.OriginFabric, Source: netip.MustParseAddrPort("127.0.0.9:5000")}
	env.Put(datagram)
	copy(datagram[wire.EnvelopeSize:], p)
	return datagram
}

func hopTable(sink netip.AddrPort) *table.Table {
	upstream := config.Upstream{ID: 10, Zone: "a", Slots: 2, Connections: 100, Address: sink}
	service := config.Service{ID: testService, MaxBody: 1 << 16, QueueLimit: 16, Upstreams: []config.Upstream{upstream}}
	snap := &config.Snapshot{Keys: hopKeys(), Accounts: []config.Account{{ID: testAccount, Services: []config.Service{service}}}}
	self := ids.Instance{Host: 1, Incarnation: 1}
	return table.Build(self, snap, &member.View{Members: []member.Member{{Instance: self, Zone: "a"}}})
}

// bareRelay forwards datagrams to the sink without inspecting them.
func bareRelay(b *testing.B, in *netio.Sockets, sink netip.AddrPort) {
	reader, err := in.Reader(0)
	require.NoError(b, err)
	writer, err := in.Writer(0)
	require.NoError(b, err)
	datagrams := netio.NewDatagrams(in.Batch(), bufferSize)
	for {
		n, err := reader.Read(datagrams)
		if err != nil {
			return
		}
		for i := range n {
			datagrams[i].Addr = sink
		}
		if _, err := writer.Write(datagrams[:n]); err != nil {
			return
		}
	}
}

// hostHop runs the packet path of a host.
func hostHop(b *testing.B, in *netio.Sockets, sink netip.AddrPort) {
	var tables atomic.Pointer[table.Table]
	tables.Store(hopTable(sink))
	path := &packetPath{
		table:         &tables,
		fabricSources: map[netip.Addr]bool{loopback: true},
		core:          newCoreQueue(1),
		stats:         newStats(),
	}
	reader, err := newPathReader(path, in, 0)
	require.NoError(b, err)
	if err := reader.run(); !errors.Is(err, net.ErrClosed) {
		b.Error(err)
	}
}

func hopSockets(b *testing.B, batch int) *netio.Sockets {
	s, err := netio.Listen(context.Background(), netip.AddrPortFrom(loopback, 0), netio.Options{Batch: batch})
	require.NoError(b, err)
	return s
}

// runHop sends b.N datagrams through the hop, at most hopWindow at a time.
func runHop(b *testing.B, batch int, datagram []byte, run hopFunc) {
	const endpointBatch = 32
	source, middle, sink := hopSockets(b, endpointBatch), hopSockets(b, batch), hopSockets(b, endpointBatch)
	defer source.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run(b, middle, sink.Addr())
	}()
	arrived := make(chan int, hopWindow)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		countReceived(sink, arrived)
	}()
	writer, err := source.Writer(0)
	require.NoError(b, err)
	out := make([]netio.Datagram, endpointBatch)
	for i := range out {
		out[i] = netio.Datagram{Data: datagram, Addr: middle.Addr()}
	}
	b.SetBytes(hopPacketSize)
	b.ReportAllocs()
	b.ResetTimer()
	lost := sendAll(b, writer, out, arrived)
	b.StopTimer()
	b.ReportMetric(float64(b.N-lost)/b.Elapsed().Seconds(), "packets/s")
	b.ReportMetric(float64(lost), "lost")
	middle.Close()
	sink.Close()
	<-ended
	<-drained
}

// sendAll sends b.N datagrams and returns the number of lost ones.
func sendAll(b *testing.B, writer netio.Writer, out []netio.Datagram, arrived <-chan int) int {
	timer := time.NewTimer(hopLossTimeout)
	defer timer.Stop()
	sent, received, lost := 0, 0, 0
	for received+lost < b.N {
		for sent < b.N && sent-received-lost+len(out) <= hopWindow {
			n, err := writer.Write(out[:min(len(out), b.N-sent)])
			require.NoError(b, err)
			sent += n
		}
		timer.Reset(hopLossTimeout)
		select {
		case n := <-arrived:
			received += n
		case <-timer.C:
			lost = sent - received
		}
	}
	return lost
}

// countReceived sends the number of datagrams of each read to arrived, until the sink
// is closed.
func countReceived(sink *netio.Sockets, arrived chan<- int) {
	reader, err := sink.Reader(0)
	if err != nil {
		return
	}
	into := netio.NewDatagrams(sink.Batch(), bufferSize)
	for {
		n, err := reader.Read(into)
		if err != nil {
			return
		}
		arrived <- n
	}
}

// TestHopDoesNotAllocate guards against allocations in the packet path, from reading
// a datagram to writing it. The socket of the sink also sends the datagrams to the host.
func TestHopDoesNotAllocate(t *testing.T) {
	sink, err := netio.Listen(context.Background(), netip.AddrPortFrom(loopback, 0), netio.Options{Batch: 4})
	require.NoError(t, err)
	defer sink.Close()
	host, err := netio.Listen(context.Background(), netip.AddrPortFrom(loopback, 0), netio.Options{Batch: 4})
	require.NoError(t, err)
	defer host.Close()
	var tables atomic.Pointer[table.Table]
	tables.Store(hopTable(sink.Addr()))
	path := &packetPath{table: &tables, fabricSources: map[netip.Addr]bool{loopback: true}, core: newCoreQueue(1), stats: newStats()}
	reader, err := newPathReader(path, host, 0)
	require.NoError(t, err)
	source, err := sink.Writer(0)
	require.NoError(t, err)
	out := []netio.Datagram{{Data: hopDatagram(t), Addr: host.Addr()}}
	in, err := sink.Reader(0)
	require.NoError(t, err)
	into := netio.NewDatagrams(4, bufferSize)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if _, err := source.Write(out); err != nil {
			t.Error(err)
		}
		if err := reader.step(); err != nil {
			t.Error(err)
		}
		if _, err := in.Read(into); err != nil {
			t.Error(err)
		}
	}))
}
