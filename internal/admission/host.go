package admission

import (
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/retryafter"
)

const (
	// lagTarget is the longest queueing delay inside the host that counts as
	// keeping up.
	lagTarget = 10 * time.Millisecond
	// lagInterval is the shortest time between two changes of the rate.
	lagInterval = 100 * time.Millisecond
	// decreaseFactor multiplies the rate when the host falls behind.
	decreaseFactor = 0.85
	// increaseShare is the part of the full rate that is added when the host keeps
	// up.
	increaseShare = 0.02
	// floorShare is the lowest rate, as a part of the full rate.
	floorShare = 0.05
)

// reserveShare is the part of the burst that requests of a priority leave for
// more urgent ones.
var reserveShare = [config.PriorityCount]float64{
	config.PriorityUrgent: 0,
	config.PriorityNormal: 0.25,
	config.PriorityBulk:   0.5,
}

// hostLimit limits the host to its own capacity, which all priorities share. It
// adapts the rate to the observed lag by additive increase and multiplicative
// decrease. A nil limit admits everything.
type hostLimit struct {
	fullRate   float64
	bucket     *bucket
	pacers     [config.PriorityCount]*retryafter.Pacer
	adjustedAt time.Duration
	// worstLag is the longest lag observed since adjustedAt.
	worstLag time.Duration
}

func newHostLimit(perSecond float64, seed uint64) *hostLimit {
	if perSecond <= 0 {
		return nil
	}
	h := &hostLimit{fullRate: perSecond, bucket: newBucket(0, perSecond, seed)}
	for i := range h.pacers {
		h.pacers[i] = retryafter.New(seed + uint64(i))
	}
	return h
}

func (h *hostLimit) canTake(now time.Duration, p config.Priority) bool {
	if h == nil {
		return true
	}
	reserve := reserveShare[p] * float64(h.bucket.limiter.Burst())
	return h.bucket.canTake(now, reserve)
}

func (h *hostLimit) take(now time.Duration) {
	if h != nil {
		h.bucket.take(now)
	}
}

func (h *hostLimit) retryAfter(now time.Duration, p config.Priority) time.Duration {
	return h.pacers[p].Next(now, h.bucket.rate()*(1-reserveShare[p]))
}

func (h *hostLimit) rate() float64 {
	if h == nil {
		return 0
	}
	return h.bucket.rate()
}

// observeLag records a lag and, once per lagInterval, lowers the rate if the
// host fell behind or else raises it.
func (h *hostLimit) observeLag(now, lag time.Duration) {
	if h == nil {
		return
	}
	h.worstLag = max(h.worstLag, lag)
	if now-h.adjustedAt < lagInterval {
		return
	}
	perSecond := h.bucket.rate()
	if h.worstLag > lagTarget {
		perSecond = max(perSecond*decreaseFactor, h.fullRate*floorShare)
	} else {
		perSecond = min(perSecond+h.fullRate*increaseShare, h.fullRate)
	}
	h.bucket.setRate(now, perSecond)
	h.adjustedAt = now
	h.worstLag = 0
}
