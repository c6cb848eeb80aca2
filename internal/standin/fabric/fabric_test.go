package fabric

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func TestSprayerFaultProbabilities(t *testing.T) {
	hosts := []netip.AddrPort{netip.MustParseAddrPort("127.0.1.1:1"), netip.MustParseAddrPort("127.0.1.2:1")}
	faults := Faults{Loss: 0.1, Duplicate: 0.2, Reorder: 0.3, Delay: time.Millisecond, ReorderDelay: time.Second}
	a, b := NewSprayer(faults, 1), NewSprayer(faults, 1)
	a.SetHosts(hosts)
	b.SetHosts(hosts)
	const datagrams = 20_000
	lost, duplicated, reordered, toFirstHost := 0, 0, 0, 0
	for range datagrams {
		got := a.Next(nil)
		require.Equal(t, got, b.Next(nil), "same seed, different choices")
		switch len(got) {
		case 0:
			lost++
			continue
		case 2:
			duplicated++
		}
		if got[0].After > time.Second {
			reordered++
		}
		if got[0].Host == hosts[0] {
			toFirstHost++
		}
	}
	delivered := float64(datagrams - lost)
	require.InDelta(t, 0.1, float64(lost)/datagrams, 0.01)
	require.InDelta(t, 0.2, float64(duplicated)/delivered, 0.01)
	require.InDelta(t, 0.3, float64(reordered)/delivered, 0.01)
	require.InDelta(t, 0.5, float64(toFirstHost)/delivered, 0.01)
}

func TestDatagramIsEncapsulated(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	host, err := netio.Listen(ctx, anyPort, netio.Options{})
	require.NoError(t, err)
	defer host.Close()
	caller, err := netio.Listen(ctx, anyPort, netio.Options{})
	require.NoError(t, err)
	defer caller.Close()
	file := filepath.Join(t.TempDir(), "hosts")
	require.NoError(t, os.WriteFile(file, fmt.Appendln(nil, host.Addr()), 0o600))

	listed := make(chan struct{}, 1)
	fromFile := HostsFromFile(file)
	f, err := Listen(ctx, Options{Listen: []netip.AddrPort{anyPort}, Refresh: time.Hour,
		Faults: Faults{Delay: time.Millisecond},
		Hosts: func(ctx context.Context) ([]netip.AddrPort, error) {
			defer func() { listed <- struct{}{} }()
			return fromFile(ctx)
		}})
	require.NoError(t, err)
	ended := make(chan error)
	go func() { ended <- f.Run(ctx) }()
	<-listed

	reader, err := host.Reader(0)
	require.NoError(t, err)
	writer, err := caller.Writer(0)
	require.NoError(t, err)
	// The fabric stores the list only after Hosts returns, so it may drop the first datagrams.
	stop := sendUntilCancelled(ctx, writer, netio.Datagram{Data: []byte("payload"), Addr: f.Addrs()[0]})
	into := netio.NewDatagrams(1, 100)
	_, err = reader.Read(into)
	require.NoError(t, err)
	env, rest, ok := wire.ParseEnvelope(into[0].Data)
	require.True(t, ok)
	require.Equal(t, wire.Envelope{Origin: wire.OriginFabric, Source: caller.Addr()}, env)
	require.Equal(t, "payload", string(rest))
	require.Equal(t, f.Addrs()[0], into[0].Addr)
	cancel()
	require.NoError(t, <-ended)
	<-stop
}

func sendUntilCancelled(ctx context.Context, w netio.Writer, d netio.Datagram) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for ctx.Err() == nil {
			if _, err := w.Write([]netio.Datagram{d}); err != nil {
				return
			}
			<-ticker.C
		}
	}()
	return stopped
}

func TestOnlyLiveHostsAreUsed(t *testing.T) {
	hosts, err := liveAddresses([]listedHost{
		{Data: "127.0.1.1:7400", State: "live"}, {Data: "127.0.1.2:7400", State: "leaving"},
	})
	require.NoError(t, err)
	require.Equal(t, []netip.AddrPort{netip.MustParseAddrPort("127.0.1.1:7400")}, hosts)
	_, err = liveAddresses([]listedHost{{Data: "somewhere", State: "live"}})
	require.ErrorContains(t, err, "somewhere")
}
