package dsr

import "time"

const (
	// objectiveShare is the share of the latency that callers want above which
	// an upstream counts as queueing; the rest is for the way and for variance.
	objectiveShare = 0.6
	// windowCut is what remains of the window after an answer that came late.
	windowCut = 0.7
	// windowMin and windowPerSlot bound the window, the latter for each slot:
	// more than five requests a slot are shed by today's upstreams.
	windowMin     = 1.0
	windowPerSlot = 5
	// copyShare is the part of the window that is open to repeated first
	// packets: their requests are late already, others can still be in time.
	copyShare = 0.5
	// urgentExtra is how far routes of a higher priority may exceed the window, in requests.
	urgentExtra = 1
)

// window bounds the open work of this host at an upstream. It follows the time
// from request to answer, which shows the work of all hosts: it grows by one
// in the time of a window, and shrinks by a part when answers come late.
type window struct {
	size, most float64
	cutAt      time.Duration
}

func newWindow(slots int) window {
	return window{size: float64(slots), most: float64(windowPerSlot * slots)}
}

// sample notes the time from a request to its answer.
func (w *window) sample(now, latency, objective time.Duration) {
	if objective > 0 && float64(latency) > objectiveShare*float64(objective) {
		// Answers to requests sent before the last cut say nothing of the new size.
		if now-w.cutAt > latency {
			w.size, w.cutAt = max(windowMin, w.size*windowCut), now
		}
		return
	}
	w.size = min(w.most, w.size+1/w.size)
}

// admits reports whether another flow may be opened beside the open work.
func (w *window) admits(open int, p *Packet, urgent bool) bool {
	limit := w.size
	if p.Copy > 0 {
		limit = max(windowMin, limit*copyShare)
	}
	if urgent {
		limit += urgentExtra
	}
	return float64(open) < limit
}

// require takes a route into the demands on its service.
func (s *service) require(r *route) {
	if r.Objective > 0 && (s.objective == 0 || r.Objective < s.objective) {
		s.objective = r.Objective
	}
	s.lowest = max(s.lowest, r.Priority)
}
