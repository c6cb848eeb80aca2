package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
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

// The services of a run. Configurations move the orders from one service to the other.
const (
	ordersService = "orders"
	movedService  = "orders-moved"
	feedService   = "feed"
	sheetsService = "sheets"
)

var services = []string{ordersService, movedService, feedService, sheetsService}

const (
	// probeVersions is the number of versions that hold the probe address of a version.
	probeVersions = 2
	// versionStep is the step between two versions.
	versionStep = 3
	heartbeat   = 1200 * time.Millisecond
	// lapseAfter is when the entry of an upstream goes that says nothing more.
	lapseAfter = 3 * heartbeat
	// lapseBack is the longest time after the store's return in which lapsed entries are back.
	lapseBack  = 1800 * time.Millisecond
	reuseAfter = 2 * time.Second
	// drainWithin is the bound of DRAIN; an upstream that leaves stays a little longer.
	drainWithin = 3 * time.Second
	drainExtra  = 3 * time.Second
	// workTime is the time that a request takes: that of the users' feeds.
	workTime = 30 * time.Millisecond
	// clockStep is how far a clock of an upstream is set back.
	clockStep = time.Hour
	// leastReady is the number of upstreams of a service that no fault takes.
	leastReady = 2
)

// probeRoute is an address that only the versions n to n + probeVersions - 1 route.
func probeRoute(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + n/250), byte(1 + n%250)}), 80)
}

// operator stands for the users' operator and their upstreams.
type operator struct {
	store  *dsrworld.Store
	record *record
	zones  []string

	mu     sync.Mutex
	nextID uint64
	slots  []*slot
	down   bool
	// moved tells to which service the orders go.
	moved bool
}

// slot is an address of upstreams with its link.
type slot struct {
	name string
	zone string
	link *udpLink
	n    int
	// life is the upstream that lives there; busy is set while a fault has it.
	life *upstreamLife
	busy bool
}

func newOperator(store *dsrworld.Store, r *record, zones []string) *operator {
	return &operator{store: store, record: r, zones: zones, nextID: 0x1000}
}

// addSlot adds an address with an upstream of the service.
func (o *operator) addSlot(service string, fabricPort uint16) error {
	n := len(o.slots)
	link, err := newUDPLink(loopback(netLinks, byte(n+1), fabricPort))
	if err != nil {
		return err
	}
	s := &slot{name: fmt.Sprintf("slot %d", n), zone: o.zones[n%len(o.zones)], link: link, n: n}
	o.slots = append(o.slots, s)
	o.nextID++
	return o.raise(s, service, o.nextID, time.Now())
}

// raise starts an upstream at a slot and registers it with the time that its
// clock shows. The lock is held, or nothing runs yet.
func (o *operator) raise(s *slot, service string, id uint64, born time.Time) error {
	u, err := dsrworld.NewUpstream(id, service, s.zone, loopback(netUpstreams, byte(s.n+1), 0))
	if err != nil {
		return err
	}
	u.SetServiceTime(workTime)
	s.link.setTarget(netip.MustParseAddrPort(u.Registration.Addr))
	u.Registration.Addr, u.Registration.Born = s.link.addr(), born.UnixMilli()
	s.life = &upstreamLife{Upstream: u, slot: s.name, service: service}
	o.record.mu.Lock()
	o.record.upstreams = append(o.record.upstreams, s.life)
	o.record.mu.Unlock()
	o.store.Put(u.Key(), u.Registration)
	return nil
}

// configure writes the next version.
func (o *operator) configure(move bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if move {
		o.moved = !o.moved
	}
	orders := ordersService
	if o.moved {
		orders = movedService
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
	o.store.Put(dsrworld.ConfigurationKey, dsrworld.Configuration(c.version, routes))
	o.record.mu.Lock()
	o.record.configurations[n].acknowledged = time.Now()
	o.record.mu.Unlock()
}

// beat renews the entries until the context ends.
func (o *operator) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		o.mu.Lock()
		for _, s := range o.slots {
			if s.life != nil && !o.down {
				s.life.Registration.Seq++
				o.store.Put(s.life.Key(), s.life.Registration)
			}
		}
		o.mu.Unlock()
	}
}

