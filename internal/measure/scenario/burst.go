package scenario

import (
	"fmt"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/measure/sim"
)

const (
	// burstAt is the start of the burst, which lasts one second.
	burstAt       = 30 * time.Second
	burstRequests = 5_000
	// burstTimeout is the callers' request timeout, and the time from the start of
	// the burst until the base load ends.
	burstTimeout = 60 * time.Second
	// burstBaseLoad is the load apart from the burst, as a share of the capacity.
	burstBaseLoad = 0.3
)

// Burst measures a second in which all callers of the urgent service send a request.
func Burst(seed uint64) *report.Table {
	t := &report.Table{
		Title: "All callers of the urgent service at once",
		Columns: []string{"service", "policy", "host lost", "answered %", "goodput in the burst, % of capacity",
			"attempts a request", "not run", "may have run", "latency p50 s", "latency p99 s"},
		Note: "5,000 requests in one second on top of 30 % load, four hosts; callers come back for a minute. Goodput is taken over the first 80 % of the time that the slots need for the burst. The host is lost two seconds into it.",
	}
	fleets := []fleet{cubiertaVerde, cumann}
	compared := []namedPolicy{policies[0], policies[3], projectPolicy}
	perFleet := len(compared) * 2
	t.Rows = computeRows(len(fleets)*perFleet, func(i int) []string {
		return burstRow(seed, fleets[i/perFleet], compared[i%perFleet/2], i%2 == 1)
	})
	return t
}

func burstRun(seed uint64, f fleet, p namedPolicy, kill bool, detection time.Duration) *sim.Run {
	setup := f.setup(seed, 4)
	setup.Detection = detection
	setup.Services[0].RequestTimeout = burstTimeout
	setup.End = burstAt + burstTimeout
	run := sim.New(setup)
	run.SetPolicy(p.make(run, seed))
	s := run.Services[0]
	run.OfferLoad(s, burstBaseLoad*s.Spec.Capacity(), setup.WarmUp/2, setup.End)
	run.OfferLoad(s, burstRequests, burstAt, burstAt+time.Second)
	if kill {
		run.Kill(0, burstAt+2*time.Second)
	}
	run.RunUntil(setup.End + burstTimeout)
	return run
}

func burstRow(seed uint64, f fleet, p namedPolicy, kill bool) []string {
	s := burstRun(seed, f, p, kill, detectionTime).Services[0]
	c := &s.Counts
	return report.FormatRow(f.urgent.name, p.name, kill, percent(c.Served, c.Offered), fmt.Sprintf("%.1f", 100*burstGoodput(s)),
		1+perRequest(c.Refusals, c), c.NotRun, c.MayHaveRun, seconds(c.Latency.ValueAtQuantile(50)), seconds(c.Latency.ValueAtQuantile(99)))
}

// burstGoodput returns the answers per second, as a share of the capacity, over
// 80 % of the time that the slots need for the burst, from two seconds after its
// start.
func burstGoodput(s *sim.Service) float64 {
	need := time.Duration(0.8 * float64(burstRequests) / (s.Spec.Capacity() * (1 - burstBaseLoad)) * float64(time.Second))
	from := burstAt + 2*time.Second
	need = need.Truncate(time.Second)
	answered := sim.Sum(s.Counts.AnsweredBySecond, from, from+need)
	return float64(answered) / need.Seconds() / s.Spec.Capacity()
}

func seconds(micros int64) string {
	return fmt.Sprintf("%.2f", float64(micros)/1e6)
}

// Accounts measures a client account that shares its hosts with a flooding one.
func Accounts(seed uint64) *report.Table {
	t := &report.Table{
		Title: "One client account floods, another works on the same hosts",
		Columns: []string{"policy", "hosts", "host lost", "service kept % of no flood", "flooding account's answers, % of its limit",
			"latency p99 ms of the other", "may have run of the other", "datagrams dropped"},
		Note: "The flooding account sends 10 times its limit (its capacity) of bulk and urgent work; the other account's urgent service is loaded to 95 %.",
	}
	cases := []floodCase{{policies[0], 4, 0.95}, {policies[3], 4, 0.95}, {projectPolicy, 4, 0.95}, {projectPolicy, 5, 0.95}}
	t.Rows = computeRows(2*len(cases), func(i int) []string { return accountsRow(seed, cases[i/2], i%2 == 1) })
	return t
}

func accountsRow(seed uint64, c floodCase, kill bool) []string {
	baseline := accountsRun(seed, c, kill, c.base)
	flooded := accountsRun(seed, c, kill, 10)
	otherCounts := &flooded.Services[2].Counts
	flooding := flooded.Services[0]
	length := (floodEnd - bulkFrom).Seconds()
	answered := float64(sim.Sum(flooding.Counts.AnsweredBySecond, bulkFrom, floodEnd)) / length / flooding.Spec.Capacity()
	dropped := 0
	for _, s := range flooded.Services {
		dropped += s.Counts.Dropped
	}
	return report.FormatRow(c.policy.name, c.hosts, kill,
		percent(sim.Sum(otherCounts.ServedBySecond, bulkFrom, floodEnd), sim.Sum(baseline.Services[2].Counts.ServedBySecond, bulkFrom, floodEnd)),
		fmt.Sprintf("%.1f", 100*answered), millis(otherCounts.Latency.ValueAtQuantile(99)), otherCounts.MayHaveRun, dropped)
}

// accountsRun simulates both accounts. Services 0 and 1 of the run belong to the
// flooding account, service 2 to the other.
func accountsRun(seed uint64, c floodCase, kill bool, load float64) *sim.Run {
	f := cubiertaVerde
	setup := f.setup(seed, c.hosts)
	floodingAccount := setup.Services[0].Account
	floodingAccount.RequestRate = setup.Services[0].Capacity() + setup.Services[1].Capacity()
	other := serviceShape{9, "other-orders", 14, 2}.spec(f.zones, config.PriorityUrgent)
	other.Account = &config.Account{ID: ids.AccountID(9), Name: "other", Services: []config.Service{*other.Config}}
	setup.Services = append(setup.Services, other)
	setup.WarmUp, setup.End = floodWarmUp, floodEnd
	run := sim.New(setup)
	run.SetPolicy(c.policy.make(run, seed))
	run.OfferLoad(run.Services[0], load*run.Services[0].Spec.Capacity(), bulkFrom, floodEnd)
	run.OfferLoad(run.Services[1], load*run.Services[1].Spec.Capacity(), bulkFrom, floodEnd)
	run.OfferLoad(run.Services[2], c.base*other.Capacity(), floodWarmUp/2, floodEnd)
	if kill {
		run.Kill(0, killAt)
	}
	run.RunUntil(floodEnd + other.RequestTimeout)
	return run
}
