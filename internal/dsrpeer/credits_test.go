package dsrpeer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/logging"
)

// creditHosts returns the exchanges of two hosts of a zone that know each other, on loopback addresses with the
// same port.
func creditHosts(t *testing.T) (a, b *Credits, now *atomic.Int64) {
	now = new(atomic.Int64)
	clock := func() time.Duration { return time.Duration(now.Load()) }
	var port uint16
	listen := func(ip, other string) *Credits {
		control := netip.AddrPortFrom(netip.MustParseAddr(ip), 9000)
		p := &Peer{settings: Settings{Control: control, Zone: "a", Now: clock}, peers: newPeerTable(control, "a", nil)}
		p.peers.add(0, 0, netip.AddrPortFrom(netip.MustParseAddr(other), 9000), "a")
		c, err := ListenCredits(p, netip.AddrPortFrom(control.Addr(), port), logging.ForComponent(zap.NewNop(), "credits"))
		require.NoError(t, err)
		port = c.port()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- c.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			c.Close()
			require.NoError(t, <-done)
		})
		return c
	}
	return listen("127.0.1.1", "127.0.1.2"), listen("127.0.1.2", "127.0.1.1"), now
}

func receive[T any](t *testing.T, c <-chan T) T {
	select {
	case v := <-c:
		return v
	case <-time.After(5 * time.Second):
		t.Fatal("no message")
		panic("not reached")
	}
}

// Guards against requests that do not reach another host, and answers that are taken for another request.
func TestCreditsAreAskedForAndGranted(t *testing.T) {
	a, b, _ := creditHosts(t)
	a.Ask(dsr.Ask{Service: "orders", Wanted: 3, At: 0})
	r := receive(t, b.Requests)
	require.Equal(t, "orders", r.Service)
	require.Equal(t, 3, r.Wanted)
	granted := []dsr.Credit{{Token: 77, Count: 2}}
	b.Answer(r, granted)
	got := receive(t, a.Answers)
	require.Equal(t, CreditAnswer{Service: "orders", Credits: granted}, got)
	b.Answer(r, granted)
	require.Eventually(t, func() bool { return a.Stats.Rejected.Load() == 1 }, 5*time.Second, time.Millisecond, "the same answer again")
}

// An answer that comes late, or from a host that was not asked, must grant nothing.
func TestLateAndForeignAnswersAreDropped(t *testing.T) {
	a, b, now := creditHosts(t)
	a.Ask(dsr.Ask{Service: "orders", Wanted: 1})
	r := receive(t, b.Requests)
	valid, err := creditCodec.Marshal(&creditMessage{ID: r.id, Answer: true, Credits: []creditItem{{Token: 1, Count: 1}}})
	require.NoError(t, err)
	for name, from := range map[string]netip.AddrPort{
		"another port":     netip.AddrPortFrom(r.from.Addr(), r.from.Port()+1),
		"an unknown host":  netip.AddrPortFrom(netip.MustParseAddr("127.0.1.9"), r.from.Port()),
		"the host itself ": r.from,
	} {
		before := a.Stats.Rejected.Load()
		a.receive(valid, from)
		require.Equal(t, before+1, a.Stats.Rejected.Load(), name)
	}
	now.Store(int64(time.Second))
	b.Answer(r, []dsr.Credit{{Token: 1, Count: 1}})
	require.Eventually(t, func() bool { return a.Stats.Rejected.Load() == 4 }, 5*time.Second, time.Millisecond)
	require.Empty(t, a.Answers)
}

func TestMalformedCreditMessages(t *testing.T) {
	for name, m := range map[string]creditMessage{
		"nothing wanted":        {Service: "orders"},
		"too much wanted":       {Service: "orders", Wanted: 1000},
		"negative credits":      {Answer: true, Credits: []creditItem{{Token: 1, Count: -1}}},
		"too many credits":      {Answer: true, Credits: []creditItem{{Token: 1, Count: 1000}}},
		"too many upstreams":    {Answer: true, Credits: make([]creditItem, 20)},
		"name of 1,000 letters": {Wanted: 1, Service: string(make([]byte, 1000))},
	} {
		b, err := creditCodec.Marshal(&m)
		require.NoError(t, err)
		_, err = decodeCreditMessage(b)
		require.Error(t, err, name)
	}
	_, err := decodeCreditMessage([]byte{0xff, 1, 2})
	require.Error(t, err)
}

// All hosts of a zone are asked before one of another zone is: traffic between zones is expensive.
func TestOwnZoneIsAskedFirst(t *testing.T) {
	host := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 9000) }
	table := newPeerTable(host(1), "a", nil)
	for n := byte(2); n < 10; n++ {
		table.add(0, 0, host(n), map[bool]string{true: "a", false: "b"}[n < 5])
	}
	zoneOf := func(a netip.AddrPort) string { return table.hosts[a].zone }
	for range 50 {
		for _, a := range table.hostsToAsk(0, 0, false) {
			require.Equal(t, "a", zoneOf(a))
		}
		asked := table.hostsToAsk(0, foreignZoneDenials, false)
		require.Len(t, asked, hostsAsked)
		require.Equal(t, "b", zoneOf(asked[0]))
		require.Equal(t, "a", zoneOf(asked[1]))
		for _, a := range table.hostsToAsk(0, 0, true) {
			require.Equal(t, "b", zoneOf(a))
		}
	}
}
