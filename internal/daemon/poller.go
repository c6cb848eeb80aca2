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
	// pollWorkers is the number of load endpoints that are asked at once.
	pollWorkers = 8
	// pollQueue is the number of endpoints that may wait to be asked.
	pollQueue = 1024
	// maxPollsPerSecond bounds the polls of a host; one takes about 500 bytes.
	maxPollsPerSecond = 3
	// maxLoadBody is the largest answer of a load endpoint that is read, in bytes.
	maxLoadBody = 1 << 12
)

// loadBody is the answer of a load endpoint.
type loadBody struct {
	Healthy     bool   `json:"healthy"`
	Leaving     bool   `json:"leaving"`
	Running     int    `json:"running"`
	Connections int    `json:"connections"`
	Incarnation uint64 `json:"incarnation"`
}

// target is one load endpoint.
type target struct {
	service  ids.ServiceID
	upstream ids.UpstreamID
	address  netip.AddrPort
}

// poller asks the load endpoints of the upstreams whose work this host places.
type poller struct {
	table   *atomic.Pointer[table.Table]
	core    *coreView
	reports chan<- loadReport
	stats   *stats
	load    settings.Load
	client  *http.Client
	targets chan target
}

func newPoller(t *atomic.Pointer[table.Table], core *coreView, reports chan<- loadReport, s *stats, load settings.Load) *poller {
	return &poller{
		table:   t,
		core:    core,
		reports: reports,
		stats:   s,
		load:    load,
		client:  &http.Client{Timeout: load.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		targets: make(chan target, pollQueue),
	}
}

// run asks at intervals until the context ends.
func (p *poller) run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	var workers sync.WaitGroup
	defer workers.Wait()
	for range pollWorkers {
		workers.Go(func() { p.work(ctx) })
	}
	for {
		targets := targetsOf(p.table.Load(), p.core.load().placement.Spilling)
		p.enqueue(targets)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(roundTime(p.load.Interval, len(targets))):
		}
	}
}

// enqueue hands out endpoints; those that don't fit wait for the next round.
func (p *poller) enqueue(targets []target) {
	for _, t := range targets {
		select {
		case p.targets <- t:
		default:
			p.stats.pollOverflow.Inc()
		}
	}
}

// roundTime is the time between two polls of the same endpoint. With many
// endpoints it grows, so that polls stay within the host's budget for control.
func roundTime(interval time.Duration, targets int) time.Duration {
	return max(interval, time.Duration(targets)*time.Second/maxPollsPerSecond)
}

// targetsOf returns the endpoints of the upstreams in the availability zones
// whose home this host is, and of those in other zones that the spilling
// services may use.
func targetsOf(t *table.Table, spilling []ids.ServiceID) []target {
	if t == nil {
		return nil
	}
	var targets []target
	for _, s := range t.HomedServices() {
		for _, home := range t.Homes(s) {
			if home.Host == t.Self {
				targets = append(targets, targetsIn(s.Service, zonesToPoll(s, home, spilling))...)
			}
		}
	}
	return targets
}

// zonesToPoll returns the zones of a service that its home polls.
func zonesToPoll(s *table.Service, home table.Home, spilling []ids.ServiceID) []string {
	if slices.Contains(spilling, s.ServiceID()) {
		return s.Zones()
	}
	return slices.Concat(home.Adopted, []string{home.Zone})
}

func targetsIn(s *config.Service, zones []string) []target {
	var targets []target
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if slices.Contains(zones, u.Zone) {
			targets = append(targets, target{service: s.ID, upstream: u.ID, address: u.Health})
		}
	}
	return targets
}

func (p *poller) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-p.targets:
			p.poll(ctx, t)
		}
	}
}

// poll asks one endpoint. One that doesn't answer is reported as not healthy.
func (p *poller) poll(ctx context.Context, t target) {
	body, err := p.ask(ctx, t.address)
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

func (p *poller) ask(ctx context.Context, address netip.AddrPort) (loadBody, error) {
	var body loadBody
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/load", nil)
	if err != nil {
		return body, eris.Wrap(err, "load endpoint can't be asked")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return body, eris.Wrap(err, "load endpoint doesn't answer")
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBody)).Decode(&body); err != nil {
		return loadBody{}, eris.Wrap(err, "load endpoint gave no report")
	}
	return body, nil
}
