package scenario

import (
	"fmt"
	"time"

	"mimosashore.example/mimosashore/internal/measure/report"
)

// Zones measures the project's policy over all availability zones of a fleet,
// with a home in each zone and with a single one.
func Zones(seed uint64, length time.Duration) *report.Table {
	t := &report.Table{
		Title: "A home in each availability zone (project), and one home for all of them",
		Columns: []string{"service", "homes", "open flows", "load", "running max/mean", "CV", "in 10 s windows",
			"flows max/mean", "flows CV", "answered %", "sheds a request", "wait p50 ms", "wait p99 ms", "latency p99 ms"},
		Note: "Four hosts. Flows are spread over the homes by their nonces, weighted by slots; each home places in its own availability zone. With few flows the zones' shares differ by chance. One home places over all zones: its requests cross between zones.",
	}
	fleets := []fleet{cubiertaVerde, cumann}
	flows := []int{200, 1_000, 5_000, 20_000}
	loads := []float64{0.7, 0.95}
	homes := []string{"in each zone", "one"}
	perFleet := len(flows) * len(loads) * len(homes)
	t.Rows = computeRows(len(fleets)*perFleet, func(i int) []string {
		f, j := fleets[i/perFleet], i%perFleet
		c := zonesCase{homes: homes[j%len(homes)], load: loads[j/len(homes)%len(loads)], flows: flows[j/len(homes)/len(loads)]}
		return c.row(seed, f, length)
	})
	return t
}

type zonesCase struct {
	homes string
	load  float64
	flows int
}

func (z zonesCase) row(seed uint64, f fleet, length time.Duration) []string {
	const hostCount = 4
	setup := f.setup(seed, hostCount)
	if z.homes == "one" {
		// A service without hosts in its zones gets a single home.
		setup.Hosts = hosts(hostCount, []string{"elsewhere"})
		setup.Delays.Local = setup.Delays.Cross
	}
	setup.Services = setup.Services[:1]
	setup.Services[0].Flows = z.flows
	setup.End = length
	s := runPlacement(projectPolicy, setup, z.load, length)
	c := &s.Counts
	whole, window := c.RunningImbalance()
	flowImbalance := s.FlowImbalance()
	return report.FormatRow(f.urgent.name, z.homes, z.flows, fmt.Sprintf("%.0f %%", 100*z.load), whole.MaxOverMean, whole.CV, window.MaxOverMean,
		flowImbalance.MaxOverMean, flowImbalance.CV, percent(c.Served, c.Offered), perRequest(c.Sheds, c),
		millis(c.Wait.ValueAtQuantile(50)), millis(c.Wait.ValueAtQuantile(99)), millis(c.Latency.ValueAtQuantile(99)))
}
