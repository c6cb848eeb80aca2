package soak

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

const (
	// configBurstSize and configBurstGap are the number of configurations in a
	// burst and the time between them.
	configBurstSize = 5
	configBurstGap  = 200 * time.Millisecond
	// reloadWait is the time from a reload until the valid settings are restored.
	reloadWait = 200 * time.Millisecond
	// Every invalidSettingsEvery-th value of pick makes a reload with invalid settings.
	invalidSettingsEvery = 3
	// lateRestartTime is the time that an upstream is gone in a fault of the kind lateRestartWrite.
	lateRestartTime = 200 * time.Millisecond
	// maxImpairedCallers is the largest number of callers whose links are impaired at once.
	maxImpairedCallers = 3
	// minCallerCut is the shortest time that all datagrams of a caller are lost, maxCallerCut the longest.
	minCallerCut = 500 * time.Millisecond
	maxCallerCut = 1500 * time.Millisecond
	// maxCallerDelay is the longest delay of a caller's datagram.
	maxCallerDelay = 500 * time.Millisecond
	// minLossyPercent and maxLossyPercent bound the callers of a fault of the kind callersLossy, in
	// percent of all.
	minLossyPercent = 10
	maxLossyPercent = 50
	// minBurst and maxBurst bound the time for which these callers lose all answers together, after
	// which burstGap passes.
	minBurst = 300 * time.Millisecond
	maxBurst = time.Second
	burstGap = 400 * time.Millisecond
	// minSlowFactor and maxSlowFactor bound how much longer slow upstreams work on a request.
	minSlowFactor = 5
	maxSlowFactor = 20
)

// inject injects a fault and returns when it is over.
func (e *platformEnv) inject(ctx context.Context, f fault) error {
	h := e.hosts[f.pick%len(e.hosts)]
	switch f.kind {
	case hostKill:
		return e.killHost(ctx, h, f.duration)
	case hostPause:
		return e.pauseHost(ctx, h, f.duration)
	case hostStop:
		return e.restartHost(ctx, h)
	case hostReload:
		return e.reloadHost(ctx, h, f)
	case hostsKill:
		return forEachHost(e.hosts, func(h *host) error { return e.killHost(ctx, h, f.duration) }, false)
	case hostsRoll:
		return forEachHost(e.hosts, func(h *host) error { return e.restartHost(ctx, h) }, true)
	case storeDown, storeLapse:
		defer e.record.beginDisruption("store", false)()
		e.operator.failStore(ctx, f.duration, f.kind == storeLapse, e.store.SetDown)
	case storeRestore:
		defer e.record.beginDisruption("store", false)()
		e.operator.restoreStore(ctx, f.duration)
	case storeCompact:
		defer e.record.beginDisruption("store", false)()
		e.store.SuspendWatches()
		sleep(ctx, silentWatchTime)
		e.store.Compact()
	case storeLink:
		e.setStoreLinks(ctx, []*host{h}, f)
	case storeLinks:
		e.setStoreLinks(ctx, e.hosts, f)
	case contactLink:
		e.setContactLink(ctx, e.hosts[f.pick%min(maxContacts, len(e.hosts))], f)
	case configChange:
		e.operator.configure(f.pick%2 == 0)
	case configBurst:
		for range configBurstSize {
			e.operator.configure(false)
			sleep(ctx, configBurstGap)
		}
	case invalidEntry:
		e.operator.putInvalidEntry(f.pick)
	case readerLink:
		return e.disruptReader(ctx, f)
	case storeSilence:
		defer e.record.beginDisruption("store", false)()
		e.operator.failStore(ctx, f.duration, true, e.silenceStore)
	case writerEntry:
		e.operator.putWriterEntry(f.pick)
	case callerLink:
		return e.disruptCallers(ctx, f)
	case callersLossy:
		e.loseDatagrams(ctx, f)
	case upstreamSlow:
		e.operator.slowDown(ctx, f)
	case zoneEvacuation:
		e.operator.evacuate(ctx, f)
	case upstreamOverload:
		return e.overloadService(ctx, f)
	default:
		return e.injectUpstreamFault(ctx, f)
	}
	return nil
}

