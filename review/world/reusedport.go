package main

import (
	"fmt"
	"time"
)

// reusedPort: a backend drains; a client uses the port of an attempt that it gave up before again.
func reusedPort(w *world) error {
	const (
		ports = 301
		pause = 120 * time.Millisecond
		// Each giveUpEach-th attempt is given up before the flow is open; 301 is no multiple of it.
		giveUpEach = 3
		drainAt    = 37 * time.Second
		drainsFor  = 16 * time.Second
	)
	w.bounds = bounds()
	w.configure(1, baseRoutes()...)
	if err := w.startBackends(8, 1); err != nil {
		return err
	}
	if err := w.startHosts(zoneA, 2); err != nil {
		return err
	}
	t := &tasks{until: time.Now().Add(stableTime + drainAt + drainsFor)}
	if _, err := w.startFeeders(t, 8, time.Second); err != nil {
		return err
	}
	orders, err := w.newClient("orders", w.ip(120))
	if err != nil {
		return err
	}
	t.each(100*time.Millisecond, func() { orders.order(orders.nextPort()) })
	for i := range 5 {
		nat, err := w.newClient(fmt.Sprintf("few-ports-%d", i+1), w.ip(122+i))
		if err != nil {
			return err
		}
		n := 0
		t.each(pause, func() {
			port := uint16(2000 + n%ports)
			n++
			if n%giveUpEach == 0 {
				nat.giveUp(orderAddr, port)
				return
			}
			nat.order(port)
		})
	}
	time.Sleep(stableTime + drainAt)
	draining := w.backends[0]
	var confirmed time.Time
	if w.trouble {
		confirmed = draining.drain()
	}
	t.group.Wait()
	if w.trouble {
		draining.leave()
	}
	w.mu.Lock()
	runs := append([]run(nil), w.runs...)
	w.mu.Unlock()
	for _, r := range runs {
		f := w.sentBy[r.attempt]
		if !w.trouble || r.backend != draining || f == nil || !f.sentAt.After(confirmed.Add(drainWithin)) {
			continue
		}
		sender := r.via.String()
		if h := w.hostAt(r.via); h != nil {
			sender = h.name
		}
		w.breaks("DRAIN: %s of client %s ran on draining backend %s: opening packet sent %.3f s and arrived %.3f s after the store confirmed draining, through %s",
			r.attempt, f.c.name, r.backend.name, f.sentAt.Sub(confirmed).Seconds(), r.arrived.Sub(confirmed).Seconds(), sender)
	}
	return nil
}
