package dsrhost

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/dsr"
)

// checkedListener is a listener on a loopback address that counts connections.
type checkedListener struct {
	net.Listener
	address  netip.AddrPort
	accepted atomic.Int64
}

func listenForChecks(t *testing.T) *checkedListener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return &checkedListener{Listener: l, address: l.Addr().(*net.TCPAddr).AddrPort()}
}

func (l *checkedListener) accept() {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		l.accepted.Add(1)
		conn.Close()
	}
}

func acceptingAddress(t *testing.T) *checkedListener {
	l := listenForChecks(t)
	go l.accept()
	return l
}

func refusingAddress(t *testing.T) netip.AddrPort {
	l := listenForChecks(t)
	require.NoError(t, l.Close())
	return l.address
}

// silentAddress returns an address whose listener has a full backlog, so that the kernel drops SYNs.
func silentAddress(t *testing.T) netip.AddrPort {
	l := listenForChecks(t)
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	require.NoError(t, err)
	filler, err := net.Dial("tcp4", l.address.String())
	require.NoError(t, err)
	t.Cleanup(func() { filler.Close() })
	return l.address
}

func testCheck(target netip.AddrPort, controls ...netip.AddrPort) *dsr.Check {
	return &dsr.Check{ID: 7, Target: target, Controls: controls, Attempts: 4, Refusals: 2, Interval: 20 * time.Millisecond, Time: 300 * time.Millisecond}
}

func TestCheckOfAcceptingUpstreamIsOneConnection(t *testing.T) {
	target, control := acceptingAddress(t), acceptingAddress(t)
	began := time.Now()
	k := newChecker(func() time.Duration { return time.Since(began) + time.Hour })
	r := k.carryOut(t.Context(), testCheck(target.address, control.address))
	require.Equal(t, uint64(7), r.ID)
	require.GreaterOrEqual(t, r.StartedAt, time.Hour)
	require.Equal(t, dsr.Attempts{Accepted: 1}, r.Target)
	require.Equal(t, []dsr.Attempts{{}}, r.Controls)
	require.Zero(t, control.accepted.Load())
}

func TestCheckOfRefusingUpstreamEndsWithItsSecondRefusal(t *testing.T) {
	k := newChecker(func() time.Duration { return 0 })
	r := k.carryOut(t.Context(), testCheck(refusingAddress(t), acceptingAddress(t).address, refusingAddress(t)))
	require.Equal(t, dsr.Attempts{Refused: 2}, r.Target)
	require.Equal(t, []dsr.Attempts{{Accepted: 2}, {Refused: 2}}, r.Controls, "with the second attempt, and after the refusals")
}

func TestCheckOfSilentUpstreamUsesAllAttempts(t *testing.T) {
	k := newChecker(func() time.Duration { return 0 })
	began := time.Now()
	r := k.carryOut(t.Context(), testCheck(silentAddress(t), acceptingAddress(t).address, silentAddress(t)))
	require.Equal(t, dsr.Attempts{Unanswered: 4}, r.Target)
	require.Equal(t, []dsr.Attempts{{Accepted: 2}, {Unanswered: 2}}, r.Controls, "every second attempt has controls")
	require.GreaterOrEqual(t, time.Since(began), 300*time.Millisecond)
}

// A host whose timers are late opens no connections that would have no time to be answered.
func TestCheckOpensNoConnectionsAfterItsTime(t *testing.T) {
	k := newChecker(func() time.Duration { return 0 })
	ch := testCheck(silentAddress(t), acceptingAddress(t).address)
	ch.Attempts, ch.Time = 100, 5*ch.Interval
	began := time.Now()
	r := k.carryOut(t.Context(), ch)
	require.Less(t, time.Since(began), 20*ch.Interval)
	require.Less(t, r.Target.Unanswered, 20)
	require.Less(t, r.Controls[0].Accepted+r.Controls[0].Unanswered, 10)
}

// Attempts that the host itself ends say nothing about the upstream.
func TestAttemptsThatEndWithTheHostCountAsFailed(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, connectFailed, connectOnce(ctx, silentAddress(t)))
}

// A check that is wanted or under way when the host stops ends at once.
func TestCheckEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	k := newChecker(func() time.Duration { return 0 })
	ch := testCheck(silentAddress(t), acceptingAddress(t).address)
	ch.Attempts, ch.Time = 100, time.Minute
	k.start(ctx, *ch)
	ch.Delay = time.Hour
	k.start(ctx, *ch)
	time.Sleep(2 * ch.Interval)
	cancel()
	began := time.Now()
	k.wait()
	require.Less(t, time.Since(began), 10*time.Second)
}
