package soak

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// The platform polls the readiness of hosts every readyPollInterval and takes
	// a host out of rotation after readyPollFailures consecutive failures.
	readyPollInterval = 500 * time.Millisecond
	readyPollFailures = 2
	// readyPollTimeout limits a poll.
	readyPollTimeout = 450 * time.Millisecond
)

// rotation simulates the platform's routers. It polls the readiness of hosts
// and chooses a host for each packet, preferably in the caller's zone.
type rotation struct {
	hosts []*host
	// perPacket chooses a random host for each packet; otherwise the host is
	// chosen by a hash of the flow and stays until the rotation changes.
	perPacket bool
	client    *http.Client

	mu          sync.Mutex
	inRotation  []bool
	failedPolls []int
	// pollResults holds the outcome of the last poll of each host.
	pollResults []string
}

func newRotation(hosts []*host, perPacket bool) *rotation {
	return &rotation{
		hosts: hosts, perPacket: perPacket, client: &http.Client{Timeout: readyPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		inRotation: make([]bool, len(hosts)), failedPolls: make([]int, len(hosts)),
		pollResults: make([]string, len(hosts)),
	}
}

// run polls all hosts until the context ends.
func (r *rotation) run(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		for i := range r.hosts {
			go r.poll(i)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *rotation) poll(i int) {
	response, err := r.client.Get("http://" + r.hosts[i].ready.String() + "/ready")
	ok, result := false, fmt.Sprint(err)
	if err == nil {
		ok, result = response.StatusCode == http.StatusOK, response.Status
		response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pollResults[i] = result
	if ok {
		r.inRotation[i], r.failedPolls[i] = true, 0
		return
	}
	if r.failedPolls[i]++; r.failedPolls[i] >= readyPollFailures {
		r.inRotation[i] = false
	}
}

// lastPoll returns the outcome of the last poll of a host.
func (r *rotation) lastPoll(i int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return cmp.Or(r.pollResults[i], "no answer yet")
}

// includes reports whether the host is in rotation.
func (r *rotation) includes(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inRotation[i]
}

// pick chooses the host for a packet from caller to service. The candidates are
// the zone's hosts in rotation if these are at least half of the zone's hosts. If
// none of them is in rotation, the candidates are the hosts of other zones that
// are. Otherwise, as with a panic threshold, the candidates are all of the zone's
// hosts.
func (r *rotation) pick(zone string, caller, service netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zoneHosts, zoneInRotation, otherInRotation []netip.AddrPort
	for i, h := range r.hosts {
		switch {
		case h.zone != zone && r.inRotation[i]:
			otherInRotation = append(otherInRotation, h.data)
		case h.zone == zone:
			zoneHosts = append(zoneHosts, h.data)
			if r.inRotation[i] {
				zoneInRotation = append(zoneInRotation, h.data)
			}
		}
	}
	candidates := zoneInRotation
	switch {
	case len(zoneInRotation) == 0 && len(otherInRotation) > 0:
		candidates = otherInRotation
	case 2*len(zoneInRotation) < len(zoneHosts):
		candidates = zoneHosts
	}
	if r.perPacket {
		return candidates[rand.IntN(len(candidates))]
	}
	sum := fnv.New32a()
	// Writes to a hash never fail.
	_, _ = sum.Write([]byte(caller.String() + service.String()))
	return candidates[int(sum.Sum32()%uint32(len(candidates)))]
}
