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

// judge compares what callers saw with what upstreams ran.
func (w *productWorld) judge(ctx context.Context, faults int) (*Report, error) {
	r := &Report{Faults: faults, Judged: make(map[string]int)}
	seen, err := callers.ReadFile(w.path("callers.json"))
	if err != nil {
		return nil, err
	}
	var ran upstreamproc.Report
	if err := get(ctx, w.url(reportPort)+"/report", &ran); err != nil {
		return nil, err
	}
	w.inForce(ctx, r)
	d := verify.Deployment{CallerRecord: seen, UpstreamReport: &ran}
	result := verify.Compare([]verify.Deployment{d})
	r.Requests, r.Served = result.Requests, result.Answered
	r.Judged["runs"] = len(ran.Runs)
	// Flows that break and drains are judged below, where the promise holds.
	r.Failures = append(r.Failures, result.Violations(verify.Limits{BrokenFlows: result.BrokenFlows})...)
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	w.judgeFlows(r, seen)
	w.judgeRequests(r, seen)
	w.judgeDrains(r, d)
	r.Failures = append(r.Failures, w.record.failures...)
	for _, h := range w.hosts {
		r.addProcess(h.process)
	}
	return r, nil
}

// inForce checks that all hosts ended up with the last accepted revision.
func (w *productWorld) inForce(ctx context.Context, r *Report) {
	args := []string{"await", "--document", "account/" + exampleAccount, "--revision", w.revision}
	for _, h := range w.hosts {
		args = append(args, "--host", fmt.Sprintf("http://%s:%d", h.addr, hostAdmin))
	}
	if out, err := exec.CommandContext(ctx, w.program("mimosa-standin"), args...).CombinedOutput(); err != nil {
		r.Failures = append(r.Failures, fmt.Sprintf("CONFIG: revision %s is not in force everywhere: %s", w.revision, out))
	}
}

// judgeFlows judges flows that broke with no unplanned fault before.
func (w *productWorld) judgeFlows(r *Report, seen *callers.Record) {
	for _, b := range seen.Broken {
		at := w.started.Add(b.At)
		r.Judged["broken flows"]++
		if w.record.quiet(at.Add(-breakWithin), at, true) {
			r.Failures = append(r.Failures, fmt.Sprintf("FLOW: a flow of service %d broke at %s: %s", b.Service, at.Format(timeFormat), b.Reason))
		}
	}
}

// judgeRequests judges that all are answered while nothing is disrupted.
func (w *productWorld) judgeRequests(r *Report, seen *callers.Record) {
	failed := 0
	for i := range seen.Requests {
		q := &seen.Requests[i]
		from := w.started.Add(q.Sent)
		if !w.record.quiet(from, from.Add(q.Took), true) {
			continue
		}
		r.Judged["served"]++
		if q.Whole {
			continue
		}
		if failed++; failed <= failuresMost {
			r.Failures = append(r.Failures, fmt.Sprintf("SERVED: a request of service %d at %s, in calm: %s, %s", q.Service, from.Format(timeFormat), q.Verdict, q.Reason))
		}
	}
}

// judgeDrains judges work that began on an upstream after it was drained, with settled hosts.
func (w *productWorld) judgeDrains(r *Report, d verify.Deployment) {
	started := time.UnixMilli(d.UpstreamReport.Started)
	for _, drain := range w.drains {
		for i := range d.UpstreamReport.Runs {
			run := &d.UpstreamReport.Runs[i]
			at := started.Add(run.At)
			if d.UpstreamReport.Names[run.Upstream] != drain.Upstream || !at.After(drain.At.Add(verify.DrainGracePeriod)) || !w.record.quiet(at, at, true) {
				continue
			}
			r.Failures = append(r.Failures, fmt.Sprintf("DRAIN: %s got work %s after it was drained", drain.Upstream, at.Sub(drain.At)))
		}
		r.Judged["DRAIN"]++
	}
}
