package dsrhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

const (
	// watchWait is how long a watch waits for a write. A dead connection is detected after watchWait and the
	// timeout of a call, which leaves the rest of the platform's bound (3 s after 4 s without writes) for
	// another call.
	watchWait = 2 * time.Second
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// watchIntervalDivisor divides the strictest bound of the settings to give the shortest interval between two watches.
	// The interval batches writes that come in quick succession.
	watchIntervalDivisor = 8
	// peerFallbackDelay is the time without an answer of the store after which the host
	// turns to other hosts. It allows two retries, so that a single lost answer causes no load on them.
	peerFallbackDelay = 500 * time.Millisecond
	// minDelegateApplyTime is the smallest bound of the settings with which hosts read the store for
	// each other: 2.9 s until a store reader detects that its watch failed, 0.4 s until its next
	// heartbeat to the followers, and 1 s for a call of their own.
	minDelegateApplyTime = 4500 * time.Millisecond
	// startupStoreWait is how long a host without a directory waits for the store before it also
	// turns to other hosts. The store normally answers the two calls of a full read in 8 ms.
	startupStoreWait = 250 * time.Millisecond
	// promptWait is how long the first watch waits for a write when the host begins to read the store with a
	// directory that came from another host. Hosts that follow this one learn by its answer that the store answers.
	promptWait = 100 * time.Millisecond
)

// feedKind is the kind of an event of the feed.
type feedKind uint8

const (
	// feedChange is an answer of the store with a change.
	feedChange feedKind = iota
	// feedDropped is a change that follows from the host's own timer.
	feedDropped
	// feedAnswered is an answer of the store without a change.
	feedAnswered
	// feedFailed is a failed call to the store.
	feedFailed
	// feedPeerUpdate is a message from another host, with or without a change.
	feedPeerUpdate
	// feedConfirmed is a read of the store that confirms the directory.
	feedConfirmed
	// feedConfirmationFailed is a failed read for a confirmation.
	feedConfirmationFailed
)

// feedEvent is an event from the feed to the core's goroutine.
type feedEvent struct {
	kind   feedKind
	change *directory.Change
	// reason is the error of a feedFailed event.
	reason string
	// host is the sender of a feedPeerUpdate, storeAge the time since the store last answered it; negative if it never did.
	host     netip.AddrPort
	storeAge time.Duration
	// confirmedAt is when the read of a feedConfirmed event was requested, as the time since the start.
	confirmedAt time.Duration
}

// feed lists and watches the store and sends changes to the core's goroutine.
type feed struct {
	store            store.Store
	translator       *translator
	replica          *replica.Replica
	log              logging.Logger
	minWatchInterval time.Duration
	elapsed          func() time.Duration
	out              chan<- feedEvent
	// resync requests a full read, confirm a confirmation of the directory.
	resync  chan struct{}
	confirm chan struct{}
	stats   *stats
	// mu is held from a change of the replica until the core's goroutine has its event, so that a
	// confirmation reaches the core after all that it confirms. It guards awaited.
	mu      sync.Mutex
	awaited *awaitedConfirmation
	// confirmationFailed is set while reads for confirmations fail. It belongs to runConfirmations.
	confirmationFailed bool
	// lastAnswer is when the store last answered, in nanoseconds since the start; zero
	// is never. failing is set while the last call has failed.
	lastAnswer atomic.Int64
	failing    atomic.Bool
	// delegated reports whether another host reads the store for this one; it is nil if
	// there is no exchange with other hosts. resume is signalled when delegation ends.
	delegated func() bool
	resume    chan struct{}
	// greeted is closed when other hosts had the chance to tell what the store lost; nil if
	// there is no exchange with other hosts.
	greeted <-chan struct{}
	// hasSource reports whether a host that answered a hello has a recent directory. awaitsSnapshot is set while
	// this host, at its start, waits for it, and peerUpdated is signalled with each update of another host.
	hasSource func() bool
	// greetingEndsAt is when this host stops waiting for greeted.
	greetingEndsAt time.Time
	awaitsSnapshot atomic.Bool
	peerUpdated    chan struct{}
	// fullReadPending is set when a full read is due, verifyPending when the directory came from another host at the
	// start and was not compared with the store yet, and watchPromptly when the next watch is to wait
	// for promptWait only. They belong to run.
	fullReadPending, verifyPending, watchPromptly bool
}

