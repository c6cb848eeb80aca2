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
func (w *Simulation) Violations() []string {
	var found []string
	runs := w.runsByLabel()
	for _, o := range w.requests {
		found = append(found, o.violations(w, runs[o.Label])...)
	}
	for _, u := range w.upstreams {
		if n := u.Foreign(); n > 0 {
			found = append(found, fmt.Sprintf("%s received %d datagrams of another service or client account", u.name(), n))
		}
	}
	for _, c := range w.callers {
		found = append(found, c.foreignPushes()...)
	}
	return found
}

// Requests returns all requests in the order in which they were started.
func (w *Simulation) Requests() []*Request { return w.requests }

// Runs returns how often upstreams ran the request with the label.
func (w *Simulation) Runs(label string) int { return len(w.runsByLabel()[label]) }

// Broken returns the number of flows that callers lost.
func (w *Simulation) Broken() int {
	n := 0
	for _, c := range w.callers {
		n += c.Broken
	}
	return n
}

func (w *Simulation) runsByLabel() map[string][]upstream.Run {
	runs := make(map[string][]upstream.Run)
	for _, u := range w.upstreams {
		for _, r := range u.Runs() {
			label := w.labels[requestKey{service: r.Service, nonce: r.Nonce, request: r.Request}]
			runs[label] = append(runs[label], r)
		}
	}
	return runs
}

func (o *Request) violations(w *Simulation, runs []upstream.Run) []string {
	var found []string
	report := func(format string, args ...any) {
		found = append(found, o.Label+" "+fmt.Sprintf(format, args...))
	}
	if !o.Idempotent && len(runs) > 1 {
		report("ran %d times", len(runs))
	}
	if o.Results > 1 {
		report("has %d results", o.Results)
	}
	if !o.Done {
		return found
	}
	if o.Result.Verdict == verdict.NotRun && len(runs) > 0 {
		report("was reported as not run (%s) but ran %d times", o.Result.Reason, len(runs))
	}
	if o.Result.Verdict == verdict.Ran && !o.hasCompleteAnswer(w) {
		report("got an answer that is incomplete or belongs to another request")
	}
	if o.Result.Verdict == verdict.Unknown {
		report("has no verdict")
	}
	return found
}

// hasCompleteAnswer reports whether the answer is complete and belongs to an id of the
// request.
func (o *Request) hasCompleteAnswer(w *Simulation) bool {
	if len(o.Result.Answer) != max(w.settings.AnswerSize, upstream.AnswerHeaderSize) {
		return false
	}
	key := upstream.Key{
		Account: o.Caller.account, Service: o.Caller.service,
		Nonce: o.Result.Nonce, Request: o.Result.Request,
	}
	label := w.labels[requestKey{service: key.Service, nonce: key.Nonce, request: key.Request}]
	return label == o.Label && upstream.IsAnswer(o.Result.Answer, key, o.Body)
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
