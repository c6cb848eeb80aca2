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
	// extraSlotBlockTime is how long reports are not taken as proof of a free slot
	// after a shed, a timeout or a lost request contradicted them.
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
	last     Report
	at       time.Duration
	received bool
	// interval is the mean time between two reports.
	interval    time.Duration
	incarnation uint64
	ownRunning  countRange
	// runningExcess is the number of reported requests above this placer's count,
	// which other hosts placed.
	runningExcess int
	// consecutiveBelow counts the latest reports in a row below this placer's count.
	consecutiveBelow int
	// unchangedSince and eventsAtChange are the time of the last report that
	// differed from its predecessor, and the event count at that time.
	unchangedSince        time.Duration
	eventsAtChange        int
	extraSlotBlockedUntil time.Duration
}

// restarted reports whether the upstream has restarted since its last report, and
// records its incarnation.
func (s *reportState) restarted(r Report) bool {
	before := s.incarnation
	if r.Incarnation != 0 {
		s.incarnation = r.Incarnation
	}
	return before != 0 && r.Incarnation != 0 && before != r.Incarnation
}

// update compares a report with the range of this placer's count over the lag
// window. Running requests above the highest count belong to other hosts.
// Reports below the lowest count prove free slots, because an answer was
// missed. An unhealthy report proves none: it may stand for an endpoint that
// didn't answer, without real numbers.
func (s *reportState) update(now time.Duration, r Report) {
	if !s.received || r.Running != s.last.Running || r.Connections != s.last.Connections {
		s.unchangedSince = now
		s.eventsAtChange = s.ownRunning.events
	}
	s.updateInterval(now)
	low, high := s.ownRunning.bounds(now)
	excess := max(r.Running-high, 0)
	if s.fresh(now) {
		s.runningExcess = min(excess, max(s.runningExcess, r.Running-high))
	} else {
		s.runningExcess = excess
	}
	if r.Healthy && r.Running < low {
		s.consecutiveBelow++
	} else {
		s.consecutiveBelow = 0
	}
	s.last, s.at, s.received = r, now, true
}

// updateInterval updates the mean interval between reports.
func (s *reportState) updateInterval(now time.Duration) {
	if !s.received {
		return
	}
	passed := min(now-s.at, maxReportTTL/reportTTLIntervals)
	if s.interval == 0 {
		s.interval = passed
	}
	s.interval += time.Duration(intervalGain * float64(passed-s.interval))
}

// valid reports whether the last report is fresh and not frozen.
func (s *reportState) valid(now time.Duration) bool {
	return s.fresh(now) && !s.frozen()
}

// fresh reports whether the last report is recent, given the mean interval
// between reports.
func (s *reportState) fresh(now time.Duration) bool {
	return s.received && now-s.at < max(minReportTTL, reportTTLIntervals*s.interval)
}

// frozen reports whether the reports stayed the same for at least frozenTime up
// to the last one, although this placer's count has changed frozenEvents times
// or more since they last changed.
func (s *reportState) frozen() bool {
	return s.ownRunning.events-s.eventsAtChange >= frozenEvents && s.at-s.unchangedSince >= frozenTime
}

// onContradiction records a shed, a timeout or a lost request, which contradict
// reports of free slots.
func (s *reportState) onContradiction(now time.Duration) {
	s.consecutiveBelow = 0
	s.extraSlotBlockedUntil = now + extraSlotBlockTime
}

// otherHostsRunning returns the number of running requests that other hosts
// placed.
func (s *reportState) otherHostsRunning(now time.Duration) int {
	if !s.valid(now) {
		return 0
	}
	return s.runningExcess
}

// extraSlots returns one if reports prove that a request counted as running has
// ended without its answer being seen.
func (s *reportState) extraSlots(now time.Duration) int {
	if s.consecutiveBelow >= extraSlotReports && now >= s.extraSlotBlockedUntil && s.valid(now) {
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