// run reads the store until the context ends. After a failure it resumes from the
// replica's position, as long as the store still has that history.
func (f *feed) run(ctx context.Context) {
	f.awaitSnapshot(ctx)
	wait := retryMin
	for ctx.Err() == nil {
		err := f.read(ctx)
		if err == nil || ctx.Err() != nil {
			wait = retryMin
			continue
		}
		if reason, ok := fullReadReason(err); ok {
			f.log.Warn(reason+", reading the full directory", positionFields(f.replica.Position(), zap.Error(err))...)
			f.fullReadPending = true
			sleep(ctx, retryMin)
			continue
		}
		f.reportFailure(ctx, err)
		sleep(ctx, jitter(wait))
		wait = min(2*wait, retryMax)
	}
}

// fullReadReason reports whether an error means that the watch can't go on from the
// replica's position, and why.
func fullReadReason(err error) (string, bool) {
	var failure *store.Error
	if !errors.As(err, &failure) {
		return "", false
	}
	switch failure.Fault {
	case store.FaultCompacted:
		return "history was compacted", true
	case store.FaultRestored:
		return "store was restored from a copy", true
	case store.FaultTooLarge:
		// A full read has pages. If one of them is too large as well, it is a failure.
		return "changes are too large for one answer", failure.Op == opWatch
	default:
		return "", false
	}
}

// positionFields returns log fields for a position of the store, before other ones.
func positionFields(p store.Position, others ...zap.Field) []zap.Field {
	return append([]zap.Field{zap.Uint64("era", uint64(p.Era)), zap.Uint64("revision", uint64(p.Revision))}, others...)
}

// read makes a full read if one is due, or else watches once.
func (f *feed) read(ctx context.Context) error {
	f.waitWhileDelegated(ctx)
	select {
	case <-f.resync:
		f.fullReadPending = true
	default:
	}
	if f.fullReadPending || f.replica.Position().IsZero() {
		if err := f.list(ctx); err != nil {
			return err
		}
		f.fullReadPending, f.verifyPending = false, false
		return nil
	}
	if f.verifyPending {
		return f.verify(ctx)
	}
	return f.watch(ctx)
}

// verify compares the directory of another host with the store. That host may have missed writes
// that the store's watches did not report; this one then makes a full read.
func (f *feed) verify(ctx context.Context) error {
	key := f.translator.layout.ConfigurationKey
	page, err := f.store.List(ctx, key, key, 0)
	f.stats.countStoreCall(opPosition, err)
	if err != nil {
		return err
	}
	if err := f.watchOnce(ctx); err != nil {
		return err
	}
	f.verifyPending = false
	if held := f.replica.Position(); held.Compare(page.Position()) < 0 {
		f.log.Warn("directory of another host is behind the store, reading the full directory",
			positionFields(held, zap.Uint64("store_era", uint64(page.Era)), zap.Uint64("store_revision", uint64(page.At)))...)
		f.fullReadPending = true
	}
	return nil
}

// waitWhileDelegated blocks while another host reads the store for this one, unless a full read is requested.
func (f *feed) waitWhileDelegated(ctx context.Context) {
	for f.delegated != nil && f.delegated() && !f.fullReadPending && ctx.Err() == nil {
		f.watchPromptly = true
		select {
		case <-ctx.Done():
		case <-f.resume:
		case <-f.resync:
			f.fullReadPending = true
			return
		}
	}
}

// resumeReading wakes waitWhileDelegated after delegation ended.
func (f *feed) resumeReading() { signal(f.resume) }

// recordAnswer records the time of an answer of the store.
func (f *feed) recordAnswer() {
	f.lastAnswer.Store(int64(max(f.elapsed(), 1)))
	f.failing.Store(false)
}

// storeAge returns the time since the store last answered; negative if it never did.
func (f *feed) storeAge() time.Duration {
	at := f.lastAnswer.Load()
	if at == 0 {
		return -1
	}
	return f.elapsed() - time.Duration(at)
}

