package placement

import (
	"math/rand/v2"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
)

// upstream is the placer's state for one upstream.
type upstream struct {
	id          ids.UpstreamID
	zone        string
	slots       int
	connections int
	active      bool
	// leaving is set if the upstream reported that it wants no new work.
	leaving bool
	// local is set if the upstream is in the placer's availability zone or in
	// an adopted one.
	local   bool
	adopted bool
	// running is the number of requests that this placer has started there and
	// not finished.
	running int
	// startTimes holds the start times of the running requests, oldest first.
	startTimes   []time.Duration
	lastFinish   time.Duration
	lastAnswer   time.Duration
	answered     bool
	flows        flowCount
	serviceTimes estimator
	limit        limit
	ramp         ramp
	health       health
	reports      reportState
}

func newUpstream(id ids.UpstreamID) *upstream {
	return &upstream{id: id, serviceTimes: newEstimator(upstreamGain)}
}

func (u *upstream) configure(c *config.Upstream) {
	u.limit.resize(u.slots, c.Slots)
	u.slots = c.Slots
	u.connections = c.Connections
	u.active = c.State == config.UpstreamActive
	u.zone = c.Zone
}

func (u *upstream) start(now time.Duration) {
	u.running++
	u.startTimes = append(u.startTimes, now)
	u.reports.ownRunning.record(now, u.running)
}

func (u *upstream) finish(now, started time.Duration) {
	for i, at := range u.startTimes {
		if at == started {
			u.startTimes = append(u.startTimes[:i], u.startTimes[i+1:]...)
			break
		}
	}
	u.running = len(u.startTimes)
	u.lastFinish = now
	u.reports.ownRunning.record(now, u.running)
}

func (u *upstream) onAnswer(now, took time.Duration, running int, slowStart time.Duration) {
	if u.health.state != healthOK {
		u.ramp.begin(now, slowStart)
	}
	u.serviceTimes.add(took)
	u.lastAnswer = now
	u.answered = true
	u.health.onAnswer(now)
	u.limit.onAnswer(u.slots, running)
}

func (u *upstream) onShed(now time.Duration, running int, rng *rand.Rand) {
	u.limit.onShed(now, running, rng)
	u.reports.onContradiction(now)
}

func (u *upstream) onTimeout(now time.Duration, rng *rand.Rand) {
	u.limit.decrease(now)
	u.reports.onContradiction(now)
	u.health.onFailure(now, rng)
}

// onLost restarts slow start: the upstream has lost all the requests it was
// running.
func (u *upstream) onLost(now, slowStart time.Duration, rng *rand.Rand) {
	u.ramp.begin(now, slowStart)
	u.reports.onContradiction(now)
	u.health.onFailure(now, rng)
}

func (u *upstream) onReport(now time.Duration, r Report, slowStart time.Duration) {
	if u.reports.restarted(r) {
		u.ramp.begin(now, slowStart)
		u.health.reset()
		u.flows.reset()
	}
	u.reports.update(now, r)
	if r.Leaving || r.Healthy {
		u.leaving = r.Leaving
	}
	if r.Healthy {
		u.flows.report(r.Connections)
		u.limit.initialize(u.slots)
	}
}

// allowed returns the number of requests that this placer may currently have
// running on the upstream.
func (u *upstream) allowed(now time.Duration) int {
	if u.limit.backingOff(now) {
		return 0
	}
	n := u.limit.slots(u.slots) - u.reports.otherHostsRunning(now) + u.reports.extraSlots(now)
	if u.ramp.active(now) {
		n = min(n, int(u.ramp.factor(now)*float64(u.slots)))
	}
	if u.health.halfOpen() {
		n = 1
	}
	return max(n, 1)
}

// hasFreeSlot reports whether the upstream can take another request.
func (u *upstream) hasFreeSlot(now time.Duration) bool {
	return u.running < u.allowed(now)
}

// load returns the share of the upstream's slots in use if it took one more
// request.
func (u *upstream) load(now time.Duration) float64 {
	return float64(u.running+u.reports.otherHostsRunning(now)+1) / (float64(u.slots) * u.ramp.factor(now))
}

// overdue reports whether the upstream has a request running and has answered nothing
// for so long that it may be dead.
func (u *upstream) overdue(now time.Duration, serviceTimes estimator) bool {
	if len(u.startTimes) == 0 || !serviceTimes.known() {
		return false
	}
	silentSince := max(u.startTimes[0], u.lastAnswer)
	return now-silentSince > overdueFactor*serviceTimes.mean+overdueDeviations*serviceTimes.deviation
}

// An upstream is overdue after overdueFactor mean service times plus
// overdueDeviations mean deviations without an answer.
const (
	overdueFactor     = 3
	overdueDeviations = 4
)
