package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// routeEntry and configuration are what the operator writes under op/config.
type routeEntry struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
}

type serviceEntry struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxFlows   int    `json:"maxFlows"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

type configuration struct {
	Version  int            `json:"version"`
	Routes   []routeEntry   `json:"routes"`
	Services []serviceEntry `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// options are what the deployment of a case looks like.
type options struct {
	hosts     int
	contracts []string
	// bounds replaces those of the deployment file.
	bounds map[string]any
	// proxied is set if the hosts reach the store through a proxy.
	proxied bool
}

// world is a deployment of one zone on loopback addresses.
type world struct {
	options
	rec      *record
	base     [2]byte
	store    *store
	proxy    *proxy
	hosts    []*host
	router   *router
	backends []*backend
	config   configuration
	clients  int
	attempts atomic.Int64
	stopping sync.Once
}

var smallBounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "stableMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
	"configApplyMs": 3000, "rollbackSlackMs": 250, "outerMs": 12000, "recoverS": 12, "flowMs": 2000, "maxFlowS": 60,
}

var smallContracts = []string{"base", "drain", "config", "cost", "recover", "flows", "platform"}

// addr returns a loopback address of the case.
func (w *world) addr(group, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.base[0], w.base[1] + group, n})
}

const (
	groupHosts    = 0
	groupPlatform = 1
	groupBackends = 2
	groupClients  = 3
	groupRoutes   = 4
)

const zoneName = "alajuela-a"

// newWorld returns the deployment of a case; its hosts are not started yet.
func newWorld(r *caseRun, o options) (*world, error) {
	rec := r.rec
	w := &world{options: o, rec: rec, base: [2]byte{byte(10 + rand.IntN(200)), byte(rand.IntN(200))}}
	port := uint16(20000 + rand.IntN(9000))
	rec.clientPort = port
	r.world = w
	storeAddr := netip.AddrPortFrom(w.addr(groupPlatform, 7), port+9)
	seen := storeAddr
	var err error
	if w.store, err = newStore(storeAddr); err != nil {
		return nil, err
	}
	if o.proxied {
		seen = netip.AddrPortFrom(w.addr(groupPlatform, 8), port+9)
		if w.proxy, err = newProxy(seen, storeAddr); err != nil {
			return nil, err
		}
	}
	w.config = configuration{Limits: map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
	var seeds []string
	for i := range min(o.hosts, 3) {
		seeds = append(seeds, netip.AddrPortFrom(w.addr(groupHosts, byte(10+i)), port+2).String())
	}
	for i := range o.hosts {
		ip := w.addr(groupHosts, byte(10+i))
		h := &host{
			name: fmt.Sprintf("front-%s-%d", zoneName, i+1), zone: zoneName, dir: r.dir, command: r.command, rec: rec,
			data: netip.AddrPortFrom(ip, port), ready: netip.AddrPortFrom(ip, port+1), control: netip.AddrPortFrom(ip, port+2),
		}
		h.settings = map[string]any{
			"node": h.name, "role": "host", "machineClass": "front", "serves": []string{"front", "control"}, "ip": ip.String(), "zone": zoneName,
			"region": "valle-central", "zones": map[string]string{zoneName: "valle-central"},
			"listen":        map[string]string{"datagramAddr": h.data.String(), "ready": h.ready.String(), "control": h.control.String()},
			"internalPorts": []int{int(port) + 20, int(port) + 35}, "seeds": seeds, "bootstrap": true, "faultCounted": false,
			"limits":  map[string]any{"cpuShare": 0.176, "cores": 1, "memoryMb": 544, "maxFds": 8200, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "advertise", "heartbeatMs": 1200, "contracts": o.contracts,
			"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0}, "bounds": o.bounds, "hash": "mod", "proxyMode": "echo",
			"platform": map[string]any{"addr": seen.String(), "proxyMode": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		}
		w.hosts = append(w.hosts, h)
	}
	w.router = newRouter(w.hosts, rec)
	return w, nil
}

// stop ends all that the case started.
func (w *world) stop() {
	w.stopping.Do(w.stopAll)
}

func (w *world) stopAll() {
	for _, h := range w.hosts {
		h.stop()
	}
	if w.router != nil {
		close(w.router.stopping)
	}
	for _, b := range w.backends {
		b.end()
	}
	if w.store != nil {
		w.store.server.Close()
	}
	if w.proxy != nil {
		w.proxy.listener.Close()
	}
}

// startHosts starts the hosts and waits until all are in rotation.
func (w *world) startHosts() error {
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	return w.router.awaitRotation(ctx, len(w.hosts))
}

func (w *world) addBackend(service string, slots int, work time.Duration) (*backend, error) {
	n := len(w.backends)
	addr := netip.AddrPortFrom(w.addr(groupBackends, byte(10+n)), 8080)
	b, err := newBackend(0x7f3a9100+uint64(n)+rand.Uint64N(1<<20)<<12, service, zoneName, addr, slots, work, w.store, w.rec)
	if err != nil {
		return nil, err
	}
	w.backends = append(w.backends, b)
	return b, nil
}

// addRoute adds a route to the configuration that is written next.
func (w *world) addRoute(name, kind, service string, objectiveMs, timeoutMs float64, priority int) netip.AddrPort {
	a := netip.AddrPortFrom(w.addr(groupRoutes, 1), uint16(7001+len(w.config.Routes)))
	w.config.Routes = append(w.config.Routes, routeEntry{
		Name: name, Host: a.Addr().String(), Prefix: fmt.Sprintf("/%d/", a.Port()), Kind: kind, TimeoutMs: timeoutMs, TargetLatencyMs: objectiveMs,
		Priority: priority, Service: service, MaxAttempts: 2,
	})
	for _, s := range w.config.Services {
		if s.Name == service {
			return a
		}
	}
	w.config.Services = append(w.config.Services, serviceEntry{Name: service, HealthPath: "/health", MaxFlows: 2000, Protocol: "h1"})
	return a
}

// dropRoute removes a route from the configuration that is written next.
func (w *world) dropRoute(name string) {
	var left []routeEntry
	for _, r := range w.config.Routes {
		if r.Name != name {
			left = append(left, r)
		}
	}
	w.config.Routes = left
}

// configure writes the next version and returns when the store confirmed it.
func (w *world) configure() time.Time {
	w.config.Version += 1 + rand.IntN(4)
	at := w.store.put("op/config", w.config)
	w.rec.line("operator: version %d with %d routes is confirmed", w.config.Version, len(w.config.Routes))
	return at
}

func (w *world) newClient() (*client, error) {
	w.clients++
	return newClient(w.addr(groupClients, byte(w.clients)), w.router, w.rec)
}

// attempt returns a new id of an attempt.
func (w *world) attempt(kind string) string { return fmt.Sprintf("%s-%d", kind, w.attempts.Add(1)) }

// grownBounds are those of the deployments whose settings have the contract health.
var grownBounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "stableMs": 5000, "ackMs": 8000, "catchUpS": 6, "drainMs": 5000, "graceS": 6, "lossSlackMs": 200,
	"configApplyMs": 5000, "rollbackSlackMs": 250, "outerMs": 15000, "recoverS": 15, "flowMs": 2000, "maxFlowS": 60,
}
