package spread

import (
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/store"
)

// Timing and page sizes of store reads.
const (
	// watchWait is the long-poll duration of a watch.
	watchWait = 2 * time.Second
	// retryMin and retryMax bound the exponential backoff after failed calls.
	retryMin = 500 * time.Millisecond
	retryMax = 4 * time.Second
	// silentListInterval and decreaseListInterval are the minimum times between two
	// full listings that are caused by a silent watch and by a store whose revision
	// decreased, respectively.
	silentListInterval   = 4 * time.Second
	decreaseListInterval = 30 * time.Second
	// listLimit is the number of entries requested per page of a full listing.
	listLimit = 64
	// checkLimit is the number of entries requested by a check.
	checkLimit = 1
)

// CallKind is the type of a store call.
type CallKind uint8

// Types of store calls.
const (
	// CallList reads one page of a listing; the result goes to HandleList.
	CallList CallKind = iota + 1
	// CallWatch waits for writes; the result goes to HandleWatch.
	CallWatch
)

// documentPrefixes are the key prefixes of documents. Keys between them, such as
// the history, are not read by hosts.
var documentPrefixes = [...]string{config.AccountPrefix, config.KeysName, config.ZonePrefix}

// listPosition is a position in a listing of all documents.
type listPosition struct {
	// prefix is an index into documentPrefixes.
	prefix int
	after  string
}

// next returns the position after the given page and whether the listing is
// complete.
func (p listPosition) next(page store.Page) (listPosition, bool) {
	if page.More && len(page.Entries) > 0 {
		p.after = page.Entries[len(page.Entries)-1].Key
		return p, false
	}
	p.prefix, p.after = p.prefix+1, ""
	if p.prefix < len(documentPrefixes) {
		return p, false
	}
	return listPosition{}, true
}

// StoreCall is a store call to be made by the caller of the core.
type StoreCall struct {
	Kind CallKind
	// Prefix, After and Limit are the arguments of a CallList.
	Prefix string
	After  string
	Limit  int
	// Position and Wait are the arguments of a CallWatch.
	Position store.Position
	Wait     time.Duration
}

// phase is the next step of a watcher.
type phase uint8

const (
	// phaseList reads all documents.
	phaseList phase = iota
	// phaseWatch waits for writes.
	phaseWatch
	// phaseCheck reads one entry and the store's position, to detect writes that the
	// watch missed.
	phaseCheck
	// phaseCatchUp polls, without waiting, for the writes that the check detected.
	phaseCatchUp
)

// storeReader holds the progress of reading the store.
type storeReader struct {
	watcher bool
	phase   phase
	// inFlight is set while a store call is outstanding.
	inFlight bool
	// generation is incremented when reading restarts. callGeneration is the
	// generation of the outstanding call, whose result is discarded if the
	// generation has changed.
	generation     int
	callGeneration int
	listedAt       time.Duration
	listed         bool
	// position is the position up to which this host has read all writes itself.
	position store.Position
	// peerPosition is the latest such position reported by hosts with equal
	// documents.
	peerPosition store.Position
	// list, listedFrom and listNames are the progress of the current listing, the
	// store's position at its start and the keys read so far.
	list       listPosition
	listedFrom store.Position
	listNames  map[string]bool
	// heldAtStart holds the names of the documents that were held when the listing
	// started.
	heldAtStart []string
	// restored is set while the listing is the first one of a restored store.
	restored bool
	// check is the position of the next check. Successive checks cycle through all
	// documents.
	check     listPosition
	retryAt   time.Duration
	retryWait time.Duration
	failing   bool
	// behind maps documents of which the store has a lower revision than this host
	// to that revision, which is zero if the store has none.
	behind map[string]uint64
}

// knownPosition returns the position up to which this host is known to have all
// writes.
func (r *storeReader) knownPosition() store.Position {
	if r.watcher && r.phase != phaseList {
		return r.position
	}
	return r.peerPosition
}

func (r *storeReader) raisePeerPosition(at store.Position) {
	if at.Compare(r.peerPosition) > 0 {
		r.peerPosition = at
	}
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
		r.peerPosition = r.position
	} else {
		c.startReading(now)
	}
	out.Records = append(out.Records, Record{Event: event, Reason: "rendezvous over the availability zone's hosts"})
}

// startReading continues from the position reached by peers with equal documents,
// or lists the store if there is none.
func (c *Core) startReading(now time.Duration) {
	r := &c.reader
	r.generation++
	r.retryAt, r.retryWait = 0, 0
	if c.ready && !r.peerPosition.IsZero() {
		r.phase, r.position = phaseWatch, r.peerPosition
		return
	}
	c.startListing(now)
}

// mayRelist reports whether the last full listing was started at least the
// interval ago.
func (r *storeReader) mayRelist(now, interval time.Duration) bool {
	return !r.listed || now-r.listedAt >= interval
}

func (c *Core) startListing(now time.Duration) {
	r := &c.reader
	r.generation++
	r.listed, r.listedAt = true, now
	r.phase, r.list, r.listedFrom = phaseList, listPosition{}, store.Position{}
	r.listNames = make(map[string]bool)
	r.heldAtStart = append([]string(nil), c.docs.names...)
}

func (c *Core) callStore(now time.Duration, out *Effects) {
	r := &c.reader
	if !r.watcher || r.inFlight || now < r.retryAt {
		return
	}
	r.inFlight, r.callGeneration = true, r.generation
	switch r.phase {
	case phaseList:
		out.Call = listCall(r.list, listLimit)
	case phaseCheck:
		out.Call = listCall(r.check, checkLimit)
	case phaseCatchUp:
		out.Call = &StoreCall{Kind: CallWatch, Position: r.position}
	default:
		out.Call = &StoreCall{Kind: CallWatch, Position: r.position, Wait: watchWait}
	}
}

func listCall(p listPosition, limit int) *StoreCall {
	return &StoreCall{Kind: CallList, Prefix: documentPrefixes[p.prefix], After: p.after, Limit: limit}
}
