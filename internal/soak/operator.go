package soak

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// The routes of a run.
var (
	ordersRoute = netip.MustParseAddrPort("198.18.0.1:8080")
	feedRoute   = netip.MustParseAddrPort("198.18.0.2:8081")
	sheetsRoute = netip.MustParseAddrPort("198.18.0.3:8443")
)

// The services of a run. Configuration changes move the orders route between
// ordersService and movedOrdersService.
const (
	ordersService      = "orders"
	movedOrdersService = "orders-moved"
	feedService        = "feed"
	sheetsService      = "sheets"
)

var services = []string{ordersService, movedOrdersService, feedService, sheetsService}

const (
	// probeVersions is the number of consecutive versions that route a probe address.
	// Each version adds one, so that a flow to it shows which version a host applies.
	probeVersions = 2
	// versionStep is the difference between consecutive version numbers.
	versionStep       = 3
	heartbeatInterval = 1200 * time.Millisecond
	// lapseAfter is the time after which the store's entry of an upstream
	// lapses without heartbeats.
	lapseAfter = 3 * heartbeatInterval
	// reregisterWithin is the longest time from the store's recovery until
	// lapsed entries are registered again.
	reregisterWithin = 1800 * time.Millisecond
	// reuseAfter is the shortest time after which another upstream takes over
	// the address of a crashed one.
	reuseAfter = 2 * time.Second
	// drainWithin is the bound of the rule DRAIN. A draining upstream runs for
	// drainMargin longer, so that late flows are observed.
	drainWithin = 3 * time.Second
	drainMargin = 3 * time.Second
	// requestTime is the processing time of a request, as in the users' feeds.
	requestTime = 30 * time.Millisecond
	// registeredSlots is the number of requests that upstreams take at once by their registration. Faults
	// may leave two upstreams to the twelve callers of a service; with two slots each, hosts refused flows
	// when requests took longer on a busy machine.
	registeredSlots = 4
	// limitedSlots is the number of requests that slow and overloaded upstreams work on at once.
	limitedSlots = 2
	// clockSetback is the amount by which the clock of an upstream is set back.
	clockSetback = time.Hour
	// minRunning is the number of upstreams of a service that faults leave running.
	minRunning = 2
	// minLateWrite and maxLateWrite bound the time until the store does a late write.
	minLateWrite = time.Second
	maxLateWrite = 6 * time.Second
)

// probeRoute returns the probe address of version n, which is routed only by
// the versions n to n + probeVersions - 1.
func probeRoute(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + n/250), byte(1 + n%250)}), 80)
}

// operator simulates the users' operator and runs their upstreams.
type operator struct {
	network *network
	store   *dsrworld.Store
	record  *record
	zones   []string

	mu     sync.Mutex
	nextID uint64
	slots  []*slot
	// storeUnavailable suspends heartbeats during a fault of the store.
	storeUnavailable bool
	// quietHeartbeats makes heartbeats write only what the store lacks, so that its revision
	// rises slowly and a restored store stays below the revision that hosts had reached.
	quietHeartbeats bool
	// lastConfiguration is the newest configuration as written.
	lastConfiguration map[string]any
	// paced declares the bound on new flows to cold upstreams, with the rate coldPerS, and makes
	// registrations say for how long upstreams stay cold.
	paced    bool
	coldPerS float64
	// evacuating is held during an evacuation. evacuated is its zone, also for as long as the zone's
	// upstreams are cold after it; inForce is the evacuation that the operator wrote last and has not removed.
	evacuating sync.Mutex
	evacuated  string
	inForce    *evacuation
	// ordersMoved is set while the orders are routed to movedOrdersService.
	ordersMoved bool
}

// slot is an address at which upstreams run one after the other, with its link.
type slot struct {
	name  string
	zone  string
	link  *upstreamProxy
	index int
	// instance is the upstream that runs at the slot, or nil; reserved is set
	// while a fault uses the slot.
	instance *upstreamInstance
	reserved bool
}

func newOperator(n *network, store *dsrworld.Store, r *record, zones []string) *operator {
	return &operator{network: n, store: store, record: r, zones: zones, nextID: 0x1000}
}

