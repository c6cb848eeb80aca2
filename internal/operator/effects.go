package operator

import (
	"fmt"
	"slices"

	"mimosashore.example/mimosashore/internal/config"
)

// effects describes what a change does to open flows and running requests.
type effects struct {
	// Notes are harmless effects. Warnings are effects that the operator should
	// check.
	Notes    []string `json:"notes,omitempty"`
	Warnings []string `json:"warnings,omitempty"`
	// Cuts are effects that end open flows or running requests.
	Cuts []string `json:"cuts,omitempty"`
	// loads holds the loads of the upstreams that the change affects.
	loads loads
}

func (e *effects) note(format string, args ...any) {
	e.Notes = append(e.Notes, fmt.Sprintf(format, args...))
}

func (e *effects) warn(format string, args ...any) {
	e.Warnings = append(e.Warnings, fmt.Sprintf(format, args...))
}

func (e *effects) cut(format string, args ...any) {
	e.Cuts = append(e.Cuts, fmt.Sprintf(format, args...))
}

// orNil returns e, or nil if it is empty.
func (e *effects) orNil() *effects {
	if len(e.Notes)+len(e.Warnings)+len(e.Cuts) == 0 {
		return nil
	}
	return e
}

// effectsOf returns the effects of replacing a document with its next revision.
func effectsOf(current, next *config.Document, inUse loads) *effects {
	e := &effects{loads: inUse}
	if current == nil || current.Deleted {
		e.documentCreated(next)
		return e
	}
	switch {
	case current.Account != nil:
		e.compareAccounts(current.Account, next.Account)
	case current.Zone != nil:
		e.compareZones(current.Zone, next.Zone)
	}
	if removed := notIn(current.Drained, next.Drained); len(removed) > 0 && !next.Deleted {
		e.note("drains by command that end: %v", removed)
	}
	if len(next.Drained) > 0 {
		e.note("stay drained by command: %v", next.Drained)
	}
	return e
}

// notIn returns the names that are not among the others.
func notIn(names, others []string) []string {
	var missing []string
	for _, name := range names {
		if !slices.Contains(others, name) {
			missing = append(missing, name)
		}
	}
	return missing
}

// documentCreated adds the effects of a created document.
func (e *effects) documentCreated(next *config.Document) {
	if next.Account == nil {
		return
	}
	for i := range next.Account.Services {
		e.warnNoActiveUpstream(&next.Account.Services[i])
	}
}

// compareAccounts adds the effects of a changed account, or of a removed one if
// next is nil.
func (e *effects) compareAccounts(current, next *config.Account) {
	if next == nil {
		e.cut("account %s is removed: all its open flows end, running requests may have run", current.Name)
		return
	}
	if limitLowered(current.RequestRate, next.RequestRate) || limitLowered(current.FlowRate, next.FlowRate) {
		e.warn("limits of the account are lowered: work above them is refused as not run")
	}
	for i := range current.Services {
		s := &current.Services[i]
		at := slices.IndexFunc(next.Services, func(n config.Service) bool { return n.Name == s.Name })
		if at < 0 {
			e.cut("service %s is removed: its open flows end, running requests may have run", s.Name)
			continue
		}
		e.compareServices(s, &next.Services[at])
	}
	for i := range next.Services {
		e.warnNoActiveUpstream(&next.Services[i])
	}
}

// limitLowered reports whether a limit is lowered. Zero means no limit.
func limitLowered(from, to float64) bool {
	return to != 0 && (from == 0 || to < from)
}

func (e *effects) compareServices(current, next *config.Service) {
	if current.Address != next.Address {
		e.warn("service %s gets another address: callers must use %s", next.Name, next.Address)
	}
	if current.Priority != next.Priority {
		e.note("service %s becomes %s for requests that aren't placed yet; running ones finish", next.Name, next.Priority)
	}
	if limitLowered(current.RequestRate, next.RequestRate) || next.QueueLimit < current.QueueLimit {
		e.warn("limits of service %s are lowered: work above them is refused as not run", next.Name)
	}
	if next.MaxBody < current.MaxBody {
		e.warn("max-body of service %s is lowered: larger requests are refused as not run", next.Name)
	}
	for _, u := range current.Upstreams {
		at := slices.IndexFunc(next.Upstreams, func(n config.Upstream) bool { return n.Name == u.Name })
		if at < 0 || next.Upstreams[at].Address != u.Address {
			e.upstreamRemoved(u)
			continue
		}
		e.compareUpstreams(u, next.Upstreams[at])
	}
}

// upstreamRemoved adds the effect of removing an upstream or changing its address.
func (e *effects) upstreamRemoved(u config.Upstream) {
	switch {
	case u.State != config.UpstreamDraining:
		e.cut("upstream %s is removed without a drain: its open flows end, running requests may have run (%s)", u.Name, e.loads.describe(u))
	case e.loads.idle(u):
		e.note("upstream %s is removed; it was drained, nothing is open or running", u.Name)
	default:
		e.cut("upstream %s is removed before its drain is over: its open flows end, running requests may have run (%s)", u.Name, e.loads.describe(u))
	}
}

func (e *effects) compareUpstreams(current, next config.Upstream) {
	switch {
	case current.State == next.State:
	case next.State == config.UpstreamDraining:
		e.note("upstream %s drains: it gets nothing new, open flows stay, running requests finish", next.Name)
	default:
		e.note("upstream %s takes new flows and requests again", next.Name)
	}
	switch {
	case !limitsLowered(current, next):
	case e.loads.exceedsLimits(next):
		e.warn("limits of upstream %s are lowered below what is in use (%s): open flows and running requests stay, no new ones until usage is below the limits", next.Name, e.loads.describe(current))
	default:
		e.note("limits of upstream %s are lowered (%s)", next.Name, e.loads.describe(current))
	}
}

// warnNoActiveUpstream adds a warning if the service has no active upstream.
func (e *effects) warnNoActiveUpstream(s *config.Service) {
	active := slices.ContainsFunc(s.Upstreams, func(u config.Upstream) bool { return u.State == config.UpstreamActive })
	if !active {
		e.warn("service %s has no active upstream: new flows and requests are refused as not run", s.Name)
	}
}

// compareZones adds the effects of a changed zone plan. A deleted plan, for which next
// is nil, counts as a plan without hosts.
func (e *effects) compareZones(current, next *config.ZonePlan) {
	if next == nil {
		next = &config.ZonePlan{Zone: current.Zone}
	}
	active := 0
	for _, h := range next.Hosts {
		if h.State == config.HostActive {
			active++
		}
	}
	for _, h := range current.Hosts {
		at := slices.IndexFunc(next.Hosts, func(n config.Host) bool { return n.Name == h.Name })
		switch {
		case at < 0 && h.State == config.HostActive:
			e.cut("host %s is removed without a stop: requests that it owns may have run", h.Name)
		case at < 0:
			e.note("host %s is removed; it was stopping", h.Name)
		case next.Hosts[at].Data != h.Data || next.Hosts[at].Control != h.Control:
			e.cut("host %s gets another address: requests that it owns may have run", h.Name)
		case next.Hosts[at].State != h.State && h.State == config.HostActive:
			e.note("host %s stops: it finishes what it owns and refuses the rest as not run", h.Name)
		case next.Hosts[at].State != h.State:
			e.note("host %s serves again", h.Name)
		}
	}
	if active == 0 {
		e.warn("availability zone %s has no active host", current.Zone)
	}
}
