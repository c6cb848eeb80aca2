package dsrhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/store"
)

// awaitedConfirmation is a read of the store's position. The directory is complete up to
// requestedAt once the replica has reached that position.
type awaitedConfirmation struct {
	requestedAt time.Duration
	position    store.Position
}

// runConfirmations confirms the directory on request until the context ends. Watches can't do that:
// one that returns no events may have missed the last ones, and a host that reads the store for this
// one may be cut off from it.
func (f *feed) runConfirmations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.confirm:
			f.readPosition(ctx)
		}
	}
}

// requestConfirmation requests a confirmation of the directory.
func (f *feed) requestConfirmation() { signal(f.confirm) }

// readPosition reads the store's position for a confirmation, unless one is awaited already.
func (f *feed) readPosition(ctx context.Context) {
	f.mu.Lock()
	awaited := f.awaited != nil
	f.mu.Unlock()
	if awaited {
		return
	}
	requestedAt := f.elapsed()
	// No key follows the configuration's under itself as the prefix: the page has a position and no entries.
	key := f.translator.layout.ConfigurationKey
	page, err := f.store.List(ctx, key, key, 0)
	f.stats.countStoreCall(opPosition, err)
	if err != nil {
		if !f.confirmationFailed {
			f.log.Warn("directory can't be confirmed", positionFields(f.replica.Position(), zap.Error(err))...)
		}
		f.confirmationFailed = true
		f.send(ctx, feedEvent{kind: feedConfirmationFailed})
		return
	}
	if f.confirmationFailed {
		f.log.Info("directory can be confirmed again", positionFields(page.Position())...)
	}
	f.confirmationFailed = false
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awaited = &awaitedConfirmation{requestedAt: requestedAt, position: page.Position()}
	f.announceConfirmation(ctx)
}

// announceConfirmation tells the core that its directory is confirmed, once the replica has reached
// the awaited position. After a restore of the store the position says nothing about the replica.
// The caller holds the lock.
func (f *feed) announceConfirmation(ctx context.Context) {
	a := f.awaited
	if a == nil {
		return
	}
	held := f.replica.Position()
	switch {
	case a.position.Era < held.Era:
		f.awaited = nil
	case a.position.Era > held.Era:
		f.log.Warn("store was restored from a copy, by the read of its position", positionFields(held, zap.Uint64("store_era", uint64(a.position.Era)))...)
		f.awaited = nil
		f.requestResync()
	case held.Revision >= a.position.Revision:
		f.awaited = nil
		f.send(ctx, feedEvent{kind: feedConfirmed, confirmedAt: a.requestedAt})
	}
}
