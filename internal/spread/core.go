// Package spread carries the accepted configuration to every host. A few hosts
// of each availability zone watch the platform's store; the others hear from
// them over links between hosts. Documents are named and their revisions only
// rise, whatever the store or a peer offers.
//
// The core has no clock, socket or goroutine: each call gets the time, as the
// duration since the start of the process, and appends effects.
package spread

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/store"
)

// Times of the protocol.
const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// helloInterval is the time between two hellos on a link.
	helloInterval = time.Second
	// wantTimeout is the wait for a document before it may be asked elsewhere.
	wantTimeout = time.Second
)

// maxWants is the number of documents that are asked for at once.
const maxWants = 256

// Settings are fixed for the life of a core.
type Settings struct {
	Self ids.HostID
	Zone string
	Seed uint64
}

// Send is a message to a linked host.
type Send struct {
	To      ids.HostID
	Message *Message
}

// Record is one decision for the log.
type Record struct {
	// Event is the short sentence of the log line.
	Event    string
	Document string
	Revision uint64
	// Held is the revision that stays in force when another is refused.
	Held uint64
	// Source is the host that offered the document; zero is the store.
	Source ids.HostID
	Reason    string
	// Warn marks what an operator has to look at.
	Warn bool
}

// Effects is what the core wants done, in order.
type Effects struct {
	Sends   []Send
	Records []Record
	// Call is a call of the store; the next one comes after its result.
	Call *StoreCall
	// Dial holds the hosts to keep links to, if DialChanged is set.
	Dial        []ids.HostID
	DialChanged bool
	// Snapshot is set when something new is in force; Changed names the
	// documents that differ from the snapshot before.
	Snapshot *config.Snapshot
	Changed  []string
}

// Reset empties the effects and keeps their memory.
func (e *Effects) Reset() {
	*e = Effects{Sends: e.Sends[:0], Records: e.Records[:0]}
}

// Counters count since the start of the core.
type Counters struct {
	FromStore, FromPeers           uint64
	RefusedLower, RefusedConflict  uint64
	RefusedBad                     uint64
	StoreFailures, StoreRelists    uint64
	SilentWatches, DigestExchanges uint64
}

// link is the state of a link to another host.
type link struct {
	host      ids.HostID
	nextHello time.Duration
	// digest, ready and storeAt are what the peer told last.
	digest  uint64
	known   bool
	ready   bool
	count   uint32
	storeAt store.Revision
	// mismatches counts the hellos since the sets were equal or compared.
	mismatches int
}

type want struct {
	from    ids.HostID
	expires time.Duration
}

// Core is the configuration of one host. It is not safe for concurrent use.
type Core struct {
	settings Settings
	rng      *rand.Rand
	docs     documentSet
	// links are in the order of their hosts' ids.
	links   []*link
	wants   map[string]want
	dial    []ids.HostID
	reader  storeReader
	ready   bool
	changed []string
	// unannounced holds what was taken since the last announcement and from whom.
	unannounced map[ids.HostID][]Item
	counters    Counters
}

// New returns a core without configuration. Until it has a view it reads the store itself.
func New(s Settings) *Core {
	return &Core{
		settings:    s,
		rng:         rand.New(rand.NewPCG(s.Seed, uint64(s.Self))),
		docs:        newDocumentSet(),
		wants:       make(map[string]want),
		unannounced: make(map[ids.HostID][]Item),
		reader:      storeReader{behind: make(map[string]uint64)},
	}
}

// IsDocumentName reports whether a key of the store holds a document.
func IsDocumentName(name string) bool {
	return strings.HasPrefix(name, config.AccountPrefix) || strings.HasPrefix(name, config.ZonePrefix) || name == config.KeysName
}

// SetView takes over a changed membership.
func (c *Core) SetView(now time.Duration, view *member.View, out *Effects) {
	dial := dialTargets(c.settings.Self, c.settings.Zone, view)
	if !slices.Equal(dial, c.dial) {
		c.dial = dial
		out.Dial, out.DialChanged = slices.Clone(dial), true
	}
	c.setWatcher(now, isWatcher(c.settings.Self, c.settings.Zone, view), out)
}

// Tick does what is due by time alone.
func (c *Core) Tick(now time.Duration, out *Effects) {
	c.expireWants(now)
	for _, l := range c.links {
		if now >= l.nextHello {
			l.nextHello = now + helloInterval
			c.send(out, l.host, c.hello())
		}
	}
	c.callStore(now, out)
	c.finish(out)
}

// finish announces what was taken in and puts it into force.
func (c *Core) finish(out *Effects) {
	c.announce(out)
	if !c.ready || len(c.changed) == 0 {
		return
	}
	slices.Sort(c.changed)
	out.Changed = slices.Compact(c.changed)
	c.changed = nil
	out.Snapshot = config.Assemble(c.docs.all())
}

// offered is a document as the store or a peer offers it.
type offered struct {
	raw []byte
	// source is the host that offers it; zero is the store, which offers it under a key.
	source ids.HostID
	key    string
}

// take handles an offered document.
func (c *Core) take(now time.Duration, o offered, out *Effects) {
	verdict, doc := c.docs.offer(now, o.raw, o.key)
	r := Record{Source: o.source, Document: o.key}
	repeated := false
	if doc != nil {
		r.Document, r.Revision, r.Held = doc.Name, doc.Revision, c.docs.revision(doc.Name)
		repeated = o.source == 0 && c.noteStoreHolds(doc.Name, doc.Revision, r.Held)
	}
	switch verdict {
	case offerTaken:
		c.taken(doc, o.source, out)
		return
	case offerKnown:
		return
	case offerLower:
		c.counters.RefusedLower++
		r.Event, r.Reason = "lower revision refused", "a host never goes back"
		// A peer that lags is usual, a store that went back is not.
		r.Warn = o.source == 0
	case offerConflict:
		c.counters.RefusedConflict++
		r.Event, r.Reason, r.Warn = "conflicting document refused", "same revision with another content", true
	case offerBad:
		c.counters.RefusedBad++
		r.Event, r.Reason, r.Warn = "bad document refused", "it can't be decoded, is too large or has another name", true
	}
	if !repeated {
		out.Records = append(out.Records, r)
	}
}

func (c *Core) taken(doc *config.Document, source ids.HostID, out *Effects) {
	if source == 0 {
		c.counters.FromStore++
	} else {
		c.counters.FromPeers++
	}
	delete(c.wants, doc.Name)
	c.changed = append(c.changed, doc.Name)
	c.unannounced[source] = append(c.unannounced[source], Item{Name: doc.Name, Revision: doc.Revision})
	event := "document taken"
	if doc.Deleted {
		event = "deletion taken"
	}
	out.Records = append(out.Records, Record{Event: event, Document: doc.Name, Revision: doc.Revision, Held: doc.Revision, Source: source})
}

// becomeReady puts the configuration into force for the first time.
func (c *Core) becomeReady(why string, out *Effects) {
	if c.ready {
		return
	}
	c.ready = true
	c.changed = slices.Clone(c.docs.names)
	out.Records = append(out.Records, Record{Event: "configuration complete", Reason: why})
	if len(c.changed) == 0 {
		out.Snapshot = config.Assemble(nil)
	}
}
