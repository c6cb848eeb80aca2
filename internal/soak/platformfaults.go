package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// burstSize and burstGap are those of configurations in quick succession.
	burstSize = 5
	burstGap  = 200 * time.Millisecond
	// reloadTime is how long changed settings stay before the good ones are written back.
	reloadTime = 200 * time.Millisecond
	// brokenReloads is the part of changes of settings that can't be read: one in so many.
	brokenReloads = 3
)

// inject plays a fault until its time is over.
func (w *world) inject(ctx context.Context, f fault) error {
	h := w.hosts[f.pick%len(w.hosts)]
	switch f.kind {
	case hostKill:
		return w.killHost(ctx, h, f.lasts)
	case hostPause:
		return w.pauseHost(ctx, h, f.lasts)
	case hostStop:
		return w.rollHost(ctx, h)
	case hostReload:
		return w.reloadHost(ctx, h, f)
	case hostsKill:
		return each(w.hosts, func(h *host) error { return w.killHost(ctx, h, f.lasts) }, false)
	case hostsRoll:
		return each(w.hosts, func(h *host) error { return w.rollHost(ctx, h) }, true)
	case storeDown, storeLapse:
		defer w.record.disrupt("store", false)()
		w.operator.fail(ctx, f.lasts, f.kind == storeLapse)
	case storeForget:
		defer w.record.disrupt("store", false)()
		w.store.SuspendWatches()
		rest(ctx, muteTime)
		w.store.Compact()
	case storeLink:
		w.setLinks(ctx, []*host{h}, f)
	case storeLinks:
		w.setLinks(ctx, w.hosts, f)
	case contactLink:
		w.setContact(ctx, w.hosts[f.pick%min(contactsMost, len(w.hosts))], f)
	case changeConfig:
		w.operator.configure(f.pick%2 == 0)
	case changeBurst:
		for range burstSize {
			w.operator.configure(false)
			rest(ctx, burstGap)
		}
	case strangeEntry:
		w.operator.strange(f.pick)
	default:
		return w.strikeUpstream(ctx, f)
	}
	return nil
}

func (w *world) killHost(ctx context.Context, h *host, down time.Duration) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer w.record.disrupt(h.span(), false)()
	h.kill()
	w.noteEnd(h)
	rest(ctx, down)
	return w.startHost(h)
}

func (w *world) pauseHost(ctx context.Context, h *host, lasts time.Duration) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer w.record.disrupt(h.span(), false)()
	return h.pause(ctx, lasts)
}

func (w *world) rollHost(_ context.Context, h *host) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer w.record.disrupt(h.span(), true)()
	err := h.stop(stopWithin)
	w.noteEnd(h)
	if err != nil {
		w.record.fail(err.Error())
	}
	return w.startHost(h)
}

// reloadHost changes the settings, at times to a file that can't be read.
func (w *world) reloadHost(ctx context.Context, h *host, f fault) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	text := h.good
	if f.pick%brokenReloads == 0 {
		text = text[:len(text)/2]
	}
	if err := h.writeSettings(text); err != nil {
		return err
	}
	if err := h.signal(syscall.SIGHUP, false); err != nil {
		return err
	}
	rest(ctx, reloadTime)
	return h.writeSettings(h.good)
}

// setLinks harms the way of hosts to the store.
func (w *world) setLinks(ctx context.Context, hosts []*host, f fault) {
	for _, h := range hosts {
		defer w.record.disrupt(h.span(), false)()
		h.store.set(f.mode)
	}
	rest(ctx, f.lasts)
	for _, h := range hosts {
		h.store.set(linkOpen)
	}
}

func (w *world) setContact(ctx context.Context, h *host, f fault) {
	defer w.record.disrupt(h.span(), false)()
	h.contact.set(f.mode)
	rest(ctx, f.lasts)
	h.contact.set(linkOpen)
}

func (w *world) strikeUpstream(ctx context.Context, f fault) error {
	s := w.operator.take(f.pick)
	if s == nil {
		return nil
	}
	defer w.operator.give(s)
	defer w.record.disrupt(s.name, f.kind == upstreamDrain)()
	switch f.kind {
	case upstreamCrash:
		return w.operator.crash(ctx, s, f.lasts, s.life.service)
	case upstreamReuse:
		return w.operator.crash(ctx, s, reuseAfter, services[f.pick%len(services)])
	case upstreamBack:
		return w.operator.restart(ctx, s, f.lasts, f.pick%2 == 0)
	case upstreamDrain:
		return w.operator.drain(ctx, s)
	case upstreamLink:
		s.link.set(f.mode)
		rest(ctx, f.lasts)
		s.link.set(linkOpen)
		return nil
	}
	return eris.Errorf("fault %q is not known", f.kind)
}
