package dsr

import "time"

const (
	// objectiveShare is the share of the latency that callers want above which
	// an upstream counts as queueing; the rest is for the way and for variance.
	objectiveShare = 0.6
	// windowCut is what remains of the window after an answer that came late.
	windowCut = 0.7
	// windowMin and windowPerSlot bound the window, the latter for each slot:
	// more than five requests a slot are shed by today's upstreams. A window
	// below one lets one request in now and then; ten hosts may share an upstream.
	windowMin     = 0.1
	windowPerSlot = 5
	// copyShare is the part of the window that is open to repeated first
	// packets: their requests are late already, others can still be in time.
	copyShare = 0.5
	// urgentShare is how much larger the window is for routes of a higher priority.
	urgentShare = 1.5
)

// window bounds the open work of this host at an upstream. It follows the time
// from request to answer, which shows the work of all hosts: it grows by one
// in the time of a window, and shrinks by a part when answers come late.
type window struct {
	size, most float64
	// latency is the last time from request to answer.
	latency time.Duration
	// cutAt is when the window shrank last, usedAt when a flow was admitted last.
	cutAt, usedAt time.Duration
}

func newWindow(slots int) window {
	return window{size: float64(slots), most: float64(windowPerSlot * slots)}
}

// sample notes the time from a request to its answer.
func (w *window) sample(now, latency, objective time.Duration) {
	w.latency = latency
	if objective > 0 && float64(latency) > objectiveShare*float64(objective) {
		// Answers to requests sent before the last cut say nothing of the new size.
		if now-w.cutAt > latency {
			w.size, w.cutAt = max(windowMin, w.size*windowCut), now
		}
		return
	}
	w.size = min(w.most, w.size+1/max(w.size, 1))
}

// admits reports whether another flow may be opened beside the open work.
func (w *window) admits(now time.Duration, open int, p *Packet, urgent bool) bool {
	limit := w.size
	if p.SYNRetransmits > 0 {
		limit *= copyShare
	}
	if urgent {
		limit *= urgentShare
	}
	if limit >= 1 {
		return float64(open) < limit
	}
	// The mean open work of one request at a time and a pause is the limit.
	return open == 0 && float64(now-w.usedAt)*limit >= float64(w.latency)
}

// require takes a route into the demands on its service.
func (s *service) require(r *route) {
	if r.LatencyObjective > 0 && (s.objective == 0 || r.LatencyObjective < s.objective) {
		s.objective = r.LatencyObjective
	}
	s.lowest = max(s.lowest, r.Priority)
}
