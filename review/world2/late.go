package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// lateOpenings restarts the hosts of a zone in turn, as planned, while users come at once and open flows that they keep.
func lateOpenings(r *caseRun) (v verdict, err error) {
	const (
		length    = 92 * time.Second
		stable    = 5 * time.Second
		objective = 400
		budget    = 4 * time.Second
		work      = 52 * time.Millisecond
		usual     = 235.0 // new users a second, of which each sends two requests; the slots can do 615
		burst     = 1.7
		burstTime = 3 * time.Second
		calmTime  = 3 * time.Second
	)
	contracts := []string{"base", "drain", "config", "cost", "recover", "health", "flows", "platform"}
	w, err := newWorld(r, options{hosts: 8, contracts: contracts, bounds: grownBounds})
	if err != nil {
		return v, err
	}
	for range 16 {
		if _, err := w.addBackend("pedidos", 2, work); err != nil {
			return v, err
		}
	}
	feed := w.addRoute("feed-stream", "safe", "pedidos", objective, 4000, 2)
	w.configure()
	if err := w.startHosts(); err != nil {
		return v, err
	}
	time.Sleep(5 * time.Second)
	var clients []*client
	for range 20 {
		c, err := w.newClient()
		if err != nil {
			return v, err
		}
		clients = append(clients, c)
	}
	var mu sync.Mutex
	served, failed, second, inTouch := 0, 0, 0, 0
	user := func(c *client) {
		f := c.newFlow(feed, nil)
		defer f.close()
		defer func() {
			mu.Lock()
			second += f.others
			mu.Unlock()
		}()
		if err := f.opening(); err != nil {
			r.rec.line("client: %s: not opened: %v", f.key.client, err)
			return
		}
		for range 2 {
			attempt := w.attempt("feed")
			_, err := f.request(attempt, budget)
			if err == nil {
				mu.Lock()
				served++
				mu.Unlock()
				err = f.wait(3*time.Second + rand.N(2*time.Second))
			}
			if err == nil {
				continue
			}
			mu.Lock()
			failed++
			var reset *resetError
			if o, open := r.rec.openedAt(f.key); errors.As(err, &reset) && !reset.bySystem && open && o.at.Before(reset.at) && reset.from != f.backend {
				calm := w.router.inTouch(reset.from, f.key, stable)
				if calm {
					inTouch++
				}
				v.breaches = append(v.breaches, fmt.Sprintf("FLOW: %s on flow %s, open at %s (%s) for %.1f s, got a %v; hosts in touch: %t",
					attempt, f.key.client, o.backend, f.backend, reset.at.Sub(o.at).Seconds(), reset, calm))
			}
			mu.Unlock()
			r.rec.line("client: %s: %v", attempt, err)
			return
		}
	}
	var tasks sync.WaitGroup
	end := time.Now().Add(length)
	started := time.Now()
	// Users open a flow each and keep it for two requests, with a pause between them.
	tasks.Go(func() {
		for time.Now().Before(end.Add(-15 * time.Second)) {
			rate := usual
			if time.Since(started)%(calmTime+burstTime) >= calmTime {
				rate *= burst
			}
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			c := clients[rand.IntN(len(clients))]
			tasks.Go(func() { user(c) })
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
	v.summary = fmt.Sprintf("%d requests served, %d not; %d changes of the rotation; %d second answers to an opening; %d open flows were reset by another backend, %d of them with all hosts in touch",
		served, failed, len(w.router.changes), second, len(v.breaches), inTouch)
	return v, nil
}
