package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// largeEntries: another writer puts entries of the largest size, which can't be read, under ids of its
// own. Then a backend drains and the operator drops a route.
func largeEntries(w *world) error {
	const (
		entries = 6
		// entrySize is valueBytes of the settings, history historyS.
		entrySize = 1 << 20
		history   = 20 * time.Second
		drainsFor = 16 * time.Second
		applyTime = 5 * time.Second
	)
	w.bounds = bounds()
	w.store.historyFor = history
	dropped := netip.MustParseAddrPort("127.198.18.3:8080")
	w.configure(1, append(baseRoutes(), route("cover-order-2", dropped, "unsafe", pedidos, 1))...)
	if err := w.startBackends(8, 1); err != nil {
		return err
	}
	if err := w.startHosts(zoneA, 4); err != nil {
		return err
	}
	t := &tasks{until: time.Now().Add(stableTime + 4*time.Second + drainsFor)}
	if _, err := w.startFeeders(t, 8, time.Second); err != nil {
		return err
	}
	for i, address := range []netip.AddrPort{orderAddr, orderAddr, dropped} {
		c, err := w.newClient(fmt.Sprintf("orders-%d", i+1), w.ip(120+i))
		if err != nil {
			return err
		}
		t.each(100*time.Millisecond, func() {
			if f, err := c.open(address, c.nextPort()); err == nil {
				f.request(orderPath, orderSize, orderBudget)
				f.close()
			}
		})
	}
	time.Sleep(stableTime + 2*time.Second)
	if w.trouble {
		w.store.write(unreadable(entries, entrySize)...)
		w.record("another writer puts %d entries of %d bytes, which can't be read, under ids of its own", entries, entrySize)
	}
	time.Sleep(2 * time.Second)
	draining := w.backends[0]
	drainConfirmed := draining.drain()
	configured := w.configure(2, baseRoutes()...)
	t.group.Wait()
	draining.leave()
	w.mu.Lock()
	runs := append([]run(nil), w.runs...)
	w.mu.Unlock()
	for _, r := range runs {
		f := w.sentBy[r.attempt]
		if f == nil {
			continue
		}
		sender := r.via.String()
		if h := w.hostAt(r.via); h != nil {
			sender = h.name
		}
		if r.key.service == dropped && f.sentAt.After(configured.Add(applyTime)) {
			w.breaks("CONFIG: %s, sent %.3f s after the store confirmed the version that drops its route, was run by %s, through %s",
				r.attempt, f.sentAt.Sub(configured).Seconds(), r.backend.name, sender)
		}
		if r.backend == draining && r.key.service == orderAddr && f.sentAt.After(drainConfirmed.Add(drainWithin)) {
			w.breaks("DRAIN: %s, opening packet sent %.3f s and arrived %.3f s after the store confirmed draining, was run by %s, through %s",
				r.attempt, f.sentAt.Sub(drainConfirmed).Seconds(), r.arrived.Sub(drainConfirmed).Seconds(), r.backend.name, sender)
		}
	}
	return nil
}

// unreadable returns a number of entries with random bytes.
func unreadable(count, size int) []item {
	var out []item
	for range count {
		value := make([]byte, size)
		for i := range value {
			value[i] = byte(rand.Uint32())
		}
		out = append(out, item{Key: fmt.Sprintf("servers/i-%08x", rand.Uint32()), Value: value})
	}
	return out
}
