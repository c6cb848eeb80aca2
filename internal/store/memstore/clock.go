package memstore

import (
	"slices"
	"sync"
	"time"
)

// Clock is the time source of a store.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f after the duration. The returned function cancels the call
	// if it has not been made.
	AfterFunc(d time.Duration, f func()) (stop func())
}

// WallClock is the system clock.
type WallClock struct{}

// Now returns the current time.
func (WallClock) Now() time.Time { return time.Now() }

// AfterFunc calls f in its own goroutine after the duration.
func (WallClock) AfterFunc(d time.Duration, f func()) func() {
	timer := time.AfterFunc(d, f)
	return func() { timer.Stop() }
}

// ManualClock is a clock for tests that advances only when Advance is called.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []*manualTimer
	next   int
}

type manualTimer struct {
	due   time.Time
	order int
	f     func()
}

// NewManualClock returns a clock set to the given time.
func NewManualClock(start time.Time) *ManualClock {
	return &ManualClock{now: start}
}

// Now returns the time that the clock is set to.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc schedules f. Advance calls it in the goroutine of its caller.
func (c *ManualClock) AfterFunc(d time.Duration, f func()) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &manualTimer{due: c.now.Add(d), order: c.next, f: f}
	c.next++
	c.timers = append(c.timers, t)
	return func() { c.remove(t) }
}

func (c *ManualClock) remove(t *manualTimer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timers = slices.DeleteFunc(c.timers, func(other *manualTimer) bool { return other == t })
}

// Advance advances the clock by the duration. It makes the calls that become due
// in the order of their due times, and then of their scheduling, each with the
// clock set to its due time.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	end := c.now.Add(d)
	c.mu.Unlock()
	for t := c.takeDue(end); t != nil; t = c.takeDue(end) {
		t.f()
	}
	c.mu.Lock()
	c.now = end
	c.mu.Unlock()
}

// takeDue removes and returns the earliest timer due by end, and sets the clock to
// its due time. It returns nil if there is none.
func (c *ManualClock) takeDue(end time.Time) *manualTimer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first *manualTimer
	for _, t := range c.timers {
		if first == nil || t.due.Before(first.due) || t.due.Equal(first.due) && t.order < first.order {
			first = t
		}
	}
	if first == nil || first.due.After(end) {
		return nil
	}
	c.timers = slices.DeleteFunc(c.timers, func(other *manualTimer) bool { return other == first })
	if first.due.After(c.now) {
		c.now = first.due
	}
	return first
}

// PendingTimers returns the number of scheduled calls.
func (c *ManualClock) PendingTimers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}
