package placement

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
)

const (
	// flowWindow is the length of a window of recent flows; the current and the
	// previous window are counted.
	flowWindow = time.Second
	// maxFlowShareFactor limits an upstream to this multiple of the mean number
	// of new flows per upstream, so that one with few flows doesn't get all new
	// ones at once.
	maxFlowShareFactor = 3
	// minFlowShare is the number of recent flows that any upstream may get in
	// addition, whatever the mean.
	minFlowShare = 4
)

// flowCount counts the flows on one upstream. This placer's own count misses
// flows opened by other hosts and includes flows of vanished callers until
// their owner expires them; the number reported by the upstream lags.
type flowCount struct {
	own      int
	reported int
	// openedSinceReport counts the flows opened since the last report.
	openedSinceReport int
	recent            windowCount
}

func (f *flowCount) open(now time.Duration) {
	f.own++
	f.openedSinceReport++
	f.recent.add(now)
}

func (f *flowCount) close() {
	f.own = max(f.own-1, 0)
	f.openedSinceReport = max(f.openedSinceReport-1, 0)
}

func (f *flowCount) report(connections int) {
	f.reported = connections
	f.openedSinceReport = 0
}

func (f *flowCount) reset() {
	f.own, f.reported, f.openedSinceReport = 0, 0, 0
}

// count returns the larger of the placer's own and the reported count, so that
// neither a new home without counts of its own nor a delayed report overfills
// an upstream.
func (f *flowCount) count(reportValid bool) int {
	if !reportValid {
		return f.own
	}
	return max(f.own, f.reported+f.openedSinceReport)
}

// windowCount counts events in the current and the previous window.
type windowCount struct {
	start    time.Duration
	current  int
	previous int
}

func (w *windowCount) add(now time.Duration) {
	w.roll(now)
	w.current++
}

func (w *windowCount) total(now time.Duration) int {
	w.roll(now)
	return w.current + w.previous
}

func (w *windowCount) roll(now time.Duration) {
	passed := now - w.start
	if passed < flowWindow {
		return
	}
	w.previous = w.current
	if passed >= 2*flowWindow {
		w.previous = 0
	}
	w.current = 0
	w.start = now
}

// PlaceFlow chooses the upstream for a new flow: the one with the fewest
// connections relative to its limit. Upstreams that have used up their share of
// recent flows are chosen last.
func (p *Placer) PlaceFlow(now time.Duration) Decision {
	p.refreshHealth(now)
	u, considered := p.leastConnections(now)
	if u == nil {
		return Decision{
			Action:     ActionRefuse,
			Reason:     p.flowRefusalReason(),
			RetryAfter: p.flowPacer.Next(now, flowRetryRate),
			Considered: len(p.upstreams),
		}
	}
	u.flows.open(now)
	p.recentFlows.add(now)
	return Decision{Action: ActionStart, Upstream: u.id, Considered: considered}
}

// AdoptFlow counts an open flow whose home this host has become.
func (p *Placer) AdoptFlow(now time.Duration, id ids.UpstreamID) {
	if u := p.byID[id]; u != nil {
		u.flows.own++
	}
}

// CloseFlow records that a flow on the upstream has ended.
func (p *Placer) CloseFlow(now time.Duration, id ids.UpstreamID) {
	if u := p.byID[id]; u != nil {
		u.flows.close()
	}
}

// flowRank orders upstreams for a new flow; the lowest rank is chosen.
type flowRank struct {
	tier tier
	// shareUsed is set if the upstream has had its share of the recent flows.
	shareUsed bool
	load      float64
}

func (a flowRank) before(b flowRank) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	if a.shareUsed != b.shareUsed {
		return b.shareUsed
	}
	return a.load < b.load
}

// leastConnections returns the upstream of the lowest rank, or nil, and the
// number of upstreams compared.
func (p *Placer) leastConnections(now time.Duration) (*upstream, int) {
	var best *upstream
	var bestRank flowRank
	considered, ties := 0, 0
	mean := p.meanRecentFlows(now)
	for _, u := range p.upstreams {
		count := u.flows.count(u.reports.valid(now))
		if !p.usable(u) || count >= u.connections || u.health.halfOpen() {
			continue
		}
		rank := flowRank{tier: p.tierOf(now, u), shareUsed: u.flowShareUsed(now, mean)}
		if rank.tier == tierNone {
			continue
		}
		rank.load = float64(count+1) / float64(u.connections)
		considered++
		switch {
		case best == nil || rank.before(bestRank):
			best, bestRank, ties = u, rank, 1
		case !bestRank.before(rank):
			ties++
			if p.rng.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best, considered
}

// meanRecentFlows returns the mean number of recent flows per usable upstream
// of the zone.
func (p *Placer) meanRecentFlows(now time.Duration) float64 {
	usable := 0
	for _, u := range p.upstreams {
		if u.local && p.usable(u) {
			usable++
		}
	}
	return float64(p.recentFlows.total(now)) / float64(max(usable, 1))
}

// flowShareUsed reports whether the upstream has had as many of the recent
// flows as slow start and maxFlowShareFactor allow.
func (u *upstream) flowShareUsed(now time.Duration, mean float64) bool {
	allowed := maxFlowShareFactor*u.ramp.factor(now)*mean + minFlowShare
	return float64(u.flows.recent.total(now)) >= allowed
}

func (p *Placer) flowRefusalReason() verdict.Reason {
	for _, u := range p.upstreams {
		if p.usable(u) {
			return verdict.ReasonOverload
		}
	}
	return verdict.ReasonNoUpstream
}