func (e *platformEnv) killHost(ctx context.Context, h *host, downtime time.Duration) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer e.record.beginDisruption(h.key(), false)()
	h.kill()
	e.recordEnd(h)
	sleep(ctx, downtime)
	return e.startHost(h)
}

func (e *platformEnv) pauseHost(ctx context.Context, h *host, duration time.Duration) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer e.record.beginDisruption(h.key(), false)()
	return h.pause(ctx, duration)
}

func (e *platformEnv) restartHost(_ context.Context, h *host) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer e.record.beginDisruption(h.key(), true)()
	err := h.stop(stopTimeout)
	e.recordEnd(h)
	if err != nil {
		e.record.fail(err.Error())
	}
	return e.startHost(h)
}

// reloadHost makes the host reload its settings, sometimes from a truncated file.
func (e *platformEnv) reloadHost(ctx context.Context, h *host, f fault) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	text := h.validSettings
	if f.pick%invalidSettingsEvery == 0 {
		text = text[:len(text)/2]
	}
	if err := h.writeSettings(text); err != nil {
		return err
	}
	if err := h.signal(syscall.SIGHUP, false); err != nil {
		return err
	}
	sleep(ctx, reloadWait)
	return h.writeSettings(h.validSettings)
}

// setStoreLinks sets the mode of the hosts' links to the store for the duration
// of the fault.
func (e *platformEnv) setStoreLinks(ctx context.Context, hosts []*host, f fault) {
	for _, h := range hosts {
		defer e.record.beginDisruption(h.key(), false)()
		h.store.setMode(f.mode)
	}
	sleep(ctx, f.duration)
	for _, h := range hosts {
		h.store.setMode(linkOpen)
	}
}

// silenceStore holds back the links of all hosts to the store, or opens them.
func (e *platformEnv) silenceStore(silent bool) {
	mode := linkOpen
	if silent {
		mode = linkCut
	}
	for _, h := range e.hosts {
		h.store.setMode(mode)
	}
}

// disruptReader disrupts the link to the store of a host that reads it for others, or of any
// host if none does. Meanwhile two configurations add routes and another host restarts.
func (e *platformEnv) disruptReader(ctx context.Context, f fault) error {
	reader := f.pick % len(e.hosts)
	for i := range e.hosts {
		if r := e.readerOf(e.hosts[(f.pick+i)%len(e.hosts)]); r >= 0 {
			reader = r
			e.record.countFollowed()
			break
		}
	}
	var link sync.WaitGroup
	link.Go(func() { e.setStoreLinks(ctx, []*host{e.hosts[reader]}, f) })
	defer link.Wait()
	sleep(ctx, f.duration/10)
	e.operator.configure(false)
	err := e.restartHost(ctx, e.hosts[(reader+1+f.pick%max(1, len(e.hosts)-1))%len(e.hosts)])
	sleep(ctx, f.duration/4)
	e.operator.configure(false)
	return err
}

// readerOf returns the index of the host that reads the store for a host, or -1.
func (e *platformEnv) readerOf(h *host) int {
	var state struct{ Reader string }
	if get(context.Background(), h.stateURL(), &state) != nil {
		return -1
	}
	return slices.IndexFunc(e.hosts, func(r *host) bool { return r.control.String() == state.Reader })
}

