package logging

import (
	"context"
	"io"
	"sync/atomic"

	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the capacity of the queue in front of the output, in lines.
	queueLines = 1024
	// routineLinesPerSecond and routineBurst are the rate and the burst of the
	// token bucket for routine lines, which report single forwarded packets. In
	// current deployments, a host opens about 100 flows per second.
	routineLinesPerSecond = 300
	routineBurst          = 600
	// batchBytes is the size at which a batch of queued lines is written. A
	// batch may exceed it by one line.
	batchBytes = 16 << 10
)

// Bounded is a log output that never blocks its callers. Write queues a line,
// or drops and counts it if the queue is full; Run writes the queued lines to
// the underlying writer. It is safe for concurrent use.
type Bounded struct {
	out            io.Writer
	lines          chan []byte
	routineLimiter *rate.Limiter
	// Dropped counts the lines dropped by the rate limit or a full queue, and
	// the batches that could not be written.
	Dropped atomic.Uint64
}

var _ zapcore.WriteSyncer = (*Bounded)(nil)

// NewBounded returns a bounded output in front of out.
func NewBounded(out io.Writer) *Bounded {
	return &Bounded{out: out, lines: make(chan []byte, queueLines), routineLimiter: rate.NewLimiter(routineLinesPerSecond, routineBurst)}
}

// AllowRoutine reports whether the rate limit permits a routine line now; a
// rejected line is counted as dropped. Lines about failures and changes of
// state are not rate limited.
func (b *Bounded) AllowRoutine() bool {
	if b.routineLimiter.Allow() {
		return true
	}
	b.Dropped.Add(1)
	return false
}

// Write queues a copy of line, or drops it if the queue is full. It never fails.
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

// Run writes queued lines until the context ends, then writes the rest of the
// queue. A blocked underlying writer delays only Run, not the callers of Write.
func (b *Bounded) Run(ctx context.Context) {
	var buf []byte
	for {
		select {
		case <-ctx.Done():
			for buf = b.appendQueued(buf[:0]); len(buf) > 0; buf = b.appendQueued(buf[:0]) {
				b.flush(buf)
			}
			return
		case line := <-b.lines:
			buf = b.appendQueued(append(buf[:0], line...))
			b.flush(buf)
		}
	}
}

// appendQueued appends queued lines to buf, up to batchBytes, without waiting.
func (b *Bounded) appendQueued(buf []byte) []byte {
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
		// A failure of the log itself can't be logged; the metric reports it.
		b.Dropped.Add(1)
	}
}
