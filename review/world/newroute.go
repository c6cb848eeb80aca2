package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// newRoute: a host is partitioned from the store when the operator adds a route, and a host is added.
func newRoute(w *world) error {
	// cutTime is the shortest one of the site's entries for core_cut.
	const cutTime = 4 * time.Second
	w.bounds = bounds()
	added := route("cover-order-2", netip.MustParseAddrPort("127.198.18.3:8080"), "unsafe", pedidos, 1)
	addedAddr := netip.MustParseAddrPort("127.198.18.3:8080")
	w.configure(1, baseRoutes()...)
	if err := w.startBackends(8, 1); err != nil {
		return err
	}
	if err := w.startHosts(zoneA, 5); err != nil {
		return err
	}
	spare, err := w.newHost(zoneA)
	if err != nil {
		return err
	}
	t := &tasks{until: time.Now().Add(24 * time.Second)}
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
	time.Sleep(stableTime + 7*time.Second)
	cut := w.busiestReader()
	if cut == nil {
		return fmt.Errorf("no host reads the store for another one")
	}
	// A change of a time-out, a second before the route is added.
	changed := baseRoutes()
	changed[2]["timeoutMs"] = 8000
	w.configure(2, changed...)
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
	w.configure(3, append(changed, added)...)
	time.Sleep(50 * time.Millisecond)
	if err := spare.start(); err != nil {
		return err
	}
	// The platform's routers learn of the added host a little later than it starts.
	time.AfterFunc(400*time.Millisecond, func() { w.router.add(spare) })
	var group sync.WaitGroup
	for i := range 24 {
		c, err := w.newClient(fmt.Sprintf("orders-%d", i+1), w.ip(160+i))
		if err != nil {
			return err
		}
		group.Go(func() {
			var f *clientFlow
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				if f = c.feed(f, addedAddr); f != nil {
					f.request(orderPath, orderSize, orderBudget)
				}
			}
		})
	}
	group.Wait()
	t.group.Wait()
	// The host that was cut and the one that has just started are not in touch.
	for _, text := range w.foreignResets(func(h *host) bool { return h == cut || h == spare }) {
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
