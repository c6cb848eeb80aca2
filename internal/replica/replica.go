// Package replica keeps a copy of the items that a host read from the platform's
// store, unparsed, so that the host can serve them to hosts that cannot reach the
// store. A replica is complete up to a position of the store, which never decreases.
//
// A store that was restored from a copy lacks the last writes and continues in a new
// era. The replica then keeps the entries that were lost: registrations until their
// writers had time to write them again, other entries until a newer one is written.
package replica

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/store"
)

// subscriberQueueSize is the number of updates that are queued for a subscriber
// before it is dropped. A dropped subscriber starts over with a snapshot.
const subscriberQueueSize = 32

// recentEvents is the number of events that are kept for subscribers that know all earlier ones:
// those of 30 s while 30 upstreams a second are replaced.
const recentEvents = 1024

// Update is a snapshot of the store's items or the changes since an earlier revision.
type Update struct {
	// Full marks a snapshot: Events holds all existing items, and others are deleted.
	Full bool
	// Era and AtRevision are the position of the store up to which the update is
	// complete. Events of earlier eras are entries that the store lost and that are kept.
	Era        store.Era
	AtRevision store.Revision
	Events     []store.Event
	// KeptFor is how long lost registrations are still kept.
	KeptFor time.Duration
	// Change numbers the states of the replica that the update leads to; it has no meaning
	// for other replicas.
	Change uint64
}

// Position returns the position of the store up to which the update is complete.
func (u *Update) Position() store.Position {
	return store.Position{Era: u.Era, Revision: u.AtRevision}
}

// Replica is a copy of the store's items. It is safe for concurrent use.
type Replica struct {
	policy Policy
	now    func() time.Duration

	mu       sync.Mutex
	position store.Position
	// items holds the items of the store, kept those of earlier eras that hold instead.
	items map[string]store.Entry
	kept  map[string]store.Entry
	// ended holds the position of the last removal of keys that end by it.
	ended map[string]store.Position
	// keptUntil is when kept entries that expire are dropped.
	keptUntil time.Duration
	// changes counts the changes of items and kept.
	changes     uint64
	subscribers map[*Subscription]struct{}
	// recent holds the last events of the current era, all after recentFrom.
	recent     []store.Event
	recentFrom store.Revision
}

// Subscription receives the updates that follow a snapshot. The channel is closed by
// Unsubscribe, or when an update arrives while its queue is full.
type Subscription struct {
	C chan Update
}

// New returns an empty replica. The function now returns the time since the start of
// the host.
func New(policy Policy, now func() time.Duration) *Replica {
	return &Replica{
		policy: policy, now: now,
		items: make(map[string]store.Entry), kept: make(map[string]store.Entry), ended: make(map[string]store.Position), subscribers: make(map[*Subscription]struct{}),
	}
}

// Position returns the position up to which the replica is complete, or zero if no
// snapshot was applied yet.
func (r *Replica) Position() store.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// Apply applies an update and returns its new part. It reports false if the update
// holds nothing new, or if no snapshot of its era was applied before it.
func (r *Replica) Apply(u Update) (Update, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	newer := u.Position().Compare(r.position) > 0
	var events []store.Event
	switch {
	case u.Full && newer:
		events = r.replace(u)
	case r.position.IsZero() || u.Era > r.position.Era:
		return Update{}, false
	default:
		if newer {
			kept := len(r.kept) > 0
			events = r.applyEvents(u.Events)
			r.position = u.Position()
			r.remember(events, kept)
		}
		events = append(events, r.keepLost(u.Events)...)
		if !newer && len(events) == 0 {
			return Update{}, false
		}
	}
	r.changes++
	fresh := Update{Full: u.Full && newer, Era: r.position.Era, AtRevision: r.position.Revision, Events: events, KeptFor: r.keptFor(), Change: r.changes}
	published := fresh
	if fresh.Full {
		// The replicas of subscribers count as complete: they need the stored entries behind kept ones too.
		published.Events = append(slices.Clone(fresh.Events), r.shadowed()...)
	}
	r.publish(published)
	return fresh, true
}

// replace replaces the items by a newer snapshot and returns what then holds. Held
// entries and entries of the snapshot that are of earlier eras are kept if the store
// lost them.
func (r *Replica) replace(u Update) []store.Event {
	var lost []store.Entry
	for _, e := range r.items {
		lost = append(lost, e)
	}
	for _, e := range r.kept {
		lost = append(lost, e)
	}
	if u.Era > r.position.Era {
		r.keptUntil = r.now() + directory.RewriteTime
		if u.KeptFor > 0 {
			r.keptUntil = r.now() + min(u.KeptFor, directory.RewriteTime)
		}
	}
	before := r.items
	r.position = u.Position()
	r.recent, r.recentFrom = nil, u.AtRevision
	r.items, r.kept = make(map[string]store.Entry, len(u.Events)), make(map[string]store.Entry)
	for i := range u.Events {
		if e := u.Events[i].Entry; e.Era == u.Era {
			r.items[e.Key] = e
		} else {
			lost = append(lost, e)
		}
	}
	r.noteMissing(before)
	for _, e := range lost {
		r.keep(e)
	}
	return r.events()
}

