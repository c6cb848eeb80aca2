package session

import (
	"encoding/binary"
	"fmt"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/standin/upstream"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Violations compares the results that callers got with the runs at the upstreams
// and returns a description of each violated guarantee.
func (sim *Simulation) Violations() []string {
	var found []string
	runs := sim.runsByLabel()
	for _, q := range sim.requests {
		found = append(found, q.violations(sim, runs[q.Label])...)
	}
	for _, u := range sim.upstreams {
		if n := u.Foreign(); n > 0 {
			found = append(found, fmt.Sprintf("%s received %d datagrams of another service or client account", u.name(), n))
		}
	}
	for _, c := range sim.callers {
		found = append(found, c.foreignPushes()...)
	}
	return found
}

// Requests returns all requests in the order in which they were started.
func (sim *Simulation) Requests() []*Request { return sim.requests }

// Runs returns how often upstreams ran the request with the label.
func (sim *Simulation) Runs(label string) int { return len(sim.runsByLabel()[label]) }

// BrokenFlows returns the number of flows that callers lost.
func (sim *Simulation) BrokenFlows() int {
	n := 0
	for _, c := range sim.callers {
		n += c.Broken
	}
	return n
}

func (sim *Simulation) runsByLabel() map[string][]upstream.Run {
	runs := make(map[string][]upstream.Run)
	for _, u := range sim.upstreams {
		for _, r := range u.Runs() {
			label := sim.labels[requestKey{service: r.Service, nonce: r.Nonce, request: r.Request}]
			runs[label] = append(runs[label], r)
		}
	}
	return runs
}

func (q *Request) violations(sim *Simulation, runs []upstream.Run) []string {
	var found []string
	report := func(format string, args ...any) {
		found = append(found, q.Label+" "+fmt.Sprintf(format, args...))
	}
	if !q.Idempotent && len(runs) > 1 {
		report("ran %d times", len(runs))
	}
	if q.Results > 1 {
		report("has %d results", q.Results)
	}
	if !q.Done {
		return found
	}
	if q.Result.Verdict == verdict.NotRun && len(runs) > 0 {
		report("was reported as not run (%s) but ran %d times", q.Result.Reason, len(runs))
	}
	if q.Result.Verdict == verdict.Ran && !q.hasCompleteAnswer(sim) {
		report("got an answer that is incomplete or belongs to another request")
	}
	if q.Result.Verdict == verdict.Unknown {
		report("has no verdict")
	}
	return found
}

// hasCompleteAnswer reports whether the answer is complete and belongs to an id of the
// request.
func (q *Request) hasCompleteAnswer(sim *Simulation) bool {
	if len(q.Result.Answer) != max(sim.settings.AnswerSize, upstream.AnswerHeaderSize) {
		return false
	}
	key := upstream.Key{
		Account: q.Caller.account, Service: q.Caller.service,
		Nonce: q.Result.Nonce, Request: q.Result.Request,
	}
	label := sim.labels[requestKey{service: key.Service, nonce: key.Nonce, request: key.Request}]
	return label == q.Label && upstream.IsAnswer(q.Result.Answer, key, q.Body)
}

func (c *Caller) foreignPushes() []string {
	var found []string
	for _, p := range c.Pushes {
		account := ids.AccountID(binary.BigEndian.Uint32(p.Payload[0:]))
		service := ids.ServiceID(binary.BigEndian.Uint32(p.Payload[4:]))
		if account != c.account || service != c.service {
			found = append(found, fmt.Sprintf("%s received a message of client account %d, service %d", c.label, account, service))
		}
	}
	return found
}
