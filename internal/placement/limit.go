package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// increaseStep is added to the limit, in slots, for each answer received
	// while the limit is reached.
	increaseStep = 1.0 / 16
	// decreaseFactor scales the limit after a timeout or a slow answer.
	decreaseFactor = 0.7
	// minDecreaseInterval is the minimum time between two decreases for
	// timeouts or slow answers.
	minDecreaseInterval = time.Second
	// slowFactor is the multiple of the median service time above which an
	// upstream counts as slow.
	slowFactor = 2.5
	// minSlowSamples is the number of service times needed before an upstream
	// can count as slow.
	minSlowSamples = 8
	// minBackoff and maxBackoff bound the time without requests for an upstream
	// that sheds although this placer has no other request running on it.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// limit is an adaptive concurrency limit for one upstream. It decreases on
// sheds, timeouts and slow answers, increases on answers, and stays between one
// and the configured slots.
type limit struct {
	value        float64
	initialized  bool
	lastDecrease time.Duration
	backoff      time.Duration
	backoffUntil time.Duration
}

// slots returns the limit in whole slots. It is one until the first answer,
// shed or healthy report, because other hosts may have filled the upstream.
func (l *limit) slots(configured int) int {
	if !l.initialized {
		return 1
	}
	return min(max(int(l.value), 1), configured)
}

func (l *limit) backingOff(now time.Duration) bool {
	return now < l.backoffUntil
}

func (l *limit) initialize(configured int) {
	if !l.initialized {
		l.initialized = true
		l.value = float64(configured)
	}
}

func (l *limit) onAnswer(configured, running int) {
	l.initialize(configured)
	l.backoff = 0
	if running >= l.slots(configured) {
		l.value = min(l.value+increaseStep, float64(configured))
	}
}

// onShed records that the upstream shed a request. The running argument is the
// number of requests this placer had running there, including the shed one.
func (l *limit) onShed(now time.Duration, running int, rng *rand.Rand) {
	accepted := float64(running - 1)
	if !l.initialized {
		l.initialized = true
		l.value = 1
	}
	l.value = max(min(l.value, accepted), 1)
	if accepted >= 1 {
		return
	}
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.backoffUntil = now + l.backoff/2 + time.Duration(rng.Int64N(int64(l.backoff)))
}

// decrease lowers the limit after a timeout or a slow answer, at most once per
// minDecreaseInterval.
func (l *limit) decrease(now time.Duration) {
	if l.lastDecrease != 0 && now-l.lastDecrease < minDecreaseInterval {
		return
	}
	l.lastDecrease = now
	l.value = max(l.value*decreaseFactor, 1)
}

// decreaseIfSlow decreases the limit of an upstream whose mean service time
// exceeds slowFactor times the median of all upstreams.
func (l *limit) decreaseIfSlow(now time.Duration, times estimator, median time.Duration) {
	if times.samples < minSlowSamples || median == 0 {
		return
	}
	if float64(times.mean) > slowFactor*float64(median) {
		l.decrease(now)
	}
}

// resize adjusts the limit to a change of the configured slots. A limit at the
// configured maximum follows it; a lower one is only capped.
func (l *limit) resize(before, after int) {
	if before > 0 && l.value >= float64(before) {
		l.value = float64(after)
	}
	l.value = min(l.value, float64(after))
}
