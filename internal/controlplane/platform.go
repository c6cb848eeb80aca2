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

// Times of the platform's calls.
const (
	// callTimeout is the longest wait for a call of the store, on top of a watch's own wait.
	callTimeout = 2 * time.Second
	// hostsInterval is the time between two readings of the list of hosts, and
	// hostsAloneInterval the same while no other host is known.
	hostsInterval      = 5 * time.Minute
	hostsAloneInterval = 5 * time.Second
	hostsTimeout       = 3 * time.Second
)

// maxHostsBody is the largest list of hosts that is read, in bytes.
const maxHostsBody = 4 << 20

// storeResult is the result of one call of the store.
type storeResult struct {
	kind   spread.CallKind
	page   store.Page
	events []store.Event
	next   store.Revision
	err    error
}

// readStore makes the calls of the store one after the other.
func (p *Plane) readStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-p.calls:
			result := p.callStore(ctx, call)
			select {
			case p.results <- result:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (p *Plane) callStore(ctx context.Context, call spread.StoreCall) storeResult {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+callTimeout)
	defer cancel()
	r := storeResult{kind: call.Kind}
	if call.Kind == spread.CallList {
		r.page, r.err = p.settings.Store.List(ctx, call.Prefix, call.After, call.Limit)
		return r
	}
	r.events, r.next, r.err = p.settings.Store.Watch(ctx, "", call.Revision, call.Wait)
	return r
}

func (p *Plane) storeAnswered(now time.Duration, r storeResult) {
	var out spread.Effects
	if r.kind == spread.CallList {
		p.spread.HandleList(now, r.page, r.err, &out)
	} else {
		p.spread.HandleWatch(now, r.events, r.next, r.err, &out)
	}
	p.applySpread(&out)
}

// listedHost is an entry of the platform's list of hosts.
type listedHost struct {
	Control string `json:"control"`
}

// readHosts reads the platform's list of hosts, often while no other host is known.
func (p *Plane) readHosts(ctx context.Context) {
	if p.settings.HostsURL == "" {
		return
	}
	for {
		contacts, err := p.listHosts(ctx)
		if err != nil {
			p.log.Warn("list of hosts can't be read", zap.Error(err))
		} else {
			select {
			case p.hosts <- contacts:
			case <-ctx.Done():
			}
		}
		wait := hostsInterval
		if p.status.Load().alone {
			wait = hostsAloneInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (p *Plane) listHosts(ctx context.Context) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.settings.HostsURL, nil)
	if err != nil {
		return nil, eris.Wrap(err, "address of the list is bad")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "platform does not answer")
	}
	defer resp.Body.Close()
	var hosts []listedHost
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxHostsBody)).Decode(&hosts); err != nil {
		return nil, eris.Wrap(err, "list can't be decoded")
	}
	var contacts []netip.AddrPort
	for _, h := range hosts {
		if control, err := netip.ParseAddrPort(h.Control); err == nil {
			contacts = append(contacts, control)
		}
	}
	return contacts, nil
}
