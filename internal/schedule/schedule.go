// Package schedule decides which waiting request of a service takes a slot that gets free, and which
// request is rejected because it would not be served. It has no clock, sockets or goroutines: each call
// is given the time as the duration since the start of the host.
//
// A Queue holds the waiting requests of one service at one host. Requests that may go to any upstream
// wait in the queue itself, those bound to the upstream of an open flow in its Line.
//
// Requests are served by priority; within a priority, those that can be in time first; among these by
// the fair share of their callers; then by the time left, the least first among those that can be in
// time, and the most first among the others. The load patterns that this order and the
// outlook answer, with the test that replays each:
//
//   - More is requested than the slots can do, but the urgent requests alone fit: they are in time
//     (TestUrgentRequestsAreInTimeWhileDemandExceedsSlots).
//   - Upstreams get slower while more is requested, so that most requests can't be served: the slots
//     work on those that can be in time (TestSlotsWorkOnRequestsThatCanBeInTime).
//   - One caller opens many flows: the others keep their share (TestCallerWithManyFlowsDoesNotDelayOthers).
//   - Urgent requests alone exceed the slots: other priorities still get one dispatch in ten
//     (TestNoPriorityStarves).
//   - A burst that the slots can do within the latency objective: all requests wait and are in time
//     (TestBurstThatDrainsIsInTime).
//   - Some upstreams are several times slower: requests are not given up that the others can serve in
//     time (TestRequestsAreInTimeWhileSomeUpstreamsAreSlow).
package schedule

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/list"
)

// Request is what the queue knows of a request.
type Request struct {
	// Caller is the address by which the fair share of callers is counted.
	Caller netip.Addr
	// Priority is that of the route; a lower one is more urgent.
	Priority int
	// Rejectable is set if the request can be rejected truthfully: no packet of it was forwarded.
	Rejectable bool
	// ArrivedAt is when the request arrived; zero is the time of the call that it is passed to.
	ArrivedAt time.Duration
	// ObjectiveAt is when the latency objective passes, DeadlineAt when the caller gives up: the attempt
	// to open a flow if Rejectable is set, otherwise the request. Without a latency objective, both are
	// the deadline.
	ObjectiveAt, DeadlineAt time.Duration
}

// Entry is a waiting request. The zero value with a Request is ready to be added.
type Entry[T any] struct {
	Request
	// Value is the caller's reference to the request.
	Value T
	// WaitsSince is when the entry was added.
	WaitsSince time.Duration

	// line, class and caller are nil unless the entry waits.
	line   *Line[T]
	class  *class
	caller *caller
	// round is the place among the waiting and recently dispatched requests of its caller.
	round int
	// late is set once the request can't be in time any more.
	late bool
	// yields is set if an equal request that can't be rejected goes first.
	yields bool
	// sequence is the order of arrival.
	sequence uint64
	// position is one more than the index in each heap, or zero.
	position [heapKinds]int32
}

// Waits reports whether the entry is in a queue.
func (e *Entry[T]) Waits() bool { return e.line != nil }

// Line holds the waiting requests that are bound to one upstream. The zero value is empty.
type Line[T any] struct {
	size int
	// groups is ordered by priority, the most urgent first.
	groups []group[T]
}

// group holds the requests of one priority in a line.
type group[T any] struct {
	priority int
	// inTime holds the requests that can be in time, late the others.
	inTime, late heap[rank, T]
	counts       rankCounts
}

// Len returns the number of requests in the line.
func (l *Line[T]) Len() int { return l.size }

// group returns the group of a priority. It is valid until the next call.
func (l *Line[T]) group(priority int) *group[T] {
	i := 0
	for i < len(l.groups) && l.groups[i].priority < priority {
		i++
	}
	if i == len(l.groups) || l.groups[i].priority != priority {
		l.groups = append(l.groups, group[T]{})
		copy(l.groups[i+1:], l.groups[i:])
		l.groups[i] = group[T]{priority: priority}
	}
	return &l.groups[i]
}

// Queue holds the waiting requests of a service.
type Queue[T any] struct {
	free Line[T]
	// classes is ordered by priority, the most urgent first.
	classes []*class
	// lateness, expiry and lowest hold all requests, lateness only those that can be in time: by the
	// time until which they can, by their deadline, and the lowest rank first.
	lateness, expiry heap[moment, T]
	lowest           heap[reversed, T]
	work             workEstimate
	sequence         uint64
	// passedOver is the number of dispatches, since the last reserved one, for which a less urgent
	// request that could be in time had to wait.
	passedOver int
	// now is the time of the last call that was given one.
	now time.Duration
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{
		lateness: heap[moment, T]{kind: byLateness},
		expiry:   heap[moment, T]{kind: byExpiry},
		lowest:   heap[reversed, T]{kind: byLowest},
	}
}

// Len returns the number of waiting requests, those in lines included.
func (q *Queue[T]) Len() int { return q.expiry.len() }

// class is what a queue knows of a priority.
type class struct {
	priority int
	counts   rankCounts
	// arrivals counts the requests that were added.
	arrivals arrivals
	callers  callers
}

// class returns the class of a priority.
func (q *Queue[T]) class(priority int) *class {
	i := 0
	for i < len(q.classes) && q.classes[i].priority < priority {
		i++
	}
	if i == len(q.classes) || q.classes[i].priority != priority {
		q.classes = append(q.classes, nil)
		copy(q.classes[i+1:], q.classes[i:])
		q.classes[i] = &class{priority: priority, callers: newCallers()}
	}
	return q.classes[i]
}

func newCallers() callers {
	return callers{
		byAddr: make(map[netip.Addr]*caller),
		idle:   list.New(func(c *caller) *list.Links[caller] { return &c.links }),
	}
}
