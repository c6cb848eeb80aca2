package dsr

import (
	"time"

	"mimosashore.example/mimosashore/internal/loadcontrol"
)

const (
	// probeInterval is the time without an answer or a request after which a slow upstream gets one like any
	// other, slowProbeInterval that of one whose work takes more than probeShare of the latency objective, so that
	// the probe itself may be late.
	probeInterval     = time.Second
	slowProbeInterval = 1800 * time.Millisecond
	probeShare        = 0.5
	// lateFactor is the multiple of the latency objective at which a slow upstream gets probes only. At the
	// objective, six in ten answers are in time; at lateFactor times it, four in ten.
	lateFactor = 1.3
	// minLimit is the least limit that a cost is computed with.
	minLimit = 0.1
)

// learnedLimit returns the number of requests that the upstream takes well at a time, from all hosts
// together, at most its slots. It may be less than one; loadcontrol.Pacer spaces requests then. It is
// lower for a slow upstream that would answer late; a request on an open flow, which can't go elsewhere,
// is bounded by learnedKnee only.
func (u *upstream) learnedLimit(now time.Duration) float64 {
	limit := u.learnedKnee(now)
	objective := u.service.latencyObjective
	if !u.service.schedules() || !u.learned.Slow(now) {
		return limit
	}
	work := u.learned.Work(now, &u.service.peers)
	inTime := (lateFactor*float64(objective) - float64(work)) / ((lateFactor - 1) * float64(objective))
	probes := float64(work) / float64(u.probeInterval(work))
	return min(limit, max(limit*inTime, min(probes, 1)))
}

// learnedKnee returns the number of requests above which the upstream rejects them or gets slower in
// proportion, at most its slots. It is the slots for a service whose requests queue at upstreams.
func (u *upstream) learnedKnee(now time.Duration) float64 {
	if !u.service.schedules() {
		return float64(u.Slots)
	}
	return u.learned.Limit(now, &u.service.peers, u.Slots)
}

// learnedWork returns the time that a request takes a slot of the upstream; zero is unknown.
func (u *upstream) learnedWork(now time.Duration) time.Duration {
	s := u.service
	if u.learned.Slow(now) {
		return u.learned.Work(now, &s.peers)
	}
	work := s.peers.Work()
	if work == 0 {
		work = s.work.Mean()
	}
	return time.Duration(float64(work) * u.slowStart(now))
}

// slowStart returns the assumed slowdown of an upstream during slow start.
func (u *upstream) slowStart(now time.Duration) float64 {
	if now < u.slowStartUntil {
		return slowStartFactor
	}
	return 1
}

// learnedCost returns the expected wait of a request at an upstream, in requests per slot, with the given load in
// requests. At a slow upstream it is not less than the work of the request itself, since a request has one slot.
func (u *upstream) learnedCost(now time.Duration, load float64, class loadcontrol.Class) float64 {
	if !u.service.schedules() {
		return (load + 1) * u.slowdown(now, u.service) / float64(u.Slots)
	}
	cost := (load + 1) / max(u.learnedLimit(now), minLimit)
	switch {
	case u.wantsProbe(now, class):
		return (load + 1) / float64(u.Slots)
	case u.learned.Slow(now):
		cost = max(cost, 1)
	}
	return cost * max(u.slowStart(now), u.learned.Slowness(now, &u.service.peers))
}

// probeInterval returns the time between two probes of a slow upstream.
func (u *upstream) probeInterval(work time.Duration) time.Duration {
	if float64(work) > probeShare*float64(u.service.latencyObjective) {
		return slowProbeInterval
	}
	return probeInterval
}

// wantsProbe reports whether a request is needed to tell whether a slow upstream has recovered.
func (u *upstream) wantsProbe(now time.Duration, class loadcontrol.Class) bool {
	if class.Urgent || class.Late || u.busy+u.opening > 0 || !u.learned.Slow(now) {
		return false
	}
	last := max(u.learned.UpdatedAt(), u.pacer.AdmittedAt)
	interval := u.probeInterval(u.learned.Work(now, &u.service.peers))
	// Hosts with a small share of the upstream probe it less often; one with half of it notices recovery in time.
	return u.share > 0 && float64(now-last)*min(1, 2*u.share) >= float64(interval)
}
