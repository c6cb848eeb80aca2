package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// newRoute: a host is partitioned from the store when the operator adds a route, and a host is added;
// twice.
func newRoute(w *world) error {
	const rounds = 2
	w.bounds = bounds()
	routes := baseRoutes()
	w.configure(1, routes...)
	if err := w.startBackends(8, 1); err != nil {
		return err
	}
	if err := w.startHosts(zoneA, 5); err != nil {
		return err
	}
	var spares []*host
	for range rounds {
		spare, err := w.newHost(zoneA)
		if err != nil {
			return err
		}
		spares = append(spares, spare)
	}
	t := &tasks{until: time.Now().Add(stableTime + 7*time.Second + rounds*roundTime)}
	growers, err := w.newClient("growers", w.ip(120))
	if err != nil {
		return err
	}
	for range 4 {
		t.each(200*time.Millisecond, growers.upload)
	}
	if _, err := w.startFeeders(t, 8, time.Second); err != nil {
		return err
	}
	var dealers []*client
	for i := range 24 {
		c, err := w.newClient(fmt.Sprintf("orders-%d", i+1), w.ip(160+i))
		if err != nil {
			return err
		}
		dealers = append(dealers, c)
	}
	time.Sleep(stableTime + 7*time.Second)
	for i, spare := range spares {
		end := time.Now().Add(roundTime)
		added := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 198, 18, byte(3 + i)}), 8080)
		// A change of a time-out, a second before the route is added.
		routes[2]["timeoutMs"] = 8000 + i
		w.configure(2+2*i, routes...)
		routes = append(routes, route(fmt.Sprintf("cover-order-%d", 2+i), added, "unsafe", pedidos, 1))
		if err := w.addRoute(3+2*i, routes, added, spare, dealers); err != nil {
			return err
		}
		time.Sleep(time.Until(end))
	}
	t.group.Wait()
	return nil
}

// roundTime is the time of one round of the case.
const roundTime = 14 * time.Second

// addRoute adds a route while the host that reads the store for most others is cut off from it, adds a
// host, and records resets of open flows of the route.
func (w *world) addRoute(version int, routes []map[string]any, added netip.AddrPort, spare *host, dealers []*client) error {
	// cutTime is the shortest one of the site's entries for core_cut.
	const cutTime = 4 * time.Second
	cut := w.busiestReader()
	if cut == nil {
		return fmt.Errorf("no host reads the store for another one")
	}
	began := time.Now()
	time.Sleep(900 * time.Millisecond)
	if w.trouble {
		cut.link.setCut(true)
		w.record("link between %s and the store is cut", cut.name)
		time.AfterFunc(cutTime, func() {
			cut.link.setCut(false)
			w.record("link between %s and the store is whole again", cut.name)
		})
	}
	time.Sleep(100 * time.Millisecond)
	w.configure(version, routes...)
	time.Sleep(50 * time.Millisecond)
	if err := spare.start(); err != nil {
		return err
	}
	// The platform's routers learn of the added host a little later than it starts.
	time.AfterFunc(400*time.Millisecond, func() { w.router.add(spare) })
	var group sync.WaitGroup
	for _, c := range dealers {
		group.Go(func() {
			var f *clientFlow
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				if f = c.feed(f, added); f != nil {
					f.request(orderPath, orderSize, orderBudget)
				}
			}
		})
	}
	group.Wait()
	// The host that was cut and the one that has just started are not in touch.
	for _, text := range w.foreignResets(func(h *host) bool { return h == cut || h == spare }, began) {
		w.breaks("FLOW: %s", text)
	}
	return nil
}

// busiestReader returns the host that reads the store for most others.
func (w *world) busiestReader() *host {
	counts := make(map[string]int)
	for _, h := range w.hosts {
		if r := h.reader(); r != "" {
			counts[r]++
			w.record("host %s lets %s read the store for it", h.name, r)
		}
	}
	var best *host
	for _, h := range w.hosts {
		if n := counts[h.control().String()]; n > 0 && (best == nil || n > counts[best.control().String()]) {
			best = h
		}
	}
	return best
}
