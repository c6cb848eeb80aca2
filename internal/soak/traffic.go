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
	// maxAttempts is the number of attempts of a request, including the first.
	maxAttempts = 3
	// maxRequestPause bounds the random pause between two requests of a caller.
	maxRequestPause = 150 * time.Millisecond
	// requestsPerFlow is the number of requests after which a long flow is closed.
	requestsPerFlow = 40
	// retryPause is the pause after a failed attempt.
	retryPause = 20 * time.Millisecond
)

// client is a caller that sends requests one after the other.
type client struct {
	index      int
	zone       string
	service    netip.AddrPort
	idempotent bool
	// long keeps a flow open for requestsPerFlow requests; otherwise each request
	// has its own flow.
	long bool
	// added makes each flow use the route that was added last.
	added bool
	// eager leaves out the pauses between requests.
	eager    bool
	caller   *dsrworld.Caller
	rotation *rotation
	record   *record

	flow           *dsrworld.Flow
	requestsOnFlow int
	requestCount   int
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.sendRequest()
		if !c.eager {
			sleep(ctx, rand.N(maxRequestPause))
		}
	}
	if c.flow != nil {
		c.endFlow(false)
	}
}

// sendRequest sends one request and records its outcome. A failed attempt is
// retried on a new flow if the request can't have run or is idempotent.
func (c *client) sendRequest() {
	c.requestCount++
	if c.added && c.flow == nil {
		c.service = c.record.newestProbeRoute()
	}
	q := request{id: fmt.Sprintf("r-%d-%d", c.index, c.requestCount), service: c.service, idempotent: c.idempotent, added: c.added, began: time.Now()}
	for try := range maxAttempts {
		mayRetry, err := c.attempt(fmt.Sprintf("%s t%d", q.id, try))
		if err == nil {
			q.served, q.reason = true, ""
			break
		}
		q.reason += err.Error() + "; "
		if !mayRetry {
			break
		}
		time.Sleep(retryPause)
	}
	q.ended = time.Now()
	c.record.addRequest(q)
}

// attempt makes one attempt and reports whether a retry is allowed after an error.
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
	c.requestsOnFlow++
	if err != nil || !c.long || c.requestsOnFlow >= requestsPerFlow || c.flow.Trace().Ended {
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
	c.flow, c.requestsOnFlow = nil, 0
}

// newestVersion returns the index of the newest configuration.
func (r *record) newestVersion() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.configurations) - 1
}

// newestProbeRoute returns the probe address that the newest configuration added.
func (r *record) newestProbeRoute() netip.AddrPort { return probeRoute(r.newestVersion()) }

func (c *client) pick() netip.AddrPort {
	return c.rotation.pick(c.zone, c.caller.LastFlowAddr(), c.service)
}

// probe opens flows to the probe addresses of the newest versions through
// single ready hosts until the context ends, and records them.
func probe(ctx context.Context, caller *dsrworld.Caller, r *rotation, rec *record) {
	for ctx.Err() == nil {
		sleep(ctx, rand.N(maxRequestPause))
		n := max(0, rec.newestVersion()-rand.IntN(probeVersions+2))
		i := rand.IntN(len(r.hosts))
		if !r.includes(i) {
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
