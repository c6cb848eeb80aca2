package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
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
		e.operator.failStore(ctx, f.duration, f.kind == storeLapse)
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
	defer e.record.beginDisruption(s.name, f.kind == upstreamDrain)()
	switch f.kind {
	case upstreamCrash:
		return e.operator.crash(ctx, s, f.duration, s.instance.service)
	case upstreamReuse:
		return e.operator.crash(ctx, s, reuseAfter, services[f.pick%len(services)])
	case upstreamRestart:
		return e.operator.restart(ctx, s, f.duration, f.pick%2 == 0)
	case upstreamDrain:
		return e.operator.drain(ctx, s)
	case upstreamLink:
		s.link.setMode(f.mode)
		sleep(ctx, f.duration)
		s.link.setMode(linkOpen)
		return nil
	}
	return eris.Errorf("unknown fault %q", f.kind)
}
