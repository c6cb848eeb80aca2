package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// heldOpenings restarts the hosts of a zone in turn, as planned, while many users come at once, so that openings wait at
// the hosts for a free slot. Each request is an order on a flow of its own.
func heldOpenings(r *caseRun) (v verdict, err error) {
	const (
		length    = 80 * time.Second
		stable    = 5 * time.Second
		usual     = 420.0 // requests a second, of 615 that the slots can do
		burst     = 1.9
		burstTime = 3600 * time.Millisecond
		calmTime  = 3 * time.Second
		objective = 400
		budget    = 3 * time.Second
		work      = 52 * time.Millisecond
		retries   = 2
		// clear is how long a flow must have been open before the reset arrived: the reset was then sent later.
		clear = 2 * time.Millisecond
	)
	contracts := []string{"base", "drain", "config", "cost", "recover", "health", "flows", "platform"}
	w, err := newWorld(r, options{hosts: 8, contracts: contracts, bounds: grownBounds})
	if err != nil {
		return v, err
	}
	for range 16 {
		if _, err := w.addBackend("drill-desk", 2, work); err != nil {
			return v, err
		}
	}
	order := w.addRoute("sample-request", "unsafe", "drill-desk", objective, 3000, 1)
	w.configure()
	if err := w.startHosts(); err != nil {
		return v, err
	}
	time.Sleep(5 * time.Second)

	var tasks sync.WaitGroup
	var mu sync.Mutex
	served, failed, attempts, inTouch := 0, 0, 0, 0
	var broken []string
	var clients []*client
	for range 20 {
		c, err := w.newClient()
		if err != nil {
			return v, err
		}
		clients = append(clients, c)
	}
	send := func(c *client) {
		for range 1 + retries {
			attempt := w.attempt("order")
			f, err := one(c, order, nil, attempt, budget)
			mu.Lock()
			attempts++
			if err == nil {
				served++
				mu.Unlock()
				return
			}
			var reset *resetError
			if errors.As(err, &reset) && reset.opened {
				// The flow is open from the moment when its backend has the end of the handshake.
				if o, open := r.rec.openedAt(f.key); reset.bySystem && open && reset.at.Sub(o.at) >= clear {
					calm := w.router.inTouch(reset.from, f.key, stable)
					if calm {
						inTouch++
					}
					broken = append(broken, attempt)
					v.breaches = append(v.breaches, fmt.Sprintf("FLOW: %s on flow %s, open at %s for %d ms, got a %v; hosts in touch: %t",
						attempt, f.key.client, o.backend, reset.at.Sub(o.at).Milliseconds(), reset, calm))
				}
			}
			again := !f.open || errors.Is(err, errRefused)
			if !again {
				failed++
			}
			mu.Unlock()
			if !again {
				return
			}
		}
		mu.Lock()
		failed++
		mu.Unlock()
	}
	end := time.Now().Add(length)
	started := time.Now()
	tasks.Go(func() {
		for time.Now().Before(end) {
			rate := usual
			if time.Since(started)%(calmTime+burstTime) >= calmTime {
				rate *= burst
			}
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			c := clients[rand.IntN(len(clients))]
			tasks.Go(func() { send(c) })
		}
	})
	if r.trouble {
		for i := 0; time.Now().Before(end.Add(-4 * time.Second)); i++ {
			w.hosts[i%len(w.hosts)].signal(syscall.SIGTERM)
			time.Sleep(3 * time.Second)
		}
	}
	time.Sleep(time.Until(end))
	tasks.Wait()
	ran := 0
	for _, attempt := range broken {
		ran += len(r.rec.runsOf(func(x *run) bool { return x.attempt == attempt }))
	}
	v.summary = fmt.Sprintf("%d attempts, %d requests served, %d not; %d changes of the rotation; %d open flows were reset by a host, %d of them with all hosts in touch, and the requests on %d of them ran",
		attempts, served, failed, len(w.router.changes), len(broken), inTouch, ran)
	return v, nil
}
