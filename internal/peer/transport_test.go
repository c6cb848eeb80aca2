package peer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/spread"
)

const waitTimeout = 30 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// startTransport runs a transport and returns it with a function that stops it.
func startTransport(t *testing.T, self ids.HostID) (*Transport, func()) {
	tr, err := Listen(self, loopback, zap.NewNop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tr.Run(ctx) }()
	return tr, func() {
		cancel()
		require.NoError(t, <-done)
	}
}

func nextEvent(t *testing.T, tr *Transport, kind EventKind) Event {
	t.Helper()
	select {
	case e := <-tr.Events():
		require.Equal(t, kind, e.Kind)
		return e
	case <-time.After(waitTimeout):
		require.FailNow(t, "no event received")
		return Event{}
	}
}

func TestLinkCarriesMessagesUntilClosed(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, stopA := startTransport(t, 1)
	b, stopB := startTransport(t, 2)
	a.SetTargets([]Target{{Host: 2, Control: b.Addr()}})
	require.EqualValues(t, 2, nextEvent(t, a, EventLinkUp).Host)
	require.EqualValues(t, 1, nextEvent(t, b, EventLinkUp).Host)

	a.Send(spread.Send{To: 2, Message: &spread.Message{Kind: spread.KindHello, Digest: 5}})
	require.EqualValues(t, 5, nextEvent(t, b, EventMessage).Message.Digest)
	b.Send(spread.Send{To: 1, Message: &spread.Message{Kind: spread.KindHello, Digest: 6}})
	require.EqualValues(t, 6, nextEvent(t, a, EventMessage).Message.Digest)

	stopB()
	require.EqualValues(t, 2, nextEvent(t, a, EventLinkDown).Host)
	a.Send(spread.Send{To: 2, Message: &spread.Message{Kind: spread.KindHello}})
	require.EqualValues(t, 1, a.Stats.MessagesDropped.Load())
	stopA()
}

func TestMutualDialKeepsOneLink(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, stopA := startTransport(t, 1)
	b, stopB := startTransport(t, 2)
	a.SetTargets([]Target{{Host: 2, Control: b.Addr()}})
	nextEvent(t, a, EventLinkUp)
	nextEvent(t, b, EventLinkUp)
	b.SetTargets([]Target{{Host: 1, Control: a.Addr()}})
	require.Eventually(t, func() bool { return b.Stats.DialsSkipped.Load() > 0 }, waitTimeout, time.Millisecond)
	require.Empty(t, a.Events(), "no second link may be opened")
	stopA()
	stopB()
}

func TestDuplicateLinkTieBreak(t *testing.T) {
	bySmaller, byLarger := &conn{dialer: 1}, &conn{dialer: 2}
	require.True(t, byLarger.replacedBy(bySmaller))
	require.False(t, bySmaller.replacedBy(byLarger))
	require.True(t, bySmaller.replacedBy(&conn{dialer: 1}), "a second dial by the same host means that it lost the older link")
}

func TestDialRejectsUnexpectedHostID(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, stopA := startTransport(t, 1)
	b, stopB := startTransport(t, 2)
	a.SetTargets([]Target{{Host: 3, Control: b.Addr()}})
	require.Eventually(t, func() bool { return a.Stats.Redials.Load() > 0 }, waitTimeout, time.Millisecond)
	a.Send(spread.Send{To: 3, Message: &spread.Message{Kind: spread.KindHello}})
	require.EqualValues(t, 1, a.Stats.MessagesDropped.Load())
	stopA()
	stopB()
}

func TestDatagrams(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, stopA := startTransport(t, 1)
	b, stopB := startTransport(t, 2)
	from := member.Update{Name: "a", Zone: "z", Incarnation: 1, Data: a.Addr(), Control: a.Addr()}
	a.SendDatagram(member.Send{To: b.Addr(), Message: &member.Message{Kind: member.KindPing, Sequence: 9, From: from}})
	e := nextEvent(t, b, EventDatagram)
	require.Equal(t, a.Addr(), e.From)
	require.EqualValues(t, 9, e.Datagram.Sequence)

	_, err := a.udp.WriteToUDPAddrPort([]byte("not a message"), b.Addr())
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.Stats.BadDatagrams.Load() == 1 }, waitTimeout, time.Millisecond)
	stopA()
	stopB()
}
