// Package replica keeps a copy of the items that a host read from the platform's
// store, unparsed, so that the host can serve them to hosts that cannot reach the
// store. A replica is complete up to a revision of the store, which never decreases.
package replica

import (
	"sync"

	"mimosashore.example/mimosashore/internal/store"
)

// subscriberQueueSize is the number of updates that are queued for a subscriber
// before it is dropped. A dropped subscriber starts over with a snapshot.
const subscriberQueueSize = 32

// Update is a snapshot of the store's items or the changes since an earlier revision.
type Update struct {
	// Full marks a snapshot: Events holds all existing items, and others are deleted.
	Full bool
	// AtRevision is the store revision up to which the update is complete.
	AtRevision store.Revision
	Events     []store.Event
}

// Replica is a copy of the store's items. It is safe for concurrent use.
type Replica struct {
	mu          sync.Mutex
	revision    store.Revision
	items       map[string]store.Entry
	subscribers map[*Subscription]struct{}
}

// Subscription receives the updates that follow a snapshot. The channel is closed by
// Unsubscribe, or when an update arrives while its queue is full.
type Subscription struct {
	C chan Update
}

// New returns an empty replica.
func New() *Replica {
	return &Replica{items: make(map[string]store.Entry), subscribers: make(map[*Subscription]struct{})}
}

// AtRevision returns the revision up to which the replica is complete, or zero if
// no snapshot was applied yet.
func (r *Replica) AtRevision() store.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Apply applies an update and returns its new part. It reports false if the update
// is not newer than the replica, or if no snapshot was applied before it.
func (r *Replica) Apply(u Update) (Update, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case u.Full && u.AtRevision <= r.revision && r.revision != 0:
		return Update{}, false
	case u.Full:
		r.items = make(map[string]store.Entry, len(u.Events))
	case r.revision == 0 || u.AtRevision <= r.revision:
		return Update{}, false
	}
	fresh := Update{Full: u.Full, AtRevision: u.AtRevision}
	for i := range u.Events {
		e := &u.Events[i]
		if !u.Full && e.Entry.Modified <= r.revision {
			continue
		}
		if e.Deleted {
			delete(r.items, e.Entry.Key)
		} else {
			r.items[e.Entry.Key] = e.Entry
		}
		fresh.Events = append(fresh.Events, *e)
	}
	r.revision = u.AtRevision
	r.publish(fresh)
	return fresh, true
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

// Subscribe returns a snapshot and a subscription to the updates that follow it.
// The snapshot is empty, at revision zero, if the replica has no data yet.
func (r *Replica) Subscribe() (Update, *Subscription) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Update{Full: true, AtRevision: r.revision}
	for _, e := range r.items {
		snapshot.Events = append(snapshot.Events, store.Event{Entry: e})
	}
	s := &Subscription{C: make(chan Update, subscriberQueueSize)}
	r.subscribers[s] = struct{}{}
	return snapshot, s
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
