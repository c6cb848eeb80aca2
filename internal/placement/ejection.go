package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// ejectConsecutiveFailures is the number of consecutive failures that eject
	// an upstream.
	ejectConsecutiveFailures = 3
	// ejectMinFailures and ejectFailureRatio eject an upstream that fails often
	// but not consecutively: it needs at least this many recent failures, and
	// they must exceed this share of the recent outcomes.
	ejectMinFailures  = 5
	ejectFailureRatio = 0.5
	// outcomeDecay is the factor applied to earlier outcomes at each new one.
	outcomeDecay = 0.95
	// minEjectionTime and maxEjectionTime bound the length of an ejection,
	// which doubles each time the first request after it fails.
	minEjectionTime = time.Second
	maxEjectionTime = 30 * time.Second
	// panicThreshold is the share of ejected upstreams in the zone above which
	// all ejected upstreams are probed at once.
	panicThreshold = 0.5
)

type healthState uint8

const (
	healthOK healthState = iota
	healthEjected
	// healthProbing allows one request at a time until one is answered.
	healthProbing
)

// health tracks the outcomes of this placer's requests on one upstream for
// outlier ejection.
type health struct {
	state               healthState
	consecutiveFailures int
	failures            float64
	answers             float64
	ejectedUntil        time.Duration
	ejectionTime        time.Duration
	// ejectOnFirstFailure is set for upstreams outside the placer's own zone.
	ejectOnFirstFailure bool
}

func (h *health) halfOpen() bool {
	return h.state == healthProbing
}

func (h *health) onAnswer(now time.Duration) {
	h.decay()
	h.answers++
	h.consecutiveFailures = 0
	if h.state != healthOK {
		h.reset()
	}
}

func (h *health) onFailure(now time.Duration, rng *rand.Rand) {
	h.decay()
	h.failures++
	h.consecutiveFailures++
	if h.state == healthProbing || h.ejectOnFirstFailure || h.isOutlier() {
		h.eject(now, rng)
	}
}

func (h *health) decay() {
	h.answers *= outcomeDecay
	h.failures *= outcomeDecay
}

func (h *health) isOutlier() bool {
	if h.consecutiveFailures >= ejectConsecutiveFailures {
		return true
	}
	return h.failures >= ejectMinFailures && h.failures > ejectFailureRatio*(h.failures+h.answers)
}

func (h *health) eject(now time.Duration, rng *rand.Rand) {
	h.state = healthEjected
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now + h.ejectionTime + time.Duration(rng.Int64N(int64(h.ejectionTime/4)))
}

// reset clears all recorded outcomes and ends an ejection.
func (h *health) reset() {
	*h = health{ejectOnFirstFailure: h.ejectOnFirstFailure}
}

// refreshHealth moves upstreams whose ejection has ended to probing. When the
// share of ejected upstreams in the zone exceeds panicThreshold, all of them
// are probed at once: the observations may be wrong, or no better upstream is
// left, and each probe risks at most one request.
func (p *Placer) refreshHealth(now time.Duration) {
	active, ejected := 0, 0
	for _, u := range p.upstreams {
		if u.health.state == healthEjected && now >= u.health.ejectedUntil {
			u.health.state = healthProbing
		}
		if !u.active || !u.local {
			continue
		}
		active++
		if u.health.state == healthEjected {
			ejected++
		}
	}
	if float64(ejected) <= panicThreshold*float64(active) {
		return
	}
	for _, u := range p.upstreams {
		if u.active && u.local && u.health.state == healthEjected {
			u.health.state = healthProbing
		}
	}
}
