// Package verdictrun measures how requests end under each fault: the share of
// answers, of requests that were not run and of those that may have run.
package verdictrun

import (
	"time"

	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/session"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Times of a session.
const (
	faultAt = 5 * time.Second
	// faultPhase and faultPhases spread the fault over the pattern of the work.
	faultPhase  = 39 * time.Millisecond
	faultPhases = 10
	workTime    = 14 * time.Second
	endTime     = 20 * time.Second
	// outage is how long a fault lasts that ends.
	outage = 3 * time.Second
)

// Fault is something that happens once in a session, or lasts through it.
type Fault struct {
	Name  string
	Apply func(w *session.Simulation)
}

// Row counts how the non-idempotent requests of all sessions with one fault ended.
type Row struct {
	Fault    string
	Sessions int
	Requests int
	Ran      int
	NotRun   int
	// MayHaveRun counts requests that callers have to look into.
	MayHaveRun int
	// DidRun counts those of MayHaveRun that an upstream ran.
	DidRun int
	// Broken counts lost flows, and Violations broken promises.
	Broken     int
	Violations int
}

// Faults returns the faults of the table.
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
			w.At(w.Now()+outage, func() { w.Hosts()[0].Unfreeze(false) })
		}},
		{"upstream killed and restarted", func(w *session.Simulation) {
			w.Upstreams()[0].Kill()
			w.Upstreams()[0].Start()
		}},
		{"upstream killed for 3 s", func(w *session.Simulation) {
			w.Upstreams()[0].Kill()
			w.At(w.Now()+outage, w.Upstreams()[0].Start)
		}},
		{"zones cut off for 3 s", func(w *session.Simulation) {
			w.Partition(session.ZoneA, session.ZoneB)
			w.At(w.Now()+outage, w.Heal)
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

// Run plays a number of sessions with the fault and counts.
func Run(f Fault, sessions int) Row {
	row := Row{Fault: f.Name, Sessions: sessions}
	for seed := range sessions {
		w := session.New(session.DefaultSettings(uint64(seed + 1)))
		w.AddTraffic(workTime)
		at := faultAt + time.Duration(seed%faultPhases)*faultPhase
		w.At(at, func() { f.Apply(w) })
		w.Run(endTime)
		row.add(w)
	}
	return row
}

func (r *Row) add(w *session.Simulation) {
	r.Broken += w.Broken()
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

// Table measures all faults.
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
