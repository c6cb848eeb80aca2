// Package retrybudget limits the retries of a service to a share of its
// requests, so that retries can't multiply the load on failing upstreams.
package retrybudget

import "time"

const (
	// maxTokens is the largest number of retries that can accumulate.
	maxTokens = 20
	// reserve is the number of retries available to a service with little
	// traffic. It refills with time, independently of requests.
	reserve = 2
	// reserveInterval is the time to refill one retry of the reserve.
	reserveInterval = 5 * time.Second
	percentScale    = 100
)

// Budget is the retry budget of one service, kept as a token bucket. It is not
// safe for concurrent use.
type Budget struct {
	share   float64
	tokens  float64
	updated time.Duration
}

// New returns a budget that allows the given percentage of requests to be
// retried. Zero or less allows no retry.
func New(percent int) *Budget {
	b := &Budget{share: float64(max(percent, 0)) / percentScale}
	if b.share > 0 {
		b.tokens = reserve
	}
	return b
}

// SetPercent changes the percentage of requests that may be retried. Accumulated
// tokens are kept, unless retries are turned off.
func (b *Budget) SetPercent(percent int) {
	b.share = float64(max(percent, 0)) / percentScale
	if b.share == 0 {
		b.tokens = 0
	}
}

// OnRequest credits the budget for the first attempt of one request.
func (b *Budget) OnRequest(now time.Duration) {
	b.refill(now)
	b.tokens = min(b.tokens+b.share, maxTokens)
}

// TryRetry takes one retry from the budget. It reports false if the budget is
// exhausted.
func (b *Budget) TryRetry(now time.Duration) bool {
	b.refill(now)
	if b.share == 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the reserve tokens earned since the last update.
func (b *Budget) refill(now time.Duration) {
	elapsed := now - b.updated
	if elapsed <= 0 {
		return
	}
	b.updated = now
	if b.share == 0 || b.tokens >= reserve {
		return
	}
	gained := elapsed.Seconds() / reserveInterval.Seconds()
	b.tokens = min(b.tokens+gained, reserve)
}
