package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

const (
	// tries is how often a caller asks: the first time and two more.
	tries = 3
	// pauseMost is the longest pause between two requests of a caller.
	pauseMost = 150 * time.Millisecond
	// flowRequests is the number of requests on a long flow.
	flowRequests = 40
	// settle is the pause after a failed try.
	settle = 20 * time.Millisecond
)

// client is a caller with its requests, one after the other.
type client struct {
	n          int
	zone       string
	service    netip.AddrPort
	idempotent bool
	// long lets the flow stay open for many requests.
	long     bool
	caller   *dsrworld.Caller
	rotation *rotation
	record   *record

	flow  *dsrworld.Flow
	asked int
	count int
}

// run asks until the context ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.ask()
		rest(ctx, rand.N(pauseMost))
	}
	if c.flow != nil {
		c.endFlow(false)
	}
}

// ask makes one request, with further tries on new flows where it cannot have run or may run again.
func (c *client) ask() {
	c.count++
	q := request{id: fmt.Sprintf("r-%d-%d", c.n, c.count), service: c.service, idempotent: c.idempotent, began: time.Now()}
	for try := range tries {
		again, err := c.attempt(fmt.Sprintf("%s t%d", q.id, try))
		if err == nil {
			q.served, q.why = true, ""
			break
		}
		q.why += err.Error() + "; "
		if !again {
			break
		}
		time.Sleep(settle)
	}
	q.ended = time.Now()
	c.record.addRequest(q)
}

// attempt makes one try and reports whether another one is allowed after an error.
func (c *client) attempt(text string) (bool, error) {
	if c.flow == nil {
		var err error
		c.flow, err = c.caller.Open(c.service, c.pick)
		if err != nil {
			c.endFlow(errors.Is(err, dsrworld.ErrWrongAnswer))
			return true, fmt.Errorf("open: %w", err)
		}
	}
	_, err := c.flow.Request(text)
	c.asked++
	if err != nil || !c.long || c.asked >= flowRequests || c.flow.Trace().Ended {
		c.endFlow(errors.Is(err, dsrworld.ErrWrongAnswer))
	}
	return c.idempotent, err
}

func (c *client) endFlow(mixed bool) {
	t := c.flow.Trace()
	if t.Opened && t.Reset == nil {
		c.flow.Close()
	}
	c.record.addFlow(flow{trace: t, service: c.service, ended: time.Now(), mixed: mixed})
	c.flow, c.asked = nil, 0
}

func (c *client) pick() netip.AddrPort {
	return c.rotation.pick(c.zone, c.caller.LastFlowAddr(), c.service)
}

// probe asks single hosts for the probe addresses of the newest versions until the context ends.
func probe(ctx context.Context, caller *dsrworld.Caller, r *rotation, rec *record) {
	for ctx.Err() == nil {
		rest(ctx, rand.N(pauseMost))
		rec.mu.Lock()
		newest := len(rec.configurations) - 1
		rec.mu.Unlock()
		n := max(0, newest-rand.IntN(probeVersions+2))
		i := rand.IntN(len(r.hosts))
		if !r.ready(i) {
			continue
		}
		to := r.hosts[i].data
		f, err := caller.Open(probeRoute(n), func() netip.AddrPort { return to })
		if err == nil {
			f.Close()
		}
		rec.addFlow(flow{trace: f.Trace(), probe: n + 1, service: probeRoute(n), ended: time.Now(), mixed: errors.Is(err, dsrworld.ErrWrongAnswer)})
	}
}
