package logging

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/settings"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

// Nobody reads the output: writers go on, and the lines left out are counted.
func TestBoundedNeverBlocks(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := &stuck{release: make(chan struct{})}
	b := NewBounded(out)
	logger, err := New(settings.Log{Level: "info", Format: settings.FormatJSON}, b)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	const lines = 5 * queueLines
	for n := range lines {
		logger.Info("line", zap.Int("n", n))
	}
	left := b.Dropped.Load()
	require.Positive(t, left)
	close(out.release)
	cancel()
	<-done
	require.Equal(t, lines-int(left), strings.Count(out.written.String(), "\n"), "each line is written or counted")
}

func TestRoutineLinesAreLimited(t *testing.T) {
	b := NewBounded(&bytes.Buffer{})
	allowed := 0
	began := time.Now()
	for range 10 * routineBurst {
		if b.AllowRoutine() {
			allowed++
		}
	}
	limit := routineBurst + int(time.Since(began).Seconds()*routineLines) + 1
	require.GreaterOrEqual(t, allowed, routineBurst)
	require.LessOrEqual(t, allowed, limit)
	require.EqualValues(t, 10*routineBurst-allowed, b.Dropped.Load())
}

// failing is an output that fails.
type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("closed") }

func TestFailedWritesAreCounted(t *testing.T) {
	b := NewBounded(failing{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := b.Write([]byte("line\n"))
	require.NoError(t, err)
	b.Run(ctx)
	require.EqualValues(t, 1, b.Dropped.Load())
}
