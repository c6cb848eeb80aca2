package dsrworld

import (
	"net"
	"net/http"
	"net/netip"
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
