package schedule

import (
	"math"
	"time"
)

const (
	// marginWorks is the time left until the objective, in units of work, that a request needs to be
	// in time. The work varies: with a margin of one unit, half of the requests would be late.
	marginWorks = 3
	// marginObjective bounds the margin as a part of the latency objective, so that requests can be in
	// time when work takes long.
	marginObjective = 0.9
	// reservedInterval is the number of dispatches of which one goes to the least urgent priority.
	reservedInterval = 10
	// workWeight is the weight of a new value in the mean work, workTolerance the relative change of the
	// mean above which all requests are judged anew.
	workWeight    = 1.0 / 16
	workTolerance = 1.0 / 8
)

// rank is the place of a request in the order; lower ones go first.
type rank struct {
	// group holds priority, lateness and round, from the highest bits to the lowest.
	group uint64
	// at is the latency objective of a request that can be in time, otherwise its negative.
	at time.Duration
	// tie holds in its highest bit whether the request yields to equal ones, then the order of arrival.
	tie uint64
}

const (
	lateBit   = 1 << 31
	yieldsBit = 1 << 63
)

func (r rank) before(o rank) bool {
	if r.group != o.group {
		return r.group < o.group
	}
	if r.at != o.at {
		return r.at < o.at
	}
	return r.tie < o.tie
}

// reversed orders entries from the lowest rank to the highest.
type reversed rank

func (r reversed) before(o reversed) bool { return rank(o).before(rank(r)) }

// rank returns the rank of an entry.
func (e *Entry[T]) rank() rank {
	priority := min(max(e.Priority, math.MinInt32), math.MaxInt32)
	r := rank{group: uint64(priority-math.MinInt32)<<32 | uint64(e.round), at: e.ObjectiveAt, tie: e.sequence}
	if e.late {
		r.group |= lateBit
		// The latest first: with the earliest deadline first, slots that find no request with the whole
		// margin would work on those that are later still.
		r.at = -e.ObjectiveAt
	}
	if e.yields {
		r.tie |= yieldsBit
	}
	return r
}

// latestStart returns until when the request can take a slot and be in time.
func (r *Request) latestStart(work time.Duration) time.Duration {
	return r.ObjectiveAt - min(marginWorks*work, time.Duration(marginObjective*float64(r.ObjectiveAt-r.ArrivedAt)))
}

// workEstimate is the work by which a queue judges whether requests can be in time.
type workEstimate struct {
	// mean is that of the dispatches, used the value by which the requests were judged.
	mean, used time.Duration
}

// add takes in the work at an upstream and reports whether the requests have to be judged anew.
func (w *workEstimate) add(work time.Duration) bool {
	if work <= 0 {
		return false
	}
	if w.mean == 0 {
		w.mean = work
	}
	w.mean += time.Duration(float64(work-w.mean) * workWeight)
	if change := w.mean - w.used; max(change, -change) > time.Duration(float64(w.used)*workTolerance) {
		w.used = w.mean
		return true
	}
	return false
}
