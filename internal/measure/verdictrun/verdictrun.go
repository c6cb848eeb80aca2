// Package verdictrun measures the verdicts of requests under each fault in
// simulated sessions: how many ran, were not run, or may have run.
package verdictrun

import (
	"time"

	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/session"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Times of a simulated session.
const (
	faultAt = 5 * time.Second
	// The fault is shifted by faultOffsetStep from session to session, in
	// faultOffsetCount steps, so that it hits different points of the request
	// pattern.
	faultOffsetStep  = 39 * time.Millisecond
	faultOffsetCount = 10
	trafficTime      = 14 * time.Second
	endTime          = 20 * time.Second
	// faultDuration is the duration of transient faults.
	faultDuration = 3 * time.Second
)

// Fault is a fault injected into a session. Apply injects it, and schedules its
// end if it is transient.
type Fault struct {
	Name  string
	Apply func(w *session.Simulation)
}

// Row counts the verdicts of the non-idempotent requests of all sessions with
// one fault.
type Row struct {
	Fault    string
	Sessions int
	Requests int
	Ran      int
	NotRun   int
	// MayHaveRun counts requests whose outcome is unknown to the caller.
	MayHaveRun int
	// DidRun counts the requests of MayHaveRun that an upstream did run.
	DidRun int
	// Broken counts broken flows, and Violations violated guarantees.
	Broken     int
	Violations int
}

// Faults returns the faults of the table, in the order of its rows.
func Faults() []Fault {
	return []Fault{
		{"none", func(*session.Simulation) {}},
		{"planned stop of a host", func(w *session.Simulation) { w.Hosts()[0].Stop() }},
		{"host killed", func(w *session.Simulation) { w.Hosts()[0].Kill() }},
		{"host killed and restarted at once", func(w *session.Simulation) {
			w.Hosts()[0].Kill()
			w.Hosts()[0].Start()
		}},
		{"host frozen for 3 s", func(w *session.Simulation) {
			w.Hosts()[0].Freeze()
			w.At(w.Now()+faultDuration, func() { w.Hosts()[0].Unfreeze(false) })
		}},
		{"upstream killed and restarted", func(w *session.Simulation) {
			w.Upstreams()[0].Kill()
			w.Upstreams()[0].Start()
		}},
		{"upstream killed for 3 s", func(w *session.Simulation) {
			w.Upstreams()[0].Kill()
			w.At(w.Now()+faultDuration, w.Upstreams()[0].Start)
		}},
		{"zones cut off for 3 s", func(w *session.Simulation) {
			w.Partition(session.ZoneA, session.ZoneB)
			w.At(w.Now()+faultDuration, w.Heal)
		}},
		{"1% loss", loss(0.01)},
		{"5% loss", loss(0.05)},
		{"20% loss", loss(0.2)},
		{"half of all datagrams twice, 200 ms jitter", func(w *session.Simulation) {
			w.Faults = session.Faults{Duplicate: 0.5, DuplicateDelay: time.Second, Jitter: 200 * time.Millisecond}
		}},
	}
}

func loss(share float64) func(w *session.Simulation) {
	return func(w *session.Simulation) { w.Faults.Loss = share }
}

// Run simulates a number of sessions with the fault and counts the verdicts.
func Run(f Fault, sessions int) Row {
	row := Row{Fault: f.Name, Sessions: sessions}
	for seed := range sessions {
		w := session.New(session.DefaultSettings(uint64(seed + 1)))
		w.AddTraffic(trafficTime)
		at := faultAt + time.Duration(seed%faultOffsetCount)*faultOffsetStep
		w.At(at, func() { f.Apply(w) })
		w.Run(endTime)
		row.add(w)
	}
	return row
}

func (r *Row) add(w *session.Simulation) {
	r.Broken += w.BrokenFlows()
	r.Violations += len(w.Violations())
	for _, o := range w.Requests() {
		if o.Idempotent {
			continue
		}
		r.Requests++
		switch o.Result.Verdict {
		case verdict.Ran:
			r.Ran++
		case verdict.NotRun:
			r.NotRun++
		default:
			r.MayHaveRun++
			r.DidRun += w.Runs(o.Label)
		}
	}
}

// Table measures all faults with the given number of sessions each.
func Table(sessions int) *report.Table {
	t := &report.Table{
		Title: "How non-idempotent requests end under each fault",
		Columns: []string{
			"fault at 5 s", "requests", "answered", "not run", "may have run",
			"of these did run", "may have run, %", "per session", "flows broken", "promises broken",
		},
		Note: "Four hosts in two availability zones, three services of four upstreams with two slots, six callers with a stream " +
			"and a request each 130 ms for 14 s, service time 50 to 150 ms, timeout 2 s, hosts see a death after 0.5 to 1.5 s. " +
			"Virtual time; the same on every machine. The share is of all requests of a session; a fault concerns only part of them.",
	}
	for _, f := range Faults() {
		r := Run(f, sessions)
		t.Add(r.Fault, r.Requests, r.Ran, r.NotRun, r.MayHaveRun, r.DidRun,
			percent(r.MayHaveRun, r.Requests), float64(r.MayHaveRun)/float64(r.Sessions), r.Broken, r.Violations)
	}
	return t
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	const hundred = 100
	return hundred * float64(part) / float64(whole)
}
