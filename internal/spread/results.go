package spread

import (
	"errors"
	"maps"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// HandleList handles the result of a CallList.
func (c *Core) HandleList(now time.Duration, page store.Page, err error, out *Effects) {
	r := &c.reader
	r.inFlight = false
	if !r.watcher || r.callGeneration != r.generation || !c.checkResult(now, err, out) {
		return
	}
	for _, e := range page.Entries {
		c.offerFromStore(now, e, out)
	}
	if r.phase == phaseCheck {
		c.handleCheck(now, page, out)
	} else {
		c.handleListPage(now, page, out)
	}
	c.callStore(now, out)
	c.flush(out)
}

func (c *Core) offerFromStore(now time.Duration, e store.Entry, out *Effects) {
	if IsDocumentName(e.Key) {
		c.handleOffer(now, offeredDocument{key: e.Key, raw: e.Value}, out)
	}
}

func (c *Core) handleListPage(now time.Duration, page store.Page, out *Effects) {
	r := &c.reader
	if r.list == (listPosition{}) {
		// Writes after the first page are delivered by the following watch.
		r.listedFrom = page.Position()
	}
	if page.Era != r.listedFrom.Era {
		c.restartAfterRestore(now, page.Position(), out)
		return
	}
	for _, e := range page.Entries {
		r.listNames[e.Key] = true
	}
	var complete bool
	if r.list, complete = r.list.next(page); !complete {
		return
	}
	r.position, r.phase = r.listedFrom, phaseWatch
	c.reportMissing(out)
	if r.restored {
		r.restored = false
		c.reportLost(out)
	}
	c.markReady("whole listing of the store", out)
}

// reportMissing logs the held documents that the store did not list, unless that
// was already reported.
func (c *Core) reportMissing(out *Effects) {
	for _, name := range c.reader.heldAtStart {
		if c.reader.listNames[name] {
			continue
		}
		if _, reported := c.reader.behind[name]; reported {
			continue
		}
		c.reader.behind[name] = 0
		out.Records = append(out.Records, Record{
			Event: "document missing in the store", Document: name, Held: c.docs.revision(name),
			Reason: "the held revision stays in force", Warn: true,
		})
	}
}

// restartAfterRestore starts a listing of the restored store. Its revisions can't be
// compared with those that this host has reached.
func (c *Core) restartAfterRestore(now time.Duration, at store.Position, out *Effects) {
	c.counters.StoreRelists++
	out.Records = append(out.Records, Record{
		Event: "store was restored from a copy", Revision: uint64(at.Revision), Held: uint64(c.reader.position.Revision), Era: uint64(at.Era),
		Reason: "documents that it lost stay in force", Warn: true,
	})
	c.startListing(now)
	c.reader.restored = true
}

// reportLost returns the documents of which the restored store has a lower revision than
// this host, or none.
func (c *Core) reportLost(out *Effects) {
	for _, name := range slices.Sorted(maps.Keys(c.reader.behind)) {
		if d := c.docs.byName[name]; d != nil {
			out.Lost = append(out.Lost, d.doc)
		}
	}
}

// handleCheck compares the store's position with the one that the watch has
// reached.
func (c *Core) handleCheck(now time.Duration, page store.Page, out *Effects) {
	r := &c.reader
	r.check, _ = r.check.next(page)
	switch {
	case page.Era != r.position.Era:
		c.restartAfterRestore(now, page.Position(), out)
	case page.At > r.position.Revision:
		r.phase = phaseCatchUp
	case page.At < r.position.Revision && r.mayRelist(now, decreaseListInterval):
		c.counters.StoreRelists++
		out.Records = append(out.Records, Record{
			Event: "store revision decreased", Era: uint64(page.Era), Revision: uint64(page.At), Held: uint64(r.position.Revision),
			Reason: "it is lower than the revision that the watch reached", Warn: true,
		})
		c.startListing(now)
	default:
		r.phase = phaseWatch
	}
}

// HandleWatch handles the result of a CallWatch.
func (c *Core) HandleWatch(now time.Duration, events []store.Event, next store.Position, err error, out *Effects) {
	r := &c.reader
	r.inFlight = false
	if !r.watcher || r.callGeneration != r.generation || !c.checkResult(now, err, out) {
		return
	}
	for _, e := range events {
		c.handleEvent(now, e, out)
	}
	switch {
	case next.Compare(r.position) > 0:
		r.position, r.phase = next, phaseWatch
	case r.phase == phaseCatchUp:
		c.handleSilentWatch(now, out)
	default:
		r.phase = phaseCheck
	}
	c.callStore(now, out)
	c.flush(out)
}

// handleSilentWatch handles a watch that did not deliver existing writes. It
// continues from the position reached by peers with equal documents, or lists the
// store again.
func (c *Core) handleSilentWatch(now time.Duration, out *Effects) {
	r := &c.reader
	if r.peerPosition.Compare(r.position) > 0 {
		r.position, r.phase = r.peerPosition, phaseWatch
		return
	}
	if !r.mayRelist(now, silentListInterval) {
		r.phase = phaseWatch
		return
	}
	c.counters.SilentWatches++
	out.Records = append(out.Records, Record{
		Event: "watch is silent", Era: uint64(r.position.Era), Revision: uint64(r.position.Revision), Reason: "the store holds later writes", Warn: true,
	})
	c.startListing(now)
}

func (c *Core) handleEvent(now time.Duration, e store.Event, out *Effects) {
	if !IsDocumentName(e.Entry.Key) {
		return
	}
	if e.Deleted {
		c.reader.behind[e.Entry.Key] = 0
		out.Records = append(out.Records, Record{
			Event: "document missing in the store", Document: e.Entry.Key, Held: c.docs.revision(e.Entry.Key),
			Reason: "the held revision stays in force", Warn: true,
		})
		return
	}
	c.offerFromStore(now, e.Entry, out)
}

// trackBehind tracks the documents of which the store has a lower revision than
// this host. It reports whether the same lower revision was already recorded.
func (c *Core) trackBehind(name string, revision, held uint64) bool {
	if revision >= held {
		delete(c.reader.behind, name)
		return false
	}
	before, known := c.reader.behind[name]
	c.reader.behind[name] = revision
	return known && before == revision
}

// checkResult handles the error of a store call and reports whether the call
// succeeded.
func (c *Core) checkResult(now time.Duration, err error, out *Effects) bool {
	r := &c.reader
	if err == nil {
		if r.failing {
			out.Records = append(out.Records, Record{Event: "store answers again"})
		}
		r.failing, r.retryWait = false, 0
		return true
	}
	c.counters.StoreFailures++
	var failure *store.Error
	if errors.As(err, &failure) && failure.Fault == store.FaultRestored {
		c.restartAfterRestore(now, store.Position{}, out)
		return false
	}
	if errors.As(err, &failure) && failure.Fault == store.FaultCompacted {
		c.counters.StoreRelists++
		out.Records = append(out.Records, Record{Event: "listing the store again", Era: uint64(r.position.Era), Revision: uint64(r.position.Revision), Reason: "the revision to watch from was compacted"})
		c.startListing(now)
		return false
	}
	c.afterFailure(now, out)
	r.retryWait = min(max(2*r.retryWait, retryMin), retryMax)
	// Half of the backoff is random, so that watchers do not retry at the same time.
	r.retryAt = now + r.retryWait/2 + time.Duration(c.rng.Int64N(int64(r.retryWait/2)))
	if !r.failing {
		out.Records = append(out.Records, Record{Event: "store does not answer", Reason: err.Error(), Warn: true})
	}
	r.failing = true
	return false
}

// afterFailure selects a listing call as the next one, because the store may
// answer listings while watches fail.
func (c *Core) afterFailure(now time.Duration, out *Effects) {
	r := &c.reader
	switch r.phase {
	case phaseWatch:
		r.phase = phaseCheck
	case phaseCatchUp:
		c.handleSilentWatch(now, out)
	}
}

// StoreBehind returns the number of documents of which the store has a lower
// revision than this host, or none.
func (c *Core) StoreBehind() int { return len(c.reader.behind) }

// IsWatcher reports whether this host is one of its availability zone's watchers of
// the store.
func (c *Core) IsWatcher() bool { return c.reader.watcher }
