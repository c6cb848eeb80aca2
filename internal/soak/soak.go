// Package soak runs the real programs as separate processes on loopback
// addresses, injects faults chosen by a seed, and checks what callers and
// upstreams observe against the guarantees of the system. Links delay, reset,
// hold back or stop forwarding; processes are stopped, paused, killed and
// restarted; operators change the configuration. Faults occur one after another
// and overlapping.
//
// A run takes one of two paths. On the platform path, the hosts are mimosad-dsr
// processes, and package dsrworld simulates the users' platform in this process.
// On the product's own path, the hosts are mimosad processes, configured with
// mimosactl, and stand-ins for the platform, the fabric, the upstreams and the
// callers are mimosa-standin processes.
//
// Violations are reported under the name of a rule:
//
//	UNASKED  requests run only as callers sent them, non-idempotent ones at most once
//	MIXED    callers receive only responses to their own requests
//	ROUTE    flows and requests reach only services that their route has named
//	CONFIG   hosts apply a configuration in time and never revert to an older one
//	DRAIN    a withdrawn upstream receives no new flows after a bound
//	EVAC     an evacuated zone receives no opening packets after a bound
//	FAILBACK cold upstreams receive few opening packets
//	FLOW     an open flow stays on its upstream
//	REFUSED  flows are refused because of load only if more is asked than upstreams can do
//	SERVED   without unplanned disruptions, all requests are served
package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// memoryLimit is the memory available on the smallest of the users' hosts, in bytes.
const memoryLimit = 214 << 20

// timeFormat is the format of times in failures.
const timeFormat = "15:04:05.000"

// Options configure a run.
type Options struct {
	Seed uint64
	// Length is the minimum length of the run; the last phase is not cut short.
	Length time.Duration
	// Hosts and Callers are the numbers of host processes and of callers.
	Hosts, Callers int
	// Product runs the product's own path, with the deployment of an example,
	// instead of the platform path.
	Product bool
	// Restores adds restores of the store from a copy to the faults.
	Restores bool
	// LinkFaults adds, on the platform path, faults of hosts that read the store for others, of
	// other writers and of callers' links.
	LinkFaults bool
	// SilenceFaults adds, on the platform path, faults that make live upstreams look silent: lossy
	// links of many callers, and slow upstreams.
	SilenceFaults bool
	// Evacuations adds, on the platform path, evacuations of zones, and bounds the new flows to cold
	// upstreams.
	Evacuations bool
	// Overloads adds, on the platform path, traffic above what the slots of a service can do while a
	// host is killed.
	Overloads bool
	// Programs is the directory of the executables, Examples that of the example
	// deployments, and Dir that of the settings and logs of the run.
	Programs, Examples, Dir string
	// Log is called for each injected fault, concurrently from several goroutines.
	Log func(format string, args ...any)
}

// Report is the outcome of a run.
type Report struct {
	Seed   uint64
	Faults int
	// Requests is the number of requests of callers, Served that of answered ones.
	Requests, Served int
	// Checks is the number of checked cases, by rule or other check, such as "served".
	Checks map[string]int
	// PeakMemory is the largest resident size of a host process, in bytes.
	PeakMemory int
	// Failures describes violated rules, unexpected exits and other failures.
	Failures []string
}

// String returns a summary line, followed by a line for each failure.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d of %d requests served, %d MB; checks:", r.Seed, r.Faults, r.Served, r.Requests, r.PeakMemory>>20)
	for _, rule := range slices.Sorted(maps.Keys(r.Checks)) {
		fmt.Fprintf(&b, " %s %d", rule, r.Checks[rule])
	}
	for _, f := range r.Failures {
		b.WriteString("\n  broken: " + f)
	}
	return b.String()
}

// Run executes a run and returns its outcome. It fails if the run could not be
// executed; violations are failures of the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Hosts < 1 || o.Callers < 1 {
		return nil, eris.Errorf("%d hosts and %d callers can't be run", o.Hosts, o.Callers)
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, eris.Wrap(err, "directory of the run can't be created")
	}
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	run := runPlatform
	if o.Product {
		run = runProduct
	}
	n, err := claimNetwork(o.Seed)
	if err != nil {
		return nil, err
	}
	defer n.release()
	report, err := run(ctx, o, n, random)
	if err != nil {
		return nil, err
	}
	report.Seed = o.Seed
	return report, nil
}

// injectFaults injects faults at their times, each in its own goroutine so that
// they may overlap, and waits until all are over.
func injectFaults(ctx context.Context, faults []fault, began time.Time, log func(string, ...any), r *record, inject func(context.Context, fault) error) {
	var wg sync.WaitGroup
	for _, f := range faults {
		sleep(ctx, time.Until(began.Add(f.at)))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			log("%s", f)
			if err := inject(ctx, f); err != nil {
				r.fail(fmt.Sprintf("fault %s: %v", f, err))
			}
		})
	}
	wg.Wait()
}

// forEachHost applies a function to all hosts, concurrently or sequentially, and
// returns the first error.
func forEachHost[H any](hosts []H, apply func(H) error, sequential bool) error {
	errs := make(chan error, len(hosts))
	for _, h := range hosts {
		if sequential {
			errs <- apply(h)
			continue
		}
		go func() { errs <- apply(h) }()
	}
	var first error
	for range hosts {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// checkProcess adds the peak memory of a host process to the report, and as
// failures its unexpected exits, excessive memory and output that is not JSON.
func (r *Report) checkProcess(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Failures = append(r.Failures, p.unexpectedExits...)
	r.PeakMemory = max(r.PeakMemory, p.peakBytes)
	if p.peakBytes > memoryLimit {
		r.Failures = append(r.Failures, fmt.Sprintf("%s used %d MB of memory, limit %d MB", p.name, p.peakBytes>>20, memoryLimit>>20))
	}
	count, first, err := p.nonJSONLines()
	if err != nil || count > 0 {
		r.Failures = append(r.Failures, fmt.Sprintf("%s wrote %d lines that are not JSON, first %q, %v", p.name, count, first, err))
	}
}
