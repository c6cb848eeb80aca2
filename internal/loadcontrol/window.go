package loadcontrol

import "time"

const (
	// windowInitial, windowMin and windowMax bound a Window, in requests.
	windowInitial = 8
	windowMin     = 0.1
	windowMax     = 256
	// windowDecrease is the factor by which a late answer shrinks a Window.
	windowDecrease = 0.7
	// delayWeight is the weight of a sample in the mean delay of a Window: single answers take up to several
	// times the mean work. maxDelay bounds a sample.
	delayWeight = 1.0 / 8
	maxDelay    = 4
	// queuedDelay is the mean delay above which requests queue. With two slots an upstream, one request
	// that waits for each upstream makes it 1.5.
	queuedDelay = 1.25
)

// Window limits requests at upstreams whose load the host does not know, by additive increase and
// multiplicative decrease: it grows by one for each window of timely answers and shrinks when answers
// are late.
type Window struct {
	Pacer
	size float64
	// latency is the last time from request to answer; decreasedAt is when the window last shrank.
	latency, decreasedAt time.Duration
	// delay is the mean time to an answer in proportion to the work; zero is unknown.
	delay float64
}

// NewWindow returns a window of initial size.
func NewWindow() Window { return Window{size: windowInitial} }

// Size returns the number of requests that may be open.
func (w *Window) Size() float64 { return w.size }

// AddLatency adjusts the window to the time from a request to its answer. The work is the usual time
// without a queue; zero is unknown.
func (w *Window) AddLatency(now, latency, work, objective time.Duration) {
	w.latency = latency
	timely := max(objectiveShare*float64(objective), queuedFactor*float64(work))
	if objective <= 0 || float64(latency) <= timely {
		w.size = min(windowMax, w.size+1/max(w.size, 1))
		return
	}
	// Requests sent before the last decrease do not reflect the new size.
	if now-w.decreasedAt > latency {
		w.size, w.decreasedAt = max(windowMin, w.size*windowDecrease), now
	}
}

// AddDelay adjusts the window to the time that a request took at an upstream, without the transit, so that
// requests do not queue there. The work is the usual time without a queue; zero is unknown.
func (w *Window) AddDelay(now, took, work time.Duration) {
	w.latency = took
	if work <= 0 {
		return
	}
	sample := min(float64(took)/float64(work), maxDelay)
	if w.delay == 0 {
		w.delay = 1
	}
	w.delay += delayWeight * (sample - w.delay)
	if w.delay <= queuedDelay {
		w.size = min(windowMax, w.size+1/max(w.size, 1))
		return
	}
	if now-w.decreasedAt > took {
		w.size, w.decreasedAt, w.delay = max(windowMin, w.size*windowDecrease), now, queuedDelay
	}
}

// Admits reports whether another request may start in addition to the open ones.
func (w *Window) Admits(now time.Duration, open int, class Class) bool {
	return w.Pacer.Admits(now, float64(open), w.size, class, w.latency)
}
