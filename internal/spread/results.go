package spread

import (
	"errors"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// HandleList takes the result of a listing.
func (c *Core) HandleList(now time.Duration, page store.Page, err error, out *Effects) {
	r := &c.reader
	r.calling = false
	if !r.watcher || r.called != r.generation || !c.answered(now, err, out) {
		return
	}
	for _, e := range page.Entries {
		c.takeFromStore(now, e, out)
	}
	if r.phase == phaseCheck {
		c.checked(now, page, out)
	} else {
		c.listedPage(page, out)
	}
	c.callStore(now, out)
	c.finish(out)
}

func (c *Core) takeFromStore(now time.Duration, e store.Entry, out *Effects) {
	if IsDocumentName(e.Key) {
		c.take(now, offered{key: e.Key, raw: e.Value}, out)
	}
}

func (c *Core) listedPage(page store.Page, out *Effects) {
	r := &c.reader
	if r.list == (position{}) {
		// Writes after the first page are seen by the watch that follows.
		r.listAt = page.At
	}
	for _, e := range page.Entries {
		r.listNames[e.Key] = true
	}
	var complete bool
	if r.list, complete = r.list.next(page); !complete {
		return
	}
	r.at, r.phase = r.listAt, phaseWatch
	c.reportMissing(out)
	c.becomeReady("whole listing of the store", out)
}

// reportMissing tells of documents that are held and that the store lacks.
func (c *Core) reportMissing(out *Effects) {
	for _, name := range c.reader.heldBefore {
		if c.reader.listNames[name] {
			continue
		}
		if _, reported := c.reader.behind[name]; reported {
			continue
		}
		c.reader.behind[name] = 0
		out.Records = append(out.Records, Record{
			Event: "document missing in the store", Document: name, Held: c.docs.revision(name),
			Reason: "what is held stays in force", Warn: true,
		})
	}
}

// checked compares the revision of the store with the one that the watch reached.
func (c *Core) checked(now time.Duration, page store.Page, out *Effects) {
	r := &c.reader
	r.check, _ = r.check.next(page)
	switch {
	case page.At > r.at:
		r.phase = phaseCatchUp
	case page.At < r.at && r.mayList(now, backListInterval):
		c.counters.StoreRelists++
		out.Records = append(out.Records, Record{
			Event: "store went back", Revision: uint64(page.At), Held: uint64(r.at),
			Reason: "its revision is lower than before", Warn: true,
		})
		c.startListing(now)
	default:
		r.phase = phaseWatch
	}
}

// HandleWatch takes the result of a watch.
func (c *Core) HandleWatch(now time.Duration, events []store.Event, next store.Revision, err error, out *Effects) {
	r := &c.reader
	r.calling = false
	if !r.watcher || r.called != r.generation || !c.answered(now, err, out) {
		return
	}
	for _, e := range events {
		c.watched(now, e, out)
	}
	switch {
	case next > r.at:
		r.at, r.phase = next, phaseWatch
	case r.phase == phaseCatchUp:
		c.watchIsSilent(now, out)
	default:
		r.phase = phaseCheck
	}
	c.callStore(now, out)
	c.finish(out)
}

// watchIsSilent goes on from where peers with the same documents are, or lists
// the store in place of a watch that tells of no writes.
func (c *Core) watchIsSilent(now time.Duration, out *Effects) {
	r := &c.reader
	if r.fromPeers > r.at {
		r.at, r.phase = r.fromPeers, phaseWatch
		return
	}
	if !r.mayList(now, silentListInterval) {
		r.phase = phaseWatch
		return
	}
	c.counters.SilentWatches++
	out.Records = append(out.Records, Record{
		Event: "watch is silent", Revision: uint64(r.at), Reason: "the store holds later writes", Warn: true,
	})
	c.startListing(now)
}

func (c *Core) watched(now time.Duration, e store.Event, out *Effects) {
	if !IsDocumentName(e.Entry.Key) {
		return
	}
	if e.Deleted {
		c.reader.behind[e.Entry.Key] = 0
		out.Records = append(out.Records, Record{
			Event: "document missing in the store", Document: e.Entry.Key, Held: c.docs.revision(e.Entry.Key),
			Reason: "what is held stays in force", Warn: true,
		})
		return
	}
	c.takeFromStore(now, e.Entry, out)
}

// noteStoreHolds keeps the documents of which the store holds less than this
// host. It reports whether this was known before.
func (c *Core) noteStoreHolds(name string, revision, held uint64) bool {
	if revision >= held {
		delete(c.reader.behind, name)
		return false
	}
	before, known := c.reader.behind[name]
	c.reader.behind[name] = revision
	return known && before == revision
}

// answered handles the failure of a call and reports whether there is none.
func (c *Core) answered(now time.Duration, err error, out *Effects) bool {
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
	if errors.As(err, &failure) && failure.Fault == store.FaultCompacted {
		c.counters.StoreRelists++
		out.Records = append(out.Records, Record{Event: "store is listed anew", Revision: uint64(r.at), Reason: "the revision to watch from is gone"})
		c.startListing(now)
		return false
	}
	c.afterFailure(now, out)
	r.retryWait = min(max(2*r.retryWait, retryMin), retryMax)
	// Half of the wait is drawn, so that watchers don't come back together.
	r.retryAt = now + r.retryWait/2 + time.Duration(c.rng.Int64N(int64(r.retryWait/2)))
	if !r.failing {
		out.Records = append(out.Records, Record{Event: "store does not answer", Reason: err.Error(), Warn: true})
	}
	r.failing = true
	return false
}

// afterFailure looks at the store by a listing next, because a watch that fails
// may be the only thing that does.
func (c *Core) afterFailure(now time.Duration, out *Effects) {
	r := &c.reader
	switch r.phase {
	case phaseWatch:
		r.phase = phaseCheck
	case phaseCatchUp:
		c.watchIsSilent(now, out)
	}
}

// StoreBehind returns the number of documents of which the store holds a lower
// revision than this host, or none.
func (c *Core) StoreBehind() int { return len(c.reader.behind) }

// IsWatcher reports whether this host reads the store.
func (c *Core) IsWatcher() bool { return c.reader.watcher }
