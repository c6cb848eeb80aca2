// Package capacity estimates for each upstream of a service how many requests it takes well at a time
// and how long one takes then, from what a host sees of its own requests. It has no clock, sockets or
// goroutines: each call is given the time as the duration since the start of the host.
//
// An Estimate is a Bayesian filter over pairs of a work time and a knee, the number of requests above
// which an upstream gets slower in proportion. Each answer weighs the pairs by how likely they made it
// take as long as it did, and with time some weight returns to the usual pair. The likelihood has a heavy
// tail, so a few slow answers are needed where one can be chance, and one fast answer shows recovery.
//
// A Group holds the work of the peers that an upstream is judged against.
package capacity

import (
	"math"
	"time"
)

const (
	// slowFactor is the multiple of the reference above which an upstream is judged slow, with the
	// weight slowWeight of the pairs above it. The judgement ends below usualWeight.
	slowFactor  = 1.4
	slowWeight  = 0.9
	usualWeight = 0.5
	// minSlowness is the least multiple of the reference of the mean work of a slow upstream.
	minSlowness = 1.5
	// notedSlowness is the multiple of the work of the peers up to which the work of an upstream that is not judged
	// slow is chance: estimates from a few dozen answers differ by so much.
	notedSlowness = 1.25
	// kneeWeight is the weight of the pairs with a knee below the slots that lowers the limit.
	kneeWeight = 0.9
	// minSamples is the number of samples from which on an estimate counts as a peer.
	minSamples = 3
	// StaleTime is the time without samples after which an estimate says nothing any more.
	StaleTime = 30 * time.Second
	// slownessHalfLife is the time in which an upstream that is not judged slow loses half of what it seems slower.
	slownessHalfLife = 2 * time.Second
	// sameCallerWeight is the weight of a slow answer to the caller of the last slow one: a link that
	// loses packets delays answers to one caller.
	sameCallerWeight = 0.5
)

// Sample is a request that was answered.
type Sample struct {
	// Start and End are when the request was sent and when its answer was acknowledged.
	Start, End time.Duration
	// Transit is the part of the time that was spent on the way; zero is unknown.
	Transit time.Duration
	// InProgress is the number of requests of this host in progress at the upstream at the start, this one
	// included; zero is unknown.
	InProgress int
	// Retransmitted is set if the caller sent a packet of the request again.
	Retransmitted bool
	// ResentAt is when the caller last sent a packet of the request again; zero is unknown.
	ResentAt time.Duration
	// Counted is the time without an answer that Pending has counted already.
	Counted time.Duration
	// AtMost is set if the answer may have come earlier: it was acknowledged with the next request.
	AtMost bool
	// Caller identifies the caller; zero is unknown.
	Caller uint64
}

// Evidence is what an estimate was last changed by.
type Evidence uint8

// Kinds of evidence.
const (
	EvidenceNone Evidence = iota
	EvidenceAnswer
	EvidencePending
	EvidenceShed
	evidenceCount
)

var evidenceNames = [evidenceCount]string{"", "answers compared with those of peers", "requests unanswered for several times the usual work", "rejected requests"}

// String returns the evidence as it appears in logs.
func (k Evidence) String() string { return evidenceNames[k] }

// Estimate is what one upstream takes. The zero value and nil are an upstream without samples.
type Estimate struct {
	filter filter
	// work is the mean work, limit the knee.
	work  time.Duration
	limit int
	slow  bool
	// slowSince is when the first of the latest slow requests was sent; zero if the last was not slow.
	slowSince time.Duration
	lastSlow  uint64
	// aboveAt is when more requests than the limit were last in progress.
	aboveAt    time.Duration
	samples    int
	updatedAt  time.Duration
	evidence   Evidence
	peerNumber int
}

// Add adds a sample of an upstream of the group with the given slots.
func (e *Estimate) Add(now time.Duration, g *Group, slots int, s Sample) {
	took := max(s.End-s.Start-s.Transit, minWork)
	o := observation{kind: observedExactly, inProgress: s.InProgress, high: logWork(took), weight: 1}
	if s.Counted > 0 {
		o.counted, o.isCounted = logWork(max(s.Counted-s.Transit, minWork)), true
	}
	if s.AtMost {
		o.kind, o.low, o.isCounted = observedBetween, 0, false
	}
	if s.Retransmitted {
		if s.ResentAt <= s.Start {
			return
		}
		// The request may have arrived with the first packet, or not before the last one.
		o.kind, o.isCounted = observedBetween, false
		if !s.AtMost {
			o.low = logWork(max(s.End-s.ResentAt-s.Transit, minWork))
		}
	}
	slow := o.kind == observedExactly && g.isSlow(took, s.InProgress, slots)
	if slow && s.Caller != 0 && s.Caller == e.lastSlow {
		o.weight = sameCallerWeight
	}
	if o.kind == observedExactly {
		g.noteAnswer(o.high - math.Log(max(1, float64(s.InProgress)/float64(slots))))
	}
	e.observe(now, g, slots, o, EvidenceAnswer)
	if o.kind == observedExactly || !g.isSlow(took, s.InProgress, slots) {
		e.noteStart(g, slow, s.Start, s.Caller)
	}
	g.update(now, e)
	e.judge(g, slots)
}

