package spreadrun

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/spread"
)

// Sizes and durations of the measurements.
const (
	zoneCount = 4
	// accountCount is the number of documents in the store, one for each client
	// account; upstreamsPerAccount is the number of upstreams in each.
	accountCount        = 20
	upstreamsPerAccount = 18
	// changesPerPhase is the number of changes in a phase, one every changeInterval.
	changesPerPhase = 20
	changeInterval  = time.Second
	idleTime        = 30 * time.Second
	outageTime      = 40 * time.Second
	slowStoreDelay  = time.Second
	settleTime      = 15 * time.Second
)

// Phase names a phase of the measurement by the rate of changes or the fault of
// the store.
type Phase string

// The phases.
const (
	PhaseIdle   Phase = "no changes"
	PhaseNormal Phase = "one change a second"
	PhaseOutage Phase = "accepted as an outage of 40 s ends"
	PhaseSlow   Phase = "store answers after 1 s"
	PhaseSilent Phase = "watches are silent"
)

// Row holds the results for one fleet size and phase.
type Row struct {
	Hosts int
	Phase Phase
	// Median and Max are the times from the write of a change to the store until
	// it is in force at a host, over all changes and hosts. Missing counts the
	// pairs of change and host for which it never was in force.
	Median, Max time.Duration
	Missing     int
	// BytesPerSecond and MaxBytesPerSecond are the mean and the largest rate at
	// which a host sends and receives on its links, headers included.
	// StoreBytesPerSecond is the largest rate at which a host reads from the store.
	BytesPerSecond, MaxBytesPerSecond, StoreBytesPerSecond float64
	// ReadsPerSecond and WatchesPerSecond are the rates of store calls of all
	// hosts together.
	ReadsPerSecond, WatchesPerSecond float64
	// CorePerChange is the mean processor time that one host takes for one change.
	CorePerChange time.Duration
	// DocumentBytes is the encoded size of one document.
	DocumentBytes int
}

// Measure simulates a fleet through all phases and returns a row for each.
func Measure(hosts int, seed uint64) []Row {
	m := &measurement{Simulation: New(hosts, zoneCount, seed), revisions: make([]uint64, accountCount)}
	m.MeasureBusy = true
	for i := range accountCount {
		m.accept(i)
	}
	m.StartAll()
	m.Run(settleTime)
	rows := []Row{
		m.phase(PhaseIdle, func() { m.Run(idleTime) }),
		m.phase(PhaseNormal, m.changeSteadily),
		m.phase(PhaseOutage, m.changeAfterOutage),
	}
	m.Store.Delay = slowStoreDelay
	rows = append(rows, m.phase(PhaseSlow, m.changeSteadily))
	m.Store.Delay, m.Store.SilentWatch = 0, true
	return append(rows, m.phase(PhaseSilent, m.changeSteadily))
}

type measurement struct {
	*Simulation
	// revisions holds the current revision of each account.
	revisions []uint64
	// accepted holds the times of the current phase's writes to the store.
	accepted     map[spread.Item]time.Duration
	documentSize int
}

// accept writes the next revision of an account to the store.
func (m *measurement) accept(account int) {
	m.revisions[account]++
	doc := largeAccount(account, m.revisions[account])
	raw, err := doc.Encode()
	if err != nil {
		panic(err)
	}
	m.documentSize = len(raw)
	m.Store.Put(doc)
	if m.accepted != nil {
		m.accepted[spread.Item{Name: doc.Name, Revision: doc.Revision}] = m.Queue.Now()
	}
}

