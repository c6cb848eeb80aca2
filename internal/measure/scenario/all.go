package scenario

import "mimosashore.example/mimosashore/internal/measure/report"

// flowCount is the number of open flows in the table of broken flows.
const flowCount = 10_000

// All runs the full measurement and returns its tables in the order of the page.
func All(seed uint64) []*report.Table {
	tables := []*report.Table{Flows(flowCount)}
	tables = append(tables, Placement(seed, FullSizes)...)
	tables = append(tables, Zones(seed, FullSizes.PlacementTime))
	tables = append(tables, Floods(seed)...)
	return append(tables, HostBound(seed), Faults(seed), Burst(seed), Detection(seed), Accounts(seed))
}
