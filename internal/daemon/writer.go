package daemon

import (
	"context"

	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/ring"
)

// coreWriter writes the datagrams sent by the core, in batches.
type coreWriter struct {
	in     *ring.Ring[outDatagram]
	writer netio.Writer
	stats  *stats
	batch  int
	queue  []*outDatagram
	out    []netio.Datagram
}

// run writes datagrams until the context is canceled or a write fails.
func (w *coreWriter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-w.in.Queued():
			w.queue = append(w.queue, o)
		}
		w.fillBatch()
		if err := w.write(); err != nil {
			return err
		}
	}
}

// fillBatch adds the datagrams that are already queued, up to a full batch.
func (w *coreWriter) fillBatch() {
	for len(w.queue) < w.batch {
		select {
		case o := <-w.in.Queued():
			w.queue = append(w.queue, o)
		default:
			return
		}
	}
}

func (w *coreWriter) write() error {
	w.out = w.out[:0]
	for _, o := range w.queue {
		w.out = append(w.out, o.datagram)
	}
	sent, err := w.writer.Write(w.out)
	w.stats.sent.AddInt64(int64(sent))
	w.stats.sendFailed.AddInt64(int64(len(w.out) - sent))
	for _, o := range w.queue {
		w.in.Release(o)
	}
	w.queue = w.queue[:0]
	return err
}
