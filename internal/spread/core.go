// Package spread distributes the accepted configuration to all hosts. The
// configuration consists of documents, each with its own revision: one for each
// client account and each availability zone, and one for the keys. A few hosts of
// each availability zone, the watchers, list and watch the platform's store; the
// others receive documents over links between hosts, by announcements and, as
// anti-entropy, by comparing digests. For each document a host only ever moves to
// a higher revision, whatever the store or a peer offers.
//
// A watcher in this package watches the store. The watchers in package member are
// unrelated: they expect the heartbeats of other hosts.
//
// The Core is a deterministic state machine. It has no clock, socket or goroutine:
// callers pass the time, as the duration since the start of the process, and
// perform the returned Effects.
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

// Protocol timing.
const (
	// TickInterval is the interval at which the caller calls Tick.
	TickInterval = 100 * time.Millisecond
	// helloInterval is the interval of the hellos on a link.
	helloInterval = time.Second
	// wantTimeout is how long to wait for a requested document before it may be
	// requested from another host.
	wantTimeout = time.Second
)

// maxWants is the largest number of outstanding document requests.
const maxWants = 256

// Settings holds the parameters of a Core. They do not change after New.
type Settings struct {
	Self ids.HostID
	Zone string
	// Seed seeds the random choices and the jitter of the backoff.
	Seed uint64
}

// Send is a message to be sent to a linked host.
type Send struct {
	To      ids.HostID
	Message *Message
}

// Record describes a decision for the log.
type Record struct {
	// Event is the message of the log line.
	Event    string
	Document string
	Revision uint64
	// Held is the revision that this host holds after the decision. In a record
	// about the store as a whole, Revision and Held are revisions of the store.
	Held uint64
	// Era is the store's era, in records about the store as a whole.
	Era uint64
	// Source is the host that offered the document, or zero for the store.
	Source ids.HostID
	Reason string
	// Warn is set if the line needs an operator's attention and is logged as a
	// warning.
	Warn bool
}

// Effects collects the actions that the caller has to perform, in order.
type Effects struct {
	Sends   []Send
	Records []Record
	// Call is a store call to make, or nil. There is at most one call at a time: the
	// next one is requested after the result has been passed in.
	Call *StoreCall
	// Dial holds the hosts to keep links to. It is valid only if DialChanged is set.
	Dial        []ids.HostID
	DialChanged bool
	// Lost holds documents that the store lost in a restore, to be written back.
	Lost []*config.Document
	// Snapshot is the new configuration, or nil if it has not changed. Changed holds
	// the names of the documents that differ from the previous snapshot.
	Snapshot *config.Snapshot
	Changed  []string
}

// Reset clears the effects and keeps the slices' capacity.
func (e *Effects) Reset() {
	*e = Effects{Sends: e.Sends[:0], Records: e.Records[:0]}
}

// Counters counts events since New.
type Counters struct {
	// FromStore and FromPeers count the stored documents by their source.
	FromStore, FromPeers uint64
	// RefusedLower counts the offered documents with a lower revision than the held
	// one, RefusedConflict those with the same revision but different content, and
	// RefusedBad those that are invalid.
	RefusedLower, RefusedConflict uint64
	RefusedBad                    uint64
	// StoreFailures counts the failed store calls, and StoreRelists the full listings
	// caused by a compacted or decreased revision of the store.
	StoreFailures, StoreRelists uint64
	// SilentWatches counts the full listings caused by a watch that did not deliver
	// existing writes, and DigestExchanges the comparisons of bucket digests that
	// this host started.
	SilentWatches, DigestExchanges uint64
}

// link is the state of a link to another host.
type link struct {
	host      ids.HostID
	nextHello time.Duration
	// digest, ready, count and storePosition are from the peer's last hello.
	// helloReceived is set once one has arrived.
	digest        uint64
	helloReceived bool
	ready         bool
	count         uint32
	storePosition store.Position
	// mismatches counts the hellos since the digests were last equal or a comparison
	// of buckets was started.
	mismatches int
}

// want is an outstanding request for a document.
type want struct {
	from    ids.HostID
	expires time.Duration
}

