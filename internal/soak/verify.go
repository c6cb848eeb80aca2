package soak

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// versionSlack is the time after the first observed effect of a version in
	// which a host may still apply an older one.
	versionSlack = 250 * time.Millisecond
	// minStrayPackets packets of a flow at another upstream within strayWindow
	// violate the rule FLOW; at several others, if none reaches its own meanwhile.
	minStrayPackets = 3
	strayWindow     = 2 * time.Second
	// transitTime is the longest time of a packet from the caller to an upstream.
	transitTime = time.Second
	// maxFailuresPerRule limits the reported failures of each rule.
	maxFailuresPerRule = 5
)

// verifier checks a record. Time bounds are checked only where they are
// guaranteed: with hosts, upstreams and a store that had time to settle.
type verifier struct {
	*record
	applyWithin   time.Duration
	report        *Report
	flowsByCaller map[netip.AddrPort]*flow
	// violations counts the violations of each rule.
	violations   map[string]int
	requestsByID map[string]*request
}

// verify checks the record and returns the numbers of checks and the violations.
// Hosts must apply a configuration within applyWithin.
func (r *record) verify(applyWithin time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := &verifier{
		record: r, applyWithin: applyWithin, report: &Report{Checks: make(map[string]int)}, violations: make(map[string]int),
		flowsByCaller: make(map[netip.AddrPort]*flow), requestsByID: make(map[string]*request),
	}
	for i := range r.flows {
		v.flowsByCaller[r.flows[i].trace.Local] = &r.flows[i]
	}
	for i := range r.requests {
		v.requestsByID[r.requests[i].id] = &r.requests[i]
	}
	v.checkRuns()
	v.checkOpenings()
	v.checkResets()
	v.checkRefusals()
	v.checkRegressions()
	v.checkStrays()
	v.countDrains()
	v.checkEvacuations()
	if v.coldPerS >= 0 {
		v.checkColdUpstreams()
	}
	v.checkServed()
	return v.report
}

func (v *verifier) fail(rule, format string, args ...any) {
	if v.violations[rule]++; v.violations[rule] <= maxFailuresPerRule {
		v.report.Failures = append(v.report.Failures, rule+": "+fmt.Sprintf(format, args...))
	}
}

func (v *verifier) countCheck(rule string) { v.report.Checks[rule]++ }

// checkRuns compares the requests that upstreams ran with the requests and
// results of callers.
func (v *verifier) checkRuns() {
	total := make(map[string]int)
	for _, u := range v.upstreams {
		if n := u.observed.corrupted; n > 0 {
			v.fail("UNASKED", "%s received %d corrupted packets", u.observed.name, n)
		}
		for text, n := range u.observed.runs {
			id, _, _ := strings.Cut(text, " ")
			q := v.requestsByID[id]
			v.countCheck("UNASKED")
			switch {
			case q == nil:
				v.fail("UNASKED", "%s ran %q, which no caller requested", u.observed.name, text)
				continue
			case n > 1:
				v.fail("UNASKED", "%s ran %q %d times", u.observed.name, text, n)
			case !v.everRouted(q.service, u.service):
				v.fail("ROUTE", "%s of %s ran %q", u.observed.name, u.service, text)
			}
			total[id] += n
		}
	}
	for id, q := range v.requestsByID {
		v.countCheck("once")
		if !q.idempotent && total[id] > 1 {
			v.fail("UNASKED", "%s ran %d times in total", id, total[id])
		}
		if q.served && total[id] == 0 {
			v.fail("MIXED", "%s was answered but never ran", id)
		}
	}
	for i := range v.flows {
		if v.flows[i].mixed {
			v.fail("MIXED", "%s received data of another request", v.flows[i].trace.Local)
		}
	}
}

func (v *verifier) everRouted(address netip.AddrPort, service string) bool {
	return slices.ContainsFunc(v.configurations, func(c configuration) bool { return c.services[address] == service })
}

// inForce returns the versions that a host may apply to a packet sent and
// handled at the given times.
func (v *verifier) inForce(sent, handled time.Time) []configuration {
	oldest := 0
	newest := 0
	for i, c := range v.configurations {
		if !c.acknowledged.IsZero() && c.acknowledged.Add(v.applyWithin).Before(sent) {
			oldest = i
		}
		if c.sent.Before(handled) {
			newest = i
		}
	}
	return v.configurations[oldest : newest+1]
}

