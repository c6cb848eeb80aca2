package admission

import (
	"time"

	"golang.org/x/time/rate"

	"mimosashore.example/mimosashore/internal/retryafter"
)

const (
	// burstDuration is the time in which an empty bucket fills at its rate.
	burstDuration = time.Second
	// minBurst is the minimum size of a bucket, in tokens, so that a limit below one
	// request per second still admits requests.
	minBurst = 1
)

// bucket is a token bucket that also schedules the retries of refused callers.
// A nil bucket admits everything.
type bucket struct {
	limiter *rate.Limiter
	pacer   *retryafter.Pacer
}

// newBucket returns a full bucket, or nil if perSecond is not positive.
func newBucket(now time.Duration, perSecond float64, seed uint64) *bucket {
	if perSecond <= 0 {
		return nil
	}
	b := &bucket{
		limiter: rate.NewLimiter(rate.Limit(perSecond), burstSize(perSecond)),
		pacer:   retryafter.New(seed),
	}
	b.tokens(now)
	return b
}

// setRate changes the rate and keeps the accumulated tokens.
func (b *bucket) setRate(now time.Duration, perSecond float64) {
	at := toTime(now)
	b.limiter.SetLimitAt(at, rate.Limit(perSecond))
	b.limiter.SetBurstAt(at, burstSize(perSecond))
}

func (b *bucket) rate() float64 {
	return float64(b.limiter.Limit())
}

func (b *bucket) tokens(now time.Duration) float64 {
	return b.limiter.TokensAt(toTime(now))
}

// canTake reports whether at least reserve tokens remain after one is taken.
func (b *bucket) canTake(now time.Duration, reserve float64) bool {
	return b == nil || b.tokens(now) >= 1+reserve
}

func (b *bucket) take(now time.Duration) {
	if b != nil {
		b.limiter.AllowN(toTime(now), 1)
	}
}

func (b *bucket) retryAfter(now time.Duration) time.Duration {
	return b.pacer.Next(now, b.rate())
}

func burstSize(perSecond float64) int {
	return max(minBurst, int(perSecond*burstDuration.Seconds()))
}

// toTime converts a time since process start to a time.Time for package rate.
func toTime(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(now)
}
