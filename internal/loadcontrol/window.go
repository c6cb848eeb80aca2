package loadcontrol

import "time"

const (
	// windowInitial, windowMin and windowMax bound a Window, in requests.
	windowInitial = 8
	windowMin     = 0.1
	windowMax     = 256
	// windowDecrease is the factor by which a late answer shrinks a Window.
	windowDecrease = 0.7
)

// Window limits requests at upstreams whose load the host does not know, by additive increase and
// multiplicative decrease: it grows by one for each window of timely answers and shrinks when answers
// are late.
type Window struct {
	Pacer
	size float64
	// latency is the last time from request to answer; decreasedAt is when the window last shrank.
	latency, decreasedAt time.Duration
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

// Admits reports whether another request may start in addition to the open ones.
func (w *Window) Admits(now time.Duration, open int, class Class) bool {
	return w.Pacer.Admits(now, float64(open), w.size, class, w.latency)
}
