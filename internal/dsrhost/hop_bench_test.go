package dsrhost

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/store"
)

// benchFormat is a packet format with the token in the first four bytes; all other fields are fixed.
type benchFormat struct{}

func (benchFormat) Overhead() int { return 8 }

func (benchFormat) Parse(b []byte, p *dsr.Packet) error {
	*p = dsr.Packet{Caller: netip.MustParseAddrPort("127.0.0.1:9"), Service: benchService, Token: dsr.Token(binary.BigEndian.Uint32(b)), HasAck: true}
	return nil
}

func (benchFormat) SetToken(b []byte, t dsr.Token)             { binary.BigEndian.PutUint32(b, uint32(t)) }
func (benchFormat) PutTarget(b []byte, id uint64)              { binary.BigEndian.PutUint64(b, id) }
func (benchFormat) AppendReset(b []byte, _ *dsr.Packet) []byte { return b }

var benchService = netip.MustParseAddrPort("198.18.0.1:80")

// burstSize is the number of packets in flight at once.
const burstSize = 32

// measureHop sends packets of 1,200 bytes to a relay and receives them at the socket behind it.
func measureHop(b *testing.B, to netip.AddrPort, behind *net.UDPConn, token dsr.Token) {
	conn, err := net.ListenUDP("udp4", nil)
	require.NoError(b, err)
	defer conn.Close()
	out, in := make([]byte, 1200), make([]byte, 2048)
	binary.BigEndian.PutUint32(out, uint32(token))
	b.ReportAllocs()
	b.ResetTimer()
	for sent := 0; sent < b.N; sent += burstSize {
		for range burstSize {
			_, err := conn.WriteToUDPAddrPort(out, to)
			require.NoError(b, err)
		}
		require.NoError(b, behind.SetReadDeadline(time.Now().Add(time.Second)))
		for range burstSize {
			if _, _, err := behind.ReadFromUDPAddrPort(in); err != nil {
				break
			}
		}
	}
}

func listenLoopback(b *testing.B) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(b, err)
	b.Cleanup(func() { conn.Close() })
	return conn
}

func addrOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// BenchmarkBareRelay measures a relay that only reads and writes packets, as the
// baseline of BenchmarkHostHop.
func BenchmarkBareRelay(b *testing.B) {
	behind, relay := listenLoopback(b), listenLoopback(b)
	go func() {
		buf := make([]byte, 2048)
		for {
			n, _, err := relay.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			// A packet lost here shows in the measured time.
			_, _ = relay.WriteToUDPAddrPort(buf[:n], addrOf(behind))
		}
	}()
	measureHop(b, addrOf(relay), behind, 0)
}

// BenchmarkHostHop measures a host that forwards the packets of an open flow.
func BenchmarkHostHop(b *testing.B) {
	behind := listenLoopback(b)
	free := listenLoopback(b)
	data := addrOf(free)
	free.Close()
	layout := testLayout
	layout.DecodeUpstream = func(key string, _ []byte, revision store.Revision) (directory.Upstream, error) {
		return directory.Upstream{Key: key, ID: 1, Incarnation: 1, Service: "s", Zone: "z", Addr: addrOf(behind), Slots: 2, Revision: revision}, nil
	}
	layout.DecodeConfiguration = func(_ []byte, revision store.Revision) (*directory.Configuration, []error) {
		return &directory.Configuration{Version: 1, Revision: revision, Routes: []directory.Route{{Addr: benchService, Targets: []directory.Target{{Service: "s", Weight: 1}}}}}, nil
	}
	lines := logging.NewBounded(discard{})
	ctx, cancel := context.WithCancel(context.Background())
	h, err := New(ctx, Dependencies{
		Settings: &Settings{Name: "h", Zone: "z", Data: data, Ready: netip.MustParseAddrPort("127.0.0.1:0")},
		Layout:   layout, Format: benchFormat{}, Logger: zap.NewNop(), LogOutput: lines,
		Store: &scriptedStore{pages: []store.Page{{At: 5, Entries: []store.Entry{entry("up/a", "s", 4)}}}, config: entry("config", "1", 3)},
	})
	require.NoError(b, err)
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	require.Eventually(b, h.ready.ready.Load, 5*time.Second, time.Millisecond)
	measureHop(b, data, behind, dsr.TokenOf(1, 1))
	b.StopTimer()
	cancel()
	require.NoError(b, <-done)
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
