package spread

import (
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/store"
)

// Times and sizes of the store's reading.
const (
	// watchWait is the longest wait of one watch.
	watchWait = 2 * time.Second
	// retryMin and retryMax bound the wait after a failed call.
	retryMin = 500 * time.Millisecond
	retryMax = 4 * time.Second
	// silentListInterval and backListInterval are the least times between two
	// whole listings because of a silent watch and of a store that went back.
	silentListInterval = 4 * time.Second
	backListInterval   = 30 * time.Second
	// listLimit is the number of entries in a page of a whole listing.
	listLimit = 64
	// checkLimit is the number of entries in a page of a check.
	checkLimit = 1
)

// CallKind is the kind of a call of the store.
type CallKind uint8

// The kinds of calls.
const (
	// CallList lists a page; the result goes to Listed.
	CallList CallKind = iota + 1
	// CallWatch waits for writes; the result goes to Watched.
	CallWatch
)

// documentPrefixes are the parts of the store that hold documents. The store
// holds other keys between them, such as the history, which hosts don't read.
var documentPrefixes = [...]string{config.AccountPrefix, config.KeysName, config.ZonePrefix}

// position is a place in a listing of all documents.
type position struct {
	// prefix is an index of documentPrefixes.
	prefix int
	after  string
}

// next returns the position after a page, and whether the listing is complete.
func (p position) next(page store.Page) (position, bool) {
	if page.More && len(page.Entries) > 0 {
		p.after = page.Entries[len(page.Entries)-1].Key
		return p, false
	}
	p.prefix, p.after = p.prefix+1, ""
	if p.prefix < len(documentPrefixes) {
		return p, false
	}
	return position{}, true
}

// StoreCall is a call of the store that the core wants made.
type StoreCall struct {
	Kind CallKind
	// Prefix, After and Limit are the arguments of a listing.
	Prefix string
	After  string
	Limit  int
	// Revision and Wait are the arguments of a watch.
	Revision store.Revision
	Wait     time.Duration
}

// phase says what a watcher does next.
type phase uint8

const (
	// phaseList reads the whole store.
	phaseList phase = iota
	// phaseWatch waits for writes.
	phaseWatch
	// phaseCheck reads one entry and the revision of the store, to see whether
	// the watch missed a write.
	phaseCheck
	// phaseCatchUp asks for the writes that the check saw, without waiting.
	phaseCatchUp
)

// storeReader is the state of a watcher.
type storeReader struct {
	watcher bool
	phase   phase
	calling bool
	// generation rises when the reading starts anew; called is the one in
	// which the call in course was made, whose result is void after a change.
	generation int
	called     int
	listedAt   time.Duration
	listed     bool
	// at is the revision up to which this host read all writes itself.
	at store.Revision
	// fromPeers is the same as told by hosts with equal documents.
	fromPeers store.Revision
	// list, listAt and listNames belong to a listing in course.
	list      position
	listAt    store.Revision
	listNames map[string]bool
	// heldBefore holds the documents that were held when the listing began.
	heldBefore []string
	// check is the place of the next check; the checks go round all documents.
	check     position
	retryAt   time.Duration
	retryWait time.Duration
	failing   bool
	// behind holds documents of which the store holds a lower revision, or none (zero).
	behind map[string]uint64
}

// hint is the revision up to which this host knows all writes.
func (r *storeReader) hint() store.Revision {
	if r.watcher && r.phase != phaseList {
		return r.at
	}
	return r.fromPeers
}

func (r *storeReader) learnHint(at store.Revision) {
	r.fromPeers = max(r.fromPeers, at)
}

func (c *Core) setWatcher(now time.Duration, watcher bool, out *Effects) {
	r := &c.reader
	if r.watcher == watcher {
		return
	}
	r.watcher = watcher
	event := "store watched by this host"
	if !watcher {
		event = "store watched by other hosts"
		r.fromPeers = r.at
	} else {
		c.startReading(now)
	}
	out.Records = append(out.Records, Record{Event: event, Reason: "rendezvous over the availability zone's hosts"})
}

// startReading goes on from where peers with the same documents are, or reads
// the whole store.
func (c *Core) startReading(now time.Duration) {
	r := &c.reader
	r.generation++
	r.retryAt, r.retryWait = 0, 0
	if c.ready && r.fromPeers > 0 {
		r.phase, r.at = phaseWatch, r.fromPeers
		return
	}
	c.startListing(now)
}

// mayList reports whether the last whole listing is long enough ago.
func (r *storeReader) mayList(now, interval time.Duration) bool {
	return !r.listed || now-r.listedAt >= interval
}

func (c *Core) startListing(now time.Duration) {
	r := &c.reader
	r.generation++
	r.listed, r.listedAt = true, now
	r.phase, r.list, r.listAt = phaseList, position{}, 0
	r.listNames = make(map[string]bool)
	r.heldBefore = append([]string(nil), c.docs.names...)
}

func (c *Core) callStore(now time.Duration, out *Effects) {
	r := &c.reader
	if !r.watcher || r.calling || now < r.retryAt {
		return
	}
	r.calling, r.called = true, r.generation
	switch r.phase {
	case phaseList:
		out.Call = listCall(r.list, listLimit)
	case phaseCheck:
		out.Call = listCall(r.check, checkLimit)
	case phaseCatchUp:
		out.Call = &StoreCall{Kind: CallWatch, Revision: r.at}
	default:
		out.Call = &StoreCall{Kind: CallWatch, Revision: r.at, Wait: watchWait}
	}
}

func listCall(p position, limit int) *StoreCall {
	return &StoreCall{Kind: CallList, Prefix: documentPrefixes[p.prefix], After: p.after, Limit: limit}
}