// Core is the configuration state machine of one host. It is not safe for
// concurrent use.
type Core struct {
	settings Settings
	rng      *rand.Rand
	docs     documentSet
	// links is sorted by host id.
	links   []*link
	wants   map[string]want
	dial    []ids.HostID
	reader  storeReader
	ready   bool
	changed []string
	// unannounced holds the documents stored since the last announcement, by the
	// host that they came from (zero for the store).
	unannounced map[ids.HostID][]Item
	counters    Counters
}

// New returns a core without configuration. The host does not read the store
// before SetView has made it a watcher.
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

// IsDocumentName reports whether a key of the store names a document.
func IsDocumentName(name string) bool {
	return strings.HasPrefix(name, config.AccountPrefix) || strings.HasPrefix(name, config.ZonePrefix) || name == config.KeysName
}

// SetView applies a changed membership view to the links and to the choice of
// watchers.
func (c *Core) SetView(now time.Duration, view *member.View, out *Effects) {
	dial := dialTargets(c.settings.Self, c.settings.Zone, view)
	if !slices.Equal(dial, c.dial) {
		c.dial = dial
		out.Dial, out.DialChanged = slices.Clone(dial), true
	}
	c.setWatcher(now, isWatcher(c.settings.Self, c.settings.Zone, view), out)
}

// Tick performs all actions that are due. It must be called every TickInterval.
func (c *Core) Tick(now time.Duration, out *Effects) {
	c.expireWants(now)
	for _, l := range c.links {
		if now >= l.nextHello {
			l.nextHello = now + helloInterval
			c.send(out, l.host, c.hello())
		}
	}
	c.callStore(now, out)
	c.flush(out)
}

// flush announces newly stored documents to the linked hosts and publishes a
// snapshot if documents have changed.
func (c *Core) flush(out *Effects) {
	c.announce(out)
	if !c.ready || len(c.changed) == 0 {
		return
	}
	slices.Sort(c.changed)
	out.Changed = slices.Compact(c.changed)
	c.changed = nil
	out.Snapshot = config.Assemble(c.docs.all())
}

// offeredDocument is an encoded document offered by the store or a peer.
type offeredDocument struct {
	raw []byte
	// source is the host that offers the document, or zero for the store. key is the
	// key of the store, and empty for a peer.
	source ids.HostID
	key    string
}

// handleOffer stores an offered document if its revision is higher than the held
// one, and counts and logs the result. A lower revision that the store offers
// repeatedly is logged once.
func (c *Core) handleOffer(now time.Duration, o offeredDocument, out *Effects) {
	result, doc := c.docs.offer(now, o.raw, o.key)
	r := Record{Source: o.source, Document: o.key}
	repeated := false
	if doc != nil {
		r.Document, r.Revision, r.Held = doc.Name, doc.Revision, c.docs.revision(doc.Name)
		repeated = o.source == 0 && c.trackBehind(doc.Name, doc.Revision, r.Held)
	}
	switch result {
	case offerStored:
		c.recordStored(doc, o.source, out)
		return
	case offerDuplicate:
		return
	case offerStale:
		c.counters.RefusedLower++
		r.Event, r.Reason = "lower revision refused", "revisions only increase"
		// A peer with older revisions is normal; a store with older revisions is not.
		r.Warn = o.source == 0
	case offerConflict:
		c.counters.RefusedConflict++
		r.Event, r.Reason, r.Warn = "conflicting document refused", "same revision with different content", true
	case offerInvalid:
		c.counters.RefusedBad++
		r.Event, r.Reason, r.Warn = "bad document refused", "can't be decoded, is too large or does not match its key", true
	}
	if !repeated {
		out.Records = append(out.Records, r)
	}
}

func (c *Core) recordStored(doc *config.Document, source ids.HostID, out *Effects) {
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

// markReady marks the configuration as complete, so that the first snapshot is
// published.
func (c *Core) markReady(reason string, out *Effects) {
	if c.ready {
		return
	}
	c.ready = true
	c.changed = slices.Clone(c.docs.names)
	out.Records = append(out.Records, Record{Event: "configuration complete", Reason: reason})
	if len(c.changed) == 0 {
		out.Snapshot = config.Assemble(nil)
	}
}