// disruptCallers impairs the links of a few callers; with every third value of pick a host
// restarts meanwhile, so that the rotation changes.
func (e *platformEnv) disruptCallers(ctx context.Context, f fault) error {
	loss := 0.05 + float64(f.pick%36)/100
	duration := f.duration
	var i dsrworld.Impairment
	switch f.pick / 36 % 6 {
	case 0:
		i.LossUp, i.LossDown = loss, loss
	case 1:
		i.LossUp = loss
	case 2:
		i.LossDown = loss
	case 3:
		i.LossUp, i.LossDown = 1, float64(f.pick%2)
		duration = max(minCallerCut, min(duration, maxCallerCut))
	default:
		i.MaxDelay = maxCallerDelay
	}
	for n := range 1 + f.pick%maxImpairedCallers {
		c := e.callers[(f.pick+n)%e.options.Callers]
		defer e.record.beginDisruption("caller "+c.Addr().String(), false)()
		c.Impair(i)
		defer c.Impair(dsrworld.Impairment{})
	}
	var err error
	var restart sync.WaitGroup
	if f.pick%3 == 0 {
		restart.Go(func() { err = e.restartHost(ctx, e.hosts[f.pick%len(e.hosts)]) })
	}
	sleep(ctx, duration)
	restart.Wait()
	return err
}

// loseDatagrams makes the links of many callers lose a share of all datagrams, or with every second
// value of pick all answers in bursts. It disrupts no host, upstream or store.
func (e *platformEnv) loseDatagrams(ctx context.Context, f fault) {
	percent := minLossyPercent + f.pick%(maxLossyPercent-minLossyPercent+1)
	count := max(2, e.options.Callers*percent/100)
	var lossy []*dsrworld.Caller
	for n := range count {
		c := e.callers[(f.pick+n)%e.options.Callers]
		defer e.record.beginDisruption("caller "+c.Addr().String(), false)()
		lossy = append(lossy, c)
	}
	impair := func(i dsrworld.Impairment) {
		for _, c := range lossy {
			c.Impair(i)
		}
	}
	defer impair(dsrworld.Impairment{})
	if f.pick/64%2 == 0 {
		loss := float64(minLossyPercent+f.pick/128%(maxLossyPercent-minLossyPercent+1)) / 100
		impair(dsrworld.Impairment{LossUp: loss, LossDown: loss})
		sleep(ctx, f.duration)
		return
	}
	burst := minBurst + time.Duration(f.pick/128%int((maxBurst-minBurst)/time.Millisecond))*time.Millisecond
	for end := time.Now().Add(f.duration); time.Now().Before(end) && ctx.Err() == nil; {
		impair(dsrworld.Impairment{LossDown: 1})
		sleep(ctx, burst)
		impair(dsrworld.Impairment{})
		sleep(ctx, burstGap)
	}
}

func (e *platformEnv) setContactLink(ctx context.Context, h *host, f fault) {
	defer e.record.beginDisruption(h.key(), false)()
	h.contact.setMode(f.mode)
	sleep(ctx, f.duration)
	h.contact.setMode(linkOpen)
}

func (e *platformEnv) injectUpstreamFault(ctx context.Context, f fault) error {
	s := e.operator.reserve(f.pick)
	if s == nil {
		return nil
	}
	defer e.operator.release(s)
	if f.kind != lateRestartWrite {
		defer e.record.beginDisruption(s.name, f.kind == upstreamDrain || f.kind == lateDrainWrite)()
	}
	switch f.kind {
	case upstreamCrash:
		return e.operator.crash(ctx, s, f.duration, s.instance.service)
	case upstreamReuse:
		return e.operator.crash(ctx, s, reuseAfter, services[f.pick%len(services)])
	case upstreamRestart:
		return e.operator.restart(ctx, s, f.duration, f.pick%2 == 0)
	case upstreamDrain:
		return e.operator.drain(ctx, s)
	case lateDrainWrite:
		return e.operator.writeLate(ctx, s, f.pick, func() error { return e.operator.drain(ctx, s) })
	case lateRestartWrite:
		return e.operator.writeLate(ctx, s, f.pick, func() error {
			defer e.record.beginDisruption(s.name, false)()
			return e.operator.restart(ctx, s, lateRestartTime, false)
		})
	case upstreamLink:
		defer e.record.beginDisruption("link of "+s.name, false)()
		err := s.link.setMode(f.mode)
		sleep(ctx, f.duration)
		return errors.Join(err, s.link.setMode(linkOpen))
	}
	return eris.Errorf("unknown fault %q", f.kind)
}
