package schedule

import (
	"math"
	"math/bits"
	"time"
)

const (
	// roundBuckets is the number of buckets of rounds, bucketsPerOctave their number for each
	// doubling. Rounds below twice that have a bucket of their own.
	roundBuckets     = 64
	bucketsPerOctave = 8
	// reservedRate is the part of the slots that less urgent priorities get in any case, and the least
	// that a priority is expected to get.
	reservedRate = 1.0 / reservedInterval
	// irregularity is the number of standard deviations by which slots may get free sooner than on average.
	irregularity = 1.5
	// leastRate is the least part of the slots that is assumed to be left for a request.
	leastRate = 0.01
)

// Supply is what the upstreams that a request may use can do: that of the line, or all that the host
// may use.
type Supply struct {
	// Rate is the number of slots that get free per second, Work the time that a request takes one.
	// Zero is unknown; a request is then expected to be in time.
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
	// Rate is the number of slots per second that are left for its priority.
	Rate float64
	// InTime is set if it is expected to meet its latency objective, Served if it is expected to be
	// served before its deadline.
	InTime, Served bool
}

// rankCounts counts the requests of a priority.
type rankCounts struct {
	// inTime and late are the numbers of requests that can be in time and of the others, rounds that of
	// the former by round.
	inTime, late int
	rounds       [roundBuckets]int32
}

func (c *rankCounts) add(late bool, round, n int) {
	if late {
		c.late += n
		return
	}
	c.inTime += n
	c.rounds[roundBucket(round)] += int32(n)
}

// upTo returns the number of requests that can be in time in rounds up to the given one.
func (c *rankCounts) upTo(round int) int {
	n := int32(0)
	for _, b := range c.rounds[:roundBucket(round)+1] {
		n += b
	}
	return int(n)
}

// arrivals counts the requests of a priority in about the last second, by round, like a window.
type arrivals struct {
	interval          int64
	current, previous [roundBuckets]int32
}

func (a *arrivals) add(now time.Duration, round int) {
	a.move(now)
	a.current[roundBucket(round)]++
}

func (a *arrivals) move(now time.Duration) {
	interval := int64(now / fairSpan)
	if interval == a.interval {
		return
	}
	a.previous = [roundBuckets]int32{}
	if interval == a.interval+1 {
		a.previous = a.current
	}
	a.interval, a.current = interval, [roundBuckets]int32{}
}

// below returns the number of requests in buckets of rounds below that of the given one.
func (a *arrivals) below(now time.Duration, round int) float64 { return a.sum(now, roundBucket(round)) }

// count returns the number of requests.
func (a *arrivals) count(now time.Duration) float64 { return a.sum(now, roundBuckets) }

func (a *arrivals) sum(now time.Duration, buckets int) float64 {
	a.move(now)
	current, previous := int32(0), int32(0)
	for i := range buckets {
		current += a.current[i]
		previous += a.previous[i]
	}
	return float64(current) + float64(previous)*(1-float64(now%fairSpan)/float64(fairSpan))
}

// roundBucket returns the bucket of a round: exact for low ones, within an eighth for others.
func roundBucket(round int) int {
	if round < 2*bucketsPerOctave {
		return round
	}
	octave := bits.Len(uint(round)) - bits.Len(uint(bucketsPerOctave))
	return min(octave*bucketsPerOctave+round>>octave, roundBuckets-1)
}

// Assess returns the outlook of a request that would have to wait if it were added now. It does not
// change the order, and counts nothing.
func (q *Queue[T]) Assess(now time.Duration, r Request, line *Line[T], s Supply) Assessment {
	q.settle(now)
	if r.ArrivedAt == 0 {
		r.ArrivedAt = now
	}
	start := r.latestStart(s.Work)
	late := now > start
	c, round := q.roundOf(now, &r)
	a := Assessment{Rank: q.rankOf(r.Priority, round, late, line), Rate: s.Rate}
	if s.Rate <= 0 {
		a.InTime, a.Served = !late, true
		return a
	}
	moreUrgent, upToOwn, lessUrgent := q.arrivals(now, r.Priority)
	a.Rate = max(s.Rate-moreUrgent, s.Rate*reservedRate)
	if lessUrgent {
		a.Rate *= 1 - reservedRate
	}
	if c != nil {
		a.Rate = max(a.Rate-c.arrivals.below(now, round), s.Rate*leastRate)
	}
	ahead := a.Rank + 1
	if c != nil && !late && !lessUrgent {
		// The least urgent priority does not wait behind others for the dispatches reserved for it.
		if own := c.counts.upTo(round) + 1; float64(own)/(s.Rate*reservedRate) < float64(ahead)/a.Rate {
			ahead, a.Rate = own, s.Rate*reservedRate
		}
	}
	a.Wait = time.Duration(float64(ahead) / a.Rate * float64(time.Second))
	// Slots get free at irregular times. A request is given up only if it would be late also when they do so by
	// as much sooner as is likely: otherwise slots would find no request that can be in time.
	soonest := max(0, float64(ahead)-irregularity*math.Sqrt(float64(ahead))) / a.Rate
	a.InTime = now+time.Duration(soonest*float64(time.Second)) <= start
	// While the demand exceeds the supply, late requests of the least urgent priority get no slot: those
	// that can be in time take them all. Late ones of another priority get one if it fits the slots.
	fits := !s.Lasting || lessUrgent && upToOwn <= s.Rate*(1-reservedRate)
	a.Served = a.InTime || fits && now+a.Wait+s.Work <= r.DeadlineAt
	return a
}

// roundOf returns the class of a request, or nil if it is the first of its priority, and its round.
func (q *Queue[T]) roundOf(now time.Duration, r *Request) (*class, int) {
	for _, c := range q.classes {
		if c.priority == r.Priority {
			return c, c.callers.round(now, r.Caller)
		}
	}
	return nil, 0
}

// rankOf returns the number of requests that go before one of a priority and round. Those of the same
// round count as before it: they arrived earlier. Of requests in a line, only those compete that wait
// there or for any upstream.
func (q *Queue[T]) rankOf(priority, round int, late bool, line *Line[T]) int {
	if line != nil {
		return line.before(priority, round, late) + q.free.before(priority, round, late)
	}
	n := 0
	for _, c := range q.classes {
		n += c.counts.before(c.priority, priority, round, late)
	}
	return n
}

func (l *Line[T]) before(priority, round int, late bool) int {
	n := 0
	for i := range l.groups {
		g := &l.groups[i]
		n += g.counts.before(g.priority, priority, round, late)
	}
	return n
}

// before returns how many of the requests of priority own go before one of another priority.
func (c *rankCounts) before(own, priority, round int, late bool) int {
	switch {
	case own < priority || own == priority && late:
		return c.inTime + c.late
	case own == priority:
		return c.upTo(round)
	default:
		return 0
	}
}

// arrivals returns the requests per second of more urgent priorities and of these with the given one,
// and whether there are less urgent ones.
func (q *Queue[T]) arrivals(now time.Duration, priority int) (moreUrgent, upToOwn float64, lessUrgent bool) {
	for _, c := range q.classes {
		n := c.arrivals.count(now)
		switch {
		case c.priority < priority:
			moreUrgent += n
		case c.priority > priority:
			lessUrgent = lessUrgent || n > 0
		}
		if c.priority <= priority {
			upToOwn += n
		}
	}
	return moreUrgent, upToOwn, lessUrgent
}