// addSlot adds a slot and starts an upstream of the service there.
func (o *operator) addSlot(service string) error {
	n := len(o.slots)
	link, err := newUpstreamProxy(o.network.addr(linksOctet, byte(n+1), hostDataPort))
	if err != nil {
		return err
	}
	s := &slot{name: fmt.Sprintf("slot %d", n), zone: o.zones[n%len(o.zones)], link: link, index: n}
	o.slots = append(o.slots, s)
	o.nextID++
	return o.startUpstream(s, service, o.nextID, time.Now())
}

// startUpstream starts an upstream at a slot and registers it with its start
// time by its own clock. The caller holds o.mu, or no other goroutine runs yet.
func (o *operator) startUpstream(s *slot, service string, id uint64, born time.Time) error {
	u, err := dsrworld.NewUpstream(id, service, s.zone, o.network.addr(upstreamsOctet, byte(s.index+1), 0))
	if err != nil {
		return err
	}
	u.SetServiceTime(requestTime)
	u.Registration.Slots = registeredSlots
	if err := s.link.setTarget(netip.MustParseAddrPort(u.Registration.Addr)); err != nil {
		u.Close()
		return err
	}
	u.Registration.Addr, u.Registration.Born = s.link.addr(), born.UnixMilli()
	s.instance = &upstreamInstance{Upstream: u, slot: s.name, service: service, started: time.Now()}
	if o.paced {
		u.Registration.ColdLeftMs = s.instance.coldLeft(s.instance.started)
	}
	o.record.mu.Lock()
	o.record.upstreams = append(o.record.upstreams, s.instance)
	o.record.mu.Unlock()
	o.store.Put(u.Key(), u.Registration)
	return nil
}

// configure writes the next version of the configuration. If move is set, it moves
// the orders route to the other of its two services.
func (o *operator) configure(move bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if move {
		o.ordersMoved = !o.ordersMoved
	}
	orders := ordersService
	if o.ordersMoved {
		orders = movedOrdersService
	}
	o.record.mu.Lock()
	n := len(o.record.configurations)
	o.record.mu.Unlock()
	c := configuration{version: 1 + versionStep*n, services: map[netip.AddrPort]string{
		ordersRoute: orders, feedRoute: feedService, sheetsRoute: sheetsService,
	}}
	routes := []any{
		dsrworld.Route("orders", ordersRoute, "unsafe", orders),
		dsrworld.Route("feed", feedRoute, "safe", feedService),
		dsrworld.Route("sheets", sheetsRoute, "upload", sheetsService),
	}
	for p := max(0, n-probeVersions+1); p <= n; p++ {
		c.services[probeRoute(p)] = feedService
		routes = append(routes, dsrworld.Route(fmt.Sprintf("probe-%d", p), probeRoute(p), "safe", feedService))
	}
	c.sent = time.Now()
	o.record.mu.Lock()
	o.record.configurations = append(o.record.configurations, c)
	o.record.mu.Unlock()
	var declared []any
	if o.paced {
		declared = declaredServices(o.coldPerS)
	}
	o.lastConfiguration = dsrworld.Configuration(c.version, routes, declared...)
	o.store.Put(dsrworld.ConfigurationKey, o.lastConfiguration)
	o.record.mu.Lock()
	o.record.configurations[n].acknowledged = time.Now()
	o.record.mu.Unlock()
}

// sendHeartbeats renews the upstreams' entries until the context ends.
func (o *operator) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		o.mu.Lock()
		for _, s := range o.slots {
			if s.instance != nil && !o.storeUnavailable {
				s.instance.Registration.Seq++
				if o.paced {
					s.instance.Registration.ColdLeftMs = s.instance.coldLeft(time.Now())
				}
				if !o.quietHeartbeats || !o.store.Holds(s.instance.Key(), s.instance.Registration) {
					o.store.Put(s.instance.Key(), s.instance.Registration)
				}
			}
		}
		o.mu.Unlock()
	}
}

