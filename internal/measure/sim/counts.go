package sim

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the largest recorded value, in microseconds.
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Counts are the results of one service. All but the per-second counts leave
// out requests created in the warm-up.
type Counts struct {
	// Offered counts the requests created, Served those answered before their
	// callers' timeouts.
	Offered int
	Served  int
	// Refusals counts refused attempts. NotRun counts requests that failed with
	// the verdict not run, MayHaveRun those that failed with may have run.
	Refusals   int
	NotRun     int
	MayHaveRun int
	// Sheds counts attempts shed by upstreams, Dropped those dropped by hosts.
	Sheds   int
	Dropped int
	// Latency is the time from the creation of a request to its answer, Wait
	// that from its arrival at the owner to its start on an upstream, both in
	// microseconds.
	Latency *hdrhistogram.Histogram
	Wait    *hdrhistogram.Histogram
	// Windows holds, for each window, the busy time of each upstream.
	Windows [][]time.Duration
	// ServedBySecond counts answered requests by the second of their creation.
	ServedBySecond []int
	// OfferedBySecond counts all requests by the second of their creation.
	OfferedBySecond []int
	// AnsweredBySecond counts answers by the second of their arrival.
	AnsweredBySecond []int
}

func newCounts() Counts {
	return Counts{
		Latency: hdrhistogram.New(1, histogramMax, histogramDigits),
		Wait:    hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func countSecond(seconds *[]int, at time.Duration) {
	second := int(at / time.Second)
	for len(*seconds) <= second {
		*seconds = append(*seconds, 0)
	}
	(*seconds)[second]++
}

// Sum returns the sum of per-second counts in [from, to), which are rounded down to
// seconds.
func Sum(seconds []int, from, to time.Duration) int {
	sum := 0
	for second := int(from / time.Second); second < int(to/time.Second) && second < len(seconds); second++ {
		sum += seconds[second]
	}
	return sum
}

// Imbalance measures how unevenly a load is distributed over upstreams.
type Imbalance struct {
	// MaxOverMean is the ratio of the largest load to the mean. CV is the
	// coefficient of variation: the standard deviation over the mean.
	MaxOverMean float64
	CV          float64
}

// ImbalanceOf returns the imbalance of loads, which is zero if their mean is zero.
func ImbalanceOf(loads []float64) Imbalance {
	sum, largest := 0.0, 0.0
	for _, l := range loads {
		sum += l
		largest = max(largest, l)
	}
	mean := sum / float64(len(loads))
	if mean == 0 {
		return Imbalance{}
	}
	squares := 0.0
	for _, l := range loads {
		squares += (l - mean) * (l - mean)
	}
	return Imbalance{MaxOverMean: largest / mean, CV: math.Sqrt(squares/float64(len(loads))) / mean}
}

// RunningImbalance returns the imbalance of the mean number of running requests
// over the whole run, and the mean of the imbalances of the windows.
func (c *Counts) RunningImbalance() (whole, window Imbalance) {
	if len(c.Windows) == 0 {
		return Imbalance{}, Imbalance{}
	}
	sum := make([]float64, len(c.Windows[0]))
	for _, w := range c.Windows {
		loads := make([]float64, len(w))
		for i, busy := range w {
			loads[i] = busy.Seconds()
			sum[i] += busy.Seconds()
		}
		s := ImbalanceOf(loads)
		window.MaxOverMean += s.MaxOverMean / float64(len(c.Windows))
		window.CV += s.CV / float64(len(c.Windows))
	}
	return ImbalanceOf(sum), window
}

// FlowImbalance returns the imbalance of the open flows over the upstreams.
func (s *Service) FlowImbalance() Imbalance {
	loads := make([]float64, len(s.Upstreams))
	for i, u := range s.Upstreams {
		loads[i] = float64(u.Flows)
	}
	return ImbalanceOf(loads)
}
