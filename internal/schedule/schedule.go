// Package schedule decides which waiting request of a service takes a slot that gets free, and which
// request is rejected because it would not be served. It has no clock, sockets or goroutines: each call
// is given the time as the duration since the start of the host.
//
// A Queue holds the waiting requests of one service at one host. Requests that may go to any upstream
// wait in the queue itself, those bound to the upstream of an open flow in its Line.
package schedule

import (
	"net/netip"
	"time"
)

// Request is what the queue knows of a request.
type Request struct {
	// Caller is the address by which the fair share of callers is counted.
	Caller netip.Addr
	// Priority is that of the route; zero is the most urgent.
	Priority int
	// Rejectable is set if the request can be rejected truthfully: no packet of it was forwarded.
	Rejectable bool
	// ObjectiveAt is when the latency objective passes, DeadlineAt when the caller gives up.
	ObjectiveAt, DeadlineAt time.Duration
}

// Entry is a waiting request. The zero value with a Request is ready to be added.
type Entry[T any] struct {
	Request
	// Value is the caller's reference to the request.
	Value T
	// WaitsSince is when the entry was added.
	WaitsSince time.Duration

	line *Line[T]
}

// Line holds the waiting requests that are bound to one upstream. The zero value is empty.
type Line[T any] struct {
	entries []*Entry[T]
}

// Len returns the number of requests in the line.
func (l *Line[T]) Len() int { return len(l.entries) }

// Supply is what the upstreams that a host may use can do.
type Supply struct {
	// Rate is the number of slots that get free per second, Work the time that a request takes one.
	Rate float64
	Work time.Duration
	// Lasting is set while the demand exceeds the supply for longer than requests can wait.
	Lasting bool
}

// Assessment is the outlook of a request that would have to wait.
type Assessment struct {
	// Rank is the number of requests that go before it, Wait the expected time until it takes a slot.
	Rank int
	Wait time.Duration
	// InTime is set if it is expected to meet its latency objective, Served if it is expected to be
	// served before its deadline.
	InTime, Served bool
}

// Queue holds the waiting requests of a service.
type Queue[T any] struct {
	free Line[T]
	size int
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{} }

// Len returns the number of waiting requests, those in lines included.
func (q *Queue[T]) Len() int { return q.size }

// Add adds a request that waits for any upstream, or for that of the line if it is not nil.
func (q *Queue[T]) Add(now time.Duration, e *Entry[T], line *Line[T]) {
	if line == nil {
		line = &q.free
	}
	e.WaitsSince, e.line = now, line
	line.entries = append(line.entries, e)
	q.size++
}

// Waits reports whether the entry is in a queue.
func (e *Entry[T]) Waits() bool { return e.line != nil }

// FreeLen returns the number of waiting requests that may go to any upstream.
func (q *Queue[T]) FreeLen() int { return len(q.free.entries) }

// NextInLine removes and returns the highest ranked request of a line, or nil if it is empty.
func (q *Queue[T]) NextInLine(now time.Duration, line *Line[T]) *Entry[T] {
	if len(line.entries) == 0 {
		return nil
	}
	e := line.entries[0]
	q.Remove(e)
	return e
}

// Remove removes an entry if it waits.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.line == nil {
		return
	}
	for i, x := range e.line.entries {
		if x == e {
			e.line.entries = append(e.line.entries[:i], e.line.entries[i+1:]...)
			break
		}
	}
	e.line = nil
	q.size--
}

// Next removes and returns the request that takes a slot at the upstream of the line: the highest
// ranked of those in the line and of those that may go to any upstream. It returns nil if none waits.
// If line is nil, only requests that may go to any upstream are considered. The work is the time that
// a request takes a slot; zero is unknown.
func (q *Queue[T]) Next(now time.Duration, line *Line[T], work time.Duration) *Entry[T] {
	for _, l := range []*Line[T]{line, &q.free} {
		if l != nil && len(l.entries) > 0 {
			e := l.entries[0]
			q.Remove(e)
			return e
		}
	}
	return nil
}

// Assess returns the outlook of a request that would have to wait if it were added now.
func (q *Queue[T]) Assess(now time.Duration, r Request, line *Line[T], s Supply) Assessment {
	a := Assessment{Rank: q.size}
	if s.Rate > 0 {
		a.Wait = time.Duration(float64(a.Rank+1) / s.Rate * float64(time.Second))
	}
	a.InTime = now+a.Wait+s.Work <= r.ObjectiveAt
	a.Served = a.InTime || !s.Lasting && now+a.Wait+s.Work <= r.DeadlineAt
	return a
}

// Expired removes and returns a request whose deadline has passed; nil if there is none.
func (q *Queue[T]) Expired(now time.Duration) *Entry[T] {
	for _, e := range q.free.entries {
		if e.DeadlineAt <= now {
			q.Remove(e)
			return e
		}
	}
	return nil
}

// NextExpiry returns the earliest deadline of a waiting request, and false if none waits.
func (q *Queue[T]) NextExpiry() (time.Duration, bool) {
	if len(q.free.entries) == 0 {
		return 0, false
	}
	return q.free.entries[0].DeadlineAt, true
}

// Lowest returns the request of the lowest rank, or nil if none waits. It stays in the queue.
func (q *Queue[T]) Lowest() *Entry[T] {
	if n := len(q.free.entries); n > 0 {
		return q.free.entries[n-1]
	}
	return nil
}
