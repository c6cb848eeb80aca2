package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// The third bytes of the loopback addresses of a run.
const (
	netHosts     = 150
	netUpstreams = 160
	netLinks     = 170
	netCallers   = 180
)

const (
	// stable is the platform's time without disruption after which bounds of time hold again.
	stable = 4 * time.Second
	// stopWithin is the platform's time for a planned stop.
	stopWithin = 6 * time.Second
	// applyStrict and applyGrown are the bounds of a configuration on today's and on the grown deployments;
	// hosts read the store for each other with the latter.
	applyStrict = 3 * time.Second
	applyGrown  = 5 * time.Second
	// contactsMost is the number of contacts in the settings.
	contactsMost = 3
	// slotsPerService is the number of upstreams of a service; faults leave leastReady of them.
	slotsPerService = 4
	probers         = 8
	// muteTime is how long watches hear nothing before the history goes.
	muteTime = time.Second
	// signalsAfter is the time from a start to the first signal: before it, the
	// language's runtime has no handlers and any signal ends the process.
	signalsAfter = 100 * time.Millisecond
	readyWithin  = 20 * time.Second
)

// world is a run on the platform path.
type world struct {
	options  Options
	record   *record
	store    *dsrworld.Store
	operator *operator
	hosts    []*host
	callers  []*dsrworld.Caller
	rotation *rotation
	deploy   deployment
	began    time.Time
	running  sync.WaitGroup
}

// runPlatform plays a run on the platform path.
func runPlatform(ctx context.Context, o Options, random *rand.Rand) (*Report, error) {
	faults, length := newSchedule(random, o.Length, platformFaults)
	w := &world{options: o, record: newRecord(), store: dsrworld.NewStore(), began: time.Now()}
	defer w.store.Close()
	if err := w.build(random); err != nil {
		return nil, err
	}
	defer w.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := w.startAll(ctx); err != nil {
		return nil, err
	}
	w.rotation = newRotation(w.hosts, random.IntN(2) == 0)
	w.running.Go(func() { w.rotation.run(ctx) })
	if err := w.awaitRotation(ctx); err != nil {
		return nil, err
	}
	if err := w.startCallers(ctx); err != nil {
		return nil, err
	}
	w.began = time.Now()
	playFaults(ctx, faults, w.began, o.Log, w.record, w.inject)
	rest(ctx, time.Until(w.began.Add(length)))
	cancel()
	w.running.Wait()
	w.stopHosts()
	return w.report(len(faults)), nil
}

// build makes the parts of the deployment that the seed chooses.
func (w *world) build(random *rand.Rand) error {
	p, err := newPorts(netHosts)
	if err != nil {
		return err
	}
	w.deploy = deployment{ports: p, store: w.store.Addr(), dir: w.options.Dir, programs: w.options.Programs, applyWithin: applyStrict, zones: []string{"zone-a", "zone-b"}}
	if random.IntN(2) == 0 {
		w.deploy.applyWithin = applyGrown
	}
	w.operator = newOperator(w.store, w.record, w.deploy.zones)
	w.operator.configure(false)
	for _, s := range services {
		for range slotsPerService {
			if err := w.operator.addSlot(s, p.data); err != nil {
				return err
			}
		}
	}
	var contacts []string
	var links []*tcpLink
	for n := range min(contactsMost, w.options.Hosts) {
		target := loopback(netHosts, byte(n+1), p.control).String()
		l, err := newTCPLink("127.0.0.1:0", target)
		if err != nil {
			return err
		}
		links = append(links, l)
		contacts = append(contacts, l.addr())
	}
	for n := range w.options.Hosts {
		h, err := w.deploy.newHost(n, contacts)
		if err != nil {
			return err
		}
		if n < len(links) {
			h.contact = links[n]
		}
		w.hosts = append(w.hosts, h)
	}
	return nil
}

// startAll starts all hosts and the heartbeats of the upstreams.
func (w *world) startAll(ctx context.Context) error {
	for _, h := range w.hosts {
		if err := w.startHost(h); err != nil {
			return err
		}
	}
	w.running.Go(func() { w.operator.beat(ctx) })
	return nil
}

// startHost starts the process of a host, notes the start, and leaves it the
// time to take signals.
func (w *world) startHost(h *host) error {
	defer time.Sleep(signalsAfter)
	w.record.mu.Lock()
	w.record.boots = append(w.record.boots, boot{host: h.data, from: time.Now()})
	w.record.mu.Unlock()
	return h.start()
}

// noteEnd notes the end of the last start of a host.
func (w *world) noteEnd(h *host) {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	for i := len(w.record.boots) - 1; i >= 0; i-- {
		if b := &w.record.boots[i]; b.host == h.data {
			b.to = time.Now()
			return
		}
	}
}

// awaitRotation waits until all hosts are in rotation.
func (w *world) awaitRotation(ctx context.Context) error {
	deadline := time.Now().Add(readyWithin)
	for i := 0; i < len(w.hosts); {
		switch {
		case w.rotation.ready(i):
			i++
		case time.Now().After(deadline):
			return eris.Errorf("%s was not ready within %s", w.hosts[i].name, readyWithin)
		default:
			rest(ctx, askInterval/10)
		}
	}
	return nil
}

// startCallers starts those that ask and those that probe single hosts.
func (w *world) startCallers(ctx context.Context) error {
	kinds := []client{
		{service: ordersRoute},
		{service: feedRoute, idempotent: true, long: true},
		{service: sheetsRoute},
		{service: feedRoute, idempotent: true, long: true},
	}
	for n := range w.options.Callers + probers {
		caller, err := dsrworld.NewCaller(loopback(netCallers+byte(n/250), byte(n%250+1), 0).Addr(), w.deploy.ports.data)
		if err != nil {
			return err
		}
		w.callers = append(w.callers, caller)
		if n >= w.options.Callers {
			w.running.Go(func() { probe(ctx, caller, w.rotation, w.record) })
			continue
		}
		c := kinds[n%len(kinds)]
		c.n, c.zone, c.caller, c.rotation, c.record = n, w.deploy.zones[n%len(w.deploy.zones)], caller, w.rotation, w.record
		w.running.Go(func() { c.run(ctx) })
	}
	return nil
}

// stopHosts ends the run with a planned stop of all hosts.
func (w *world) stopHosts() {
	var all sync.WaitGroup
	for _, h := range w.hosts {
		all.Go(func() {
			if err := h.stop(stopWithin); err != nil {
				w.record.fail(err.Error())
			}
		})
	}
	all.Wait()
}

// close ends what is still running.
func (w *world) close() {
	for _, h := range w.hosts {
		h.end()
		h.store.close()
		if h.contact != nil {
			h.contact.close()
		}
	}
	for _, c := range w.callers {
		c.Close()
	}
	for _, s := range w.operator.slots {
		s.link.close()
		if s.life != nil {
			s.life.Close()
		}
	}
}

// report judges what was seen.
func (w *world) report(faults int) *Report {
	w.record.collect()
	r := w.record.judge(w.deploy.applyWithin)
	r.Faults = faults
	r.Failures = append(r.Failures, w.record.failures...)
	for _, h := range w.hosts {
		r.addProcess(h.process)
	}
	return r
}