// reserve reserves the slot of an upstream, chosen by pick, whose service is
// routed and has more than minRunning unreserved upstreams. It returns nil if
// there is none.
func (o *operator) reserve(pick int) *slot {
	o.mu.Lock()
	defer o.mu.Unlock()
	unrouted := movedOrdersService
	if o.ordersMoved {
		unrouted = ordersService
	}
	unreserved := make(map[string]int)
	for _, s := range o.slots {
		if s.instance != nil && !s.reserved {
			unreserved[s.instance.service]++
		}
	}
	var candidates []*slot
	for _, s := range o.slots {
		if s.instance != nil && !s.reserved && unreserved[s.instance.service] > minRunning && s.instance.service != unrouted && o.sparedByEvacuation(s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	s := candidates[pick%len(candidates)]
	s.reserved = true
	return s
}

// sparedByEvacuation reports whether the service of an upstream has another one outside the evacuated zone.
// The caller holds o.mu.
func (o *operator) sparedByEvacuation(s *slot) bool {
	return o.evacuated == "" || s.zone == o.evacuated || o.unreserved(s.instance.service, o.evacuated) > 1
}

// release ends the reservation of a slot, for which faults may choose it again, once its upstream is warm
// if new flows to cold ones are bounded.
func (o *operator) release(s *slot) {
	if o.paced {
		time.Sleep(coldStart)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.reserved = false
}

// drain registers the upstream as draining, keeps it running for drainWithin
// and drainMargin, and replaces it.
func (o *operator) drain(ctx context.Context, s *slot) error {
	o.mu.Lock()
	old := s.instance
	old.Drain()
	old.Registration.State = "draining"
	old.Registration.Seq++
	o.store.Put(old.Key(), old.Registration)
	o.markWithdrawn(old)
	o.mu.Unlock()
	sleep(ctx, drainWithin+drainMargin)
	if err := o.stopUpstream(s, old); err != nil {
		return err
	}
	o.store.Remove(old.Key())
	return o.replace(s, old.service)
}

func (o *operator) markWithdrawn(u *upstreamInstance) {
	o.record.mu.Lock()
	defer o.record.mu.Unlock()
	u.withdrawn = time.Now()
}

// stopUpstream stops the upstream abruptly and leaves its entry in the store.
func (o *operator) stopUpstream(s *slot, u *upstreamInstance) error {
	o.mu.Lock()
	s.instance = nil
	err := s.link.setTarget(netip.AddrPort{})
	o.mu.Unlock()
	u.Close()
	o.record.mu.Lock()
	defer o.record.mu.Unlock()
	u.ended = time.Now()
	return err
}

func (o *operator) replace(s *slot, service string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextID++
	return o.startUpstream(s, service, o.nextID, time.Now())
}

// crash stops the upstream. An upstream of the given service takes over the
// address after the duration, at least reuseAfter. The old entry is removed
// after lapseAfter.
func (o *operator) crash(ctx context.Context, s *slot, duration time.Duration, service string) error {
	old := s.instance
	if err := o.stopUpstream(s, old); err != nil {
		return err
	}
	sleep(ctx, max(duration, reuseAfter))
	if err := o.replace(s, service); err != nil {
		return err
	}
	sleep(ctx, lapseAfter-max(duration, reuseAfter))
	o.store.Remove(old.Key())
	o.markWithdrawn(old)
	return nil
}

// restart stops the upstream and starts it again after the duration, at most
// lapseAfter, with the same identity. If clockBack is set, its clock is set back.
func (o *operator) restart(ctx context.Context, s *slot, duration time.Duration, clockBack bool) error {
	old := s.instance
	if err := o.stopUpstream(s, old); err != nil {
		return err
	}
	sleep(ctx, min(duration, lapseAfter))
	o.mu.Lock()
	defer o.mu.Unlock()
	born := time.Now()
	if clockBack {
		born = time.UnixMilli(old.Registration.Born).Add(-clockSetback)
	}
	err := o.startUpstream(s, old.service, old.ID, born)
	if err == nil {
		s.instance.again = true
	}
	return err
}

// slowDown makes an upstream, or with every second value of pick all of its service, slow for the
// duration of the fault. Slow upstreams live, so they excuse no reset.
func (o *operator) slowDown(ctx context.Context, f fault) {
	o.mu.Lock()
	var slow []*upstreamInstance
	if chosen := o.slots[f.pick%len(o.slots)].instance; chosen != nil {
		for _, s := range o.slots {
			if s.instance == chosen || s.instance != nil && s.instance.service == chosen.service && f.pick/32%2 == 0 {
				slow = append(slow, s.instance)
			}
		}
	}
	o.mu.Unlock()
	factor := minSlowFactor + f.pick/64%(maxSlowFactor-minSlowFactor+1)
	for _, u := range slow {
		defer o.record.beginDisruption("work of "+u.slot, false)()
		u.SetServiceTime(time.Duration(factor) * requestTime)
		u.SetSlots(limitedSlots)
		defer func() {
			u.SetServiceTime(requestTime)
			u.SetSlots(0)
		}()
	}
	sleep(ctx, f.duration)
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
