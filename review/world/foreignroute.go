package main

import "time"

// foreignRoute: another writer puts an entry without a version, which names another service, under the
// id of a live backend.
func foreignRoute(w *world) error {
	const (
		events = 6
		gap    = 5 * time.Second
	)
	w.bounds = bounds()
	w.configure(1, baseRoutes()...)
	if err := w.startBackends(8, 3); err != nil {
		return err
	}
	if err := w.startHosts(zoneA, 2); err != nil {
		return err
	}
	t := &tasks{until: time.Now().Add(stableTime + 3*time.Second + events*gap)}
	growers, err := w.newClient("growers", w.ip(120))
	if err != nil {
		return err
	}
	t.each(200*time.Millisecond, growers.upload)
	dealers, err := w.newClient("dealers", w.ip(121))
	if err != nil {
		return err
	}
	for range 6 {
		t.each(200*time.Millisecond, func() { dealers.order(dealers.nextPort()) })
	}
	time.Sleep(stableTime + 3*time.Second)
	for i := range events {
		b := w.backends[8+i%3]
		entry := b.entry("ready")
		entry["service"] = pedidos
		delete(entry, "version")
		if w.trouble {
			w.store.put("servers/"+b.name, entry)
			w.record("another writer puts an entry of %s without a version under the id of %s", pedidos, b.name)
		}
		time.Sleep(gap)
	}
	t.group.Wait()
	allowed := make(map[string]string)
	for _, r := range baseRoutes() {
		allowed[r["host"].(string)+r["prefix"].(string)] = r["service"].(string)
	}
	w.mu.Lock()
	runs := append([]run(nil), w.runs...)
	w.mu.Unlock()
	for _, r := range runs {
		service := allowed[routeKey(r.key.service)]
		if service == r.backend.service {
			continue
		}
		sender := r.via.String()
		if h := w.hostAt(r.via); h != nil {
			sender = h.name
		}
		w.breaks("ROUTE: at %.3f s %s to %s of %s was run by %s of %s, through %s",
			r.at.Sub(w.start).Seconds(), r.attempt, r.key.service, service, r.backend.name, r.backend.service, sender)
	}
	return nil
}
