package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/settings"
	"mimosashore.example/mimosashore/internal/table"
)

const (
	// pollWorkers is the number of concurrent polls.
	pollWorkers = 8
	// pollQueueSize is the capacity of the queue of endpoints to be polled.
	pollQueueSize = 1024
	// maxPollsPerSecond bounds the poll rate of a host. A poll takes about 500
	// bytes on the network.
	maxPollsPerSecond = 3
	// maxLoadBodyBytes bounds the size of a load endpoint's response.
	maxLoadBodyBytes = 1 << 12
)

// loadResponse is the response of a load endpoint.
type loadResponse struct {
	Healthy     bool   `json:"healthy"`
	Leaving     bool   `json:"leaving"`
	Running     int    `json:"running"`
	Connections int    `json:"connections"`
	Incarnation uint64 `json:"incarnation"`
}

// pollTarget is the load endpoint of an upstream.
type pollTarget struct {
	service  ids.ServiceID
	upstream ids.UpstreamID
	address  netip.AddrPort
}

// poller polls the load endpoints of the upstreams on which this host places requests.
type poller struct {
	table    *atomic.Pointer[table.Table]
	coreView *coreView
	reports  chan<- loadReport
	stats    *stats
	load     settings.Load
	client   *http.Client
	targets  chan pollTarget
}

func newPoller(t *atomic.Pointer[table.Table], core *coreView, reports chan<- loadReport, s *stats, load settings.Load) *poller {
	return &poller{
		table:    t,
		coreView: core,
		reports:  reports,
		stats:    s,
		load:     load,
		client:   &http.Client{Timeout: load.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		targets:  make(chan pollTarget, pollQueueSize),
	}
}

// run polls at intervals until the context is canceled.
func (p *poller) run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	var workers sync.WaitGroup
	defer workers.Wait()
	for range pollWorkers {
		workers.Go(func() { p.worker(ctx) })
	}
	for {
		targets := pollTargets(p.table.Load(), p.coreView.load().placement.Spilling)
		p.enqueue(targets)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollInterval(p.load.Interval, len(targets))):
		}
	}
}

// enqueue queues endpoints for the workers. Those that exceed the capacity are
// counted and skipped until the next round.
func (p *poller) enqueue(targets []pollTarget) {
	for _, t := range targets {
		select {
		case p.targets <- t:
		default:
			p.stats.pollOverflow.Inc()
		}
	}
}

// pollInterval returns the time between two polls of the same endpoint. It grows with
// the number of endpoints, so that polls stay within the host's budget for control
// traffic.
func pollInterval(interval time.Duration, targets int) time.Duration {
	return max(interval, time.Duration(targets)*time.Second/maxPollsPerSecond)
}

// pollTargets returns the load endpoints that this host polls. For each service of
// which this host is a home, these are the endpoints of the upstreams in the
// home's zone and in the zones it adopted. If the service is spilling, requests may go
// to all of its zones, and the endpoints of all its upstreams are returned.
func pollTargets(t *table.Table, spilling []ids.ServiceID) []pollTarget {
	if t == nil {
		return nil
	}
	var targets []pollTarget
	for _, s := range t.HomedServices() {
		for _, home := range t.Homes(s) {
			if home.Host == t.Self {
				targets = append(targets, targetsInZones(s.Service, zonesToPoll(s, home, spilling))...)
			}
		}
	}
	return targets
}

// zonesToPoll returns the availability zones whose upstreams of a service are polled
// by its home.
func zonesToPoll(s *table.Service, home table.Home, spilling []ids.ServiceID) []string {
	if slices.Contains(spilling, s.ServiceID()) {
		return s.Zones()
	}
	return slices.Concat(home.Adopted, []string{home.Zone})
}

func targetsInZones(s *config.Service, zones []string) []pollTarget {
	var targets []pollTarget
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if slices.Contains(zones, u.Zone) {
			targets = append(targets, pollTarget{service: s.ID, upstream: u.ID, address: u.Health})
		}
	}
	return targets
}

func (p *poller) worker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-p.targets:
			p.poll(ctx, t)
		}
	}
}

// poll polls one endpoint. Without a valid response, the upstream is reported as
// unhealthy.
func (p *poller) poll(ctx context.Context, t pollTarget) {
	body, err := p.fetchLoad(ctx, t.address)
	if err != nil {
		p.stats.pollFailed.Inc()
	}
	report := loadReport{service: t.service, report: placement.Report{
		Upstream:    t.upstream,
		Healthy:     body.Healthy,
		Leaving:     body.Leaving,
		Running:     body.Running,
		Connections: body.Connections,
		Incarnation: body.Incarnation,
	}}
	select {
	case p.reports <- report:
	case <-ctx.Done():
	}
}

func (p *poller) fetchLoad(ctx context.Context, address netip.AddrPort) (loadResponse, error) {
	var body loadResponse
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/load", nil)
	if err != nil {
		return body, eris.Wrap(err, "create load request")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return body, eris.Wrap(err, "request load")
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBodyBytes)).Decode(&body); err != nil {
		return loadResponse{}, eris.Wrapf(err, "decode load report from %s", address)
	}
	return body, nil
}
