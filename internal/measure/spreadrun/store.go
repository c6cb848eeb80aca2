package spreadrun

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/spread"
	"mimosashore.example/mimosashore/internal/store"
)

// Store simulates the configuration store, with faults.
type Store struct {
	// Down fails every call; Delay is added to the latency of every answer.
	Down  bool
	Delay time.Duration
	// SilentWatch makes watches report no writes; HungWatch makes them fail
	// without an answer.
	SilentWatch bool
	HungWatch   bool
	// SilentFor, if set, reports whether the watches of a host report no writes.
	SilentFor func(n *Node) bool
	// Reachable, if set, reports whether a host can reach the store.
	Reachable func(n *Node) bool
	// Reads, Writes and Watches count the calls. Reads are listings.
	Reads, Writes, Watches int
	// Era is the store's era. A restored store that counts its eras has a higher one.
	Era store.Era

	revision  store.Revision
	compacted store.Revision
	entries   map[string]store.Entry
	events    []store.Event
	waiting   []*watch
	stale     *Store
}

type watch struct {
	node     *Node
	call     spread.StoreCall
	done     func(events []store.Event, next store.Position, err error)
	answered bool
}

func newStore() *Store {
	return &Store{entries: make(map[string]store.Entry)}
}

// Put writes a document and answers the pending watches.
func (s *Store) Put(doc *config.Document) {
	raw, err := doc.Encode()
	if err != nil {
		panic(err)
	}
	s.Writes++
	s.revision++
	e := store.Entry{Key: doc.Name, Value: raw, Modified: s.revision}
	s.entries[doc.Name] = e
	s.events = append(s.events, store.Event{Entry: e})
	if s.SilentWatch {
		return
	}
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		if s.isSilent(w) {
			s.waiting = append(s.waiting, w)
			continue
		}
		s.answerWatch(w)
	}
}

func (s *Store) isSilent(w *watch) bool {
	return s.SilentWatch || (s.SilentFor != nil && s.SilentFor(w.node))
}

// Backup returns a copy of the current data for Restore.
func (s *Store) Backup() *Store {
	b := &Store{revision: s.revision, entries: make(map[string]store.Entry)}
	for key, e := range s.entries {
		b.entries[key] = e
	}
	return b
}

// Restore replaces the data by a backup. Earlier events are dropped, and pending
// watches are never answered.
func (s *Store) Restore(b *Store) {
	s.revision, s.compacted, s.events = b.revision, b.revision, nil
	s.entries = b.Backup().entries
	s.waiting = nil
}

// ServeStaleReads answers listings from a backup; nil restores normal answers.
func (s *Store) ServeStaleReads(b *Store) { s.stale = b }

// Compact drops all events up to the current revision.
func (s *Store) Compact() { s.compacted, s.events = s.revision, nil }

func (s *Store) list(call spread.StoreCall) store.Page {
	from := s
	if s.stale != nil {
		from = s.stale
	}
	page := store.Page{At: from.revision, Era: s.Era}
	for key, e := range from.entries {
		if strings.HasPrefix(key, call.Prefix) && key > call.After {
			page.Entries = append(page.Entries, e)
		}
	}
	slices.SortFunc(page.Entries, func(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Entries) > call.Limit {
		page.Entries, page.More = page.Entries[:call.Limit], true
	}
	return page
}

// answerWatch completes a watch with the events after its revision, or with
// store.FaultCompacted if the store no longer has them.
func (s *Store) answerWatch(w *watch) {
	if w.answered {
		return
	}
	w.answered = true
	after := w.call.Position.Revision
	if w.call.Position.Era != s.Era {
		w.done(nil, w.call.Position, &store.Error{Op: "watch", Fault: store.FaultRestored})
		return
	}
	if after < s.compacted || after > s.revision {
		w.done(nil, w.call.Position, &store.Error{Op: "watch", Fault: store.FaultCompacted})
		return
	}
	if s.isSilent(w) {
		w.done(nil, w.call.Position, nil)
		return
	}
	var events []store.Event
	for _, e := range s.events {
		if e.Entry.Modified > after {
			events = append(events, e)
		}
	}
	w.done(events, store.Position{Era: s.Era, Revision: s.revision}, nil)
}

func (s *Store) hasEventsFor(w *watch) bool {
	return !s.isSilent(w) && s.revision > w.call.Position.Revision
}
