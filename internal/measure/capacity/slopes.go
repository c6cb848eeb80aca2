package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/admission"
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/hostcore"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/measure/memberrun"
	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/measure/spreadrun"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

// Sizes lists the sizes to measure.
type Sizes struct {
	// Upstreams are the numbers of upstreams of a fleet, Flows the numbers of open
	// flows at a host.
	Upstreams []int
	Flows     []int
	// Hosts are the numbers of hosts in the simulations of membership and of
	// configuration changes, which are skipped if it is empty.
	Hosts []int
}

// FullSizes are the sizes of the capacity page.
var FullSizes = Sizes{Upstreams: []int{1_000, 10_000, 91_000}, Flows: []int{1_000, 8_000, 64_000}, Hosts: []int{5, 50, 300}}

const (
	// repeats is the number of runs from which a median is computed.
	repeats = 5
	kib     = 1024
)

// Tables runs all measurements and returns their tables.
func Tables(s Sizes) []*report.Table {
	tables := []*report.Table{configurationTable(s), routingTable(s), homesTable(s), placementTable(), flowStateTable(s), admissionTable(s), loadPollTable()}
	if len(s.Hosts) > 0 {
		const seed, loss = 1, 0.01
		tables = append(tables, spreadrun.Table(s.Hosts, seed), memberrun.Table(s.Hosts, []float64{loss}, seed))
	}
	return tables
}

// medianTime returns the median duration of repeats calls of run.
func medianTime(run func()) time.Duration {
	times := make([]time.Duration, repeats)
	for i := range times {
		begin := time.Now()
		run()
		times[i] = time.Since(begin)
	}
	slices.Sort(times)
	return times[repeats/2]
}

// retainedHeap returns the result of build and the heap that it retains, in bytes.
// The caller must keep the inputs of build alive (runtime.KeepAlive) until it
// returns; otherwise their collection is subtracted from the size.
func retainedHeap[T any](build func() T) (T, int) {
	before := allocatedHeap()
	result := build()
	after := allocatedHeap()
	return result, max(after-before, 0)
}