// applyEvents applies events of the current era that are newer than the replica and
// returns those that change what holds.
func (r *Replica) applyEvents(events []store.Event) []store.Event {
	var out []store.Event
	for _, e := range events {
		if e.Entry.Era != r.position.Era || e.Entry.Modified <= r.position.Revision {
			continue
		}
		key := e.Entry.Key
		lost, kept := r.kept[key]
		if e.Deleted {
			delete(r.items, key)
			if !kept {
				r.noteEnded(key, e.Entry.Position())
				out = append(out, e)
			}
			continue
		}
		r.items[key] = e.Entry
		if kept {
			held := r.policy.Resolve(lost, e.Entry)
			if held.Era != e.Entry.Era {
				continue
			}
			delete(r.kept, key)
			r.items[key], e.Entry = held, held
		}
		out = append(out, e)
	}
	return out
}

// events returns the entries that hold, sorted by key.
func (r *Replica) events() []store.Event {
	out := make([]store.Event, 0, len(r.items)+len(r.kept))
	expired := r.now() >= r.keptUntil
	for key, e := range r.items {
		if _, ok := r.kept[key]; !ok || expired && r.policy.Expires(key) {
			out = append(out, store.Event{Entry: e})
		}
	}
	for key, e := range r.kept {
		if !expired || !r.policy.Expires(key) {
			out = append(out, store.Event{Entry: e})
		}
	}
	slices.SortFunc(out, func(a, b store.Event) int { return cmp.Compare(a.Entry.Key, b.Entry.Key) })
	return out
}

// shadowed returns the entries of the store in whose place kept ones hold until they expire.
func (r *Replica) shadowed() []store.Event {
	var out []store.Event
	for key := range r.kept {
		if e, ok := r.items[key]; ok && r.now() < r.keptUntil {
			out = append(out, store.Event{Entry: e})
		}
	}
	return out
}

func (r *Replica) publish(u Update) {
	for s := range r.subscribers {
		select {
		case s.C <- u:
		default:
			close(s.C)
			delete(r.subscribers, s)
		}
	}
}

// Snapshot returns all entries that hold.
func (r *Replica) Snapshot() Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot()
}

func (r *Replica) snapshot() Update {
	return Update{Full: true, Era: r.position.Era, AtRevision: r.position.Revision, Events: r.events(), KeptFor: r.keptFor(), Change: r.changes}
}

// Subscribe returns a snapshot and a subscription to the updates that follow it. The snapshot has the
// stored entries behind kept ones too, since the replica of its receiver counts as complete.
// The snapshot is empty, at the zero position, if the replica has no data yet.
func (r *Replica) Subscribe() (Update, *Subscription) {
	return r.SubscribeAfter(store.Position{}, 0)
}

// SubscribeAfter is like Subscribe for a receiver whose replica is complete up to a position, and whose
// kept entries have the digest: it returns the changes since then, if the last events suffice, in place of the
// snapshot. They have no events if the receiver is not behind.
func (r *Replica) SubscribeAfter(held store.Position, keptDigest uint64) (Update, *Subscription) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Subscription{C: make(chan Update, subscriberQueueSize)}
	r.subscribers[s] = struct{}{}
	if held.IsZero() || held.Era != r.position.Era || held.Revision < r.recentFrom || keptDigest != 0 || len(r.kept) > 0 {
		snapshot := r.snapshot()
		snapshot.Events = append(snapshot.Events, r.shadowed()...)
		return snapshot, s
	}
	changes := Update{Era: r.position.Era, AtRevision: r.position.Revision, Change: r.changes}
	for _, e := range r.recent {
		if e.Entry.Modified > held.Revision {
			changes.Events = append(changes.Events, e)
		}
	}
	return changes, s
}

// remember keeps applied events for SubscribeAfter. If there were kept entries, the stored ones don't follow
// from the events.
func (r *Replica) remember(events []store.Event, kept bool) {
	if kept {
		r.recent, r.recentFrom = nil, r.position.Revision
		return
	}
	r.recent = append(r.recent, events...)
	if over := len(r.recent) - recentEvents; over > 0 {
		for _, e := range r.recent[:over] {
			r.recentFrom = max(r.recentFrom, e.Entry.Modified)
		}
		r.recent = slices.Clone(r.recent[over:])
	}
}

// Unsubscribe ends a subscription and closes its channel.
func (r *Replica) Unsubscribe(s *Subscription) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.subscribers[s]; ok {
		close(s.C)
		delete(r.subscribers, s)
	}
}
