package controlplane

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/accept"
	"mimosashore.example/mimosashore/internal/config"
)

// writeBackDelay bounds the random delay after which a watcher writes lost documents back. The
// first watcher of the fleet writes, and the others find the documents in the store.
const writeBackDelay = 500 * time.Millisecond

// writeBackRetry is the pause after a failed attempt, writeBackAttempts their number.
const (
	writeBackRetry    = time.Second
	writeBackAttempts = 10
)

// queueLost passes documents that the store lost to writeBackLost. If the earlier ones are
// still waiting, they are replaced: the later list is of the later restore.
func (p *Plane) queueLost(documents []*config.Document) {
	select {
	case <-p.lost:
	default:
	}
	p.lost <- documents
}

// writeBackLost writes documents that the store lost in a restore back to it, until the context
// ends. Operators confirmed them, and the next change must be based on them.
func (p *Plane) writeBackLost(ctx context.Context) {
	acceptor := &accept.Acceptor{Store: p.settings.Store, Now: time.Now, HistoryLimit: accept.DefaultHistoryLimit}
	for {
		select {
		case <-ctx.Done():
			return
		case documents := <-p.lost:
			if !pause(ctx, rand.N(writeBackDelay)) {
				return
			}
			for _, d := range documents {
				p.writeBack(ctx, acceptor, d)
			}
		}
	}
}

func (p *Plane) writeBack(ctx context.Context, acceptor *accept.Acceptor, d *config.Document) {
	for range writeBackAttempts {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		written, err := acceptor.Reinstate(callCtx, d)
		cancel()
		fields := []zap.Field{zap.String("document", d.Name), zap.Uint64("revision", d.Revision), zap.Bool("written", written), zap.Error(err)}
		if err == nil {
			p.spreadLog.Warn("document that the store lost is back", fields...)
			return
		}
		p.spreadLog.Warn("document that the store lost could not be written back", fields...)
		if !pause(ctx, writeBackRetry) {
			return
		}
	}
}

// pause waits for a duration. It reports false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
