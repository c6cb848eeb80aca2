package replica

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosashore.example/mimosashore/internal/store"
)

// Policy decides about entries that were written in different eras of the store.
type Policy interface {
	// Resolve returns the entry to hold of two of the same key: later, which the store
	// has; earlier, of an earlier era, if it is newer by what its writer says; or a mix
	// that has the position of later.
	Resolve(earlier, later store.Entry) store.Entry
	// Expires reports whether a lost entry of the key is kept for directory.RewriteTime only.
	Expires(key string) bool
	// EndsByRemoval reports whether the removal of the key ends its earlier entries for good, if the
	// store had it in the current era: a host that missed the removal may offer them later.
	EndsByRemoval(key string) bool
}

// Kept returns the number of entries that the store lost and that are kept.
func (r *Replica) Kept() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.kept)
}

// KeptDigest returns a digest of the entries that the store lost and that are kept; zero if
// there are none.
func (r *Replica) KeptDigest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum uint64
	for key, e := range r.kept {
		h := xxhash.New()
		// Writing to a hash does not fail.
		_, _ = fmt.Fprintf(h, "%s %d %d", key, e.Era, e.Modified)
		sum ^= h.Sum64()
	}
	return sum
}

// KeptFor returns how long lost registrations are still kept.
func (r *Replica) KeptFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keptFor()
}

// keep keeps an entry of an earlier era if the store lost it. It returns the entry that
// holds for the key and whether that changed.
func (r *Replica) keep(e store.Entry) (store.Entry, bool) {
	if e.Era >= r.position.Era || e.Position().Compare(r.ended[e.Key]) <= 0 || r.policy.Expires(e.Key) && r.now() >= r.keptUntil {
		return e, false
	}
	held, ok := r.held(e.Key)
	if !ok {
		r.kept[e.Key] = e
		return e, true
	}
	earlier, later := e, held
	if held.Position().Compare(e.Position()) < 0 {
		earlier, later = held, e
	}
	winner := later
	if earlier.Era != later.Era && !bytes.Equal(earlier.Value, later.Value) {
		winner = r.policy.Resolve(earlier, later)
	}
	if winner.Position() == held.Position() && bytes.Equal(winner.Value, held.Value) {
		return held, false
	}
	if winner.Era == r.position.Era {
		r.items[e.Key] = winner
		delete(r.kept, e.Key)
	} else {
		r.kept[e.Key] = winner
	}
	return winner, true
}

// held returns the entry that holds for a key.
func (r *Replica) held(key string) (store.Entry, bool) {
	if e, ok := r.kept[key]; ok {
		return e, true
	}
	e, ok := r.items[key]
	return e, ok
}

// keepLost keeps the events of earlier eras that the store lost, and returns what then
// holds.
func (r *Replica) keepLost(events []store.Event) []store.Event {
	var out []store.Event
	for _, e := range events {
		if e.Deleted {
			continue
		}
		if held, changed := r.keep(e.Entry); changed {
			out = append(out, store.Event{Entry: held})
		}
	}
	return out
}

// DropExpired drops the kept entries that were not written again in time, and returns
// the change. It reports false if there are none.
func (r *Replica) DropExpired() (Update, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := Update{Era: r.position.Era, AtRevision: r.position.Revision}
	if r.now() < r.keptUntil {
		return u, false
	}
	for key := range r.kept {
		if !r.policy.Expires(key) {
			continue
		}
		delete(r.kept, key)
		if stored, ok := r.items[key]; ok {
			u.Events = append(u.Events, store.Event{Entry: stored})
			continue
		}
		u.Events = append(u.Events, store.Event{Entry: store.Entry{Key: key, Modified: r.position.Revision, Era: r.position.Era}, Deleted: true})
	}
	if len(u.Events) > 0 {
		r.changes++
	}
	return u, len(u.Events) > 0
}

func (r *Replica) keptFor() time.Duration { return max(r.keptUntil-r.now(), 0) }

// maxEnded bounds the removals that are remembered. Operators remove such keys by hand.
const maxEnded = 1024

// noteEnded remembers the removal of a key, if its earlier entries end by that.
func (r *Replica) noteEnded(key string, at store.Position) {
	if r.policy.EndsByRemoval(key) && len(r.ended) < maxEnded {
		r.ended[key] = at
	}
}

// noteMissing remembers the removals that a newer full read of the same era shows.
func (r *Replica) noteMissing(before map[string]store.Entry) {
	for key, e := range before {
		if _, ok := r.items[key]; !ok && e.Era == r.position.Era {
			r.noteEnded(key, r.position)
		}
	}
}
