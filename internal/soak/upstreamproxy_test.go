package soak

import (
	"context"
	"net"
	"net/netip"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startUpstreamProxy(t *testing.T) *upstreamProxy {
	n, err := claimNetwork(0)
	require.NoError(t, err)
	t.Cleanup(n.release)
	p, err := newUpstreamProxy(n.addr(linksOctet, 1, hostDataPort))
	require.NoError(t, err)
	t.Cleanup(p.close)
	return p
}

// connect attempts a connection for a short time and closes it.
func connect(addr string) error {
	c, err := net.DialTimeout("tcp4", addr, silenceWait)
	if err != nil {
		return err
	}
	return c.Close()
}

// requireTimeout requires an attempt that was neither accepted nor refused.
func requireTimeout(t *testing.T, err error, msgAndArgs ...any) {
	t.Helper()
	var timeout net.Error
	require.ErrorAs(t, err, &timeout, msgAndArgs...)
	require.True(t, timeout.Timeout(), err)
}

// A host that connects to an upstream must see what its datagrams see: a proxy that accepted for
// a crashed or cut-off upstream would show it as alive.
func TestUpstreamProxyConnections(t *testing.T) {
	echo := netip.MustParseAddrPort(echoServer(t))
	p := startUpstreamProxy(t)
	require.ErrorIs(t, connect(p.addr()), syscall.ECONNREFUSED, "no upstream")
	require.NoError(t, p.setTarget(echo))
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", p.addr())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	for range 5 {
		open := dial()
		require.True(t, echoes(t, open, testTimeout))
		require.NoError(t, p.setMode(linkCut))
		for range 3 {
			requireTimeout(t, connect(p.addr()))
		}
		require.False(t, echoes(t, open, silenceWait))
		require.NoError(t, p.setMode(linkOpen))
		require.True(t, echoes(t, dial(), testTimeout))
	}
	require.NoError(t, p.setMode(linkSlow))
	began := time.Now()
	require.True(t, echoes(t, dial(), testTimeout))
	require.GreaterOrEqual(t, time.Since(began), 2*slowDelay)
	require.NoError(t, p.setMode(linkOpen))

	require.NoError(t, p.setTarget(netip.AddrPort{}))
	require.ErrorIs(t, connect(p.addr()), syscall.ECONNREFUSED, "the upstream has crashed")
	require.NoError(t, p.setMode(linkCut))
	requireTimeout(t, connect(p.addr()), "the link is cut in front of the crashed upstream")
	require.NoError(t, p.setMode(linkOpen))
	require.ErrorIs(t, connect(p.addr()), syscall.ECONNREFUSED)
	require.NoError(t, p.setTarget(echo))
	require.True(t, echoes(t, dial(), testTimeout), "another upstream at the address")
}

// A process that is started when an upstream ends must not hold the address open, or the next
// upstream at the slot can't start.
func TestUpstreamProxyListensAgainWhileProcessesStart(t *testing.T) {
	p := startUpstreamProxy(t)
	echo := netip.MustParseAddrPort(echoServer(t))
	ctx, stop := context.WithCancel(t.Context())
	var starts sync.WaitGroup
	defer starts.Wait()
	defer stop()
	for range 4 {
		starts.Go(func() {
			for ctx.Err() == nil {
				// Only the time between fork and exec matters.
				_ = exec.CommandContext(ctx, "/bin/true").Run()
			}
		})
	}
	for range 500 {
		require.NoError(t, p.setTarget(echo))
		require.NoError(t, p.setTarget(netip.AddrPort{}))
		require.ErrorIs(t, connect(p.addr()), syscall.ECONNREFUSED)
	}
}

// A lossy link loses some attempts, answers others, and refuses none.
func TestUpstreamProxyLosesConnections(t *testing.T) {
	p := startUpstreamProxy(t)
	require.NoError(t, p.setTarget(netip.MustParseAddrPort(echoServer(t))))
	require.NoError(t, p.setMode(linkLossy))
	lost, answered := 0, 0
	for end := time.Now().Add(testTimeout); time.Now().Before(end) && (lost < 5 || answered < 5); {
		if err := connect(p.addr()); err != nil {
			requireTimeout(t, err)
			lost++
		} else {
			answered++
			time.Sleep(silenceWait)
		}
	}
	require.GreaterOrEqual(t, lost, 5)
	require.GreaterOrEqual(t, answered, 5)
	require.NoError(t, p.setMode(linkOpen))
	for range 20 {
		require.NoError(t, connect(p.addr()))
	}
}
