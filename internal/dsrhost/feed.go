package dsrhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

const (
	// watchWait is how long a watch waits for a write. A silent connection is noticed after it and the timeout
	// of a call, so that the rest of the platform's bound of 3 s after 4 s of calm is left for a new call.
	watchWait = 2 * time.Second
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// watchPauseParts sets the least time between the returns of two watches as a part
	// of the time in which a configuration must be in force; it joins writes that come in quick succession.
	watchPauseParts = 8
	// peersAfter is how long the store must have been silent before other hosts
	// are asked: two retries, so that a single lost answer costs nobody anything.
	peersAfter = 500 * time.Millisecond
	// delegateWithin is the shortest time in which a configuration must be in
	// force with which hosts read the store for each other: 2.9 s until a host notices that its
	// watch is lost, 0.4 s until it tells the others, 1 s for their own call.
	delegateWithin = 4500 * time.Millisecond
	// startAlone is how long a host that knows nothing waits for the store, which
	// answers two calls in 8 ms, before it asks other hosts as well.
	startAlone = 250 * time.Millisecond
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
	// feedPeer carries a change, or none, that another host told.
	feedPeer
)

// feedEvent is what the feed tells the core's goroutine.
type feedEvent struct {
	kind   feedKind
	change *directory.Change
	why    string
	// heard is how long ago the store answered the host that told it; negative is never.
	heard time.Duration
}

// feed reads the store and hands what it reads to the core's goroutine.
type feed struct {
	store      store.Store
	translator *translator
	replica    *replica.Replica
	log        logging.Part
	pause      time.Duration
	since      func() time.Duration
	out        chan<- feedEvent
	// again asks for a full read.
	again <-chan struct{}
	stats *stats
	// heardAt is when the store last answered, as the time since the start in
	// nanoseconds; zero is never. failing is set while the last call has no answer.
	heardAt atomic.Int64
	failing atomic.Bool
	// delegated reports whether another host reads the store for this one;
	// resume is signalled when that ends. Nil is never.
	delegated func() bool
	resume    chan struct{}
	// listNext is set when the next call has to read everything.
	listNext bool
}

// run reads until the context ends. After a failure it goes on from the
// revision that it has, as long as the store keeps that history.
func (f *feed) run(ctx context.Context) {
	wait := retryMin
	for ctx.Err() == nil {
		err := f.read(ctx)
		if err == nil || ctx.Err() != nil {
			wait = retryMin
			continue
		}
		var fault *store.Error
		if errors.As(err, &fault) && fault.Fault == store.FaultCompacted {
			f.log.Warn("history is gone, reading all", zap.Error(err))
			f.listNext = true
			sleep(ctx, retryMin)
			continue
		}
		f.failed(ctx, err)
		sleep(ctx, jitter(wait))
		wait = min(2*wait, retryMax)
	}
}

// read makes one call that waits for news, after a full read where that is due.
func (f *feed) read(ctx context.Context) error {
	f.rest(ctx)
	select {
	case <-f.again:
		f.listNext = true
	default:
	}
	if f.listNext || f.replica.At() == 0 {
		if err := f.list(ctx); err != nil {
			return err
		}
		f.listNext = false
		return nil
	}
	return f.watch(ctx)
}

// rest waits while another host reads the store for this one, unless a full read is asked for.
func (f *feed) rest(ctx context.Context) {
	for f.delegated != nil && f.delegated() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.resume:
		case <-f.again:
			f.listNext = true
			return
		}
	}
}

// resumed ends a rest.
func (f *feed) resumed() {
	select {
	case f.resume <- struct{}{}:
	default:
	}
}

// answered notes an answer of the store.
func (f *feed) answered() {
	f.heardAt.Store(int64(max(f.since(), 1)))
	f.failing.Store(false)
}

// heard returns how long ago the store answered; negative is never.
func (f *feed) heard() time.Duration {
	at := f.heardAt.Load()
	if at == 0 {
		return -1
	}
	return f.since() - time.Duration(at)
}

// needsPeers reports whether the store leaves the host without answers.
func (f *feed) needsPeers() bool {
	if f.replica.At() == 0 && f.since() > startAlone {
		return true
	}
	if !f.failing.Load() {
		return false
	}
	heard := f.heard()
	return heard < 0 || heard > peersAfter
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
	f.failing.Store(true)
	f.send(ctx, feedEvent{kind: feedFailed, why: err.Error()})
}

// list reads everything. Writes during the listing are repeated by the watch,
// which begins at the first page.
func (f *feed) list(ctx context.Context) error {
	u := replica.Update{Full: true}
	asked := f.since()
	for after, more := "", true; more; {
		page, err := f.store.List(ctx, f.translator.layout.UpstreamPrefix, after, 0)
		f.stats.storeCall(opList, err)
		if err != nil {
			return err
		}
		if u.At == 0 {
			u.At = page.At
		}
		for _, e := range page.Entries {
			u.Events = append(u.Events, store.Event{Entry: e})
			after = e.Key
		}
		more = page.More && len(page.Entries) > 0
	}
	entry, err := f.store.Get(ctx, f.translator.layout.ConfigurationKey)
	f.stats.storeCall(opGet, err)
	if err != nil {
		return err
	}
	if entry.Modified != 0 {
		u.Events = append(u.Events, store.Event{Entry: entry})
	}
	f.answered()
	f.replica.Take(u)
	ch := f.translator.change(u)
	ch.RequestedAt = asked
	f.log.Info("directory read", zap.Uint64("revision", uint64(u.At)), zap.Int("upstreams", len(ch.Upstreams)), zap.Int("unusable", len(ch.Removed)))
	f.send(ctx, feedEvent{kind: feedChange, change: ch})
	return nil
}

// watch waits for writes once, and pauses so that writes in quick succession come together.
func (f *feed) watch(ctx context.Context) error {
	began := f.since()
	at := f.replica.At()
	events, next, err := f.store.Watch(ctx, "", at, watchWait)
	f.stats.storeCall(opWatch, err)
	if err != nil {
		return err
	}
	f.answered()
	if fresh, ok := f.replica.Take(replica.Update{At: max(at, next), Events: f.translator.ours(events)}); ok && len(fresh.Events) > 0 {
		f.send(ctx, feedEvent{kind: feedChange, change: f.translator.change(fresh)})
	} else {
		f.send(ctx, feedEvent{kind: feedAnswered})
	}
	if took := f.since() - began; took < f.pause {
		sleep(ctx, f.pause-took)
	}
	return nil
}
