package memstore

import (
	"maps"
	"slices"

	"mimosashore.example/mimosashore/internal/store"
)

// Copy is the content of a store at one moment, without its leases.
type Copy struct {
	revision, compacted store.Revision
	entries             map[string]entry
	keys                []string
	events              []store.Event
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{
		revision: s.revision, compacted: s.compacted, entries: maps.Clone(s.entries), keys: slices.Clone(s.keys), events: slices.Clone(s.events),
	}
}

// Restore replaces the content by an earlier copy, which begins a new era: the writes
// since are lost, their revisions are given out again, and all leases are gone. Keys
// that were written with a lease lose it and stay.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.stop()
	}
	clear(s.leases)
	s.era++
	s.revision, s.compacted = c.revision, c.compacted
	s.entries, s.keys, s.events = maps.Clone(c.entries), slices.Clone(c.keys), slices.Clone(c.events)
	s.notify()
}
