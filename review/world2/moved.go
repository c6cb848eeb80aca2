package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// movedRoute moves a route from a service to another one while many users come at once, more than the backends of the first
// one hold flows. Each user opens a flow, sends a request and keeps the flow open for some time.
func movedRoute(r *caseRun) (v verdict, err error) {
	const (
		slack     = 250 * time.Millisecond // rollbackSlackMs
		work      = 4 * time.Millisecond
		flowsEach = 2000
		keeps     = 8500 * time.Millisecond
		usual     = 0.85 * 2 * flowsEach / 8.5 // new flows a second, which fill 0.85 of the backends
		burst     = 1.7
		burstTime = 3 * time.Second
		moveAfter = 2800 * time.Millisecond
		period    = 20 * time.Second
		moves     = 4
		budget    = 2500 * time.Millisecond
	)
	w, err := newWorld(r, options{hosts: 3, contracts: smallContracts, bounds: smallBounds})
	if err != nil {
		return v, err
	}
	services := []string{"pedidos", "pedidos-b"}
	for _, s := range services {
		for range 2 {
			b, err := w.addBackend(s, 2, work)
			if err != nil {
				return v, err
			}
			b.limitFlows(flowsEach, 15*time.Second)
		}
	}
	route := w.addRoute("feed-stream", "safe", services[0], 150, 2500, 2)
	w.config.Services = append(w.config.Services, serviceEntry{Name: services[1], HealthPath: "/health", MaxFlows: flowsEach, Protocol: "h1"})
	// versions holds when each version of the route was confirmed.
	type version struct {
		at      time.Time
		service string
	}
	versions := []version{{w.configure(), services[0]}}
	if err := w.startHosts(); err != nil {
		return v, err
	}
	time.Sleep(2 * time.Second)
	var clients []*client
	for range 12 {
		c, err := w.newClient()
		if err != nil {
			return v, err
		}
		clients = append(clients, c)
	}
	var mu sync.Mutex
	served, failed := 0, 0
	flows := make(map[string]*flow)
	user := func(c *client) {
		f := c.newFlow(route, nil)
		defer f.close()
		if f.opening() != nil {
			mu.Lock()
			failed++
			mu.Unlock()
			return
		}
		attempt := w.attempt("feed")
		_, err := f.request(attempt, budget)
		mu.Lock()
		if err == nil {
			served++
			flows[attempt] = f
		} else {
			failed++
		}
		mu.Unlock()
		if err == nil {
			_ = f.wait(keeps - 500*time.Millisecond + rand.N(time.Second))
		}
	}
	var tasks sync.WaitGroup
	started := time.Now()
	end := started.Add(moves*period + 2*time.Second)
	tasks.Go(func() {
		next := started
		for next.Before(end) {
			rate := usual
			if since := next.Sub(started) % period; r.trouble && since >= period-burstTime {
				rate *= burst
			}
			next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			time.Sleep(time.Until(next))
			c := clients[rand.IntN(len(clients))]
			tasks.Go(func() { user(c) })
		}
	})
	for i := range moves {
		time.Sleep(time.Until(started.Add(time.Duration(i+1)*period - burstTime + moveAfter)))
		for _, b := range w.backends {
			b.mu.Lock()
			r.rec.line("backend %s of %s holds %d flows, %d SYNs got no answer so far", b.key, b.entry.Service, b.held, b.turnedAway)
			b.mu.Unlock()
		}
		w.config.Routes[0].Service = services[(i+1)%2]
		versions = append(versions, version{w.configure(), services[(i+1)%2]})
	}
	tasks.Wait()

	r.rec.mu.Lock()
	defer r.rec.mu.Unlock()
	// inForce returns the number of the version that was confirmed last before the given time.
	inForce := func(t time.Time) int {
		n := 0
		for n+1 < len(versions) && versions[n+1].at.Before(t) {
			n++
		}
		return n
	}
	// effects holds when a backend first saw the effect of a version through a host.
	type effect struct {
		version int
		via     netip.Addr
	}
	effects := make(map[effect]time.Time)
	for k, o := range r.rec.taken {
		if k.route != route {
			continue
		}
		n := inForce(o.at)
		e := effect{n, o.via}
		if at, ok := effects[e]; o.service == versions[n].service && (!ok || o.at.Before(at)) {
			effects[e] = o.at
		}
	}
	for i := range r.rec.runs {
		x := &r.rec.runs[i]
		f := flows[x.attempt]
		if f == nil {
			continue
		}
		o := r.rec.taken[f.key]
		n := inForce(o.at)
		at, ok := effects[effect{n, o.via}]
		sent := f.synSent[o.copy]
		if !ok || x.service == versions[n].service || sent.Sub(at) <= slack {
			continue
		}
		v.breaches = append(v.breaches, fmt.Sprintf("CONFIG: %s on flow %s ran at %s of %s; the opening packet that it took (copy %d) was sent %d ms after a backend of %s had seen the effect of the version by the same host, %s, and %d ms after its confirmation",
			x.attempt, f.key.client, x.backend, x.service, o.copy, sent.Sub(at).Milliseconds(), versions[n].service, o.via, sent.Sub(versions[n].at).Milliseconds()))
	}
	turnedAway := 0
	for _, b := range w.backends {
		turnedAway += b.turnedAway
	}
	v.summary = fmt.Sprintf("%d requests served, %d not; %d SYNs got no answer from a full backend; %d versions after the first", served, failed, turnedAway, len(versions)-1)
	return v, nil
}
