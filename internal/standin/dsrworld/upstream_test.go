package dsrworld

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startUpstream(t *testing.T) *Upstream {
	u, err := NewUpstream(0xa0, "orders", "zone-a", netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	t.Cleanup(u.Close)
	return u
}

func TestUpstreamAnswersHealthChecks(t *testing.T) {
	u := startUpstream(t)
	check := func(path string) int {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
		resp, err := client.Get("http://" + u.Registration.Addr + path)
		require.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, check(healthPath))
	require.Equal(t, http.StatusNotFound, check("/other"))
	u.Drain()
	require.Equal(t, http.StatusServiceUnavailable, check(healthPath))
}

// Connections without a request are accepted as long as the upstream runs, also while it drains, and
// refused after it.
func TestUpstreamAcceptsConnectionsWhileItRuns(t *testing.T) {
	u := startUpstream(t)
	connect := func() error {
		c, err := net.DialTimeout("tcp4", u.Registration.Addr, 5*time.Second)
		if err != nil {
			return err
		}
		return c.Close()
	}
	for range 20 {
		require.NoError(t, connect())
	}
	u.Drain()
	require.NoError(t, connect())
	open, err := net.Dial("tcp4", u.Registration.Addr)
	require.NoError(t, err)
	defer open.Close()
	u.Close()
	require.ErrorIs(t, connect(), syscall.ECONNREFUSED)
	again, err := NewUpstream(0xa1, "orders", "zone-a", u.LocalAddr())
	require.NoError(t, err, "the address is free for another upstream")
	again.Close()
}

// Requests beyond the slots wait, and a request that is repeated meanwhile is neither acknowledged nor
// run again.
func TestUpstreamWithSlotsQueuesRequests(t *testing.T) {
	const work = 300 * time.Millisecond
	u := startUpstream(t)
	u.SetServiceTime(work)
	u.SetSlots(1)
	ports, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	t.Cleanup(func() { ports.Close() })
	upstream := u.LocalAddr()
	go forwardTo(ports, upstream)
	host := ports.LocalAddr().(*net.UDPAddr).AddrPort()
	var took [3]time.Duration
	var requests sync.WaitGroup
	began := time.Now()
	for n := range took {
		c, err := NewCaller(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 2)}), host.Port())
		require.NoError(t, err)
		t.Cleanup(c.Close)
		flow, err := c.Open(netip.MustParseAddrPort("198.18.0.1:80"), func() netip.AddrPort { return host })
		require.NoError(t, err)
		requests.Go(func() {
			_, err := flow.Request(fmt.Sprint("request ", n))
			took[n] = time.Since(began)
			if err != nil {
				t.Errorf("request %d: %v", n, err)
			}
		})
	}
	requests.Wait()
	slices.Sort(took[:])
	for n := range took {
		require.GreaterOrEqual(t, took[n], time.Duration(n+1)*work)
		require.Equal(t, 1, u.RunCount(fmt.Sprint("request ", n)))
	}
	u.SetSlots(0)
	u.mu.Lock()
	defer u.mu.Unlock()
	require.Zero(t, u.running)
	require.Empty(t, u.waiting)
}

// forwardTo passes datagrams on to an upstream of any id, as a host does, until the socket is closed.
func forwardTo(conn *net.UDPConn, upstream netip.AddrPort) {
	buf := make([]byte, 2048)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		// A lost packet is retransmitted.
		_, _ = conn.WriteToUDPAddrPort(append(make([]byte, targetHeaderSize), buf[:n]...), upstream)
	}
}
