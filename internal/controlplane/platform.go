package controlplane

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/spread"
	"mimosashore.example/mimosashore/internal/store"
)

// Timeouts and intervals of calls to the platform.
const (
	// storeCallTimeout bounds a call to the store. For a watch it is added to
	// the wait time of the watch.
	storeCallTimeout = 2 * time.Second
	// hostListInterval is the interval at which the host list is polled;
	// hostListIntervalAlone applies while no other host is known.
	hostListInterval      = 5 * time.Minute
	hostListIntervalAlone = 5 * time.Second
	hostListTimeout       = 3 * time.Second
)

// maxHostListBytes bounds the size of the host list response.
const maxHostListBytes = 4 << 20

// storeResult is the result of a call to the store. For a list, page is set; for a
// watch, events and next.
type storeResult struct {
	kind   spread.CallKind
	page   store.Page
	events []store.Event
	next   store.Position
	err    error
}

// runStoreCalls executes the store calls requested by the event loop, one at a
// time.
func (p *Plane) runStoreCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-p.storeCalls:
			result := p.callStore(ctx, call)
			select {
			case p.storeResults <- result:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (p *Plane) callStore(ctx context.Context, call spread.StoreCall) storeResult {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+storeCallTimeout)
	defer cancel()
	r := storeResult{kind: call.Kind}
	if call.Kind == spread.CallList {
		r.page, r.err = p.settings.Store.List(ctx, call.Prefix, call.After, call.Limit)
		return r
	}
	r.events, r.next, r.err = p.settings.Store.Watch(ctx, "", call.Position, call.Wait)
	return r
}

func (p *Plane) handleStoreResult(now time.Duration, r storeResult) {
	var out spread.Effects
	if r.kind == spread.CallList {
		p.spread.HandleList(now, r.page, r.err, &out)
	} else {
		p.spread.HandleWatch(now, r.events, r.next, r.err, &out)
	}
	p.applySpread(&out)
}

// hostListEntry is an entry of the platform's host list.
type hostListEntry struct {
	Control string `json:"control"`
}

// pollHostList polls the platform's host list, at a shorter interval while no other
// host is known.
func (p *Plane) pollHostList(ctx context.Context) {
	if p.settings.HostsURL == "" {
		return
	}
	for {
		contacts, err := p.fetchHostList(ctx)
		if err != nil {
			p.memberLog.Warn("list of hosts can't be read", zap.Error(err))
		} else {
			select {
			case p.hostLists <- contacts:
			case <-ctx.Done():
			}
		}
		wait := hostListInterval
		if p.status.Load().alone {
			wait = hostListIntervalAlone
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// fetchHostList returns the control addresses in the platform's host list. Entries
// without a valid address are skipped.
func (p *Plane) fetchHostList(ctx context.Context) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.settings.HostsURL, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create host list request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "request host list")
	}
	defer resp.Body.Close()
	var hosts []hostListEntry
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxHostListBytes)).Decode(&hosts); err != nil {
		return nil, eris.Wrapf(err, "decode host list from %s", req.URL.Redacted())
	}
	var contacts []netip.AddrPort
	for _, h := range hosts {
		if control, err := netip.ParseAddrPort(h.Control); err == nil {
			contacts = append(contacts, control)
		}
	}
	return contacts, nil
}
