package main

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// lossyClient: the link of one client loses the answer to a request and its repeats for 0.56 s.
func lossyClient(w *world) error {
	const (
		playTime = 88 * time.Second
		gap      = time.Second
		// lossTime ends before the client repeats its request for the second time, after 600 ms.
		lossTime = 560 * time.Millisecond
	)
	w.bounds = bounds()
	w.configure(1, baseRoutes()...)
	if err := w.startBackends(16, 2); err != nil {
		return err
	}
	if err := w.startHosts(zoneA, 3); err != nil {
		return err
	}
	t := &tasks{until: w.start.Add(playTime)}
	growers, err := w.newClient("growers", w.ip(120))
	if err != nil {
		return err
	}
	for range 2 {
		t.each(200*time.Millisecond, growers.upload)
	}
	dealers, err := w.newClient("dealers", w.ip(121))
	if err != nil {
		return err
	}
	for range 10 {
		t.each(200*time.Millisecond, func() { dealers.order(dealers.nextPort()) })
	}
	feeders, err := w.startFeeders(t, 64, time.Second)
	if err != nil {
		return err
	}
	// A host is added, so that flows come through all hosts of the zone.
	time.Sleep(2 * time.Second)
	added, err := w.newHost(zoneA)
	if err != nil {
		return err
	}
	if err := added.start(); err != nil {
		return err
	}
	w.router.add(added)
	if err := w.waitReady(4); err != nil {
		return err
	}
	time.Sleep(stableTime)
	var lost atomic.Int64
	for i := 0; time.Now().Add(feedBudget).Before(t.until); i++ {
		if w.trouble {
			d := feeders[i%len(feeders)]
			t.group.Go(func() {
				d.c.setLost(lossFor(lossTime, &lost))
				d.ask(feedAddr)
				d.c.setLost(nil)
			})
		}
		time.Sleep(gap)
	}
	t.group.Wait()
	w.record("datagrams lost on links of clients: %d of %d that backends sent", lost.Load(), w.sent.Load())
	for _, text := range w.foreignResets(nil, w.start) {
		w.breaks("FLOW: %s", text)
	}
	return nil
}

// lossFor loses what a client gets from backends for a time from the first such packet on.
func lossFor(d time.Duration, lost *atomic.Int64) func(p *packet, from netip.AddrPort) bool {
	var until time.Time
	return func(p *packet, from netip.AddrPort) bool {
		if p.isHostReset() || p.flags&flagSYN != 0 {
			return false
		}
		if until.IsZero() {
			until = time.Now().Add(d - workOf[feedPath].time)
		}
		if time.Now().After(until) {
			return false
		}
		lost.Add(1)
		return true
	}
}
