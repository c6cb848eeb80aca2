package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// patience is the longest wait of a test; blink is long enough to see that nothing comes.
const (
	patience = 5 * time.Second
	blink    = 50 * time.Millisecond
)

// echoServer answers each connection with what it gets.
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
				// The test sees what is missing.
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// hears reports whether the byte comes back within the time.
func hears(t *testing.T, c net.Conn, within time.Duration) bool {
	_, err := c.Write([]byte{7})
	if err != nil {
		return false
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err = io.ReadFull(c, make([]byte, 1))
	return err == nil
}

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
		require.True(t, hears(t, c, patience), mode)
		l.set(mode)
		require.False(t, hears(t, c, blink), mode)
		l.set(linkOpen)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
		_, err := io.ReadFull(c, make([]byte, 1))
		require.NoError(t, err, "held bytes go on: %s", mode)
	}
	old := dial()
	require.True(t, hears(t, old, patience))
	l.set(linkSilent)
	require.False(t, hears(t, old, blink))
	l.set(linkOpen)
	require.False(t, hears(t, old, blink), "a silent connection stays silent")
	require.True(t, hears(t, dial(), patience))

	old = dial()
	require.True(t, hears(t, old, patience))
	l.set(linkReset)
	require.False(t, hears(t, old, patience))
	require.True(t, hears(t, dial(), patience))
	l.set(linkRefuse)
	require.False(t, hears(t, dial(), patience))
	l.set(linkSlow)
	began := time.Now()
	require.True(t, hears(t, dial(), patience))
	require.GreaterOrEqual(t, time.Since(began), 2*slowDelay)
}
