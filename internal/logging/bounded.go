package logging

import (
	"context"
	"io"
	"sync/atomic"

	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that may wait for the output.
	queueLines = 1024
	// routineLines and routineBurst bound the routine lines of a second. A host
	// of today's deployments opens about 100 flows a second.
	routineLines = 300
	routineBurst = 600
	// batchBytes is the size up to which waiting lines are written with one call.
	batchBytes = 16 << 10
)

// Bounded is an output that never blocks its writers: lines that find the
// queue full are left out and counted. Run writes the lines.
type Bounded struct {
	out   io.Writer
	lines chan []byte
	limit *rate.Limiter
	// Dropped counts the lines that were not written.
	Dropped atomic.Uint64
}

var _ zapcore.WriteSyncer = (*Bounded)(nil)

// NewBounded returns an output in front of out.
func NewBounded(out io.Writer) *Bounded {
	return &Bounded{out: out, lines: make(chan []byte, queueLines), limit: rate.NewLimiter(routineLines, routineBurst)}
}

// AllowRoutine reports whether a routine line may be written now. Lines on
// failures and changes don't ask.
func (b *Bounded) AllowRoutine() bool {
	if b.limit.Allow() {
		return true
	}
	b.Dropped.Add(1)
	return false
}

// Write queues a line.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.Dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: Run writes all lines before it returns.
func (b *Bounded) Sync() error { return nil }

// Run writes lines until the context ends, and then what is queued. A write
// that blocks holds up only the output.
func (b *Bounded) Run(ctx context.Context) {
	var buf []byte
	for {
		select {
		case <-ctx.Done():
			for buf = b.collect(buf[:0]); len(buf) > 0; buf = b.collect(buf[:0]) {
				b.flush(buf)
			}
			return
		case line := <-b.lines:
			buf = b.collect(append(buf[:0], line...))
			b.flush(buf)
		}
	}
}

// collect appends the lines that wait.
func (b *Bounded) collect(buf []byte) []byte {
	for len(buf) < batchBytes {
		select {
		case line := <-b.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

func (b *Bounded) flush(buf []byte) {
	if _, err := b.out.Write(buf); err != nil {
		// There is no other place to tell; the metric shows it.
		b.Dropped.Add(1)
	}
}