// needsPeers reports whether the host needs the directory from another one: it has
// none after startupStoreWait, or the last call failed and the store has not answered
// for longer than peerFallbackDelay.
func (f *feed) needsPeers() bool {
	if f.replica.Position().IsZero() && (f.awaitsSnapshot.Load() || f.elapsed() > startupStoreWait) {
		return true
	}
	if !f.failing.Load() {
		return false
	}
	storeAge := f.storeAge()
	return storeAge < 0 || storeAge > peerFallbackDelay
}

// requestResync requests a full read of the store.
func (f *feed) requestResync() { signal(f.resync) }

// signal sends to a channel with a buffer of one, unless it is full.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter returns a random duration between half and one and a half times d, so that
// hosts whose calls fail together do not retry together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

func (f *feed) send(ctx context.Context, e feedEvent) {
	select {
	case f.out <- e:
	case <-ctx.Done():
	}
}

// reportFailure reports a failed call to the core.
func (f *feed) reportFailure(ctx context.Context, err error) {
	f.failing.Store(true)
	f.send(ctx, feedEvent{kind: feedFailed, reason: err.Error()})
}

// errReaderLostStore is the failure that a host reports when its reader lost the store.
var errReaderLostStore = eris.New("the store does not answer the host that reads it for this one")

// reportReaderLostStore reports that the store failed the host that reads it for this one. That
// counts as an outage here too: registrations that lapsed meanwhile prove nothing.
func (f *feed) reportReaderLostStore(ctx context.Context) { f.reportFailure(ctx, errReaderLostStore) }

// watch makes one call that waits for writes, then pauses for the rest of
// minWatchInterval to batch writes that come in quick succession.
func (f *feed) watch(ctx context.Context) error {
	started := f.elapsed()
	if err := f.watchOnce(ctx); err != nil {
		return err
	}
	if took := f.elapsed() - started; took < f.minWatchInterval {
		sleep(ctx, f.minWatchInterval-took)
	}
	return nil
}

func (f *feed) watchOnce(ctx context.Context) error {
	at := f.replica.Position()
	wait := watchWait
	if f.watchPromptly {
		wait = promptWait
	}
	events, next, err := f.store.Watch(ctx, "", at, wait)
	f.stats.countStoreCall(opWatch, err)
	if err != nil {
		return err
	}
	f.applyWatch(ctx, replica.Update{Era: next.Era, AtRevision: max(at.Revision, next.Revision), Events: f.translator.filterEvents(events)})
	f.recordAnswer()
	f.watchPromptly = false
	f.dropExpired(ctx)
	return nil
}

// applyWatch applies the answer of a watch and passes it to the core.
func (f *feed) applyWatch(ctx context.Context, u replica.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fresh, ok := f.replica.Apply(u); ok && len(fresh.Events) > 0 {
		f.send(ctx, feedEvent{kind: feedChange, change: f.translator.change(fresh)})
	} else {
		f.send(ctx, feedEvent{kind: feedAnswered})
	}
	f.announceConfirmation(ctx)
}

// applyFromPeer applies an update from another host, empty for a heartbeat, and passes it to the
// core. storeAge is the time since the store last answered that host.
func (f *feed) applyFromPeer(ctx context.Context, host netip.AddrPort, u replica.Update, storeAge time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := feedEvent{kind: feedPeerUpdate, host: host, storeAge: storeAge}
	if fresh, ok := f.replica.Apply(u); ok {
		e.change = f.translator.change(fresh)
		e.change.Host = host
	}
	f.send(ctx, e)
	f.announceConfirmation(ctx)
	signal(f.peerUpdated)
}

// dropExpired drops registrations that the store lost and that were not written again.
func (f *feed) dropExpired(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u, ok := f.replica.DropExpired(); ok {
		f.log.Info("registrations lost by the store are dropped", positionFields(u.Position(), zap.Int("items", len(u.Events)))...)
		f.send(ctx, feedEvent{kind: feedDropped, change: f.translator.change(u)})
	}
}
