package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/standin/platform"
	"mimosashore.example/mimosashore/internal/standin/verify"
)

// inject plays a fault until its time is over.
func (w *productWorld) inject(ctx context.Context, f fault) error {
	h := w.hosts[f.pick%len(w.hosts)]
	switch f.kind {
	case hostKill:
		return w.killHost(ctx, h, f.lasts)
	case hostsKill:
		return each(w.hosts, func(h *productHost) error { return w.killHost(ctx, h, f.lasts) }, false)
	case hostPause:
		return w.pauseHost(ctx, h, f.lasts)
	case hostStop:
		return w.rollHost(ctx, h)
	case hostsRoll:
		return each(w.hosts, func(h *productHost) error { return w.rollHost(ctx, h) }, true)
	case storeDown:
		return w.storeFault(ctx, platform.Faults{Down: true}, f.lasts)
	case storeSlow:
		return w.storeFault(ctx, platform.Faults{Delay: slowDelay}, f.lasts)
	case storeOld:
		return w.storeFault(ctx, platform.Faults{StaleReads: true}, f.lasts)
	case storeDeaf:
		return w.storeFault(ctx, platform.Faults{SilentWatch: true}, f.lasts)
	case storeLink:
		w.setLink(ctx, h, h.store, f)
	case contactLink:
		w.setLink(ctx, h, h.control, f)
	case changeConfig:
		return w.change()
	case upstreamDrain:
		return w.drain(f)
	default:
		return eris.Errorf("fault %q is not known", f.kind)
	}
	return nil
}

func (w *productWorld) killHost(ctx context.Context, h *productHost, down time.Duration) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer w.record.disrupt(h.span(), false)()
	h.kill()
	rest(ctx, down/2)
	if err := w.list(h, ""); err != nil {
		return err
	}
	rest(ctx, down/2)
	return w.restart(ctx, h)
}

// restart starts the process and lists it once it is ready. The platform may be
// out meanwhile; the host is then not ready before it is back.
func (w *productWorld) restart(ctx context.Context, h *productHost) error {
	if err := h.start(); err != nil {
		return err
	}
	if err := w.awaitHost(ctx, h); err != nil {
		return err
	}
	return w.list(h, "live")
}

func (w *productWorld) pauseHost(ctx context.Context, h *productHost, lasts time.Duration) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer w.record.disrupt(h.span(), false)()
	return h.pause(ctx, lasts)
}

func (w *productWorld) rollHost(ctx context.Context, h *productHost) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer w.record.disrupt(h.span(), true)()
	if err := w.list(h, "leaving"); err != nil {
		return err
	}
	rest(ctx, listedLeaving)
	if err := h.stop(productStop); err != nil {
		w.record.fail(err.Error())
	}
	if err := w.list(h, ""); err != nil {
		return err
	}
	return w.restart(ctx, h)
}

func (w *productWorld) storeFault(ctx context.Context, faults platform.Faults, lasts time.Duration) error {
	w.accepting.Lock()
	defer w.accepting.Unlock()
	defer w.record.disrupt("store", false)()
	if err := call(http.MethodPut, w.url(adminPort)+"/faults", faults); err != nil {
		return err
	}
	rest(ctx, lasts)
	return call(http.MethodPut, w.url(adminPort)+"/faults", platform.Faults{})
}

func (w *productWorld) setLink(ctx context.Context, h *productHost, l *tcpLink, f fault) {
	defer w.record.disrupt(h.span(), false)()
	l.set(f.mode)
	rest(ctx, f.lasts)
	l.set(linkOpen)
}

var requestRate = regexp.MustCompile(`request-rate = \d+`)

// change accepts another limit of the account.
func (w *productWorld) change() error {
	w.accepting.Lock()
	defer w.accepting.Unlock()
	w.rate++
	path := filepath.Join(w.path("declarations"), "accounts", exampleAccount+".ini")
	text, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "declarations can't be read")
	}
	text = requestRate.ReplaceAll(text, fmt.Appendf(nil, "request-rate = %d", w.rate))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return eris.Wrap(err, "declarations can't be written")
	}
	return w.accept()
}

// drain takes one of the orders' upstreams out; half of them stay.
func (w *productWorld) drain(f fault) error {
	const upstreams = 14
	w.accepting.Lock()
	defer w.accepting.Unlock()
	if len(w.drains) >= upstreams/2 {
		return nil
	}
	name := fmt.Sprintf("%s-%02d", exampleOrders, 1+f.pick%upstreams)
	if slices.ContainsFunc(w.drains, func(d verify.Drain) bool { return d.Upstream == name }) {
		return nil
	}
	if out, err := w.ctl("drain", "account/"+exampleAccount, name); err != nil {
		return eris.Wrapf(err, "drain is not accepted: %s", out)
	}
	w.drains = append(w.drains, verify.Drain{Upstream: name, At: time.Now()})
	return nil
}
