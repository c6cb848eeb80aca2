package spread

import "time"

// DocumentState describes a held document for the admin endpoint.
type DocumentState struct {
	Name     string
	Revision uint64
	Deleted  bool
	// Since is the time at which the revision was stored.
	Since time.Duration
}

// Documents returns the held documents, sorted by name. Tombstones are included.
func (c *Core) Documents() []DocumentState {
	states := make([]DocumentState, 0, len(c.docs.names))
	for _, name := range c.docs.names {
		d := c.docs.byName[name]
		states = append(states, DocumentState{Name: name, Revision: d.doc.Revision, Deleted: d.doc.Deleted, Since: d.since})
	}
	return states
}

// Revision returns the held revision of a document, or zero if there is none.
func (c *Core) Revision(name string) uint64 { return c.docs.revision(name) }

// Counters returns a copy of the counters.
func (c *Core) Counters() Counters { return c.counters }

// Readiness reports whether the host has a complete configuration. If not, reason
// says what is missing.
func (c *Core) Readiness() (ready bool, reason string) {
	if c.ready {
		return true, ""
	}
	peersHaveDocuments := false
	for _, l := range c.links {
		peersHaveDocuments = peersHaveDocuments || l.count > 0
	}
	switch {
	case peersHaveDocuments:
		return false, "the configuration is being taken from other hosts"
	case c.reader.watcher && !c.reader.failing:
		return false, "the configuration is being read from the store"
	case len(c.links) == 0 && c.reader.failing:
		return false, "the store does not answer and no other host is linked"
	case len(c.links) == 0:
		return false, "no other host is linked"
	case c.reader.failing:
		return false, "the store does not answer and linked hosts have no configuration"
	default:
		return false, "linked hosts have no configuration"
	}
}
