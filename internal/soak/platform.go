package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// The third octets of the addresses in the network of a run.
const (
	hostsOctet     = 150
	upstreamsOctet = 160
	linksOctet     = 170
	callersOctet   = 180
)

const (
	// settleTime is the time without disruption after which the platform's time
	// bounds hold again.
	settleTime = 4 * time.Second
	// stopTimeout is the platform's limit for a planned stop.
	stopTimeout = 6 * time.Second
	// applyStrict and applyRelaxed are the times within which hosts apply a
	// configuration in deployments of the current size and in larger ones. With
	// applyRelaxed, hosts read the store on behalf of each other.
	applyStrict  = 3 * time.Second
	applyRelaxed = 5 * time.Second
	// maxContacts is the largest number of contacts in a host's settings.
	maxContacts = 3
	// slotsPerService is the number of upstreams of a service.
	slotsPerService = 4
	// proberCount is the number of callers that probe which version a host applies.
	proberCount = 8
	// silentWatchTime is the time that watches receive no events before the
	// store discards its history.
	silentWatchTime = time.Second
	// signalDelay is the shortest time from the start of a process to its first signal. Until the
	// program has installed its handlers, any signal ends the process; that took 20 ms on a busy
	// machine, and more than signalDelay in one run, so the first output is awaited too.
	signalDelay = 100 * time.Millisecond
	// readyTimeout limits the wait for a process to become ready.
	readyTimeout = 20 * time.Second
)

// platformEnv is the environment of a run on the platform path. The hosts are
// processes; store, upstreams, callers and operator run in this process.
type platformEnv struct {
	options       Options
	network       *network
	record        *record
	store         *dsrworld.Store
	operator      *operator
	hosts         []*host
	callers       []*dsrworld.Caller
	rotation      *rotation
	deploy        deployment
	faultsStarted time.Time
	overload      overload
	background    sync.WaitGroup
}

// runPlatform executes a run on the platform path.
func runPlatform(ctx context.Context, o Options, n *network, random *rand.Rand) (*Report, error) {
	faults, length := newSchedule(random, o.Length, platformFaults)
	if o.Restores {
		faults = addRestores(o.Seed, faults)
	}
	if o.LinkFaults {
		faults = addLinkFaults(o.Seed, faults)
	}
	if o.SilenceFaults {
		faults = addSilenceFaults(o.Seed, faults)
	}
	if o.Evacuations {
		faults = addEvacuations(o.Seed, faults)
		length = lengthWithEvacuations(length, faults)
	}
	if o.Overloads {
		faults = addOverloads(o.Seed, faults)
	}
	e := &platformEnv{options: o, network: n, record: newRecord(), store: dsrworld.NewStore(), faultsStarted: time.Now()}
	defer e.store.Close()
	if err := e.build(random); err != nil {
		return nil, err
	}
	defer e.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := time.Now()
	if err := e.startHosts(ctx); err != nil {
		return nil, err
	}
	e.rotation = newRotation(e.hosts, random.IntN(2) == 0)
	e.background.Go(func() { e.rotation.run(ctx) })
	if err := e.awaitRotation(ctx); err != nil {
		return nil, err
	}
	if o.Evacuations {
		sleep(ctx, time.Until(started.Add(warmWait)))
	}
	if err := e.startCallers(ctx); err != nil {
		return nil, err
	}
	e.faultsStarted = time.Now()
	injectFaults(ctx, faults, e.faultsStarted, o.Log, e.record, e.inject)
	sleep(ctx, time.Until(e.faultsStarted.Add(length)))
	cancel()
	e.background.Wait()
	e.stopHosts()
	return e.report(len(faults)), nil
}

// build creates the store's content, upstreams, links and hosts, without
// starting the hosts.
func (e *platformEnv) build(random *rand.Rand) error {
	e.deploy = deployment{network: e.network, store: e.store.Addr(), logDir: e.options.Dir, programs: e.options.Programs, applyWithin: applyStrict, zones: []string{"zone-a", "zone-b"}}
	if random.IntN(2) == 0 {
		e.deploy.applyWithin = applyRelaxed
	}
	e.operator = newOperator(e.network, e.store, e.record, e.deploy.zones)
	e.operator.quietHeartbeats = e.options.Restores
	if e.options.Evacuations {
		e.deploy.paced, e.operator.paced = true, true
		e.operator.coldPerS = coldRates[e.options.Seed%uint64(len(coldRates))]
		e.record.coldPerS = e.operator.coldPerS
	}
	e.operator.configure(false)
	for _, s := range services {
		for range slotsPerService {
			if err := e.operator.addSlot(s); err != nil {
				return err
			}
		}
	}
	var contacts []string
	var links []*tcpLink
	for n := range min(maxContacts, e.options.Hosts) {
		target := e.network.addr(hostsOctet, byte(n+1), hostControlPort).String()
		l, err := newTCPLink("127.0.0.1:0", target)
		if err != nil {
			return err
		}
		links = append(links, l)
		contacts = append(contacts, l.addr())
	}
	for n := range e.options.Hosts {
		h, err := e.deploy.newHost(n, contacts)
		if err != nil {
			return err
		}
		if n < len(links) {
			h.contact = links[n]
		}
		e.hosts = append(e.hosts, h)
	}
	return nil
}

