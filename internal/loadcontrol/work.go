package loadcontrol

import "time"

const (
	// firstSamples is the number of samples of which the shortest is taken, before there is a mean.
	firstSamples = 5
	// workWeight is the weight of a later sample in the mean.
	workWeight = 0.2
	// maxWorkRatio bounds a sample, as a multiple of the mean: a paused host or a slow link delays
	// single answers by seconds.
	maxWorkRatio = 3
)

// Work is the mean time that a request takes a slot. The zero value is unknown.
type Work struct {
	mean    time.Duration
	samples int
}

// Add adds the time from a request to its answer at an upstream with a free slot.
func (w *Work) Add(sample time.Duration) {
	if w.samples < firstSamples {
		w.samples++
		if w.mean == 0 || sample < w.mean {
			w.mean = sample
		}
		return
	}
	sample = min(sample, maxWorkRatio*w.mean)
	w.mean += time.Duration(workWeight * float64(sample-w.mean))
}

// Mean returns the mean, or zero before there are enough samples.
func (w *Work) Mean() time.Duration {
	if w.samples < firstSamples {
		return 0
	}
	return w.mean
}
