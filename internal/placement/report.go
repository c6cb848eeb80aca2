package placement

import "time"

const (
	// minReportTTL is the minimum time for which a report stays fresh. Where
	// reports are less frequent, the time is reportTTLIntervals mean intervals,
	// up to maxReportTTL.
	minReportTTL       = 2 * time.Second
	reportTTLIntervals = 3
	maxReportTTL       = 30 * time.Second
	// intervalGain is the weight of a new interval in the moving average.
	intervalGain = 0.25
	// lagWindow is the tolerated lag of a report: its numbers are compared with
	// the range of this placer's count over this time.
	lagWindow = 500 * time.Millisecond
	// frozenEvents and frozenTime define when an unchanging report counts as
	// frozen: after this many starts and finishes by this placer, over at least
	// this time.
	frozenEvents = 8
	frozenTime   = time.Second
	// extraSlotBlockTime is how long a contradiction blocks extra slots.
	extraSlotBlockTime = 10 * time.Second
	// extraSlotReports is the number of consecutive reports below this placer's
	// count that prove a free slot.
	extraSlotReports = 3
	// answerOverridesReportTime is how long an answer takes precedence over an
	// unhealthy report.
	answerOverridesReportTime = 3 * time.Second
)

// reportState holds the last load report of an upstream and the checks of its
// reports against this placer's count of running requests.
type reportState struct {
	last             Report
	at               time.Duration
	received         bool
	interval         time.Duration
	incarnation      uint64
	ownRunning       countRange
	runningExcess    int
	consecutiveBelow int
	// unchangedSince and eventsAtChange are the time of the last report that
	// differed from its predecessor, and the event count at that time.
	unchangedSince        time.Duration
	eventsAtChange        int
	extraSlotBlockedUntil time.Duration
}

func (h *reportState) restarted(r Report) bool {
	before := h.incarnation
	if r.Incarnation != 0 {
		h.incarnation = r.Incarnation
	}
	return before != 0 && r.Incarnation != 0 && before != r.Incarnation
}

// update compares a report with the range of this placer's count over the lag
// window. Running requests above the highest count belong to other hosts.
// Reports below the lowest count prove free slots, because an answer was
// missed. An unhealthy report proves none: it may stand for an endpoint that
// didn't answer, without real numbers.
func (h *reportState) update(now time.Duration, r Report) {
	if !h.received || r.Running != h.last.Running || r.Connections != h.last.Connections {
		h.unchangedSince = now
		h.eventsAtChange = h.ownRunning.events
	}
	h.updateInterval(now)
	low, high := h.ownRunning.bounds(now)
	excess := max(r.Running-high, 0)
	if h.fresh(now) {
		h.runningExcess = min(excess, max(h.runningExcess, r.Running-high))
	} else {
		h.runningExcess = excess
	}
	if r.Healthy && r.Running < low {
		h.consecutiveBelow++
	} else {
		h.consecutiveBelow = 0
	}
	h.last, h.at, h.received = r, now, true
}

// updateInterval updates the mean interval between reports.
func (h *reportState) updateInterval(now time.Duration) {
	if !h.received {
		return
	}
	passed := min(now-h.at, maxReportTTL/reportTTLIntervals)
	if h.interval == 0 {
		h.interval = passed
	}
	h.interval += time.Duration(intervalGain * float64(passed-h.interval))
}

// valid reports whether the last report is fresh and not frozen.
func (h *reportState) valid(now time.Duration) bool {
	return h.fresh(now) && !h.frozen()
}

// fresh reports whether the last report is recent, given the mean interval
// between reports.
func (h *reportState) fresh(now time.Duration) bool {
	return h.received && now-h.at < max(minReportTTL, reportTTLIntervals*h.interval)
}

// frozen reports whether the reports stayed the same for at least frozenTime up
// to the last one, although this placer's count has changed frozenEvents times
// or more since they last changed.
func (h *reportState) frozen() bool {
	return h.ownRunning.events-h.eventsAtChange >= frozenEvents && h.at-h.unchangedSince >= frozenTime
}

// onContradiction records a shed, a timeout or a lost request, which contradict
// reports of free slots.
func (h *reportState) onContradiction(now time.Duration) {
	h.consecutiveBelow = 0
	h.extraSlotBlockedUntil = now + extraSlotBlockTime
}

// otherHostsRunning returns the number of running requests that other hosts
// placed.
func (h *reportState) otherHostsRunning(now time.Duration) int {
	if !h.valid(now) {
		return 0
	}
	return h.runningExcess
}

// extraSlots returns one if reports prove that a request counted as running has
// ended without its answer being seen.
func (h *reportState) extraSlots(now time.Duration) int {
	if h.consecutiveBelow >= extraSlotReports && now >= h.extraSlotBlockedUntil && h.valid(now) {
		return 1
	}
	return 0
}

// reportedUnhealthy reports whether the upstream reports itself unhealthy and
// no recent answer shows otherwise.
func (u *upstream) reportedUnhealthy(now time.Duration) bool {
	if !u.reports.valid(now) || u.reports.last.Healthy {
		return false
	}
	return !u.answered || now-u.lastAnswer > answerOverridesReportTime
}

// countRange tracks the lowest and highest value of a count over the current
// and the previous window.
type countRange struct {
	value    int
	events   int
	start    time.Duration
	low      int
	high     int
	lastLow  int
	lastHigh int
}

func (c *countRange) record(now time.Duration, value int) {
	c.roll(now)
	c.value = value
	c.events++
	c.low = min(c.low, value)
	c.high = max(c.high, value)
}

func (c *countRange) bounds(now time.Duration) (low, high int) {
	c.roll(now)
	return min(c.low, c.lastLow), max(c.high, c.lastHigh)
}

func (c *countRange) roll(now time.Duration) {
	passed := now - c.start
	if passed < lagWindow {
		return
	}
	c.lastLow, c.lastHigh = c.low, c.high
	if passed >= 2*lagWindow {
		c.lastLow, c.lastHigh = c.value, c.value
	}
	c.low, c.high = c.value, c.value
	c.start = now
}
