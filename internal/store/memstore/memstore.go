// Package memstore implements store.Store in memory with the semantics of the
// platform's key-value service: compare-and-swap, leases, watches, a bounded history
// of events and restores from a copy. Time comes from a Clock, so that tests can control it. Tests
// use a store directly, and the platform stand-in serves it over HTTP.
package memstore

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// Limits of a store.
const (
	// DefaultHistory is the usual number of events retained for watches.
	DefaultHistory = 10_000
	// MaxList is the largest number of entries in a page of a listing.
	MaxList = 1000
	// MaxListBytes is the largest total size of the values in a page of a listing,
	// in bytes.
	MaxListBytes = 4 << 20
	// MaxEvents is the largest number of events returned by one watch call.
	MaxEvents = 1000
)

// Stats counts the calls of a store. Each call of Watch counts once.
type Stats struct {
	Reads, Writes, Watches uint64
	// Waiting is the current number of Watch calls in progress.
	Waiting int
}

// Store is an in-memory store.Store. It is safe for concurrent use.
type Store struct {
	clock   Clock
	history int

	mu sync.Mutex
	// era counts the restores.
	era      store.Era
	revision store.Revision
	// compacted is the revision up to which events have been discarded.
	compacted store.Revision
	entries   map[string]entry
	// keys holds the keys of entries, sorted.
	keys    []string
	events  []store.Event
	leases  map[store.LeaseID]*lease
	lastID  store.LeaseID
	changed chan struct{}
	stats   Stats
}

type entry struct {
	store.Entry
	lease store.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]struct{}
	stop      func()
}

var _ store.Store = (*Store)(nil)

// New returns an empty store that retains the given number of events for watches,
// but at least one.
func New(clock Clock, history int) *Store {
	return &Store{
		clock:   clock,
		history: max(history, 1),
		entries: make(map[string]entry),
		leases:  make(map[store.LeaseID]*lease),
		changed: make(chan struct{}),
	}
}

// Stats returns a copy of the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Revision returns the revision of the last write.
func (s *Store) Revision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get returns a copy of the entry of a key.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := ctx.Err(); err != nil {
		return store.Entry{}, unavailable("get", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	return s.read(key), nil
}

// read returns a copy of an entry. If the key does not exist, only Key and Era are set.
func (s *Store) read(key string) store.Entry {
	e, ok := s.entries[key]
	if !ok {
		return store.Entry{Key: key, Era: s.era}
	}
	return s.copyEntry(e.Entry)
}

// copyEntry returns a copy of an entry that was read in the current era.
func (s *Store) copyEntry(e store.Entry) store.Entry {
	e.Value, e.Era = slices.Clone(e.Value), s.era
	return e
}

// List returns a page of the entries with the prefix, sorted by key. A limit that
// is not between 1 and MaxList means MaxList.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	if err := ctx.Err(); err != nil {
		return store.Page{}, unavailable("list", prefix, err)
	}
	if limit <= 0 || limit > MaxList {
		limit = MaxList
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	page := store.Page{At: s.revision, Era: s.era}
	size := 0
	for _, key := range s.keys[s.firstKey(prefix, after):] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		e := s.entries[key].Entry
		full := len(page.Entries) == limit || size+len(e.Value) > MaxListBytes
		if full && len(page.Entries) > 0 {
			page.More = true
			break
		}
		size += len(e.Value)
		page.Entries = append(page.Entries, s.copyEntry(e))
	}
	return page, nil
}

// firstKey returns the index in keys at which a listing with the given prefix
// starts.
func (s *Store) firstKey(prefix, after string) int {
	if after < prefix {
		at, _ := slices.BinarySearch(s.keys, prefix)
		return at
	}
	at, found := slices.BinarySearch(s.keys, after)
	if found {
		at++
	}
	return at
}

// CompareAndSwap writes or deletes a key if its last write is the expected one.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect store.Position, value []byte, id store.LeaseID) (store.Entry, error) {
	const op = "compare-and-swap"
	if err := ctx.Err(); err != nil {
		return store.Entry{}, unavailable(op, key, err)
	}
	if len(value) > store.MaxValue {
		return store.Entry{}, &store.Error{Op: op, Key: key, Fault: store.FaultTooLarge}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	s.expire()
	if current := s.read(key); current.Position() != expect {
		return store.Entry{}, &store.Error{Op: op, Key: key, Fault: store.FaultConflict, Current: current}
	}
	if id != 0 && s.leases[id] == nil {
		return store.Entry{}, &store.Error{Op: op, Key: key, Fault: store.FaultLease}
	}
	if value == nil {
		s.remove(key)
		return store.Entry{Key: key, Era: s.era}, nil
	}
	return s.write(key, value, id), nil
}

func unavailable(op, key string, cause error) error {
	return &store.Error{Op: op, Key: key, Fault: store.FaultUnavailable, Cause: cause}
}

// write stores a value under a new revision and returns a copy of the entry.
func (s *Store) write(key string, value []byte, id store.LeaseID) store.Entry {
	s.detach(key)
	s.revision++
	e := store.Entry{Key: key, Value: slices.Clone(value), Modified: s.revision}
	if at, found := slices.BinarySearch(s.keys, key); !found {
		s.keys = slices.Insert(s.keys, at, key)
	}
	s.entries[key] = entry{Entry: e, lease: id}
	if id != 0 {
		s.leases[id].keys[key] = struct{}{}
	}
	s.record(store.Event{Entry: e})
	return s.copyEntry(e)
}

// remove deletes a key if it exists.
func (s *Store) remove(key string) {
	at, found := slices.BinarySearch(s.keys, key)
	if !found {
		return
	}
	s.detach(key)
	s.revision++
	s.keys = slices.Delete(s.keys, at, at+1)
	delete(s.entries, key)
	s.record(store.Event{Entry: store.Entry{Key: key, Modified: s.revision}, Deleted: true})
}

// detach removes a key from the lease that it was written with.
func (s *Store) detach(key string) {
	if l := s.leases[s.entries[key].lease]; l != nil {
		delete(l.keys, key)
	}
}

// record appends an event to the history and wakes waiting watches.
func (s *Store) record(e store.Event) {
	s.events = append(s.events, e)
	if len(s.events) > s.history {
		s.compact(s.events[len(s.events)-s.history-1].Entry.Modified)
	}
	s.notify()
}

// notify wakes waiting watches.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the events up to the given revision.
func (s *Store) Compact(upTo store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(min(upTo, s.revision))
}

func (s *Store) compact(upTo store.Revision) {
	if upTo <= s.compacted {
		return
	}
	s.events = s.events[s.eventAfter(upTo):]
	s.compacted = upTo
}

// eventAfter returns the index of the first event after a revision.
func (s *Store) eventAfter(r store.Revision) int {
	at, found := slices.BinarySearchFunc(s.events, r, func(e store.Event, r store.Revision) int {
		return cmp.Compare(e.Entry.Modified, r)
	})
	if found {
		at++
	}
	return at
}
