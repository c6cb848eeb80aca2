package capacity

import (
	"fmt"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/table"
)

// homesTable measures how evenly the homes of services are distributed over the hosts.
func homesTable(s Sizes) *report.Table {
	t := &report.Table{
		Title:   "Homes by host",
		Columns: []string{"upstreams", "hosts", "homes", "mean a host", "99 % of hosts have at most", "most", "most upstreams at a host", "first look-up of all homes, ms"},
		Note:    "A home is one service in one availability zone.",
	}
	for _, n := range s.Upstreams {
		f := fleetOf(n)
		snap := config.Assemble(f.documents())
		view := f.view()
		base := table.Build(view.Members[0].Instance, snap, view)
		homes := make(map[ids.HostID]int)
		upstreams := make(map[ids.HostID]int)
		total := 0
		begin := time.Now()
		for i := range f.services {
			service := base.Service(ids.ServiceID(i + 1))
			for _, h := range base.Homes(service) {
				homes[h.Host.Host]++
				upstreams[h.Host.Host] += h.Weight / service.Service.Upstreams[0].Slots
				total++
			}
		}
		took := time.Since(begin)
		counts, perHost := sortedCounts(f, homes), sortedCounts(f, upstreams)
		last := len(counts) - 1
		t.Add(n, f.hosts, total, fmt.Sprintf("%.2f", float64(total)/float64(f.hosts)), counts[last*99/100], counts[last], perHost[last], millis(took))
	}
	return t
}

// sortedCounts returns the counts of all hosts in ascending order, with zero for
// hosts that are not in counts.
func sortedCounts(f fleet, counts map[ids.HostID]int) []int {
	all := make([]int, f.hosts)
	for i := range all {
		all[i] = counts[ids.HostIDOf(hostName(i))]
	}
	slices.Sort(all)
	return all
}
