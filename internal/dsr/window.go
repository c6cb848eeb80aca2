package dsr

import "time"

const (
	// objectiveShare is the share of the latency objective above which an upstream counts as
	// queueing; the rest is for transit and variance.
	objectiveShare = 0.6
	// windowDecrease is the factor by which a late answer shrinks the window.
	windowDecrease = 0.7
	// windowMin and windowMaxPerSlot bound the window, the latter for each slot: upstreams shed
	// more than five requests per slot. A window below one admits a request only now and then,
	// since ten hosts may share an upstream.
	windowMin        = 0.1
	windowMaxPerSlot = 5
	// retransmitShare is the share of the window that is open to retransmitted SYNs: their requests
	// are late already, while others can still be in time.
	retransmitShare = 0.5
	// urgentFactor enlarges the window for routes more urgent than the least urgent one of the
	// service.
	urgentFactor = 1.5
)

// window limits the open work of this host at an upstream, by additive increase and multiplicative
// decrease. It is driven by the time from request to answer, which reflects the load of all hosts:
// the window grows by one for each window of timely answers and shrinks when answers are late.
type window struct {
	size, maxSize float64
	// latency is the last time from request to answer.
	latency time.Duration
	// decreasedAt is when the window last shrank, admittedAt when a flow was last admitted.
	decreasedAt, admittedAt time.Duration
}

func newWindow(slots int) window {
	return window{size: float64(slots), maxSize: float64(windowMaxPerSlot * slots)}
}

// addLatencySample adjusts the window to the time from a request to its answer.
func (w *window) addLatencySample(now, latency, objective time.Duration) {
	w.latency = latency
	if objective > 0 && float64(latency) > objectiveShare*float64(objective) {
		// Requests sent before the last decrease do not reflect the new size.
		if now-w.decreasedAt > latency {
			w.size, w.decreasedAt = max(windowMin, w.size*windowDecrease), now
		}
		return
	}
	w.size = min(w.maxSize, w.size+1/max(w.size, 1))
}

// admits reports whether another flow may be opened in addition to the open work.
func (w *window) admits(now time.Duration, open int, p *Packet, urgent bool) bool {
	limit := w.size
	if p.SYNRetransmits > 0 {
		limit *= retransmitShare
	}
	if urgent {
		limit *= urgentFactor
	}
	if limit >= 1 {
		return float64(open) < limit
	}
	// Below one, flows are admitted one at a time, with pauses that keep the mean open work at the
	// limit.
	return open == 0 && float64(now-w.admittedAt)*limit >= float64(w.latency)
}

// addRoute adds the latency objective and priority of a route to those of the service.
func (s *service) addRoute(r *route) {
	if r.LatencyObjective > 0 && (s.latencyObjective == 0 || r.LatencyObjective < s.latencyObjective) {
		s.latencyObjective = r.LatencyObjective
	}
	s.lowestPriority = max(s.lowestPriority, r.Priority)
}
