package schedule

import (
	"math"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/list"
)

const (
	// fairSpan is the time for which a dispatched request counts against its caller. It exceeds the
	// latency objectives, so that a caller can't gain by sending its requests one after the other.
	fairSpan = time.Second
	// maxRound bounds the round of a request.
	maxRound = lateBit - 1
)

// window counts events of about the last second: all of the current interval, and those of the
// previous one in proportion to the part of it that the second still covers.
type window struct {
	interval          int64
	current, previous int
}

func (w *window) move(now time.Duration) {
	interval := int64(now / fairSpan)
	if interval == w.interval {
		return
	}
	if interval == w.interval+1 {
		w.previous = w.current
	} else {
		w.previous = 0
	}
	w.interval, w.current = interval, 0
}

func (w *window) add(now time.Duration) {
	w.move(now)
	w.current++
}

// count returns the number of events.
func (w window) count(now time.Duration) float64 {
	w.move(now)
	return float64(w.current) + float64(w.previous)*(1-float64(now%fairSpan)/float64(fairSpan))
}

// caller counts the requests of a caller in one priority.
type caller struct {
	addr       netip.Addr
	waiting    int
	dispatched window
	idleSince  time.Duration
	links      list.Links[caller]
}

// round returns the round of another request: the number of those that wait or were dispatched.
func (c *caller) round(now time.Duration) int {
	return min(c.waiting+int(math.Round(c.dispatched.count(now))), maxRound)
}

// callers holds the callers of a priority.
type callers struct {
	byAddr map[netip.Addr]*caller
	// idle holds the callers without waiting requests, in the order in which they became so.
	idle list.List[caller]
	// unused holds callers for reuse.
	unused []*caller
}

// round returns the round of another request of a caller.
func (t *callers) round(now time.Duration, addr netip.Addr) int {
	if c := t.byAddr[addr]; c != nil {
		return c.round(now)
	}
	return 0
}

// add counts a waiting request of a caller.
func (t *callers) add(now time.Duration, addr netip.Addr) *caller {
	t.forget(now)
	c := t.byAddr[addr]
	switch {
	case c == nil:
		if n := len(t.unused); n > 0 {
			c, t.unused = t.unused[n-1], t.unused[:n-1]
		} else {
			c = &caller{}
		}
		*c = caller{addr: addr}
		t.byAddr[addr] = c
	case c.waiting == 0:
		t.idle.Remove(c)
	}
	c.waiting++
	return c
}

// remove stops counting a waiting request.
func (t *callers) remove(now time.Duration, c *caller) {
	if c.waiting--; c.waiting == 0 {
		c.idleSince = now
		t.idle.Push(c)
	}
}

// forget removes callers whose dispatched requests don't count any more: at most two, one more than
// a call adds.
func (t *callers) forget(now time.Duration) {
	for range 2 {
		c := t.idle.First()
		if c == nil || now-c.idleSince < 2*fairSpan {
			return
		}
		t.idle.Remove(c)
		delete(t.byAddr, c.addr)
		t.unused = append(t.unused, c)
	}
}