// take reserves an upstream of a service in use that can spare it; nil is none.
func (o *operator) take(pick int) *slot {
	o.mu.Lock()
	defer o.mu.Unlock()
	idle := movedService
	if o.moved {
		idle = ordersService
	}
	ready := make(map[string]int)
	for _, s := range o.slots {
		if s.life != nil && !s.busy {
			ready[s.life.service]++
		}
	}
	var fit []*slot
	for _, s := range o.slots {
		if s.life != nil && !s.busy && ready[s.life.service] > leastReady && s.life.service != idle {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	s := fit[pick%len(fit)]
	s.busy = true
	return s
}

func (o *operator) give(s *slot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s.busy = false
}

// drain reports that the upstream leaves, lets it go on for the bound and a
// little longer, and starts another one in its place.
func (o *operator) drain(ctx context.Context, s *slot) error {
	o.mu.Lock()
	old := s.life
	old.Drain()
	old.Registration.State = "draining"
	o.store.Put(old.Key(), old.Registration)
	o.setLeft(old)
	o.mu.Unlock()
	rest(ctx, drainWithin+drainExtra)
	o.end(s, old)
	o.store.Remove(old.Key())
	return o.replace(s, old.service)
}

func (o *operator) setLeft(l *upstreamLife) {
	o.record.mu.Lock()
	defer o.record.mu.Unlock()
	l.left = time.Now()
}

// end ends the upstream without a word.
func (o *operator) end(s *slot, l *upstreamLife) {
	o.mu.Lock()
	s.life = nil
	s.link.setTarget(netip.AddrPort{})
	o.mu.Unlock()
	l.Close()
	o.record.mu.Lock()
	defer o.record.mu.Unlock()
	l.ended = time.Now()
}

func (o *operator) replace(s *slot, service string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextID++
	return o.raise(s, service, o.nextID, time.Now())
}

// crash ends the upstream; its entry goes after three heartbeats, and an
// upstream of the service takes over the address after the time.
func (o *operator) crash(ctx context.Context, s *slot, lasts time.Duration, service string) error {
	old := s.life
	o.end(s, old)
	rest(ctx, max(lasts, reuseAfter))
	if err := o.replace(s, service); err != nil {
		return err
	}
	rest(ctx, lapseAfter-max(lasts, reuseAfter))
	o.store.Remove(old.Key())
	o.setLeft(old)
	return nil
}

// restart ends the upstream and starts it again under its identity, with its
// clock set back or not.
func (o *operator) restart(ctx context.Context, s *slot, lasts time.Duration, clockBack bool) error {
	old := s.life
	o.end(s, old)
	rest(ctx, min(lasts, lapseAfter))
	o.mu.Lock()
	defer o.mu.Unlock()
	born := time.Now()
	if clockBack {
		born = time.UnixMilli(old.Registration.Born).Add(-clockStep)
	}
	return o.raise(s, old.service, old.ID, born)
}

// fail takes the store down; entries that lapse meanwhile are back soon after its return.
func (o *operator) fail(ctx context.Context, lasts time.Duration, lapse bool) {
	o.mu.Lock()
	o.down = true
	o.store.SetDown(true)
	o.mu.Unlock()
	rest(ctx, lasts/2)
	var lapsed []*upstreamLife
	if lapse {
		o.mu.Lock()
		for _, s := range o.slots {
			if s.life != nil && s.life.Registration.State == "ready" {
				lapsed = append(lapsed, s.life)
				o.store.Remove(s.life.Key())
			}
		}
		o.mu.Unlock()
	}
	rest(ctx, lasts/2)
	o.store.SetDown(false)
	for i, l := range lapsed {
		rest(ctx, rand.N(lapseBack)/time.Duration(len(lapsed)-i))
		o.mu.Lock()
		if slices.ContainsFunc(o.slots, func(s *slot) bool { return s.life == l }) {
			o.store.Put(l.Key(), l.Registration)
		}
		o.mu.Unlock()
	}
	o.mu.Lock()
	o.down = false
	o.mu.Unlock()
}

// strange writes entries of other writers that name no upstream.
func (o *operator) strange(pick int) {
	values := []string{"", "{", `"text"`, `{"service":"orders"}`, `{"service":7,"addr":"x"}`, "\xff\xfe"}
	o.store.PutBytes(fmt.Sprintf("servers/i-%08x", 0xff00+pick%8), []byte(values[pick%len(values)]))
}

// rest waits for a time or the end of the context.
func rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
