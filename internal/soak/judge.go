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
	// versionSlack is the time after the effect of a version was seen in which a host may still show an older one.
	versionSlack = 250 * time.Millisecond
	// strayPackets packets of a flow at other upstreams within strayWithin break FLOW.
	strayPackets = 3
	strayWithin  = 2 * time.Second
	// failuresMost is the number of failures of a kind that are reported.
	failuresMost = 5
)

// judgement checks a record. Times are judged only where the promise holds:
// with hosts, upstreams and the store that had time to settle.
type judgement struct {
	*record
	apply    time.Duration
	report   *Report
	flowsBy  map[netip.AddrPort]*flow
	reported map[string]int
	// known are the ids of all requests.
	known map[string]*request
}

// judge returns what was judged and all promises that were broken.
func (r *record) judge(apply time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := &judgement{
		record: r, apply: apply, report: &Report{Judged: make(map[string]int)}, reported: make(map[string]int),
		flowsBy: make(map[netip.AddrPort]*flow), known: make(map[string]*request),
	}
	for i := range r.flows {
		j.flowsBy[r.flows[i].trace.Local] = &r.flows[i]
	}
	for i := range r.requests {
		j.known[r.requests[i].id] = &r.requests[i]
	}
	j.runs()
	j.openings()
	j.resets()
	j.regress()
	j.strays()
	j.drains()
	j.served()
	return j.report
}

func (j *judgement) fail(rule, format string, args ...any) {
	if j.reported[rule]++; j.reported[rule] <= failuresMost {
		j.report.Failures = append(j.report.Failures, rule+": "+fmt.Sprintf(format, args...))
	}
}

func (j *judgement) judged(rule string) { j.report.Judged[rule]++ }

// runs compares what upstreams ran with what callers asked and saw.
func (j *judgement) runs() {
	total := make(map[string]int)
	for _, u := range j.upstreams {
		if n := u.seen.broken; n > 0 {
			j.fail("UNASKED", "%s got %d packets that were changed on the way", u.seen.name, n)
		}
		for text, n := range u.seen.runs {
			id, _, _ := strings.Cut(text, " ")
			q := j.known[id]
			j.judged("UNASKED")
			switch {
			case q == nil:
				j.fail("UNASKED", "%s ran %q, which nobody asked", u.seen.name, text)
				continue
			case n > 1:
				j.fail("UNASKED", "%s ran %q %d times", u.seen.name, text, n)
			case !j.everRouted(q.service, u.service):
				j.fail("ROUTE", "%s of %s ran %q", u.seen.name, u.service, text)
			}
			total[id] += n
		}
	}
	for id, q := range j.known {
		j.judged("once")
		if !q.idempotent && total[id] > 1 {
			j.fail("UNASKED", "%s ran %d times in all", id, total[id])
		}
		if q.served && total[id] == 0 {
			j.fail("MIXED", "%s was answered and never ran", id)
		}
	}
	for i := range j.flows {
		if j.flows[i].mixed {
			j.fail("MIXED", "%s got a packet that was not for it", j.flows[i].trace.Local)
		}
	}
}

func (j *judgement) everRouted(address netip.AddrPort, service string) bool {
	return slices.ContainsFunc(j.configurations, func(c configuration) bool { return c.services[address] == service })
}

// inForce returns the versions that a host may follow for a packet sent at a
// time and handled until another.
func (j *judgement) inForce(sent, handled time.Time) []configuration {
	oldest := 0
	newest := 0
	for i, c := range j.configurations {
		if !c.acknowledged.IsZero() && c.acknowledged.Add(j.apply).Before(sent) {
			oldest = i
		}
		if c.sent.Before(handled) {
			newest = i
		}
	}
	return j.configurations[oldest : newest+1]
}

// inTouch reports whether the bounds of time hold for a host.
func (j *judgement) inTouch(host netip.AddrPort, from, to time.Time) bool {
	return j.calm("host "+host.String(), from, to, false) && j.calm("store", from, to, false)
}

// openings judges ROUTE, DRAIN and CONFIG by the packets that opened flows.
func (j *judgement) openings() {
	for _, u := range j.upstreams {
		for _, o := range u.seen.openings {
			f := j.flowsBy[o.Caller]
			if f == nil || o.Attempt >= len(f.trace.SYNs) {
				j.fail("UNASKED", "%s took a flow of %s that no caller opened", u.seen.name, o.Caller)
				continue
			}
			j.judged("ROUTE")
			if !j.everRouted(o.Service, u.service) {
				j.fail("ROUTE", "%s of %s took a flow for %s", u.seen.name, u.service, o.Service)
			}
			c := f.trace.SYNs[o.Attempt]
			if !j.inTouch(c.Host, c.At, o.At) || !j.calm(u.slot, c.At, o.At, true) {
				continue
			}
			j.judged("CONFIG")
			allowed := j.inForce(c.At, o.At)
			if !slices.ContainsFunc(allowed, func(c configuration) bool { return c.services[o.Service] == u.service }) {
				j.fail("CONFIG", "%s of %s took a flow for %s through %s at %s, versions %d to %d were in force", u.seen.name, u.service,
					o.Service, c.Host, o.At.Format(timeFormat), allowed[0].version, allowed[len(allowed)-1].version)
			}
			if u.left.IsZero() || !j.calm("store", u.left, u.left, false) {
				continue
			}
			if late := o.At.Sub(u.left); late > drainWithin {
				j.fail("DRAIN", "%s took a flow through %s %s after it left", u.seen.name, c.Host, late)
			}
		}
	}
}

