package soak

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// askInterval and askMisses are how the platform asks hosts whether they are ready.
	askInterval = 500 * time.Millisecond
	askMisses   = 2
	askTimeout  = 450 * time.Millisecond
)

// rotation stands for the platform's routers: it asks hosts whether they are
// ready, and names a host of the caller's zone for each packet.
type rotation struct {
	hosts []*host
	// spray names a random host for each packet of a flow; otherwise a flow
	// stays on its host until the rotation changes.
	spray  bool
	client *http.Client

	mu    sync.Mutex
	in    []bool
	fails []int
}

func newRotation(hosts []*host, spray bool) *rotation {
	return &rotation{
		hosts: hosts, spray: spray, client: &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		in: make([]bool, len(hosts)), fails: make([]int, len(hosts)),
	}
}

// run asks until the context ends.
func (r *rotation) run(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		for i := range r.hosts {
			go r.ask(i)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *rotation) ask(i int) {
	response, err := r.client.Get("http://" + r.hosts[i].ready.String() + "/ready")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.in[i], r.fails[i] = true, 0
		return
	}
	if r.fails[i]++; r.fails[i] >= askMisses {
		r.in[i] = false
	}
}

// ready reports whether the host is in rotation.
func (r *rotation) ready(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.in[i]
}

// pick names the host for a packet between two addresses.
func (r *rotation) pick(zone string, caller, service netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own, ownIn, otherIn []netip.AddrPort
	for i, h := range r.hosts {
		switch {
		case h.zone != zone && r.in[i]:
			otherIn = append(otherIn, h.data)
		case h.zone == zone:
			own = append(own, h.data)
			if r.in[i] {
				ownIn = append(ownIn, h.data)
			}
		}
	}
	from := ownIn
	switch {
	case len(ownIn) == 0 && len(otherIn) > 0:
		from = otherIn
	case 2*len(ownIn) < len(own):
		from = own
	}
	if r.spray {
		return from[rand.IntN(len(from))]
	}
	sum := fnv.New32a()
	// A hash takes all that is written to it.
	_, _ = sum.Write([]byte(caller.String() + service.String()))
	return from[int(sum.Sum32()%uint32(len(from)))]
}
