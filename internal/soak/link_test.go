package soak

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testTimeout limits a wait for data. After silenceWait without data, the link
// is taken to hold it back.
const (
	testTimeout = 5 * time.Second
	silenceWait = 50 * time.Millisecond
)

// echoServer starts a server that echoes each connection and returns its address.
func echoServer(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				// The test detects missing bytes.
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// echoes writes a byte and reports whether it is echoed within the timeout.
func echoes(t *testing.T, c net.Conn, within time.Duration) bool {
	_, err := c.Write([]byte{7})
	if err != nil {
		return false
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err = io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// TestLinkModes guards against links that inject no fault, or still do after the fault
// is over: the soak run would then test less than its schedule says.
func TestLinkModes(t *testing.T) {
	l, err := newTCPLink("127.0.0.1:0", echoServer(t))
	require.NoError(t, err)
	t.Cleanup(l.close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", l.addr())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	for _, mode := range []linkMode{linkCut, linkCutUp, linkCutDown} {
		c := dial()
		require.True(t, echoes(t, c, testTimeout), mode)
		l.setMode(mode)
		require.False(t, echoes(t, c, silenceWait), mode)
		l.setMode(linkOpen)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
		_, err := io.ReadFull(c, make([]byte, 1))
		require.NoError(t, err, "held bytes are forwarded after mode %s", mode)
	}
	old := dial()
	require.True(t, echoes(t, old, testTimeout))
	l.setMode(linkSilent)
	require.False(t, echoes(t, old, silenceWait))
	l.setMode(linkOpen)
	require.False(t, echoes(t, old, silenceWait), "a silent connection stays silent")
	require.True(t, echoes(t, dial(), testTimeout))

	old = dial()
	require.True(t, echoes(t, old, testTimeout))
	l.setMode(linkReset)
	require.False(t, echoes(t, old, testTimeout))
	require.True(t, echoes(t, dial(), testTimeout))
	l.setMode(linkRefuse)
	// The reset may arrive before connect returns, which then fails, or after it.
	if refused, err := net.Dial("tcp4", l.addr()); err != nil {
		require.ErrorIs(t, err, syscall.ECONNRESET)
	} else {
		t.Cleanup(func() { refused.Close() })
		require.False(t, echoes(t, refused, testTimeout))
	}
	l.setMode(linkSlow)
	began := time.Now()
	require.True(t, echoes(t, dial(), testTimeout))
	require.GreaterOrEqual(t, time.Since(began), 2*slowDelay)
}
