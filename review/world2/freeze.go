package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// frozenHost freezes a host for some seconds while users open flows, and watches these flows once the host is in touch
// again. The users keep their flows open, with pauses between the requests.
func frozenHost(r *caseRun) (v verdict, err error) {
	const (
		stable    = 4 * time.Second
		frozenFor = 2 * time.Second
		perSecond = 60
		pause     = 6500 * time.Millisecond
		budget    = 2500 * time.Millisecond
	)
	w, err := newWorld(r, options{hosts: 5, contracts: smallContracts, bounds: smallBounds})
	if err != nil {
		return v, err
	}
	for range 14 {
		if _, err := w.addBackend("pedidos", 2, 30*time.Millisecond); err != nil {
			return v, err
		}
	}
	feed := w.addRoute("feed-stream", "safe", "pedidos", 150, 2500, 2)
	w.configure()
	if err := w.startHosts(); err != nil {
		return v, err
	}
	time.Sleep(3 * time.Second)
	var clients []*client
	for range 12 {
		c, err := w.newClient()
		if err != nil {
			return v, err
		}
		clients = append(clients, c)
	}
	var mu sync.Mutex
	var wokeAt time.Time
	served, failed, second := 0, 0, 0
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
			sent := time.Now()
			_, err := f.request(attempt, budget)
			mu.Lock()
			if err == nil {
				served++
			} else {
				failed++
			}
			woke := wokeAt
			mu.Unlock()
			if err != nil {
				r.rec.line("client: %s: %v", attempt, err)
				var reset *resetError
				o, open := r.rec.openedAt(f.key)
				inTouch := woke.IsZero() || sent.After(woke.Add(stable+200*time.Millisecond))
				if errors.As(err, &reset) && open && inTouch && (reset.bySystem || reset.from != f.backend) {
					mu.Lock()
					v.breaches = append(v.breaches, fmt.Sprintf("FLOW: %s on flow %s, open at %s (%s) for %.1f s, got a %v, %.1f s after the host woke",
						attempt, f.key.client, o.backend, f.backend, reset.at.Sub(o.at).Seconds(), reset, reset.at.Sub(woke).Seconds()))
					mu.Unlock()
				}
				return
			}
			if f.wait(pause+rand.N(time.Second)) != nil {
				return
			}
		}
	}
	var tasks sync.WaitGroup
	opened := make(chan struct{})
	tasks.Go(func() {
		for {
			select {
			case <-opened:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			c := clients[rand.IntN(len(clients))]
			tasks.Go(func() { user(c) })
		}
	})
	for i := range 3 {
		time.Sleep(2 * time.Second)
		if r.trouble {
			w.hosts[i].signal(syscall.SIGSTOP)
			time.Sleep(frozenFor)
			w.hosts[i].signal(syscall.SIGCONT)
			mu.Lock()
			wokeAt = time.Now()
			mu.Unlock()
		} else {
			time.Sleep(frozenFor)
		}
		time.Sleep(10 * time.Second)
	}
	close(opened)
	tasks.Wait()
	v.summary = fmt.Sprintf("%d requests served, %d not; %d second answers to an opening", served, failed, second)
	return v, nil
}
