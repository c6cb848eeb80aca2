// Package replica holds the items that hosts read from the platform's store,
// as they were written, so that a host can pass them on to hosts that the store
// does not answer. A replica is complete up to a revision of the store, which only rises.
package replica

import (
	"sync"

	"mimosashore.example/mimosashore/internal/store"
)

// subscriberQueue is the number of updates that may wait for a subscriber
// before it is dropped; it then starts over with a snapshot.
const subscriberQueue = 32

// Update leads from one state of the store's items to a later one.
type Update struct {
	// Full is set if Events holds all items that exist; others are gone.
	Full bool
	// At is the revision up to which the update is complete.
	At     store.Revision
	Events []store.Event
}

// Replica is safe for concurrent use.
type Replica struct {
	mu          sync.Mutex
	at          store.Revision
	items       map[string]store.Entry
	subscribers map[*Subscription]struct{}
}

// Subscription receives the updates after a snapshot. The channel is closed
// when the subscriber is too slow.
type Subscription struct {
	C chan Update
}

// New returns an empty replica.
func New() *Replica {
	return &Replica{items: make(map[string]store.Entry), subscribers: make(map[*Subscription]struct{})}
}

// At returns the revision up to which the replica is complete; zero is none.
func (r *Replica) At() store.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

// Take applies an update and returns what of it is new. It reports false if
// nothing is: the update is older than the replica.
func (r *Replica) Take(u Update) (Update, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case u.Full && u.At <= r.at && r.at != 0:
		return Update{}, false
	case u.Full:
		r.items = make(map[string]store.Entry, len(u.Events))
	case r.at == 0 || u.At <= r.at:
		return Update{}, false
	}
	fresh := Update{Full: u.Full, At: u.At}
	for i := range u.Events {
		e := &u.Events[i]
		if !u.Full && e.Entry.Modified <= r.at {
			continue
		}
		if e.Deleted {
			delete(r.items, e.Entry.Key)
		} else {
			r.items[e.Entry.Key] = e.Entry
		}
		fresh.Events = append(fresh.Events, *e)
	}
	r.at = u.At
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

// Subscribe returns a snapshot and the updates that follow it. The snapshot is
// empty at revision zero if nothing is known yet.
func (r *Replica) Subscribe() (Update, *Subscription) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Update{Full: true, At: r.at}
	for _, e := range r.items {
		snapshot.Events = append(snapshot.Events, store.Event{Entry: e})
	}
	s := &Subscription{C: make(chan Update, subscriberQueue)}
	r.subscribers[s] = struct{}{}
	return snapshot, s
}

// Unsubscribe ends a subscription.
func (r *Replica) Unsubscribe(s *Subscription) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.subscribers[s]; ok {
		close(s.C)
		delete(r.subscribers, s)
	}
}
