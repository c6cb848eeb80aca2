package placement

import (
	"slices"
	"time"
)

const (
	// upstreamGain and serviceGain are the weights of a new service time in the
	// moving averages of one upstream and of the whole service.
	upstreamGain = 1.0 / 8
	serviceGain  = 1.0 / 32
	// warmUpSamples is the number of initial service times over which the plain
	// mean is used.
	warmUpSamples = 8
	// minRemainingShare is the share of the mean service time below which the
	// time to the deadline is too short for any answer.
	minRemainingShare = 0.25
)

// estimator tracks the moving mean and mean deviation of service times.
type estimator struct {
	gain      float64
	samples   int
	mean      time.Duration
	deviation time.Duration
}

func newEstimator(gain float64) estimator {
	return estimator{gain: gain}
}

func (e *estimator) known() bool {
	return e.samples > 0
}

func (e *estimator) add(took time.Duration) {
	e.samples++
	if e.samples == 1 {
		e.mean = took
		e.deviation = took / 2
		return
	}
	gain := e.gain
	if e.samples <= warmUpSamples {
		gain = max(gain, 1/float64(e.samples))
	}
	diff := took - e.mean
	e.mean += time.Duration(gain * float64(diff))
	e.deviation += time.Duration(gain * float64(diff.Abs()-e.deviation))
}

// upperEstimate returns the mean plus one mean deviation; most requests finish
// within it.
func (e *estimator) upperEstimate() time.Duration {
	return e.mean + e.deviation
}

// canFinishBy reports whether a request started now has any chance of an answer
// before the deadline.
func (e *estimator) canFinishBy(now, deadline time.Duration) bool {
	remaining := deadline - now
	if !e.known() {
		return remaining > 0
	}
	return remaining > time.Duration(minRemainingShare*float64(e.mean))
}

// medianServiceTime returns the median of the upstreams' mean service times, or
// zero if none is known.
func (p *Placer) medianServiceTime() time.Duration {
	var means []time.Duration
	for _, u := range p.upstreams {
		if u.serviceTimes.known() {
			means = append(means, u.serviceTimes.mean)
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[(len(means)-1)/2]
}