// drains counts upstreams that left long enough before their end for late work to show.
func (j *judgement) drains() {
	for _, u := range j.upstreams {
		if !u.left.IsZero() && (u.ended.IsZero() || u.ended.Sub(u.left) > drainWithin) {
			j.judged("DRAIN")
		}
	}
}

// resets judges resets that hosts sent.
func (j *judgement) resets() {
	for i := range j.flows {
		f := &j.flows[i]
		t := f.trace.Reset
		if t == nil || !t.ByHost {
			continue
		}
		sent := f.trace.SYNs[0].At
		routed := !slices.ContainsFunc(j.inForce(sent, t.At), func(c configuration) bool { return c.services[f.service] == "" })
		if !routed {
			continue
		}
		if !f.trace.Opened {
			if j.inTouch(t.From, sent, t.At) {
				j.judged("CONFIG")
				j.fail("CONFIG", "%s was refused by %s at %s though its route was there", f.service, t.From, t.At.Format(timeFormat))
			}
			continue
		}
		u := j.lifeAt(f.trace.Upstream, t.At)
		if u == nil || !j.calm(u.slot, t.At, t.At, true) || !j.calm("store", t.At, t.At, true) || !j.calm("host "+t.From.String(), t.At, t.At, true) {
			continue
		}
		j.fail("FLOW", "%s reset %s at %s while %s lived", t.From, f.trace.Local, t.At.Format(timeFormat), u.seen.name)
	}
	for i := range j.flows {
		if j.flows[i].trace.Opened {
			j.judged("FLOW")
		}
	}
}

// lifeAt returns the upstream whose identity ends in the bits and that lived at the moment.
func (j *judgement) lifeAt(low uint32, at time.Time) *upstreamLife {
	for _, u := range j.upstreams {
		if uint32(u.seen.id) == low && (u.ended.IsZero() || u.ended.After(at)) {
			return u
		}
	}
	return nil
}

// shown is what a host showed of its version.
type shown struct {
	sent, seen time.Time
	// least is the oldest version that explains it, most the newest.
	least, most int
	host        netip.AddrPort
	boot        int
}

// regress judges that a start of a host never goes back to an older version.
func (j *judgement) regress() {
	byBoot := make(map[int][]shown)
	for _, s := range j.probes() {
		if s.boot >= 0 {
			byBoot[s.boot] = append(byBoot[s.boot], s)
		}
	}
	for _, all := range byBoot {
		slices.SortFunc(all, func(a, b shown) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
		for i, s := range all {
			for _, before := range all[:i] {
				if before.seen.Add(versionSlack).After(s.sent) {
					continue
				}
				j.judged("regress")
				if before.least > s.most {
					j.fail("CONFIG", "%s showed version %d at %s and %d at most at %s", s.host, before.least, before.seen.Format(timeFormat), s.most, s.sent.Format(timeFormat))
				}
			}
		}
	}
}

// probes returns what openings and refusals of probe addresses show.
func (j *judgement) probes() []shown {
	var out []shown
	for _, u := range j.upstreams {
		for _, o := range u.seen.openings {
			if f := j.flowsBy[o.Caller]; f != nil && f.probe > 0 && o.Attempt < len(f.trace.SYNs) {
				c := f.trace.SYNs[o.Attempt]
				out = append(out, shown{c.At, o.At, f.probe - 1, f.probe - 1 + probeVersions - 1, c.Host, j.bootAt(c.Host, c.At, o.At)})
			}
		}
	}
	for i := range j.flows {
		f := &j.flows[i]
		r := f.trace.Reset
		if f.probe == 0 || f.trace.Opened || r == nil || !r.ByHost {
			continue
		}
		gone := f.probe - 1 + probeVersions
		if gone < len(j.configurations) && j.configurations[gone].sent.Before(r.At) {
			continue
		}
		sent := f.trace.SYNs[len(f.trace.SYNs)-1].At
		out = append(out, shown{sent, r.At, 0, f.probe - 2, r.From, j.bootAt(r.From, sent, r.At)})
	}
	return out
}

// bootAt returns the start of the host that ran over the whole time, or -1.
func (j *judgement) bootAt(host netip.AddrPort, from, to time.Time) int {
	return slices.IndexFunc(j.boots, func(b boot) bool {
		return b.host == host && b.from.Before(from) && (b.to.IsZero() || b.to.After(to))
	})
}

// strays judges packets of open flows that reach other upstreams.
func (j *judgement) strays() {
	for _, u := range j.upstreams {
		byCaller := make(map[netip.AddrPort][]time.Time)
		for _, s := range u.seen.strays {
			byCaller[s.Caller] = append(byCaller[s.Caller], s.At)
		}
		for caller, at := range byCaller {
			f := j.flowsBy[caller]
			if f == nil || !f.trace.Opened || f.trace.Upstream == uint32(u.seen.id) {
				continue
			}
			for i := strayPackets - 1; i < len(at); i++ {
				first := at[i-strayPackets+1]
				own := j.lifeAt(f.trace.Upstream, at[i])
				if at[i].Sub(first) <= strayWithin && own != nil && j.quiet(first, at[i], true) {
					j.fail("FLOW", "%d packets of %s reached %s and not %s", strayPackets, caller, u.seen.name, own.seen.name)
					break
				}
			}
		}
	}
}

// served judges that all is served while nothing is disrupted but by planned work.
func (j *judgement) served() {
	for i := range j.requests {
		q := &j.requests[i]
		j.report.Requests++
		if q.served {
			j.report.Served++
		}
		if !j.quiet(q.began, q.ended, true) {
			continue
		}
		j.judged("served")
		if !q.served {
			j.fail("SERVED", "%s to %s at %s, in calm: %s", q.id, q.service, q.began.Format(timeFormat), q.why)
		}
	}
}
