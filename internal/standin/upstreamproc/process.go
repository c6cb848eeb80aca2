package upstreamproc

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/standin/upstream"
)

// maxFaultsBody is the largest body of PUT /faults, in bytes.
const maxFaultsBody = 1 << 12

// Process runs a set of upstreams.
type Process struct {
	instances []*instance
	started   time.Time
}

// Listen opens the sockets of all upstreams.
func Listen(ctx context.Context, upstreams []Options) (*Process, error) {
	p := &Process{started: time.Now()}
	for _, o := range upstreams {
		u, err := newInstance(ctx, o, p.started)
		if err != nil {
			p.Close()
			return nil, err
		}
		p.instances = append(p.instances, u)
	}
	return p, nil
}

// Addresses are the addresses that an upstream listens on.
type Addresses struct {
	Data   netip.AddrPort
	Health netip.AddrPort
}

// Addresses returns the addresses of the upstreams, in the order of the options of
// Listen.
func (p *Process) Addresses() []Addresses {
	all := make([]Addresses, 0, len(p.instances))
	for _, u := range p.instances {
		health := u.health.Addr().(*net.TCPAddr).AddrPort()
		all = append(all, Addresses{Data: u.sockets.Addr(), Health: health})
	}
	return all
}

// Close closes the sockets of a process that isn't running.
func (p *Process) Close() {
	for _, u := range p.instances {
		u.close()
	}
}

// Run serves the upstreams until the context ends or one of them fails, and closes
// their sockets.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make(chan error, len(p.instances))
	var running sync.WaitGroup
	for _, u := range p.instances {
		running.Go(func() {
			errs <- u.run(ctx)
			cancel()
		})
	}
	running.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Report holds the runs and counters of all upstreams. Its JSON encoding uses the
// Go field names.
type Report struct {
	// Started is the start time in Unix milliseconds; the times of runs are
	// relative to it.
	Started  int64
	Names    map[ids.UpstreamID]string
	Runs     []upstream.Run
	Counters upstream.Counters
	// Overflow counts the datagrams dropped because a receive queue was full.
	Overflow uint64
}

// Report returns the report of all upstreams.
func (p *Process) Report(ctx context.Context) Report {
	report := Report{Started: p.started.UnixMilli(), Names: make(map[ids.UpstreamID]string)}
	for _, u := range p.instances {
		u.withCore(ctx, func(c *upstream.Core) {
			report.Names[c.ID()] = u.name
			report.Runs = append(report.Runs, slices.Clone(c.Runs())...)
			report.Counters.Add(c.Counters())
		})
		report.Overflow += u.overflow.Load()
	}
	return report
}

// InitFaults sets the faults of all upstreams. It must be called before Run.
func (p *Process) InitFaults(f upstream.Faults) {
	for _, u := range p.instances {
		u.core.SetFaults(f)
	}
}

// SetFaults replaces the faults of the upstreams whose names start with the prefix.
func (p *Process) SetFaults(ctx context.Context, prefix string, f upstream.Faults) {
	for _, u := range p.instances {
		if strings.HasPrefix(u.name, prefix) {
			u.withCore(ctx, func(c *upstream.Core) { c.SetFaults(f) })
		}
	}
}

// SetServiceTime sets the service time of requests that start from now on.
func (p *Process) SetServiceTime(ctx context.Context, d time.Duration) {
	for _, u := range p.instances {
		u.withCore(ctx, func(c *upstream.Core) { c.SetServiceTime(d) })
	}
}

// AdminHandler serves the administrative API:
//
//	GET /report                the runs and counters of all upstreams
//	PUT /faults?prefix=NAME    replaces the faults of the upstreams whose names
//	                           start with NAME
func (p *Process) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, p.Report(r.Context()))
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f upstream.Faults
		if err := json.NewDecoder(io.LimitReader(r.Body, maxFaultsBody)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(r.Context(), r.URL.Query().Get("prefix"), f)
	})
	return mux
}