// settled reports whether time bounds are guaranteed for a host.
func (v *verifier) settled(host netip.AddrPort, from, to time.Time) bool {
	return v.undisrupted("host "+host.String(), from, to, false) && v.undisrupted("store", from, to, false)
}

// checkOpenings checks ROUTE, DRAIN and CONFIG for the packets that opened flows.
func (v *verifier) checkOpenings() {
	for _, u := range v.upstreams {
		for _, o := range u.observed.openings {
			f := v.flowsByCaller[o.Caller]
			if f == nil || o.SYNRetransmits >= len(f.trace.SYNs) {
				v.fail("UNASKED", "%s accepted a flow of %s that no caller opened", u.observed.name, o.Caller)
				continue
			}
			v.countCheck("ROUTE")
			if !v.everRouted(o.Service, u.service) {
				v.fail("ROUTE", "%s of %s accepted a flow for %s", u.observed.name, u.service, o.Service)
			}
			syn := f.trace.SYNs[o.SYNRetransmits]
			if !v.settled(syn.Host, syn.At, o.At) || !v.undisrupted(u.slot, syn.At, o.At, true) {
				continue
			}
			v.countCheck("CONFIG")
			allowed := v.inForce(syn.At, o.At)
			if !slices.ContainsFunc(allowed, func(c configuration) bool { return c.services[o.Service] == u.service }) {
				v.fail("CONFIG", "%s of %s accepted a flow for %s through %s at %s, versions %d to %d were in force", u.observed.name, u.service,
					o.Service, syn.Host, o.At.Format(timeFormat), allowed[0].version, allowed[len(allowed)-1].version)
			}
			if u.withdrawn.IsZero() || !v.undisrupted("store", u.withdrawn, u.withdrawn, false) {
				continue
			}
			if late := o.At.Sub(u.withdrawn); late > drainWithin {
				v.fail("DRAIN", "%s accepted a flow through %s %s after it was withdrawn", u.observed.name, syn.Host, late)
			}
		}
	}
}

// countDrains counts the upstreams that were withdrawn long enough before their
// end for a violation of DRAIN to be observable.
func (v *verifier) countDrains() {
	for _, u := range v.upstreams {
		if !u.withdrawn.IsZero() && (u.ended.IsZero() || u.ended.Sub(u.withdrawn) > drainWithin) {
			v.countCheck("DRAIN")
		}
	}
}

// observedVersion is the range of versions that explains a host's handling of a
// probe between two times.
type observedVersion struct {
	sent, handled time.Time
	// minVersion and maxVersion are indexes of the first and last such version.
	minVersion, maxVersion int
	host                   netip.AddrPort
	hostRun                int
}

