package scenario

import (
	"fmt"
	"time"

	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/measure/sim"
)

// Detection measures the effect of the time until a dead host is detected.
func Detection(seed uint64) *report.Table {
	t := &report.Table{
		Title: "The time until a dead host is suspect",
		Columns: []string{"service", "detection s", "load", "answered in 20 s around the death, %", "may have run",
			"kept % under the bulk flood", "goodput with both floods, % of capacity", "burst goodput, % of capacity"},
		Note: "Project, four hosts, the first one dies. The first two figures are without a flood. Three seconds is the time until a host counts as dead.",
	}
	times := []time.Duration{500 * time.Millisecond, detectionTime, 3 * time.Second, 6 * time.Second}
	fleets := []fleet{cubiertaVerde, cumann}
	t.Rows = computeRows(len(times)*len(fleets), func(i int) []string {
		return detectionRow(seed, fleets[i/len(times)], times[i%len(times)])
	})
	return t
}

func detectionRow(seed uint64, f fleet, detectAfter time.Duration) []string {
	const base, normalBulk, hostCount, bulkFlood, urgentFlood = 0.7, 0.5, 4, 10, 2
	fl := flood{base: base, bulkBase: normalBulk, bulk: normalBulk, urgent: base, kill: 0, detection: detectAfter}
	baseline := f.floodRun(seed, projectPolicy, hostCount, fl)
	fl.bulk = bulkFlood
	bulk := f.flood(seed, projectPolicy, hostCount, fl)
	fl.urgent = urgentFlood
	both := f.flood(seed, projectPolicy, hostCount, fl)
	c := &baseline.Services[0].Counts
	served := sim.Sum(c.ServedBySecond, bulkFrom, urgentFrom)
	burst := burstRun(seed, f, projectPolicy, true, detectAfter)
	return report.FormatRow(f.urgent.name, detectAfter.Seconds(), fmt.Sprintf("%.0f %%", 100*base),
		percent(served, sim.Sum(c.OfferedBySecond, bulkFrom, urgentFrom)), c.MayHaveRun,
		percent(bulk.served, served), fmt.Sprintf("%.1f", 100*both.goodput), fmt.Sprintf("%.1f", 100*burstGoodput(burst.Services[0])))
}
