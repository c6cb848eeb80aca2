package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// bounds are those of the sheet of cverde-lb-grown.
func bounds() map[string]any {
	return map[string]any{"seedLagS": 3, "reuseAfterS": 2, "stableMs": 5000, "ackMs": 8000, "catchUpS": 6, "drainMs": 5000, "graceS": 6, "lossSlackMs": 200,
		"configApplyMs": 5000, "rollbackSlackMs": 250, "outerMs": 15000, "recoverS": 15, "flowMs": 2000, "maxFlowS": 60}
}

// Bounds that the cases use.
const (
	stableTime  = 5 * time.Second
	drainWithin = 5 * time.Second
)

// Zone, services and requests of the sheet.
const (
	zoneA      = "alajuela-a"
	pedidos    = "pedidos"
	medidas    = "medidas"
	feedPath   = "GET /feed"
	orderPath  = "POST /order"
	uploadPath = "POST /plot"
	orderSize  = 900
	uploadSize = 40000
	// The time budgets of the requests.
	feedBudget   = 4 * time.Second
	orderBudget  = 4 * time.Second
	uploadBudget = 10 * time.Second
)

// workOf holds the work of a request and the size of its answer.
var workOf = map[string]struct {
	time time.Duration
	size int
}{
	feedPath: {30 * time.Millisecond, 2000}, orderPath: {39 * time.Millisecond, 600}, uploadPath: {5 * time.Millisecond, 300},
}

// Addresses of the routes.
var (
	feedAddr   = netip.MustParseAddrPort("127.198.18.1:443")
	orderAddr  = netip.MustParseAddrPort("127.198.18.1:8080")
	uploadAddr = netip.MustParseAddrPort("127.198.18.2:8443")
)

// baseRoutes returns the routes of the sheet's requests.
func baseRoutes() []map[string]any {
	return []map[string]any{
		route("feed-stream", feedAddr, "safe", pedidos, 2), route("cover-order", orderAddr, "unsafe", pedidos, 1), route("plot-upload", uploadAddr, "upload", medidas, 2),
	}
}

// prefix returns the prefix of a route, its port.
func prefix(a netip.AddrPort) string { return "/" + strconv.Itoa(int(a.Port())) + "/" }

// routeKey returns the host and prefix of a route.
func routeKey(a netip.AddrPort) string { return a.Addr().String() + prefix(a) }

// route returns a route as the operator writes it.
func route(name string, a netip.AddrPort, kind, service string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": a.Addr().String(), "prefix": prefix(a), "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 500,
		"priority": priority, "service": service, "maxAttempts": 2,
	}
}

// configure writes a version of the configuration and returns when it was confirmed.
func (w *world) configure(version int, routes ...map[string]any) time.Time {
	seen := make(map[string]bool)
	services := []any{}
	for _, r := range routes {
		if s := r["service"].(string); !seen[s] {
			seen[s] = true
			services = append(services, map[string]any{"name": s, "healthPath": "/health", "maxFlows": 2000, "protocol": "h1", "tls": false})
		}
	}
	at := w.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.record("operator: version %d with %d routes is confirmed", version, len(routes))
	return at
}

// startBackends starts a number of backends of each service in the hosts' zone.
func (w *world) startBackends(ofPedidos, ofMedidas int) error {
	for i := range ofPedidos + ofMedidas {
		service := pedidos
		if i >= ofPedidos {
			service = medidas
		}
		if err := w.newBackend(service, zoneA, netip.AddrPortFrom(w.ip(80+i), w.port+300)); err != nil {
			return err
		}
	}
	return nil
}

// upload sends a photo on a flow of its own.
func (c *client) upload() {
	f, err := c.open(uploadAddr, c.nextPort())
	if err != nil {
		return
	}
	f.request(uploadPath, uploadSize, uploadBudget)
	f.close()
}

// order sends an order on a flow of its own from a port.
func (c *client) order(port uint16) {
	f, err := c.open(orderAddr, port)
	if err != nil {
		return
	}
	f.request(orderPath, orderSize, orderBudget)
	f.close()
}

// giveUp sends a SYN and gives the attempt up at once.
func (c *client) giveUp(service netip.AddrPort, port uint16) {
	c.mu.Lock()
	f := c.newFlow(service, port)
	f.sendSYN(0)
	c.mu.Unlock()
	f.abandon()
	c.w.record("client %s gives up an attempt from port %d at once", c.name, port)
}

// feed keeps a flow open and returns it, opening a new one if needed.
func (c *client) feed(f *clientFlow, route netip.AddrPort) *clientFlow {
	if f != nil && !f.ended() {
		return f
	}
	if f, err := c.open(route, c.nextPort()); err == nil {
		return f
	}
	return nil
}

// startHosts starts a number of hosts in one zone and waits until they are in rotation.
func (w *world) startHosts(zone string, count int) error {
	w.newRouter()
	for range count {
		h, err := w.newHost(zone)
		if err != nil {
			return err
		}
		w.router.add(h)
	}
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return w.waitReady(count)
}

// tasks runs functions until a time and waits for them.
type tasks struct {
	until time.Time
	group sync.WaitGroup
}

// each runs a function in a loop with a pause before each call.
func (t *tasks) each(pause time.Duration, f func()) {
	t.group.Go(func() {
		for {
			time.Sleep(pause)
			if time.Now().After(t.until) {
				return
			}
			f()
		}
	})
}

// feeder is a client with one long flow.
type feeder struct {
	c  *client
	mu sync.Mutex
	f  *clientFlow
}

// ask opens the flow if needed and sends a request on it.
func (d *feeder) ask(route netip.AddrPort) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.f = d.c.feed(d.f, route); d.f == nil {
		return errTimeout
	}
	_, _, err := d.f.request(feedPath, 0, feedBudget)
	return err
}

// startFeeders starts clients with a long flow each, which pause between requests.
func (w *world) startFeeders(t *tasks, count int, pause time.Duration) ([]*feeder, error) {
	var out []*feeder
	for i := range count {
		c, err := w.newClient(fmt.Sprintf("feed-%d", i+1), w.ip(130+i))
		if err != nil {
			return nil, err
		}
		d := &feeder{c: c}
		out = append(out, d)
		t.each(pause, func() {
			time.Sleep(rand.N(pause / 4))
			d.ask(feedAddr)
		})
	}
	return out, nil
}
