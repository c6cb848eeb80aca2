package schedule

import "time"

// Add adds a request that waits for any upstream, or for that of the line if it is not nil.
func (q *Queue[T]) Add(now time.Duration, e *Entry[T], line *Line[T]) {
	if line == nil {
		line = &q.free
	}
	q.now = now
	q.sequence++
	e.WaitsSince, e.line, e.sequence = now, line, q.sequence
	e.yields = e.Rejectable && line == &q.free
	if e.ArrivedAt == 0 {
		e.ArrivedAt = now
	}
	e.class = q.class(e.Priority)
	e.round = e.class.callers.round(now, e.Caller)
	e.class.arrivals.add(now, e.round)
	e.caller = e.class.callers.add(now, e.Caller)
	start := e.latestStart(q.work.used)
	e.late = now > start
	if !e.late {
		q.lateness.push(moment(start), e)
	}
	q.expiry.push(q.expiryOf(e), e)
	r := e.rank()
	q.lowest.push(reversed(r), e)
	g := line.group(e.Priority)
	g.heap(e.late).push(r, e)
	g.counts.add(e.late, e.round, 1)
	e.class.counts.add(e.late, e.round, 1)
	line.size++
}

// Remove removes an entry if it waits.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.line == nil {
		return
	}
	g := e.line.group(e.Priority)
	g.heap(e.late).remove(e)
	g.counts.add(e.late, e.round, -1)
	e.class.counts.add(e.late, e.round, -1)
	q.lateness.remove(e)
	q.expiry.remove(e)
	q.lowest.remove(e)
	e.line.size--
	e.class.callers.remove(q.now, e.caller)
	e.line, e.class, e.caller = nil, nil, nil
}

// Next removes and returns the request that takes a slot at the upstream of the line: the highest
// ranked of those in the line and of those that may go to any upstream. It returns nil if none waits.
// If line is nil, only requests that may go to any upstream are considered. The work is the time that
// a request takes a slot there; zero is unknown. Whether requests can be in time is judged by its mean
// over the dispatches: it would take too long to judge all requests anew for each upstream.
func (q *Queue[T]) Next(now time.Duration, line *Line[T], work time.Duration) *Entry[T] {
	if q.free.size == 0 && (line == nil || line.size == 0) {
		return nil
	}
	if q.work.add(work) {
		q.judgeAll(now)
	}
	q.settle(now)
	e := q.reserved(line)
	if e == nil {
		e = q.first(line)
		if q.passesOver(e, line) {
			q.passedOver++
		}
	}
	c := e.caller
	q.Remove(e)
	c.dispatched.add(now)
	return e
}

// first returns the highest ranked request.
func (q *Queue[T]) first(line *Line[T]) *Entry[T] {
	best := q.free.first()
	if line != nil {
		best = higher(line.first(), best)
	}
	return best
}

// reserved returns the highest ranked request of the least urgent priority that has one that can be in
// time, if this dispatch is reserved for it; otherwise nil.
func (q *Queue[T]) reserved(line *Line[T]) *Entry[T] {
	if q.passedOver < reservedInterval-1 {
		return nil
	}
	best := q.free.leastUrgent()
	if line != nil {
		switch e := line.leastUrgent(); {
		case e == nil:
		case best == nil || e.Priority > best.Priority:
			best = e
		case e.Priority == best.Priority:
			best = higher(e, best)
		}
	}
	if best != nil {
		q.passedOver = 0
	}
	return best
}

// passesOver reports whether a less urgent request that can be in time waits for the same slot.
func (q *Queue[T]) passesOver(e *Entry[T], line *Line[T]) bool {
	return q.free.hasLessUrgent(e.Priority) || line != nil && line.hasLessUrgent(e.Priority)
}

func higher[T any](a, b *Entry[T]) *Entry[T] {
	if b == nil || a != nil && a.rank().before(b.rank()) {
		return a
	}
	return b
}

