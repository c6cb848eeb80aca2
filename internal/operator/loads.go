package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/config"
)

// maxLoadBytes is the maximum size of a load response, in bytes.
const maxLoadBytes = 64 << 10

// Load is the current load of an upstream, as reported by its load endpoint.
type Load struct {
	// Running is the number of running requests, Connections that of open flows.
	Running     int `json:"running"`
	Connections int `json:"connections"`
}

// LoadReader fetches the load of an upstream from its health address.
type LoadReader interface {
	Load(ctx context.Context, health netip.AddrPort) (*Load, error)
}

// HTTPLoads implements LoadReader over HTTP.
type HTTPLoads struct {
	Client http.Client
}

// Load fetches the load of the upstream with the given health address.
func (h *HTTPLoads) Load(ctx context.Context, health netip.AddrPort) (*Load, error) {
	var load Load
	err := getJSON(ctx, &h.Client, "http://"+health.String()+"/load", maxLoadBytes, &load)
	return &load, err
}

// getJSON fetches a URL and decodes the JSON response. It reads at most limit bytes
// and waits at most requestTimeout.
func getJSON(ctx context.Context, client *http.Client, url string, limit int64, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "request can't be created")
	}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrap(err, "no answer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("unexpected HTTP status %d", response.StatusCode)
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(response.Body, limit)).Decode(into), "response can't be read")
}

// loads maps names of upstreams to their loads. Upstreams that did not answer are
// missing.
type loads map[string]Load

// describe returns a text with the numbers of open flows and running requests on an
// upstream.
func (l loads) describe(u config.Upstream) string {
	load, known := l[u.Name]
	if !known {
		return "load is not known, the load endpoint does not answer"
	}
	return fmt.Sprintf("now %d open, %d running", load.Connections, load.Running)
}

// exceedsLimits reports whether the load of an upstream is known and above the
// limits in u.
func (l loads) exceedsLimits(u config.Upstream) bool {
	load, known := l[u.Name]
	return known && (load.Connections > u.Connections || load.Running > u.Slots)
}

// idle reports whether the load of an upstream is known and zero.
func (l loads) idle(u config.Upstream) bool {
	load, known := l[u.Name]
	return known && load.Connections == 0 && load.Running == 0
}

// fetchLoads fetches the loads of the upstreams that a change affects.
func (s *session) fetchLoads(ctx context.Context, current, next *config.Document) loads {
	affected := affectedUpstreams(current, next)
	answers := make([]*Load, len(affected))
	inParallel(len(affected), func(i int) {
		if load, err := s.Loads.Load(ctx, affected[i].Health); err == nil {
			answers[i] = load
		}
	})
	found := make(loads)
	for i, answer := range answers {
		if answer != nil {
			found[affected[i].Name] = *answer
		}
	}
	return found
}

// inParallel calls do for each index below count and waits for all calls to return.
// At most maxConcurrentRequests run at the same time.
func inParallel(count int, do func(i int)) {
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(maxConcurrentRequests, count) {
		workers.Go(func() {
			for i := range next {
				do(i)
			}
		})
	}
	for i := range count {
		next <- i
	}
	close(next)
	workers.Wait()
}

// affectedUpstreams returns the current upstreams that a change removes, moves to
// another address, or lowers the limits of.
func affectedUpstreams(current, next *config.Document) []config.Upstream {
	if current == nil || current.Account == nil {
		return nil
	}
	kept := make(map[string]config.Upstream)
	if next.Account != nil {
		for _, s := range next.Account.Services {
			for _, u := range s.Upstreams {
				kept[s.Name+"/"+u.Name] = u
			}
		}
	}
	var affected []config.Upstream
	for _, s := range current.Account.Services {
		for _, u := range s.Upstreams {
			after, stays := kept[s.Name+"/"+u.Name]
			if !stays || after.Address != u.Address || limitsLowered(u, after) {
				affected = append(affected, u)
			}
		}
	}
	return affected
}

// limitsLowered reports whether a change lowers any limit of an upstream.
func limitsLowered(from, to config.Upstream) bool {
	return to.Slots < from.Slots || to.Connections < from.Connections
}
