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

// Store is the platform's store in virtual time, with its faults.
type Store struct {
	// Down refuses every call; Delay holds back every answer.
	Down  bool
	Delay time.Duration
	// SilentWatch lets watches tell of no write; HungWatch lets them never answer.
	SilentWatch bool
	HungWatch   bool
	// SilentFor says for which hosts watches tell of no write; nil is none.
	SilentFor func(n *Node) bool
	// Reachable says which hosts reach the store; nil is all.
	Reachable func(n *Node) bool
	// Reads, Writes and Watches count the calls.
	Reads, Writes, Watches int

	revision  store.Revision
	compacted store.Revision
	entries   map[string]store.Entry
	events    []store.Event
	waiting   []*watch
	old       *Store
}

type watch struct {
	node *Node
	call spread.StoreCall
	done func(events []store.Event, next store.Revision, err error)
	over bool
}

func newStore() *Store {
	return &Store{entries: make(map[string]store.Entry)}
}

// Put writes a document and wakes the watches.
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
		if s.silent(w) {
			s.waiting = append(s.waiting, w)
			continue
		}
		s.answer(w)
	}
}

func (s *Store) silent(w *watch) bool {
	return s.SilentWatch || (s.SilentFor != nil && s.SilentFor(w.node))
}

// Backup keeps the present data; Restore brings it back.
func (s *Store) Backup() *Store {
	b := &Store{revision: s.revision, entries: make(map[string]store.Entry)}
	for key, e := range s.entries {
		b.entries[key] = e
	}
	return b
}

// Restore replaces the data by a backup. No event of before is kept.
func (s *Store) Restore(b *Store) {
	s.revision, s.compacted, s.events = b.revision, b.revision, nil
	s.entries = b.Backup().entries
	s.waiting = nil
}

// ServeStaleReads answers listings from a backup; nil ends that.
func (s *Store) ServeStaleReads(b *Store) { s.old = b }

// Compact forgets all events up to now.
func (s *Store) Compact() { s.compacted, s.events = s.revision, nil }

func (s *Store) list(call spread.StoreCall) store.Page {
	from := s
	if s.old != nil {
		from = s.old
	}
	page := store.Page{At: from.revision}
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

// answer ends a watch with the events after its revision.
func (s *Store) answer(w *watch) {
	if w.over {
		return
	}
	w.over = true
	after := w.call.Revision
	if after < s.compacted || after > s.revision {
		w.done(nil, after, &store.Error{Op: "watch", Fault: store.FaultCompacted})
		return
	}
	if s.silent(w) {
		w.done(nil, after, nil)
		return
	}
	var events []store.Event
	for _, e := range s.events {
		if e.Entry.Modified > after {
			events = append(events, e)
		}
	}
	w.done(events, s.revision, nil)
}

func (s *Store) behind(w *watch) bool {
	return !s.silent(w) && s.revision > w.call.Revision
}
