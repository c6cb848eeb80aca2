// Package retryafter computes the retry-after delays of refused callers. It
// spaces the retries at the rate at which work is admitted, so that refused
// callers don't all retry at once.
package retryafter

import (
	"math/rand/v2"
	"time"
)

const (
	// Min is the shortest retry-after delay.
	Min = 50 * time.Millisecond
	// Max is the longest retry-after delay.
	Max = 30 * time.Second
	// jitterShare is the jitter of a retry-after delay, as a fraction in either
	// direction.
	jitterShare = 0.25
)

// Pacer schedules the retries of refused callers. It is not safe for concurrent
// use.
type Pacer struct {
	// next is the time up to which retries are scheduled.
	next time.Duration
	rng  *rand.Rand
}

// New returns a Pacer with an empty schedule. The seed determines the jitter.
func New(seed uint64) *Pacer {
	return &Pacer{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// Next returns the retry-after delay for one refused caller, where rate is the
// number of retries per second that can be admitted. If the rate is zero or
// retries are already scheduled up to Max from now, the delay is random between
// Max/2 and Max.
func (p *Pacer) Next(now time.Duration, rate float64) time.Duration {
	p.next = max(p.next, now+Min)
	if rate <= 0 || p.next >= now+Max {
		return Max/2 + time.Duration(p.rng.Int64N(int64(Max/2)))
	}
	p.next += time.Duration(float64(time.Second) / rate)
	after := p.next - now
	jitter := 1 + jitterShare*(2*p.rng.Float64()-1)
	return min(max(time.Duration(float64(after)*jitter), Min), Max)
}
