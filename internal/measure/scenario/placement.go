package scenario

import (
	"fmt"
	"time"

	"mimosashore.example/mimosashore/internal/measure/policy"
	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/measure/sim"
)

type namedPolicy struct {
	name string
	make func(*sim.Run, uint64) sim.Policy
}

var policies = []namedPolicy{
	{"random", policy.NewRandom},
	{"round robin", policy.NewRoundRobin},
	{"least reported load", policy.NewLeastReported},
	{"two choices, share of slots", policy.NewTwoChoices},
	{"idle-slot announcements", policy.NewIdleSlots},
	{"home for each upstream", policy.NewUpstreamHomes},
	{"home for service and zone, on the flow's upstream", policy.NewFlowUpstream},
	{"home for service and zone (project)", policy.NewHome},
}

var projectPolicy = policies[len(policies)-1]

// Sizes sets the duration of the placement runs and the numbers of hosts. Tests
// use short runs.
type Sizes struct {
	PlacementTime time.Duration
	Hosts         []int
}

// FullSizes are the sizes of the published tables.
var FullSizes = Sizes{PlacementTime: 120 * time.Second, Hosts: []int{4, 5, 786}}

// Placement compares the policies in one availability zone without a flood.
func Placement(seed uint64, sizes Sizes) []*report.Table {
	var tables []*report.Table
	for _, f := range []fleet{cubiertaVerde, cumann} {
		for _, load := range []float64{0.7, 0.95} {
			tables = append(tables, placementTable(seed, f, load, sizes))
		}
	}
	return tables
}

func placementTable(seed uint64, f fleet, load float64, sizes Sizes) *report.Table {
	t := &report.Table{
		Title: fmt.Sprintf("Placement of %s at %.0f %% load", f.urgent.name, load*100),
		Columns: []string{"policy", "hosts", "running max/mean", "CV", "in 10 s windows", "flows max/mean", "flows CV",
			"answered %", "refusals a request", "sheds a request", "may have run", "wait p50 ms", "wait p99 ms", "latency p99 ms"},
		Note: "One availability zone. Running requests are averaged over the whole run, then over windows of 10 s. Wait is the time from the owner to the start on an upstream, the way there included.",
	}
	t.Rows = computeRows(len(policies)*len(sizes.Hosts), func(i int) []string {
		n := sizes.Hosts[i%len(sizes.Hosts)]
		return placementRow(policies[i/len(sizes.Hosts)], f.oneZone(seed, n), n, load, sizes.PlacementTime)
	})
	return t
}

func runPlacement(p namedPolicy, setup sim.Setup, load float64, length time.Duration) *sim.Service {
	setup.End = length
	run := sim.New(setup)
	run.SetPolicy(p.make(run, setup.Seed))
	s := run.Services[0]
	run.OfferLoad(s, load*s.Spec.Capacity(), setup.WarmUp/2, length)
	run.RunUntil(length + s.Spec.RequestTimeout)
	return s
}

func placementRow(p namedPolicy, setup sim.Setup, hostCount int, load float64, length time.Duration) []string {
	s := runPlacement(p, setup, load, length)
	c := &s.Counts
	whole, window := c.RunningImbalance()
	flows := s.FlowImbalance()
	return report.FormatRow(p.name, hostCount, whole.MaxOverMean, whole.CV, window.MaxOverMean, flows.MaxOverMean, flows.CV,
		percent(c.Served, c.Offered), perRequest(c.Refusals, c), perRequest(c.Sheds, c), c.MayHaveRun,
		millis(c.Wait.ValueAtQuantile(50)), millis(c.Wait.ValueAtQuantile(99)), millis(c.Latency.ValueAtQuantile(99)))
}

func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", 100*float64(part)/float64(whole))
}

func perRequest(n int, c *sim.Counts) float64 {
	return float64(n) / float64(max(c.Offered, 1))
}

func millis(micros int64) string {
	return fmt.Sprintf("%.1f", float64(micros)/1000)
}
