package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// silentConnections drops a route while the hosts' open connections to the store have gone silent, and sends requests on
// that route once the hosts are in touch again.
func silentConnections(r *caseRun) (v verdict, err error) {
	const (
		stable = 4 * time.Second
		apply  = 3 * time.Second
		drain  = 3 * time.Second
	)
	w, err := newWorld(r, options{hosts: 2, contracts: smallContracts, bounds: smallBounds, proxied: true})
	if err != nil {
		return v, err
	}
	for range 4 {
		if _, err := w.addBackend("pedidos", 2, 30*time.Millisecond); err != nil {
			return v, err
		}
	}
	kept := w.addRoute("kept", "safe", "pedidos", 150, 2500, 2)
	first := w.addRoute("first", "unsafe", "pedidos", 200, 3000, 1)
	second := w.addRoute("second", "unsafe", "pedidos", 200, 3000, 1)
	w.configure()
	if err := w.startHosts(); err != nil {
		return v, err
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	defer tasks.Wait()
	stopTasks := sync.OnceFunc(func() { close(stop) })
	defer stopTasks()

	// Ordinary traffic on the route that stays.
	ordinary, err := w.newClient()
	if err != nil {
		return v, err
	}
	tasks.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			tasks.Go(func() { one(ordinary, kept, nil, fmt.Sprintf("kept-%d", i), 2500*time.Millisecond) })
		}
	})

	// A client has a flow open through each host when the first route is dropped.
	users, err := w.newClient()
	if err != nil {
		return v, err
	}
	for i, h := range w.hosts {
		tasks.Go(func() {
			f := users.newFlow(first, h)
			defer f.close()
			if err := f.opening(); err != nil {
				r.rec.line("client: first route: %v", err)
				return
			}
			for n := 0; ; n++ {
				attempt := fmt.Sprintf("first-%d-%d", i, n)
				if _, err := f.request(attempt, 3*time.Second); err != nil {
					r.rec.line("client: %s: %v", attempt, err)
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	w.dropRoute("first")
	w.configure()
	time.Sleep(6 * time.Second)

	// A backend starts and registers: the watches of the hosts return, and the next ones begin.
	if _, err := w.addBackend("pedidos", 2, 30*time.Millisecond); err != nil {
		return v, err
	}
	time.Sleep(100 * time.Millisecond)
	silentAt := time.Now()
	if r.trouble {
		r.rec.line("%d open connections to the store go silent", w.proxy.silence())
	} else {
		r.rec.line("no disruption")
	}
	time.Sleep(400 * time.Millisecond)
	w.dropRoute("second")
	confirmed := w.configure()
	leaving := w.backends[0]
	drained := leaving.drain()
	r.rec.line("backend %s reports draining", leaving.key)

	from := silentAt.Add(stable + 200*time.Millisecond)
	if at := confirmed.Add(apply + 200*time.Millisecond); at.After(from) {
		from = at
	}
	time.Sleep(time.Until(from))
	late, err := w.newClient()
	if err != nil {
		return v, err
	}
	sent := make(map[string]time.Time)
	var mu sync.Mutex
	var requests sync.WaitGroup
	for i := 0; time.Now().Before(silentAt.Add(9 * time.Second)); i++ {
		for j, h := range w.hosts {
			attempt := fmt.Sprintf("second-%d-%d", j, i)
			mu.Lock()
			sent[attempt] = time.Now()
			mu.Unlock()
			requests.Go(func() { one(late, second, h, attempt, 3*time.Second) })
		}
		time.Sleep(200 * time.Millisecond)
	}
	requests.Wait()
	stopTasks()
	var last time.Time
	for _, x := range r.rec.runsOf(func(x *run) bool { return x.route == second }) {
		at := sent[x.attempt]
		last = at
		v.breaches = append(v.breaches, fmt.Sprintf("CONFIG: request %s was sent %.2f s after the version without its route was confirmed, and %.2f s after the connections went silent; %s ran it",
			x.attempt, at.Sub(confirmed).Seconds(), at.Sub(silentAt).Seconds(), x.backend))
	}
	v.summary = fmt.Sprintf("%d requests sent on a dropped route from %.2f s after its confirmation on, %d of them run", len(sent), from.Sub(confirmed).Seconds(), len(v.breaches))
	tooLate := r.rec.runsOf(func(x *run) bool {
		return x.backend == leaving.key && x.taken.After(drained.Add(drain+200*time.Millisecond)) && x.taken.After(silentAt.Add(stable+200*time.Millisecond))
	})
	v.summary += fmt.Sprintf("; %d requests were opened at a draining backend later than allowed", len(tooLate))
	if !last.IsZero() {
		v.summary += fmt.Sprintf("; the last one on the dropped route was sent %.2f s after the confirmation", last.Sub(confirmed).Seconds())
	}
	return v, nil
}

// one sends a request on a flow of its own.
func one(c *client, route netip.AddrPort, h *host, attempt string, budget time.Duration) (*flow, error) {
	f := c.newFlow(route, h)
	defer f.close()
	if err := f.opening(); err != nil {
		c.rec.line("client: %s: not opened: %v", attempt, err)
		return f, err
	}
	_, err := f.request(attempt, budget)
	if err != nil {
		c.rec.line("client: %s: %v", attempt, err)
	}
	return f, err
}