// checkRegressions checks that a host never reverts to an older version within
// one run of its process.
func (v *verifier) checkRegressions() {
	byRun := make(map[int][]observedVersion)
	for _, obs := range v.probeObservations() {
		if obs.hostRun >= 0 {
			byRun[obs.hostRun] = append(byRun[obs.hostRun], obs)
		}
	}
	for _, versions := range byRun {
		slices.SortFunc(versions, func(a, b observedVersion) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
		for i, later := range versions {
			for _, earlier := range versions[:i] {
				if earlier.handled.Add(versionSlack).After(later.sent) {
					continue
				}
				v.countCheck("regress")
				if earlier.minVersion > later.maxVersion {
					v.fail("CONFIG", "%s applied version %d at %s but at most version %d at %s", later.host, earlier.minVersion, earlier.handled.Format(timeFormat), later.maxVersion, later.sent.Format(timeFormat))
				}
			}
		}
	}
}

// probeObservations returns the versions implied by accepted and refused flows
// to probe addresses.
func (v *verifier) probeObservations() []observedVersion {
	var out []observedVersion
	for _, u := range v.upstreams {
		for _, o := range u.observed.openings {
			if f := v.flowsByCaller[o.Caller]; f != nil && f.probe > 0 && o.SYNRetransmits < len(f.trace.SYNs) {
				syn := f.trace.SYNs[o.SYNRetransmits]
				out = append(out, observedVersion{syn.At, o.At, f.probe - 1, f.probe - 1 + probeVersions - 1, syn.Host, v.hostRunAt(syn.Host, syn.At, o.At)})
			}
		}
	}
	for i := range v.flows {
		f := &v.flows[i]
		reset := f.trace.Reset
		if f.probe == 0 || f.trace.Opened || reset == nil || !reset.ByHost || v.refusedForLoad(f) {
			continue
		}
		removedIn := f.probe - 1 + probeVersions
		if removedIn < len(v.configurations) && v.configurations[removedIn].sent.Before(reset.At) {
			continue
		}
		sent := f.trace.SYNs[len(f.trace.SYNs)-1].At
		out = append(out, observedVersion{sent, reset.At, 0, f.probe - 2, reset.From, v.hostRunAt(reset.From, sent, reset.At)})
	}
	return out
}

// hostRunAt returns the index of the host run that covers the whole interval, or -1.
func (v *verifier) hostRunAt(host netip.AddrPort, from, to time.Time) int {
	return slices.IndexFunc(v.hostRuns, func(run hostRun) bool {
		return run.host == host && run.from.Before(from) && (run.to.IsZero() || run.to.After(to))
	})
}

// checkStrays checks FLOW for packets of open flows that reach other upstreams.
func (v *verifier) checkStrays() {
	v.checkLostFlows()
	for _, u := range v.upstreams {
		byCaller := make(map[netip.AddrPort][]time.Time)
		for _, s := range u.observed.strays {
			byCaller[s.Caller] = append(byCaller[s.Caller], s.At)
		}
		for caller, at := range byCaller {
			f := v.flowsByCaller[caller]
			if f == nil || !f.trace.Opened || f.trace.Upstream == uint32(u.observed.id) {
				continue
			}
			for i := minStrayPackets - 1; i < len(at); i++ {
				first := at[i-minStrayPackets+1]
				holder, _ := v.holder(f, at[i])
				if at[i].Sub(first) <= strayWindow && holder != nil && v.allUndisrupted(first, at[i], true) {
					v.fail("FLOW", "%d packets of %s reached %s instead of %s", minStrayPackets, caller, u.observed.name, holder.observed.name)
					break
				}
			}
		}
	}
}

// checkLostFlows checks FLOW for open flows of which several packets reach other upstreams and
// none its own, also while parts that the flow does not use are disrupted.
func (v *verifier) checkLostFlows() {
	strays := make(map[netip.AddrPort][]time.Time)
	for _, u := range v.upstreams {
		for _, s := range u.observed.strays {
			if f := v.flowsByCaller[s.Caller]; f != nil && f.trace.Opened && f.trace.Upstream != uint32(u.observed.id) {
				strays[s.Caller] = append(strays[s.Caller], s.At)
			}
		}
	}
	for caller, at := range strays {
		f := v.flowsByCaller[caller]
		slices.SortFunc(at, time.Time.Compare)
		for i := minStrayPackets - 1; i < len(at); i++ {
			first, last := at[i-minStrayPackets+1], at[i]
			u, opening := v.holder(f, last)
			if last.Sub(first) > strayWindow || u == nil || opening.Acknowledged.IsZero() || opening.Acknowledged.After(first) || v.dropped(f.service, last) {
				continue
			}
			reached := slices.ContainsFunc(u.observed.arrivals[caller], func(t time.Time) bool { return !t.Before(first) && !t.After(last) })
			if !reached && v.undisrupted(u.slot, first, last, true) && v.undisrupted("store", first, last, true) && v.hostsUndisrupted(f, first, last) {
				v.fail("FLOW", "%d packets of %s reached other upstreams until %s and none %s", minStrayPackets, caller, last.Format(timeFormat), u.observed.name)
				break
			}
		}
	}
}

// checkServed checks that all requests are served while there are no disruptions
// other than planned work, and no shortages.
func (v *verifier) checkServed() {
	for i := range v.requests {
		q := &v.requests[i]
		v.report.Requests++
		if q.served {
			v.report.Served++
		}
		if q.added || !v.allUndisrupted(q.began, q.ended, true) || !v.ampleCapacity(q.began, q.ended) {
			continue
		}
		v.countCheck("served")
		if !q.served {
			v.fail("SERVED", "%s to %s at %s failed without a disruption: %s", q.id, q.service, q.began.Format(timeFormat), q.reason)
		}
	}
}