// Pending records that a request that was sent at the given time has no answer yet. It is called at most
// once for a request, and the Sample of its answer says so in Counted.
func (e *Estimate) Pending(now time.Duration, g *Group, slots int, start, transit time.Duration, inProgress int) {
	waited := max(now-start-transit, minWork)
	e.observe(now, g, slots, observation{kind: observedPending, inProgress: inProgress, low: logWork(waited), weight: 1}, EvidencePending)
	e.noteStart(g, g.isSlow(waited, inProgress, slots), start, 0)
	g.update(now, e)
	e.judge(g, slots)
}

// Shed records that the upstream rejected a request while so many of this host were in progress.
func (e *Estimate) Shed(now time.Duration, g *Group, slots, inProgress int) {
	e.observe(now, g, slots, observation{kind: observedShed, inProgress: inProgress, weight: 1}, EvidenceShed)
	e.judge(g, slots)
}

func (e *Estimate) observe(now time.Duration, g *Group, slots int, o observation, evidence Evidence) {
	if e.filter.slots != slots || now-e.updatedAt > StaleTime {
		e.filter.reset(slots, g.reference)
		e.slow, e.samples, e.slowSince = false, 0, 0
	} else {
		e.filter.relax(now-e.updatedAt, g.reference, e.limit < slots && now-e.aboveAt > forgetAfter)
	}
	if o.inProgress > min(e.limit, slots-1) {
		e.aboveAt = now
	}
	e.filter.apply(&o)
	e.samples++
	e.updatedAt, e.evidence = now, evidence
	e.work = e.filter.meanWork()
}

// noteStart records when the latest slow requests began, or that the upstream or a peer is fast.
func (e *Estimate) noteStart(g *Group, slow bool, start time.Duration, caller uint64) {
	switch {
	case !slow:
		e.slowSince = 0
		g.noteFast(start)
	case e.slowSince == 0:
		e.slowSince = start
	}
	if slow && caller != 0 {
		e.lastSlow = caller
	}
}

// judge decides from the filter whether the upstream is slow and where its knee is. Where both explain the answers, the
// likelier one is taken.
func (e *Estimate) judge(g *Group, slots int) {
	reference := max(g.reference, g.recentWork)
	above, aboveAtSlots := 0.0, 0.0
	if g.reference > 0 {
		above, aboveAtSlots = e.filter.weightAbove(logWork(time.Duration(slowFactor * float64(reference))))
	}
	below := e.filter.weightBelow()
	either := below + aboveAtSlots
	switch {
	case !e.slow:
		// If no peer answers fast any more what was sent since, the requests are heavier.
		e.slow = max(above, either) >= slowWeight && above > below && float64(e.work) >= minSlowness*float64(reference) && g.fastSince(e.slowSince)
	case above < usualWeight:
		e.slow = false
	}
	if e.limit == 0 || e.limit >= slots {
		e.limit = slots
		if below >= kneeWeight || either >= kneeWeight && below >= aboveAtSlots && g.fastSince(e.slowSince) {
			e.limit = e.filter.knee()
		}
	} else if below < usualWeight {
		e.limit = slots
	} else {
		e.limit = e.filter.knee()
	}
}

// Limit returns the number of requests that the upstream takes well at a time, at most its slots.
func (e *Estimate) Limit(now time.Duration, _ *Group, slots int) float64 {
	if e == nil || e.samples == 0 || e.limit >= slots || now-e.updatedAt > StaleTime {
		return float64(slots)
	}
	return float64(e.limit)
}

// Work returns the time that a request takes a slot; zero is unknown. An upstream without samples takes as
// long as its peers.
func (e *Estimate) Work(now time.Duration, g *Group) time.Duration {
	if e == nil || e.samples < minSamples || now-e.updatedAt > StaleTime {
		return g.Work()
	}
	return e.work
}

// Slow reports whether the upstream is judged slower than its peers.
func (e *Estimate) Slow(now time.Duration) bool {
	return e != nil && e.slow && now-e.updatedAt <= StaleTime
}

// Slowness returns how many times slower than its peers the upstream is, at least 1. Below a judgement it is in
// relation to the median, and loses half of its excess in each slownessHalfLife: a queue that other hosts fill makes
// an upstream slower for a while.
func (e *Estimate) Slowness(now time.Duration, g *Group) float64 {
	switch {
	case e.Slow(now) && g.reference > 0:
		return max(1, float64(e.work)/float64(g.reference))
	case e == nil || e.samples < minSamples || g.work <= 0 || float64(e.work) <= notedSlowness*float64(g.work):
		return 1
	}
	return 1 + (float64(e.work)/float64(g.work)-1)*math.Exp2(-float64(now-e.updatedAt)/float64(slownessHalfLife))
}

// UpdatedAt returns when the last evidence came; zero is never.
func (e *Estimate) UpdatedAt() time.Duration {
	if e == nil {
		return 0
	}
	return e.updatedAt
}

// Samples returns the number of samples, and what the last one was.
func (e *Estimate) Samples() (int, Evidence) { return e.samples, e.evidence }

// Reset makes the estimate one without samples.
func (e *Estimate) Reset(g *Group) {
	g.remove(e)
	*e = Estimate{}
}

func logWork(d time.Duration) float64 { return math.Log(float64(d) / float64(minWork)) }