func largeAccount(account int, revision uint64) *config.Document {
	name := fmt.Sprintf("grower-%02d", account)
	service := config.Service{ID: ids.ServiceID(account + 1), Name: "pedidos"}
	for i := range upstreamsPerAccount {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(account), byte(i)}), 9000)
		service.Upstreams = append(service.Upstreams, config.Upstream{
			ID: ids.UpstreamID(account*upstreamsPerAccount + i + 1), Name: fmt.Sprintf("pedidos-%02d", i), Zone: "alajuela-a",
			Address: address, Health: address, Slots: 2, Connections: 2000,
		})
	}
	return &config.Document{
		Name: config.AccountPrefix + name, Revision: revision, ChangeID: fmt.Sprint("change-", revision), Author: "operator",
		Account: &config.Account{ID: ids.AccountID(account + 1), Name: name, Services: []config.Service{service}},
	}
}

func (m *measurement) changeSteadily() {
	for i := range changesPerPhase {
		m.accept(i % accountCount)
		m.Run(changeInterval)
	}
}

// changeAfterOutage writes all changes at the moment the store recovers from an
// outage, while the hosts are still in backoff.
func (m *measurement) changeAfterOutage() {
	m.Store.Down = true
	m.Run(outageTime)
	m.Store.Down = false
	for i := range changesPerPhase {
		m.accept(i % accountCount)
	}
}

func (m *measurement) phase(name Phase, run func()) Row {
	m.accepted = make(map[spread.Item]time.Duration)
	for _, n := range m.Nodes {
		n.Bytes, n.StoreBytes, n.Busy = 0, 0, 0
	}
	reads, watches, began := m.Store.Reads, m.Store.Watches, m.Queue.Now()
	run()
	if name != PhaseIdle {
		m.Run(settleTime)
	}
	row := Row{Hosts: len(m.Nodes), Phase: name, DocumentBytes: m.documentSize}
	seconds := (m.Queue.Now() - began).Seconds()
	row.ReadsPerSecond = float64(m.Store.Reads-reads) / seconds
	row.WatchesPerSecond = float64(m.Store.Watches-watches) / seconds
	m.addTraffic(&row, seconds)
	m.addDelays(&row)
	return row
}

func (m *measurement) addTraffic(row *Row, seconds float64) {
	var busy time.Duration
	total := 0
	for _, n := range m.Nodes {
		total += n.Bytes
		busy += n.Busy
		row.MaxBytesPerSecond = max(row.MaxBytesPerSecond, float64(n.Bytes)/seconds)
		row.StoreBytesPerSecond = max(row.StoreBytesPerSecond, float64(n.StoreBytes)/seconds)
	}
	row.BytesPerSecond = float64(total) / float64(len(m.Nodes)) / seconds
	if len(m.accepted) > 0 {
		row.CorePerChange = busy / time.Duration(len(m.Nodes)*len(m.accepted))
	}
}

func (m *measurement) addDelays(row *Row) {
	var times []time.Duration
	for item, accepted := range m.accepted {
		for _, n := range m.Nodes {
			inForce, ok := n.InForce[item]
			if !ok {
				row.Missing++
				continue
			}
			times = append(times, inForce-accepted)
		}
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	row.Median, row.Max = times[len(times)/2], times[len(times)-1]
}

// Table measures all fleet sizes.
func Table(sizes []int, seed uint64) *report.Table {
	t := &report.Table{
		Title: "From accept to in force",
		Columns: []string{"hosts", "phase", "median s", "max s", "missing", "B/s a host", "B/s a host (max)",
			"store B/s (busiest host)", "store reads/s", "store watches/s", "processor µs a change", "document bytes"},
		Note: "Virtual time; bytes of links count sent and received with headers; a phase includes 15 s after its changes.",
	}
	for _, hosts := range sizes {
		for _, r := range Measure(hosts, seed) {
			t.Add(r.Hosts, string(r.Phase), r.Median.Seconds(), r.Max.Seconds(), r.Missing, r.BytesPerSecond, r.MaxBytesPerSecond,
				r.StoreBytesPerSecond, r.ReadsPerSecond, r.WatchesPerSecond, r.CorePerChange.Microseconds(), r.DocumentBytes)
		}
	}
	return t
}
