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

// inject injects a fault and returns when it is over.
func (e *productEnv) inject(ctx context.Context, f fault) error {
	h := e.hosts[f.pick%len(e.hosts)]
	switch f.kind {
	case hostKill:
		return e.killHost(ctx, h, f.duration)
	case hostsKill:
		return forEachHost(e.hosts, func(h *productHost) error { return e.killHost(ctx, h, f.duration) }, false)
	case hostPause:
		return e.pauseHost(ctx, h, f.duration)
	case hostStop:
		return e.restartHost(ctx, h)
	case hostsRoll:
		return forEachHost(e.hosts, func(h *productHost) error { return e.restartHost(ctx, h) }, true)
	case storeDown:
		return e.storeFault(ctx, platform.Faults{Down: true}, f.duration)
	case storeSlow:
		return e.storeFault(ctx, platform.Faults{Delay: slowDelay}, f.duration)
	case storeStaleReads:
		return e.storeFault(ctx, platform.Faults{StaleReads: true}, f.duration)
	case storeSilentWatches:
		return e.storeFault(ctx, platform.Faults{SilentWatch: true}, f.duration)
	case storeRestore:
		return e.restoreStore(ctx, f.duration)
	case storeLink:
		e.setLink(ctx, h, h.store, f)
	case contactLink:
		e.setLink(ctx, h, h.control, f)
	case configChange:
		return e.changeRequestRate()
	case upstreamDrain:
		return e.drain(f)
	default:
		return eris.Errorf("unknown fault %q", f.kind)
	}
	return nil
}

func (e *productEnv) killHost(ctx context.Context, h *productHost, downtime time.Duration) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer e.record.beginDisruption(h.key(), false)()
	h.kill()
	sleep(ctx, downtime/2)
	if err := e.listHost(h, ""); err != nil {
		return err
	}
	sleep(ctx, downtime/2)
	return e.startAndList(ctx, h)
}

// startAndList starts the host's process and lists it once it is ready. During
// a platform outage, the host is not ready until the platform has recovered.
func (e *productEnv) startAndList(ctx context.Context, h *productHost) error {
	if err := h.start(); err != nil {
		return err
	}
	if err := e.awaitHost(ctx, h); err != nil {
		return err
	}
	return e.listHost(h, "live")
}

func (e *productEnv) pauseHost(ctx context.Context, h *productHost, duration time.Duration) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer e.record.beginDisruption(h.key(), false)()
	return h.pause(ctx, duration)
}

func (e *productEnv) restartHost(ctx context.Context, h *productHost) error {
	h.busy.Lock()
	defer h.busy.Unlock()
	defer e.record.beginDisruption(h.key(), true)()
	if err := e.listHost(h, "leaving"); err != nil {
		return err
	}
	sleep(ctx, leavingNotice)
	if err := h.stop(productStopTimeout); err != nil {
		e.record.fail(err.Error())
	}
	if err := e.listHost(h, ""); err != nil {
		return err
	}
	return e.startAndList(ctx, h)
}

func (e *productEnv) storeFault(ctx context.Context, faults platform.Faults, duration time.Duration) error {
	e.accepting.Lock()
	defer e.accepting.Unlock()
	defer e.record.beginDisruption("store", false)()
	if err := call(http.MethodPut, e.url(adminPort)+"/faults", faults); err != nil {
		return err
	}
	sleep(ctx, duration)
	return call(http.MethodPut, e.url(adminPort)+"/faults", platform.Faults{})
}

// restoreStore restores the store from a copy that lacks the last accepted change, and then
// has the declarations accepted again, as operators do.
func (e *productEnv) restoreStore(ctx context.Context, duration time.Duration) error {
	admin := e.url(adminPort)
	e.accepting.Lock()
	defer e.accepting.Unlock()
	if err := call(http.MethodPost, admin+"/copy", nil); err != nil {
		return err
	}
	if err := e.submitRequestRate(); err != nil {
		return err
	}
	sleep(ctx, duration/2)
	defer e.record.beginDisruption("store", false)()
	if err := call(http.MethodPut, admin+"/faults", platform.Faults{Down: true}); err != nil {
		return err
	}
	sleep(ctx, duration/2)
	if err := call(http.MethodPost, admin+"/restore", nil); err != nil {
		return err
	}
	if err := call(http.MethodPut, admin+"/faults", platform.Faults{}); err != nil {
		return err
	}
	return e.accept("--replace")
}

func (e *productEnv) setLink(ctx context.Context, h *productHost, l *tcpLink, f fault) {
	defer e.record.beginDisruption(h.key(), false)()
	l.setMode(f.mode)
	sleep(ctx, f.duration)
	l.setMode(linkOpen)
}

var requestRate = regexp.MustCompile(`request-rate = \d+`)

// changeRequestRate submits the declarations with another request rate of the
// account.
func (e *productEnv) changeRequestRate() error {
	e.accepting.Lock()
	defer e.accepting.Unlock()
	return e.submitRequestRate()
}

// submitRequestRate is changeRequestRate for a caller that holds e.accepting.
func (e *productEnv) submitRequestRate() error {
	e.rate++
	path := filepath.Join(e.path("declarations"), "accounts", exampleAccount+".ini")
	text, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "declarations can't be read")
	}
	text = requestRate.ReplaceAll(text, fmt.Appendf(nil, "request-rate = %d", e.rate))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return eris.Wrap(err, "declarations can't be written")
	}
	return e.accept()
}

// drain drains one of the orders' upstreams; at least half of them stay.
func (e *productEnv) drain(f fault) error {
	const upstreams = 14
	e.accepting.Lock()
	defer e.accepting.Unlock()
	if len(e.drains) >= upstreams/2 {
		return nil
	}
	name := fmt.Sprintf("%s-%02d", exampleOrders, 1+f.pick%upstreams)
	if slices.ContainsFunc(e.drains, func(d verify.Drain) bool { return d.Upstream == name }) {
		return nil
	}
	if out, err := e.runMimosactl("drain", "account/"+exampleAccount, name); err != nil {
		return eris.Wrapf(err, "drain was not accepted: %s", out)
	}
	e.drains = append(e.drains, verify.Drain{Upstream: name, At: time.Now()})
	return nil
}
