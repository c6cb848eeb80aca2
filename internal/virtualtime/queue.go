// Package virtualtime is a discrete-event scheduler. It runs functions in the
// order of their virtual times, for tests and measurements of code that takes the
// time as an argument.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue is a queue of functions scheduled at virtual times. Functions scheduled
// for the same time run in the order in which they were added. The zero value is
// an empty queue at time zero. A Queue is not safe for concurrent use.
type Queue struct {
	now       time.Duration
	lastOrder uint64
	items     items
}

type item struct {
	at    time.Duration
	order uint64
	run   func()
}

// Now returns the current virtual time.
func (q *Queue) Now() time.Duration { return q.now }

// After schedules a function to run after the delay.
func (q *Queue) After(delay time.Duration, run func()) {
	q.lastOrder++
	heap.Push(&q.items, item{at: q.now + delay, order: q.lastOrder, run: run})
}

// At schedules a function to run at the given time, or at the current time if
// the given one has passed.
func (q *Queue) At(at time.Duration, run func()) {
	q.After(max(at-q.now, 0), run)
}

// Every schedules a function to run repeatedly, first after one interval.
func (q *Queue) Every(interval time.Duration, run func()) {
	q.While(interval, func() bool {
		run()
		return true
	})
}

// While schedules a function to run repeatedly, first after one interval, until
// it returns false.
func (q *Queue) While(interval time.Duration, run func() bool) {
	q.After(interval, func() {
		if run() {
			q.While(interval, run)
		}
	})
}

// RunUntil runs the functions that are due up to and including the given time,
// then sets the current time to it.
func (q *Queue) RunUntil(end time.Duration) {
	for len(q.items) > 0 && q.items[0].at <= end {
		next := heap.Pop(&q.items).(item)
		q.now = next.at
		next.run()
	}
	q.now = end
}

type items []item

func (s items) Len() int      { return len(s) }
func (s items) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s items) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}

// Push implements heap.Interface.
func (s *items) Push(x any) { *s = append(*s, x.(item)) }

// Pop implements heap.Interface.
func (s *items) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	(*s)[last] = item{}
	*s = (*s)[:last]
	return x
}
