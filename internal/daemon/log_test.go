package daemon

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/client"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/settings"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func TestLogContainsDecisionsButNoPayloadOrKeys(t *testing.T) {
	var out syncBuffer
	logger, err := logging.New(settings.Log{Level: "debug", Format: settings.FormatJSON}, &out)
	require.NoError(t, err)
	b := startClusterWithLogger(t, 2, 16, logger)
	s := b.open(client.Options{})
	b.requireAnswer(s, []byte("twelve covers for plot nine"))
	s.Close()
	logged := func() bool { return strings.Contains(out.String(), "owner: flow opened") }
	require.Eventually(t, logged, waitTimeout, time.Millisecond)
	text := out.String()
	require.Contains(t, text, `"considered":`)
	require.Contains(t, text, "packet: send")
	require.NotContains(t, text, "twelve covers")
	secret := b.controls[0].snap.Keys[0].Secret[:]
	require.NotContains(t, text, hex.EncodeToString(secret))
	require.NotContains(t, text, base64.StdEncoding.EncodeToString(secret))
}