func allocatedHeap() int {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

func mib(bytes int) string {
	return fmt.Sprintf("%.2f", float64(bytes)/(kib*kib))
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.3f", float64(d.Microseconds())/1000)
}

func micros(d time.Duration) string {
	return fmt.Sprintf("%.2f", float64(d.Nanoseconds())/1000)
}

func configurationTable(s Sizes) *report.Table {
	t := &report.Table{
		Title:   "Configuration",
		Columns: []string{"upstreams", "services", "documents", "all documents, MiB", "mean account, bytes", "largest zone plan, KiB", "decode all, ms", "decoded, MiB", "assemble, ms"},
		Note:    "Documents are those of package config, in CBOR, uncompressed; four services for each client account.",
	}
	for _, n := range s.Upstreams {
		f := fleetOf(n)
		docs := f.documents()
		encoded := make([][]byte, len(docs))
		total, accounts, accountBytes, largestPlan := 0, 0, 0, 0
		for i, d := range docs {
			b, err := d.Encode()
			if err != nil {
				panic(err)
			}
			encoded[i] = b
			total += len(b)
			if d.Account != nil {
				accounts++
				accountBytes += len(b)
			}
			if d.Zone != nil {
				largestPlan = max(largestPlan, len(b))
			}
		}
		decode := medianTime(func() { decodeAll(encoded) })
		decoded, size := retainedHeap(func() []*config.Document { return decodeAll(encoded) })
		assemble := medianTime(func() { config.Assemble(decoded) })
		t.Add(n, f.services, len(docs), mib(total), accountBytes/accounts, largestPlan/kib, millis(decode), mib(size), millis(assemble))
		runtime.KeepAlive(decoded)
		runtime.KeepAlive(encoded)
		runtime.KeepAlive(docs)
	}
	return t
}

func decodeAll(encoded [][]byte) []*config.Document {
	docs := make([]*config.Document, len(encoded))
	for i, b := range encoded {
		d, err := config.DecodeDocument(b)
		if err != nil {
			panic(err)
		}
		docs[i] = d
	}
	return docs
}

func routingTable(s Sizes) *report.Table {
	t := &report.Table{
		Title: "Routing table",
		Columns: []string{"upstreams", "hosts", "build, ms", "table, MiB", "one account changed, ms", "one host changed, ms",
			"services homed here, ms", "view, MiB"},
		Note: "One account or host changed: table.Next from the table before. The snapshot is assembled before; its memory is under Configuration.",
	}
	for _, n := range s.Upstreams {
		f := fleetOf(n)
		snap := config.Assemble(f.documents())
		view, viewSize := retainedHeap(f.view)
		self := view.Members[0].Instance
		build := medianTime(func() { table.Build(self, snap, view) })
		base, size := retainedHeap(func() *table.Table { return table.Build(self, snap, view) })
		account := medianTime(changeAccount(base, snap, view))
		host := medianTime(changeHost(base, snap, view))
		homed := medianTime(func() { base.HomedServices() })
		t.Add(n, f.hosts, millis(build), mib(size), millis(account), millis(host), millis(homed), mib(viewSize))
	}
	return t
}

func changeAccount(base *table.Table, snap *config.Snapshot, view *member.View) func() {
	return func() {
		changed := *snap
		changed.Accounts = slices.Clone(snap.Accounts)
		changed.Accounts[0].Revision++
		services := slices.Clone(changed.Accounts[0].Services)
		services[0].Upstreams = slices.Clone(services[0].Upstreams)
		services[0].Upstreams[0].State = config.UpstreamDraining
		changed.Accounts[0].Services = services
		table.Next(base, base.Self, &changed, view)
	}
}

func changeHost(base *table.Table, snap *config.Snapshot, view *member.View) func() {
	return func() {
		changed := *view
		changed.Version++
		changed.Members = slices.Clone(view.Members)
		changed.Members[1].State = member.StateDead
		table.Next(base, base.Self, snap, &changed)
	}
}

func placementTable() *report.Table {
	t := &report.Table{
		Title:   "Placement of one service at its home",
		Columns: []string{"upstreams of the service", "state, KiB", "offer and finish, microseconds", "flow placed, microseconds", "tick, microseconds", "report, microseconds"},
		Note:    "State: the placer without waiting requests. Half of the slots are in use.",
	}
	for _, n := range []int{2, 14, 100, 1_000} {
		addPlacementRow(t, n)
	}
	return t
}

func addPlacementRow(t *report.Table, upstreams int) {
	const rounds = 2_000
	f := fleet{upstreams: upstreams, services: 1, hosts: 1}
	service := f.service(0)
	for i := range service.Upstreams {
		service.Upstreams[i].Zone = zoneName(0)
		service.Upstreams[i].Connections = 1 << 20
	}
	const copies = 32
	_, size := retainedHeap(func() []*placement.Placer {
		placers := make([]*placement.Placer, copies)
		for i := range placers {
			placers[i] = placement.New(&service, zoneName(0), 1)
		}
		return placers
	})
	p := placement.New(&service, zoneName(0), 1)
	ticket := placement.Ticket(0)
	now := time.Duration(0)
	reportOf := func(i int) {
		p.HandleReport(now, placement.Report{Upstream: service.Upstreams[i%upstreams].ID, Healthy: true})
	}
	for i := range upstreams {
		reportOf(i)
		p.Offer(now, placement.Request{Ticket: placement.Ticket(1<<40 + i), Deadline: time.Hour})
	}
	offer := medianTime(func() {
		for range rounds {
			now += time.Millisecond
			ticket++
			d := p.Offer(now, placement.Request{Ticket: ticket, Deadline: now + time.Second})
			p.Finish(now+time.Millisecond, ticket, d.Upstream, placement.OutcomeAnswered)
		}
	})
	flow := medianTime(func() {
		for range rounds {
			now += time.Millisecond
			p.CloseFlow(now, p.PlaceFlow(now).Upstream)
		}
	})
	tick := medianTime(func() {
		for range rounds {
			now += time.Millisecond
			p.Tick(now)
		}
	})
	reports := medianTime(func() {
		for i := range rounds {
			reportOf(i)
		}
	})
	t.Add(upstreams, fmt.Sprintf("%.1f", float64(size)/copies/kib), micros(offer/rounds), micros(flow/rounds), micros(tick/rounds), micros(reports/rounds))
}

func flowStateTable(s Sizes) *report.Table {
	t := &report.Table{
		Title:   "Owner state of flows",
		Columns: []string{"open flows", "open, microseconds a flow", "state, bytes a flow", "tick, microseconds"},
		Note:    "One host of hostcore that is the home of one service. Flows without requests under way; a tick runs every 20 ms.",
	}
	for _, n := range s.Flows {
		addFlowStateRow(t, n)
	}
	return t
}

func addFlowStateRow(t *report.Table, flows int) {
	f := fleet{upstreams: 100, services: 1, hosts: 1}
	docs := f.documents()
	for _, d := range docs {
		if d.Account != nil {
			d.Account.FlowRate = 0
		}
	}
	snap := config.Assemble(docs)
	for i := range snap.Accounts[0].Services[0].Upstreams {
		u := &snap.Accounts[0].Services[0].Upstreams[i]
		u.Zone, u.Connections = zoneName(0), 1<<20
	}
	view := f.view()
	self := view.Members[0].Instance
	core := hostcore.New(hostcore.Settings{Self: self, Name: hostName(0), Zone: zoneName(0), Seed: 1, MaxFlows: 2 * flows})
	var out hostcore.Effects
	core.SetTable(0, table.Build(self, snap, view), &out)
	var took time.Duration
	_, size := retainedHeap(func() *hostcore.Core {
		begin := time.Now()
		for i := range flows {
			openFlow(core, snap, i, &out)
		}
		took = time.Since(begin)
		out = hostcore.Effects{}
		return core
	})
	now := time.Second
	tick := medianTime(func() {
		now += hostcore.TickInterval
		out.Reset()
		core.Tick(now, &out)
	})
	t.Add(flows, micros(took/time.Duration(flows)), size/flows, micros(tick))
	runtime.KeepAlive(core)
}

func openFlow(core *hostcore.Core, snap *config.Snapshot, i int, out *hostcore.Effects) {
	p := wire.New(wire.KindOpen, 0)
	putOpenFields(p, snap.Accounts[0].ID, snap.Accounts[0].Services[0].ID, ids.Nonce(i+1))
	out.Reset()
	core.HandlePacket(0, wire.Envelope{Origin: wire.OriginFabric, Source: address(30, i, dataPort)}, p, out)
	if len(out.Sends) != 1 || out.Sends[0].Packet.Kind() != wire.KindOpened {
		panic("hostcore did not open a flow")
	}
}

func admissionTable(s Sizes) *report.Table {
	t := &report.Table{
		Title:   "Admission",
		Columns: []string{"services with traffic at a host", "state, bytes a service", "admit, microseconds", "update, ms"},
		Note:    "Limits of the account and of the service, of a fleet of 91,000 upstreams (or the largest measured).",
	}
	f := fleetOf(s.Upstreams[len(s.Upstreams)-1])
	snap := config.Assemble(f.documents())
	view := f.view()
	base := table.Build(view.Members[0].Instance, snap, view)
	for _, n := range []int{10, 100, min(1_000, f.services)} {
		shares := admission.SharesOf(base, snap)
		admitAll := func(c *admission.Controller, now time.Duration) {
			for i := range n {
				a := &snap.Accounts[i/servicesPerAccount]
				c.Admit(now, a.ID, a.Services[i%servicesPerAccount].ID, config.PriorityUrgent)
			}
		}
		c, size := retainedHeap(func() *admission.Controller {
			c := admission.New(1, 0)
			c.Update(0, snap, shares)
			admitAll(c, 0)
			return c
		})
		now := time.Second
		admit := medianTime(func() {
			now += time.Second
			admitAll(c, now)
		})
		update := medianTime(func() { c.Update(now, snap, shares) })
		t.Add(n, size/n, micros(admit/time.Duration(n)), millis(update))
	}
	return t
}