func (l *Line[T]) first() *Entry[T] {
	for i := range l.groups {
		if e := l.groups[i].first(); e != nil {
			return e
		}
	}
	return nil
}

// leastUrgent returns the highest ranked request of the least urgent priority that has one that can be
// in time, or nil.
func (l *Line[T]) leastUrgent() *Entry[T] {
	for i := len(l.groups) - 1; i >= 0; i-- {
		if e := l.groups[i].inTime.first(); e != nil {
			return e
		}
	}
	return nil
}

func (l *Line[T]) hasLessUrgent(priority int) bool {
	for i := len(l.groups) - 1; i >= 0 && l.groups[i].priority > priority; i-- {
		if l.groups[i].inTime.len() > 0 {
			return true
		}
	}
	return false
}

func (g *group[T]) heap(late bool) *heap[rank, T] {
	if late {
		return &g.late
	}
	return &g.inTime
}

// first returns the highest ranked request of the group, or nil.
func (g *group[T]) first() *Entry[T] {
	if e := g.inTime.first(); e != nil {
		return e
	}
	return g.late.first()
}

// settle moves requests that can't be in time any more to the late ones.
func (q *Queue[T]) settle(now time.Duration) {
	q.now = now
	for len(q.lateness.slots) > 0 && time.Duration(q.lateness.slots[0].key) < now {
		e := q.lateness.first()
		q.lateness.remove(e)
		q.judge(e, true)
	}
}

// judge moves a request between those that can be in time and the late ones.
func (q *Queue[T]) judge(e *Entry[T], late bool) {
	g := e.line.group(e.Priority)
	g.heap(e.late).remove(e)
	g.counts.add(e.late, e.round, -1)
	e.class.counts.add(e.late, e.round, -1)
	e.late = late
	r := e.rank()
	g.heap(late).push(r, e)
	g.counts.add(late, e.round, 1)
	e.class.counts.add(late, e.round, 1)
	q.lowest.update(reversed(r), e)
}

// judgeAll judges all requests by the changed work.
func (q *Queue[T]) judgeAll(now time.Duration) {
	for i := range q.expiry.slots {
		e := q.expiry.slots[i].entry
		start := e.latestStart(q.work.used)
		late := now > start
		q.lateness.remove(e)
		if !late {
			q.lateness.push(moment(start), e)
		}
		if late != e.late {
			q.judge(e, late)
		}
	}
	for i := range q.expiry.slots {
		q.expiry.slots[i].key = q.expiryOf(q.expiry.slots[i].entry)
	}
	q.expiry.build()
}

// expiryOf returns when a request can no longer be served. One that opens a flow is answered at once by
// the upstream, and its caller goes on waiting; one on an open flow has to be done by its deadline.
// Without this, late requests would be served when they are about to fail.
func (q *Queue[T]) expiryOf(e *Entry[T]) moment {
	if e.yields {
		return moment(e.DeadlineAt)
	}
	return moment(e.DeadlineAt - q.work.used)
}

// Expired removes and returns a request that can no longer be served, of any line; nil if there is
// none. That is at its deadline, for requests on open flows earlier by the work.
func (q *Queue[T]) Expired(now time.Duration) *Entry[T] {
	e := q.expiry.first()
	if e == nil || q.expiry.slots[0].key > moment(now) {
		return nil
	}
	q.now = now
	q.Remove(e)
	return e
}

// NextExpiry returns the earliest time at which a request of any line expires, and false if none waits.
func (q *Queue[T]) NextExpiry() (time.Duration, bool) {
	if q.expiry.len() == 0 {
		return 0, false
	}
	return time.Duration(q.expiry.slots[0].key), true
}

// Lowest returns the request of the lowest rank of any line, or nil if none waits. It stays in the
// queue. Which requests can be in time is as of the last call of Next or Assess.
func (q *Queue[T]) Lowest() *Entry[T] { return q.lowest.first() }
