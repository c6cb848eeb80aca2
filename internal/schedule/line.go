package schedule

import "time"

// FreeLen returns the number of waiting requests that may go to any upstream.
func (q *Queue[T]) FreeLen() int { return q.free.size }

// NextInLine removes and returns the highest ranked request of a line, or nil if it is empty.
func (q *Queue[T]) NextInLine(now time.Duration, line *Line[T]) *Entry[T] {
	q.settle(now)
	e := line.first()
	if e != nil {
		q.Remove(e)
	}
	return e
}

// Late reports whether a waiting request can't be in time any more.
func (q *Queue[T]) Late(now time.Duration, e *Entry[T]) bool { return now > e.latestStart(q.work.used) }
