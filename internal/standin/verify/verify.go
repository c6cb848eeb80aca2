// Package verify compares what callers saw with what upstreams ran.
package verify

import (
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/standin/callers"
	"mimosashore.example/mimosashore/internal/standin/upstreamproc"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Result is the outcome of a run over all deployments.
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

// ran counts the executions of one body.
type ran struct {
	account    ids.AccountID
	service    ids.ServiceID
	count      int
	idempotent bool
}

// Deployment holds the records of one deployment.
type Deployment struct {
	CallerRecord     *callers.Record
	UpstreamReport *upstreamproc.Report
}

// Compare counts over the deployments, each of which has its own numbers of
// services and accounts.
func Compare(deployments []Deployment) Result {
	var r Result
	for _, d := range deployments {
		r.addDeployment(d)
	}
	return r
}

// addDeployment counts over one deployment. Bodies are unique in it, so a
// second run shows also under another request id.
func (r *Result) addDeployment(d Deployment) {
	runs := runsByBody(d.UpstreamReport)
	known := make(map[uint64]bool)
	r.addFlows(&d.CallerRecord.Flows)
	for i := range d.CallerRecord.Requests {
		request := &d.CallerRecord.Requests[i]
		known[request.BodySum] = true
		r.addRequest(request, runs[request.BodySum])
	}
	r.CrossService += d.UpstreamReport.Counters.ForeignService
	r.CrossAccount += d.UpstreamReport.Counters.ForeignAccount
	for sum, run := range runs {
		if !known[sum] {
			r.UnknownRuns++
		}
		if run.count > 1 && !run.idempotent {
			r.DoubleRuns++
		}
	}
}

func runsByBody(executed *upstreamproc.Report) map[uint64]*ran {
	runs := make(map[uint64]*ran)
	for i := range executed.Runs {
		run := &executed.Runs[i]
		if runs[run.BodySum] == nil {
			runs[run.BodySum] = &ran{account: run.Account, service: run.Service, idempotent: run.Idempotent}
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

func (r *Result) addRequest(request *callers.Request, run *ran) {
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

// Limits are the figures up to which a run passes.
type Limits struct {
	// BrokenFlows is the number of flows that may break.
	BrokenFlows int
	// ConfigSeconds is the time within which a configuration has to be in force.
	ConfigSeconds float64
}

// Violations returns a sentence for each invariant that doesn't hold.
func (r *Result) Violations(l Limits) []string {
	var broken []string
	check := func(holds bool, text string) {
		if !holds {
			broken = append(broken, text)
		}
	}
	check(r.Requests > 0 && r.Answered > 0, "no request was answered")
	check(r.FlowsOpened > 0, "no flow was opened")
	check(r.NeverOpened == 0, "a session never got a flow")
	check(r.BrokenFlows <= l.BrokenFlows, "a flow broke")
	check(r.DoubleRuns == 0, "a request that isn't idempotent ran twice")
	check(r.CrossService == 0, "a packet reached another service")
	check(r.CrossAccount == 0, "a packet reached another client account")
	check(r.NotRunButRan == 0, "a request told as not run did run")
	check(r.IncompleteAnswers == 0, "an answer was not whole")
	check(r.UnknownRuns == 0, "an upstream ran what no caller sent")
	check(r.RunsAfterDrain == 0, "an upstream that drains got new work")
	check(r.ConfigSecondsMax <= l.ConfigSeconds, "a configuration was not in force in time")
	return broken
}