// startHosts starts all host processes and the heartbeats of the upstreams.
func (e *platformEnv) startHosts(ctx context.Context) error {
	for _, h := range e.hosts {
		if err := e.startHost(h); err != nil {
			return err
		}
	}
	e.background.Go(func() { e.operator.sendHeartbeats(ctx) })
	return nil
}

// startHost starts the process of a host, records the start, and waits until it takes signals.
func (e *platformEnv) startHost(h *host) error {
	e.record.mu.Lock()
	e.record.hostRuns = append(e.record.hostRuns, hostRun{host: h.data, from: time.Now()})
	e.record.mu.Unlock()
	if err := h.start(); err != nil {
		return err
	}
	time.Sleep(signalDelay)
	h.awaitOutput(readyTimeout)
	return nil
}

// recordEnd records the end of the latest run of a host.
func (e *platformEnv) recordEnd(h *host) {
	e.record.mu.Lock()
	defer e.record.mu.Unlock()
	for i := len(e.record.hostRuns) - 1; i >= 0; i-- {
		if run := &e.record.hostRuns[i]; run.host == h.data {
			run.to = time.Now()
			return
		}
	}
}

// awaitRotation waits until all hosts are in rotation, at most readyTimeout.
func (e *platformEnv) awaitRotation(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for i := 0; i < len(e.hosts); {
		switch {
		case e.rotation.includes(i):
			i++
		case time.Now().After(deadline) || e.hosts[i].hasExited():
			return eris.Errorf("%s was not ready within %s: %s; %s; readiness check: %s", e.hosts[i].name, readyTimeout, e.hosts[i].lacks(ctx), e.hosts[i].describe(), e.rotation.lastPoll(i))
		default:
			sleep(ctx, readyPollInterval/10)
		}
	}
	return nil
}

// startCallers starts the callers that send requests, and the probers.
func (e *platformEnv) startCallers(ctx context.Context) error {
	kinds := []client{
		{service: ordersRoute},
		{service: feedRoute, idempotent: true, long: true},
		{service: sheetsRoute},
		{service: feedRoute, idempotent: true, long: true},
	}
	if e.options.LinkFaults {
		kinds = append(kinds, client{added: true, idempotent: true, long: true})
	}
	extra := 0
	if e.options.Overloads {
		extra = overloadCallers
	}
	for n := range e.options.Callers + proberCount + extra {
		caller, err := dsrworld.NewCaller(e.network.addr(callersOctet+byte(n/250), byte(n%250+1), 0).Addr(), hostDataPort)
		if err != nil {
			return err
		}
		e.callers = append(e.callers, caller)
		if n >= e.options.Callers+proberCount {
			e.overload.clients = append(e.overload.clients, &client{index: n, zone: e.deploy.zones[n%len(e.deploy.zones)], caller: caller, rotation: e.rotation, record: e.record, eager: true})
			continue
		}
		if n >= e.options.Callers {
			e.background.Go(func() { probe(ctx, caller, e.rotation, e.record) })
			continue
		}
		c := kinds[n%len(kinds)]
		c.index, c.zone, c.caller, c.rotation, c.record = n, e.deploy.zones[n%len(e.deploy.zones)], caller, e.rotation, e.record
		e.background.Go(func() { c.run(ctx) })
	}
	return nil
}

// stopHosts ends the run with a planned stop of all hosts at once.
func (e *platformEnv) stopHosts() {
	var all sync.WaitGroup
	for _, h := range e.hosts {
		all.Go(func() {
			if err := h.stop(stopTimeout); err != nil {
				e.record.fail(err.Error())
			}
		})
	}
	all.Wait()
}

// close stops everything that still runs.
func (e *platformEnv) close() {
	for _, h := range e.hosts {
		h.killAndClose()
		h.store.close()
		if h.contact != nil {
			h.contact.close()
		}
	}
	for _, c := range e.callers {
		c.Close()
	}
	for _, s := range e.operator.slots {
		s.link.close()
		if s.instance != nil {
			s.instance.Close()
		}
	}
}

// report checks the record and the processes.
func (e *platformEnv) report(faults int) *Report {
	e.record.collectObservations()
	for _, h := range e.hosts {
		if err := e.record.readDecisions(h.output); err != nil {
			e.record.fail(h.name + ": " + err.Error())
		}
	}
	r := e.record.verify(e.deploy.applyWithin)
	r.Faults = faults
	r.Checks["followed"] = e.record.followed
	for _, f := range e.record.flows {
		r.Checks["second SYN+ACK"] += min(1, f.trace.OtherSYNACKs)
	}
	r.Failures = append(r.Failures, e.record.failures...)
	for _, h := range e.hosts {
		r.checkProcess(h.process)
	}
	return r
}
