package controlplane

import "time"

const (
	// tableSpacingPerHost is the minimum time between two rebuilds of the routing
	// table, per host in the view. It keeps the CPU time of rebuilds within budget
	// during a burst of changes, such as the loss of an availability zone.
	tableSpacingPerHost = 50 * time.Microsecond
	// maxTableSpacing bounds the spacing, and thereby the delay before a change takes
	// effect, in deployments with many hosts.
	maxTableSpacing = 500 * time.Millisecond
)

// pacer limits the rate at which changes are published, because the data path
// rebuilds its routing table for each published change. The first change after a
// quiet period is published immediately; changes that follow within the minimum
// spacing are coalesced into one.
type pacer struct {
	last    time.Duration
	started bool
}

// allow reports whether a change may be published now. If so, it records the time.
func (p *pacer) allow(now time.Duration, hosts int) bool {
	if p.started && now-p.last < minTableSpacing(hosts) {
		return false
	}
	p.last, p.started = now, true
	return true
}

// minTableSpacing returns the minimum time between two table rebuilds.
func minTableSpacing(hosts int) time.Duration {
	return min(time.Duration(hosts)*tableSpacingPerHost, maxTableSpacing)
}
