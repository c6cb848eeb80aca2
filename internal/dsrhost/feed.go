package dsrhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/store"
)

const (
	// watchWait is how long a watch waits for a write. A silent connection is
	// noticed after it and the timeout of a call, within the platform's bound of 4 s for a stable host.
	watchWait = 3 * time.Second
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// watchPauseParts sets the least time between the returns of two watches as a part
	// of the time in which a configuration must be in force; it joins writes that come in quick succession.
	watchPauseParts = 12
)

// feedKind is the kind of an event of the feed.
type feedKind uint8

const (
	// feedChange carries a change.
	feedChange feedKind = iota
	// feedAnswered tells of an answer without a change.
	feedAnswered
	// feedFailed tells of a call without an answer.
	feedFailed
)

// feedEvent is what the feed tells the core's goroutine.
type feedEvent struct {
	kind   feedKind
	change *directory.Change
	why    string
}

// feed reads the store and hands what it reads to the core's goroutine.
type feed struct {
	store  store.Store
	layout Layout
	log    logging.Part
	pause  time.Duration
	since  func() time.Duration
	out    chan<- feedEvent
	// again asks for a full read.
	again <-chan struct{}
	stats *stats
}

// run reads until the context ends.
func (f *feed) run(ctx context.Context) {
	wait := retryMin
	for ctx.Err() == nil {
		at, err := f.list(ctx)
		if err == nil {
			wait = retryMin
			err = f.watch(ctx, at)
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		var fault *store.Error
		if errors.As(err, &fault) && fault.Fault == store.FaultCompacted {
			f.log.Warn("history is gone, reading all", zap.Error(err))
			continue
		}
		f.failed(ctx, err)
		sleep(ctx, jitter(wait))
		wait = min(2*wait, retryMax)
	}
}

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter spreads the calls of hosts that fail at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

func (f *feed) send(ctx context.Context, e feedEvent) {
	select {
	case f.out <- e:
	case <-ctx.Done():
	}
}

func (f *feed) failed(ctx context.Context, err error) {
	f.stats.storeFailed.Inc()
	f.send(ctx, feedEvent{kind: feedFailed, why: err.Error()})
}

// list reads everything and returns the revision to watch from. Writes during
// the listing are repeated by the watch, which begins at the first page.
func (f *feed) list(ctx context.Context) (store.Revision, error) {
	ch := &directory.Change{Full: true, Asked: f.since()}
	for after, more := "", true; more; {
		f.stats.storeCalls.Inc()
		page, err := f.store.List(ctx, f.layout.UpstreamPrefix, after, 0)
		if err != nil {
			return 0, err
		}
		if ch.At == 0 {
			ch.At = page.At
		}
		for _, e := range page.Entries {
			f.takeWrite(ch, e)
			after = e.Key
		}
		more = page.More && len(page.Entries) > 0
	}
	f.stats.storeCalls.Inc()
	entry, err := f.store.Get(ctx, f.layout.ConfigurationKey)
	if err != nil {
		return 0, err
	}
	if entry.Modified != 0 {
		f.takeWrite(ch, entry)
	}
	f.log.Info("directory read", zap.Uint64("revision", uint64(ch.At)), zap.Int("upstreams", len(ch.Upstreams)), zap.Int("unusable", len(ch.Removed)))
	f.send(ctx, feedEvent{kind: feedChange, change: ch})
	return ch.At, nil
}

// watch waits for writes after a revision until a call fails or a full read is asked for.
func (f *feed) watch(ctx context.Context, at store.Revision) error {
	for {
		began := f.since()
		f.stats.storeCalls.Inc()
		events, next, err := f.store.Watch(ctx, "", at, watchWait)
		if err != nil {
			return err
		}
		at = max(at, next)
		if ch := f.takeEvents(events, at); ch != nil {
			f.send(ctx, feedEvent{kind: feedChange, change: ch})
		} else {
			f.send(ctx, feedEvent{kind: feedAnswered})
		}
		select {
		case <-f.again:
			return nil
		default:
		}
		if took := f.since() - began; took < f.pause {
			sleep(ctx, f.pause-took)
		}
	}
}

// takeEvents returns the change that events make, or nil.
func (f *feed) takeEvents(events []store.Event, at store.Revision) *directory.Change {
	ch := &directory.Change{At: at}
	for i := range events {
		e := &events[i]
		if !e.Deleted {
			f.takeWrite(ch, e.Entry)
			continue
		}
		if strings.HasPrefix(e.Entry.Key, f.layout.UpstreamPrefix) {
			ch.Removed = append(ch.Removed, directory.Removal{Key: e.Entry.Key, Revision: e.Entry.Modified})
		}
	}
	if len(ch.Upstreams) == 0 && len(ch.Removed) == 0 && ch.Configuration == nil {
		return nil
	}
	return ch
}

// takeWrite adds a written item to a change.
func (f *feed) takeWrite(ch *directory.Change, e store.Entry) {
	switch {
	case e.Key == f.layout.ConfigurationKey:
		c, problems := f.layout.DecodeConfiguration(e.Value, e.Modified)
		for _, p := range problems {
			f.stats.malformedItems.Inc()
			f.log.Warn("configuration has a part that can't be read", zap.Uint64("revision", uint64(e.Modified)), zap.Error(p))
		}
		if c != nil {
			ch.Configuration = c
		}
	case strings.HasPrefix(e.Key, f.layout.UpstreamPrefix):
		u, err := f.layout.DecodeUpstream(e.Key, e.Value, e.Modified)
		if err != nil {
			f.stats.malformedItems.Inc()
			f.log.Warn("registration is not used", zap.Uint64("revision", uint64(e.Modified)), zap.Error(err))
			ch.Removed = append(ch.Removed, directory.Removal{Key: e.Key, Revision: e.Modified, Malformed: true})
			return
		}
		ch.Upstreams = append(ch.Upstreams, u)
	}
}
