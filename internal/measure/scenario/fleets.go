// Package scenario defines the simulated scenarios of the measurement page
// (placement, floods, bursts, faults, broken flows) and fills its tables and plots.
package scenario

import (
	"fmt"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/measure/sim"
)

// fleet is the deployment of one user: its availability zones, and an urgent and
// a bulk service.
type fleet struct {
	name  string
	zones []string
	// cross is the one-way network delay between two zones.
	cross  time.Duration
	urgent serviceShape
	bulk   serviceShape
}

// serviceShape describes a service and the number of its upstreams, each with the
// given number of slots.
type serviceShape struct {
	id        ids.ServiceID
	name      string
	upstreams int
	slots     int
}

var cubiertaVerde = fleet{
	name:   "Cubierta Verde",
	zones:  []string{"alajuela-a", "heredia-b", "cartago-c", "sanjose-d"},
	cross:  500 * time.Microsecond,
	urgent: serviceShape{1, "pedidos", 14, 2},
	bulk:   serviceShape{2, "medidas", 4, 2},
}

var cumann = fleet{
	name:   "Cumann Lucht Salainn na Mara",
	zones:  []string{"dun-chaoin", "ciarrai-thuaidh", "beara"},
	cross:  1500 * time.Microsecond,
	urgent: serviceShape{3, "harvest-ledger", 14, 3},
	bulk:   serviceShape{4, "sheet-intake", 4, 3},
}

const (
	// localDelay is the one-way delay within an availability zone, callerDelay that
	// between a caller and the fabric.
	localDelay      = 200 * time.Microsecond
	callerDelay     = 3 * time.Millisecond
	connectionLimit = 2_000
	queueLimit      = 256
	retryPercent    = 10
	// urgentServiceTime and bulkServiceTime are the mean service times; half of
	// each is constant, the rest exponentially distributed.
	urgentServiceTime = 100 * time.Millisecond
	bulkServiceTime   = 400 * time.Millisecond
	// bulkDatagrams is the number of datagrams of a bulk request (a drawing or sheet).
	bulkDatagrams  = 60
	datagramCost   = 10 * time.Microsecond
	maxHostWait    = 50 * time.Millisecond
	detectionTime  = time.Second
	reportInterval = 500 * time.Millisecond
	reportLag      = 500 * time.Millisecond
)

func (s serviceShape) spec(zones []string, priority config.Priority) *sim.ServiceSpec {
	c := &config.Service{
		ID:           s.id,
		Name:         s.name,
		Priority:     priority,
		QueueLimit:   queueLimit,
		RetryPercent: retryPercent,
		SlowStart:    10 * time.Second,
	}
	for i := range s.upstreams {
		c.Upstreams = append(c.Upstreams, config.Upstream{
			ID:          ids.UpstreamID(int(s.id)*1_000 + i),
			Name:        fmt.Sprintf("%s-%d", s.name, i+1),
			Zone:        zones[i%len(zones)],
			Slots:       s.slots,
			Connections: connectionLimit,
		})
	}
	spec := &sim.ServiceSpec{
		Config:         c,
		MinTime:        urgentServiceTime / 2,
		MeanTime:       urgentServiceTime,
		AttemptTimeout: 2 * time.Second,
		RequestTimeout: 10 * time.Second,
		BodyDatagrams:  1,
		Flows:          5_000,
	}
	if priority == config.PriorityBulk {
		spec.MinTime, spec.MeanTime = bulkServiceTime/2, bulkServiceTime
		spec.AttemptTimeout, spec.RequestTimeout = 5*time.Second, 15*time.Second
		spec.BodyDatagrams = bulkDatagrams
		spec.Flows = 1_000
	}
	return spec
}

// hosts returns n hosts distributed evenly over zones.
func hosts(n int, zones []string) []sim.HostSpec {
	specs := make([]sim.HostSpec, n)
	for i := range specs {
		specs[i] = sim.HostSpec{Name: fmt.Sprintf("host-%d", i+1), Zone: zones[i%len(zones)]}
	}
	return specs
}

// setup returns the setup of a run of both services of the fleet under one client account.
func (f fleet) setup(seed uint64, hostCount int) sim.Setup {
	urgent := f.urgent.spec(f.zones, config.PriorityUrgent)
	bulk := f.bulk.spec(f.zones, config.PriorityBulk)
	account := &config.Account{ID: ids.AccountID(f.urgent.id), Name: f.name}
	account.Services = []config.Service{*urgent.Config, *bulk.Config}
	urgent.Account, bulk.Account = account, account
	s := f.base(seed, hosts(hostCount, f.zones))
	s.Services = []*sim.ServiceSpec{urgent, bulk}
	return s
}

// oneZone returns the setup of a run of the urgent service alone in one
// availability zone, without processing times at the hosts.
func (f fleet) oneZone(seed uint64, hostCount int) sim.Setup {
	zones := f.zones[:1]
	urgent := f.urgent.spec(zones, config.PriorityUrgent)
	urgent.Account = &config.Account{ID: 1, Name: f.name, Services: []config.Service{*urgent.Config}}
	s := f.base(seed, hosts(hostCount, zones))
	s.DatagramCost = 0
	s.Services = []*sim.ServiceSpec{urgent}
	return s
}

func (f fleet) base(seed uint64, specs []sim.HostSpec) sim.Setup {
	return sim.Setup{
		Seed:           seed,
		Hosts:          specs,
		Delays:         sim.Delays{Caller: callerDelay, Local: localDelay, Cross: f.cross},
		DatagramCost:   datagramCost,
		MaxHostWait:    maxHostWait,
		ReportInterval: reportInterval,
		ReportLag:      reportLag,
		Detection:      detectionTime,
		WarmUp:         20 * time.Second,
	}
}
