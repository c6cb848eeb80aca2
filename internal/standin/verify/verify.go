// Package verify compares the records of callers with the reports of upstreams and
// checks the invariants of a run, such as that no request ran twice.
package verify

import (
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/standin/callers"
	"mimosashore.example/mimosashore/internal/standin/upstreamproc"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Result holds the counts of a run, summed over all deployments. DoubleRuns counts
// requests that aren't idempotent and ran more than once, UnknownRuns requests that an
// upstream ran and no caller sent. CrossService and CrossAccount count requests,
// datagrams and stream messages that reached another service or client account.
type Result struct {
	FlowsOpened       int     `json:"flows_opened"`
	FlowsRenewed      int     `json:"flows_renewed"`
	FlowsMoved        int     `json:"flows_moved"`
	BrokenFlows       int     `json:"broken_flows"`
	NeverOpened       int     `json:"never_opened"`
	Pushes            int     `json:"pushes"`
	Requests          int     `json:"requests"`
	Answered          int     `json:"answered"`
	NotRun            int     `json:"not_run"`
	MayHaveRun        int     `json:"may_have_run"`
	DoubleRuns        int     `json:"double_runs"`
	CrossService      int     `json:"cross_service"`
	CrossAccount      int     `json:"cross_account"`
	NotRunButRan      int     `json:"not_run_but_ran"`
	IncompleteAnswers int     `json:"incomplete_answers"`
	UnknownRuns       int     `json:"unknown_runs"`
	RunsAfterDrain    int     `json:"runs_after_drain"`
	ConfigSecondsMax  float64 `json:"config_seconds_max"`
}

// execution counts the runs of one request body.
type execution struct {
	account    ids.AccountID
	service    ids.ServiceID
	count      int
	idempotent bool
}

// Deployment holds the record of the callers and the report of the upstreams of one
// deployment.
type Deployment struct {
	CallerRecord   *callers.Record
	UpstreamReport *upstreamproc.Report
}

// Compare returns the counts of all deployments. Each deployment is counted
// separately, since ids of services and accounts are unique only within it.
func Compare(deployments []Deployment) Result {
	var r Result
	for _, d := range deployments {
		r.addDeployment(d)
	}
	return r
}

// addDeployment adds the counts of one deployment. Requests are matched by body,
// which is unique within a deployment, so that a double run is found even if it had a
// different request id.
func (r *Result) addDeployment(d Deployment) {
	runs := runsByBody(d.UpstreamReport)
	sent := make(map[uint64]bool)
	r.addFlows(&d.CallerRecord.Flows)
	for i := range d.CallerRecord.Requests {
		request := &d.CallerRecord.Requests[i]
		sent[request.BodySum] = true
		r.addRequest(request, runs[request.BodySum])
	}
	r.CrossService += d.UpstreamReport.Counters.ForeignService
	r.CrossAccount += d.UpstreamReport.Counters.ForeignAccount
	for sum, run := range runs {
		if !sent[sum] {
			r.UnknownRuns++
		}
		if run.count > 1 && !run.idempotent {
			r.DoubleRuns++
		}
	}
}

func runsByBody(report *upstreamproc.Report) map[uint64]*execution {
	runs := make(map[uint64]*execution)
	for i := range report.Runs {
		run := &report.Runs[i]
		if runs[run.BodySum] == nil {
			runs[run.BodySum] = &execution{account: run.Account, service: run.Service, idempotent: run.Idempotent}
		}
		runs[run.BodySum].count++
	}
	return runs
}

func (r *Result) addFlows(f *callers.Flows) {
	r.FlowsOpened += f.Opened
	r.FlowsRenewed += f.Renewed
	r.FlowsMoved += f.Moved
	r.BrokenFlows += f.Broken
	r.NeverOpened += f.NeverOpened
	r.Pushes += f.Pushes
	r.CrossService += f.ForeignService
	r.CrossAccount += f.ForeignAccount
}

func (r *Result) addRequest(request *callers.Request, run *execution) {
	r.Requests++
	switch request.Verdict {
	case verdict.Ran.String():
		r.Answered++
		if !request.Whole || run == nil {
			r.IncompleteAnswers++
		}
	case verdict.NotRun.String():
		r.NotRun++
		if run != nil {
			r.NotRunButRan++
		}
	default:
		r.MayHaveRun++
	}
	if run == nil {
		return
	}
	switch {
	case run.account != request.Account:
		r.CrossAccount++
	case run.service != request.Service:
		r.CrossService++
	}
}

// Limits are the tolerances of Violations.
type Limits struct {
	// BrokenFlows is the largest allowed number of broken flows.
	BrokenFlows int
	// ConfigSeconds is the longest allowed time from the acceptance of a
	// configuration until it is in force on all hosts, in seconds.
	ConfigSeconds float64
}

// Violations returns a message for each violated invariant.
func (r *Result) Violations(l Limits) []string {
	var violations []string
	check := func(holds bool, text string) {
		if !holds {
			violations = append(violations, text)
		}
	}
	check(r.Requests > 0 && r.Answered > 0, "no request was answered")
	check(r.FlowsOpened > 0, "no flow was opened")
	check(r.NeverOpened == 0, "a session could not open a flow")
	check(r.BrokenFlows <= l.BrokenFlows, "a flow broke")
	check(r.DoubleRuns == 0, "a request that isn't idempotent ran twice")
	check(r.CrossService == 0, "a packet reached another service")
	check(r.CrossAccount == 0, "a packet reached another client account")
	check(r.NotRunButRan == 0, "a request reported as not run did run")
	check(r.IncompleteAnswers == 0, "an answer was incomplete")
	check(r.UnknownRuns == 0, "an upstream ran a request that no caller sent")
	check(r.RunsAfterDrain == 0, "a draining upstream got a new request")
	check(r.ConfigSecondsMax <= l.ConfigSeconds, "a configuration was not in force in time")
	return violations
}
