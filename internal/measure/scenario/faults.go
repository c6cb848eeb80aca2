package scenario

import (
	"time"

	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/measure/sim"
	"mimosashore.example/mimosashore/internal/placement"
)

const (
	faultFrom = 20 * time.Second
	faultEnd  = 60 * time.Second
	faultLoad = 0.7
)

type namedFault struct {
	name  string
	fault sim.Fault
}

var upstreamFaults = []namedFault{
	{"none", sim.Fault{}},
	{"idle while overloaded", sim.Fault{OccupiedSlots: 1, FalseReport: &placement.Report{Healthy: true}}},
	{"healthy while dead", sim.Fault{Dead: true, FalseReport: &placement.Report{Healthy: true}}},
	{"frozen at full", sim.Fault{FalseReport: &placement.Report{Healthy: true, Running: 2, Connections: connectionLimit}}},
	{"frozen at idle", sim.Fault{FalseReport: &placement.Report{Healthy: true}}},
	{"unhealthy while well", sim.Fault{FalseReport: &placement.Report{}}},
	{"five times slower", sim.Fault{SlowFactor: 5}},
}

// Faults measures policies with one faulty upstream out of fourteen.
func Faults(seed uint64) *report.Table {
	t := &report.Table{
		Title: "One faulty upstream of pedidos",
		Columns: []string{"fault", "policy", "answered %", "may have run", "sheds a request", "latency p50 ms", "latency p99 ms",
			"load of the faulty one, share of the mean"},
		Note: "Four hosts and 14 upstreams in one availability zone, 70 % load, fault from 20 s to 60 s. The policies without ejection and the one that trusts reports go on sending to a dead upstream.",
	}
	compared := []namedPolicy{policies[0], policies[2], policies[3], projectPolicy}
	t.Rows = computeRows(len(upstreamFaults)*len(compared), func(i int) []string {
		return faultRow(seed, upstreamFaults[i/len(compared)], compared[i%len(compared)])
	})
	return t
}

func faultRow(seed uint64, f namedFault, p namedPolicy) []string {
	setup := cubiertaVerde.oneZone(seed, 4)
	setup.WarmUp, setup.End = faultFrom, faultEnd
	run := sim.New(setup)
	run.SetPolicy(p.make(run, seed))
	s := run.Services[0]
	run.After(faultFrom, func() { s.Upstreams[0].Fault = f.fault })
	run.OfferLoad(s, faultLoad*s.Spec.Capacity(), setup.WarmUp/2, faultEnd)
	run.RunUntil(faultEnd + s.Spec.RequestTimeout)
	c := &s.Counts
	return report.FormatRow(f.name, p.name, percent(c.Served, c.Offered), c.MayHaveRun, perRequest(c.Sheds, c),
		millis(c.Latency.ValueAtQuantile(50)), millis(c.Latency.ValueAtQuantile(99)), loadShare(c.Windows, 0))
}

// loadShare returns the load of one upstream relative to the mean of all.
func loadShare(windows [][]time.Duration, upstream int) float64 {
	own, all := 0.0, 0.0
	for _, w := range windows {
		own += w[upstream].Seconds()
		for _, busy := range w {
			all += busy.Seconds() / float64(len(w))
		}
	}
	if all == 0 {
		return 0
	}
	return own / all
}
