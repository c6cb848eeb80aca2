package main

import (
	"time"
)

// foreignEntry: another writer puts an entry that names no backend under the id of a live one.
func foreignEntry(w *world) error {
	const (
		events = 8
		gap    = 6 * time.Second
	)
	w.bounds = bounds()
	w.configure(1, baseRoutes()...)
	if err := w.startBackends(8, 1); err != nil {
		return err
	}
	if err := w.startHosts(zoneA, 2); err != nil {
		return err
	}
	t := &tasks{until: time.Now().Add(stableTime + 3*time.Second + events*gap)}
	if _, err := w.startFeeders(t, 32, 500*time.Millisecond); err != nil {
		return err
	}
	orders, err := w.newClient("orders", w.ip(120))
	if err != nil {
		return err
	}
	t.each(100*time.Millisecond, func() { orders.order(orders.nextPort()) })
	time.Sleep(stableTime + 3*time.Second)
	for i := range events {
		b := w.backends[i%8]
		entry := map[string]any{
			"service": "other-service", "addr": w.ip(250).String() + ":9", "zone": zoneA, "version": "v1", "slots": slots, "state": "ready",
			"coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
		}
		kind := "a service that isn't named"
		if i%2 == 1 {
			entry["service"] = pedidos
			delete(entry, "version")
			kind = "a field missing"
		}
		if w.trouble {
			w.store.put("servers/"+b.name, entry)
			w.record("another writer puts an entry with %s under the id of %s", kind, b.name)
		}
		time.Sleep(gap)
	}
	t.group.Wait()
	for _, text := range w.foreignResets(nil, w.start) {
		w.breaks("FLOW: %s", text)
	}
	return nil
}
