package dsrhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// list makes a full read. Its position is that of the first page, so that the next
// watch repeats the writes made during the listing. It fails with FaultRestored if the
// store was restored meanwhile.
func (f *feed) list(ctx context.Context) error {
	u := replica.Update{Full: true}
	started := f.elapsed()
	if err := f.listPrefix(ctx, f.translator.layout.UpstreamPrefix, &u); err != nil {
		return err
	}
	if f.translator.evacuations {
		if err := f.listPrefix(ctx, f.translator.layout.EvacuationPrefix, &u); err != nil {
			return err
		}
	}
	entry, err := f.store.Get(ctx, f.translator.layout.ConfigurationKey)
	f.stats.countStoreCall(opGet, err)
	if err != nil {
		return err
	}
	if entry.Era != u.Era {
		return &store.Error{Op: opGet, Key: entry.Key, Fault: store.FaultRestored}
	}
	if entry.Modified != 0 {
		u.Events = append(u.Events, store.Event{Entry: entry})
	}
	f.applyFullRead(ctx, u, started)
	f.recordAnswer()
	return nil
}

// listPrefix adds all items with a prefix to a full read, which it begins if it has no position yet.
func (f *feed) listPrefix(ctx context.Context, prefix string, u *replica.Update) error {
	for after, more := "", true; more; {
		page, err := f.store.List(ctx, prefix, after, 0)
		f.stats.countStoreCall(opList, err)
		if err != nil {
			return err
		}
		if u.AtRevision == 0 {
			u.Era, u.AtRevision = page.Era, page.At
		}
		if page.Era != u.Era {
			return &store.Error{Op: opList, Fault: store.FaultRestored}
		}
		for _, e := range page.Entries {
			f.translator.dropOversized(&e)
			u.Events = append(u.Events, store.Event{Entry: e})
			after = e.Key
		}
		more = page.More && len(page.Entries) > 0
	}
	return nil
}

// applyFullRead applies a full read and passes the directory to the core. That is the
// replica's, which may be newer than the read and has what the store lost.
func (f *feed) applyFullRead(ctx context.Context, u replica.Update, started time.Duration) {
	held := f.replica.Position()
	if held.IsZero() && f.greeted != nil {
		f.replica.Apply(u)
		f.awaitGreeting(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh, isNew := f.replica.Apply(u)
	if !isNew {
		fresh = f.replica.Snapshot()
	}
	ch := f.translator.change(fresh)
	f.log.Info("directory read", positionFields(u.Position(), zap.Bool("new", isNew), zap.Uint64("held_era", uint64(held.Era)),
		zap.Uint64("held_revision", uint64(held.Revision)), zap.Int("kept", f.replica.Kept()), zap.Int("upstreams", len(ch.Upstreams)), zap.Int("unusable", len(ch.Removed)))...)
	ch.RequestedAt = started
	f.send(ctx, feedEvent{kind: feedChange, change: ch})
	f.announceConfirmation(ctx)
}
