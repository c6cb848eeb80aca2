package scenario

import (
	"fmt"
	"time"

	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/measure/sim"
)

// Times of a flood run: the bulk flood starts at bulkFrom, the urgent flood on
// top of it at urgentFrom.
const (
	floodWarmUp = 10 * time.Second
	bulkFrom    = 20 * time.Second
	urgentFrom  = 40 * time.Second
	floodEnd    = 65 * time.Second
	killAt      = 25 * time.Second
)

// flood describes the loads of a flood run. Loads are shares of the capacity of
// the service.
type flood struct {
	// base is the load of the urgent service before and during the bulk flood.
	base float64
	// bulkBase and bulk are the loads of the bulk service before and in the flood.
	bulkBase float64
	bulk     float64
	// urgent is the load of the urgent service in the second phase.
	urgent float64
	// detection overrides the time until a dead host is detected; zero means
	// detectionTime.
	detection time.Duration
	// kill is the index of the host killed at killAt, or noHost.
	kill int
}

const noHost = -1

// floodResult holds the results of a flood run for the urgent service.
type floodResult struct {
	// served counts the answered requests that were created from bulkFrom to
	// urgentFrom.
	served int
	// goodput is the goodput in the urgent flood as a share of the capacity.
	goodput float64
	// p99 is the 99th percentile of the latency, formatted in milliseconds.
	p99        string
	notRun     int
	mayHaveRun int
	// refusals is the mean number of refusals per request.
	refusals float64
	// bulk is the goodput of the bulk service as a share of its capacity.
	bulk float64
	// dropped counts the dropped attempts of both services.
	dropped int
}

func (f fleet) flood(seed uint64, p namedPolicy, hostCount int, fl flood) floodResult {
	run := f.floodRun(seed, p, hostCount, fl)
	return floodResultOf(run.Services[0], run.Services[1])
}

func (f fleet) floodRun(seed uint64, p namedPolicy, hostCount int, fl flood) *sim.Run {
	setup := f.setup(seed, hostCount)
	setup.WarmUp, setup.End = floodWarmUp, floodEnd
	if fl.detection != 0 {
		setup.Detection = fl.detection
	}
	run := sim.New(setup)
	run.SetPolicy(p.make(run, seed))
	urgent, bulk := run.Services[0], run.Services[1]
	offer := func(s *sim.Service, load float64, from, to time.Duration) {
		run.OfferLoad(s, load*s.Spec.Capacity(), from, to)
	}
	offer(urgent, fl.base, floodWarmUp/2, urgentFrom)
	offer(urgent, fl.urgent, urgentFrom, floodEnd)
	offer(bulk, fl.bulkBase, floodWarmUp/2, bulkFrom)
	offer(bulk, fl.bulk, bulkFrom, floodEnd)
	if fl.kill != noHost {
		run.Kill(fl.kill, killAt)
	}
	run.RunUntil(floodEnd + bulk.Spec.RequestTimeout)
	return run
}

func floodResultOf(urgent, bulk *sim.Service) floodResult {
	c := &urgent.Counts
	answered := sim.Sum(c.AnsweredBySecond, urgentFrom+urgent.Spec.AttemptTimeout, floodEnd)
	length := (floodEnd - urgentFrom - urgent.Spec.AttemptTimeout).Seconds()
	bulkAnswered := sim.Sum(bulk.Counts.AnsweredBySecond, bulkFrom+bulk.Spec.AttemptTimeout, floodEnd)
	bulkLength := (floodEnd - bulkFrom - bulk.Spec.AttemptTimeout).Seconds()
	return floodResult{
		served:     sim.Sum(c.ServedBySecond, bulkFrom, urgentFrom),
		goodput:    float64(answered) / length / urgent.Spec.Capacity(),
		p99:        millis(c.Latency.ValueAtQuantile(99)),
		notRun:     c.NotRun,
		mayHaveRun: c.MayHaveRun,
		refusals:   perRequest(c.Refusals, c),
		bulk:       float64(bulkAnswered) / bulkLength / bulk.Spec.Capacity(),
		dropped:    c.Dropped + bulk.Counts.Dropped,
	}
}

// Floods measures a bulk flood followed by an urgent flood for both users, with
// and without the loss of a host.
func Floods(seed uint64) []*report.Table {
	var tables []*report.Table
	for _, f := range []fleet{cubiertaVerde, cumann} {
		for _, kill := range []bool{false, true} {
			tables = append(tables, floodTable(seed, f, kill))
		}
	}
	return tables
}

