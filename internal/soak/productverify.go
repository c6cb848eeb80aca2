package soak

import (
	"context"
	"fmt"
	"os/exec"
	"time"

	"mimosashore.example/mimosashore/internal/standin/callers"
	"mimosashore.example/mimosashore/internal/standin/upstreamproc"
	"mimosashore.example/mimosashore/internal/standin/verify"
)

// checkResults compares the results of the callers with the runs of the
// upstreams, and checks the hosts.
func (e *productEnv) checkResults(ctx context.Context, faults int) (*Report, error) {
	r := &Report{Faults: faults, Checks: make(map[string]int)}
	seen, err := callers.ReadFile(e.path("callers.json"))
	if err != nil {
		return nil, err
	}
	var ran upstreamproc.Report
	if err := get(ctx, e.url(reportPort)+"/report", &ran); err != nil {
		return nil, err
	}
	e.checkInForce(ctx, r)
	d := verify.Deployment{CallerRecord: seen, UpstreamReport: &ran}
	result := verify.Compare([]verify.Deployment{d})
	r.Requests, r.Served = result.Requests, result.Answered
	r.Checks["runs"] = len(ran.Runs)
	// Broken flows and drains are checked below, outside disruptions only.
	r.Failures = append(r.Failures, result.Violations(verify.Limits{BrokenFlows: result.BrokenFlows})...)
	e.record.mu.Lock()
	defer e.record.mu.Unlock()
	e.checkFlows(r, seen)
	e.checkRequests(r, seen)
	e.checkDrains(r, d)
	r.Failures = append(r.Failures, e.record.failures...)
	for _, h := range e.hosts {
		r.checkProcess(h.process)
	}
	return r, nil
}

// checkInForce checks that the last accepted revision is in force on all hosts.
func (e *productEnv) checkInForce(ctx context.Context, r *Report) {
	args := []string{"await", "--document", "account/" + exampleAccount, "--revision", e.revision}
	for _, h := range e.hosts {
		args = append(args, "--host", fmt.Sprintf("http://%s:%d", h.addr, hostAdminPort))
	}
	if out, err := exec.CommandContext(ctx, e.program("mimosa-standin"), args...).CombinedOutput(); err != nil {
		r.Failures = append(r.Failures, fmt.Sprintf("CONFIG: revision %s is not in force on all hosts: %s", e.revision, out))
	}
}

// checkFlows reports flows that broke without an unplanned fault within
// flowBreakWindow before.
func (e *productEnv) checkFlows(r *Report, seen *callers.Record) {
	for _, b := range seen.Broken {
		at := e.callersStarted.Add(b.At)
		r.Checks["broken flows"]++
		if e.record.allUndisrupted(at.Add(-flowBreakWindow), at, true) {
			r.Failures = append(r.Failures, fmt.Sprintf("FLOW: a flow of service %d broke at %s: %s", b.Service, at.Format(timeFormat), b.Reason))
		}
	}
}

// checkRequests checks that all requests without an unplanned disruption are
// answered.
func (e *productEnv) checkRequests(r *Report, seen *callers.Record) {
	failed := 0
	for i := range seen.Requests {
		q := &seen.Requests[i]
		from := e.callersStarted.Add(q.Sent)
		if !e.record.allUndisrupted(from, from.Add(q.Took), true) {
			continue
		}
		r.Checks["served"]++
		if q.Whole {
			continue
		}
		if failed++; failed <= maxFailuresPerRule {
			r.Failures = append(r.Failures, fmt.Sprintf("SERVED: a request of service %d at %s failed without a disruption: %s, %s", q.Service, from.Format(timeFormat), q.Verdict, q.Reason))
		}
	}
}

// checkDrains reports requests that began on an upstream after it was drained,
// without an unplanned disruption.
func (e *productEnv) checkDrains(r *Report, d verify.Deployment) {
	started := time.UnixMilli(d.UpstreamReport.Started)
	for _, drain := range e.drains {
		for i := range d.UpstreamReport.Runs {
			run := &d.UpstreamReport.Runs[i]
			at := started.Add(run.At)
			if d.UpstreamReport.Names[run.Upstream] != drain.Upstream || !at.After(drain.At.Add(verify.DrainGracePeriod)) || !e.record.allUndisrupted(at, at, true) {
				continue
			}
			r.Failures = append(r.Failures, fmt.Sprintf("DRAIN: %s received a request %s after it was drained", drain.Upstream, at.Sub(drain.At)))
		}
		r.Checks["DRAIN"]++
	}
}