func floodTable(seed uint64, f fleet, kill bool) *report.Table {
	title := fmt.Sprintf("%s floods at 10 times capacity, then %s at 2 times on top", f.bulk.name, f.urgent.name)
	if kill {
		title += ", one host lost"
	}
	t := &report.Table{
		Title: title,
		Columns: []string{"policy", "hosts", f.urgent.name + " load before", "kept % under the bulk flood", "latency p99 ms",
			"may have run", "kept % with both", "goodput with both, % of capacity", f.bulk.name + " goodput, % of capacity",
			"latency p99 ms with both", "refusals a request", "not run", "may have run with both", "datagrams dropped"},
		Note: "Kept: urgent requests created from 20 s to 40 s, while the bulk work floods, and answered within the callers' patience of 10 s, as a share of the same run without any flood. With both, the urgent flood starts at 40 s and competes with callers that come back. Goodput: answers a second from 42 s to 65 s. A lost host dies at 25 s in all runs of the row; the row shows the host whose loss leaves the least.",
	}
	t.Rows = computeRows(len(floodCases), func(i int) []string { return floodRow(seed, f, floodCases[i], kill) })
	return t
}

// floodCase is one row of a flood table.
type floodCase struct {
	policy namedPolicy
	hosts  int
	// base is the load of the urgent service before the floods, as a share of its
	// capacity.
	base float64
}

var floodCases = []floodCase{
	{policies[0], 4, 0.95},
	{policies[1], 4, 0.95},
	{policies[2], 4, 0.95},
	{policies[3], 4, 0.95},
	{projectPolicy, 4, 0.7},
	{projectPolicy, 4, 0.95},
	{projectPolicy, 4, 1},
	{projectPolicy, 5, 0.95},
	{projectPolicy, 5, 1},
}

// floodRuns holds the results of one case without a flood, with the bulk flood
// alone, and with both floods.
type floodRuns struct {
	baseline, bulk, both floodResult
}

// floodRow returns the row of a case. With kill, it tries the loss of each host
// and returns the row in which the urgent service keeps the smallest share.
func floodRow(seed uint64, f fleet, c floodCase, kill bool) []string {
	if !kill {
		return c.row(f.floodRuns(seed, c, noHost))
	}
	worst := f.floodRuns(seed, c, 0)
	for host := 1; host < c.hosts; host++ {
		r := f.floodRuns(seed, c, host)
		if r.bulk.served*worst.baseline.served < worst.bulk.served*r.baseline.served {
			worst = r
		}
	}
	return c.row(worst)
}

func (f fleet) floodRuns(seed uint64, c floodCase, kill int) floodRuns {
	const normalBulk, bulkFlood, urgentFlood = 0.5, 10, 2
	baseline := flood{base: c.base, bulkBase: normalBulk, bulk: normalBulk, urgent: c.base, kill: kill}
	bulk := baseline
	bulk.bulk = bulkFlood
	both := bulk
	both.urgent = urgentFlood
	return floodRuns{
		baseline: f.flood(seed, c.policy, c.hosts, baseline),
		bulk:     f.flood(seed, c.policy, c.hosts, bulk),
		both:     f.flood(seed, c.policy, c.hosts, both),
	}
}

func (c floodCase) row(r floodRuns) []string {
	return report.FormatRow(c.policy.name, c.hosts, fmt.Sprintf("%.0f %%", 100*c.base), percent(r.bulk.served, r.baseline.served),
		r.bulk.p99, r.bulk.mayHaveRun, percent(r.both.served, r.baseline.served),
		fmt.Sprintf("%.1f", 100*r.both.goodput), fmt.Sprintf("%.1f", 100*r.both.bulk), r.both.p99, r.both.refusals,
		r.both.notRun, r.both.mayHaveRun, r.both.dropped)
}

// HostBound measures bulk floods that exceed the processing capacity of the hosts.
func HostBound(seed uint64) *report.Table {
	t := &report.Table{
		Title: "Bulk floods beyond what the hosts can read",
		Columns: []string{"service", "bulk flood, times capacity", "service kept % of no flood", "bulk goodput, % of capacity",
			"latency p99 ms", "may have run", "datagrams dropped"},
		Note: "Project, four hosts, urgent load 95 %, no urgent flood. A host reads its datagrams in the order of arrival; what would wait longer than 50 ms is dropped, whatever its class.",
	}
	factors := []float64{10, 100, 300, 600}
	fleets := []fleet{cubiertaVerde, cumann}
	t.Rows = computeRows(len(factors)*len(fleets), func(i int) []string {
		f, factor := fleets[i/len(factors)], factors[i%len(factors)]
		const base, normalBulk, hostCount = 0.95, 0.5, 4
		baseline := f.flood(seed, projectPolicy, hostCount, flood{base: base, bulkBase: normalBulk, bulk: normalBulk, urgent: base, kill: noHost})
		flooded := f.flood(seed, projectPolicy, hostCount, flood{base: base, bulkBase: normalBulk, bulk: factor, urgent: base, kill: noHost})
		return report.FormatRow(f.urgent.name, factor, percent(flooded.served, baseline.served), fmt.Sprintf("%.1f", 100*flooded.bulk),
			flooded.p99, flooded.mayHaveRun, flooded.dropped)
	})
	return t
}
