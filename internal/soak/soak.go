// Package soak runs the real programs as separate processes on loopback
// addresses, injects faults from outside by a seed, and judges what callers and
// upstreams see: links that delay, reset, hold back or fall silent, processes
// that are stopped, paused, killed and started again, and changes by operators,
// in series and overlapping.
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

// memoryLimit is the memory of the smallest of the users' hosts, in bytes.
const memoryLimit = 214 << 20

// timeFormat is that of the moments in failures.
const timeFormat = "15:04:05.000"

// Options of a run.
type Options struct {
	Seed uint64
	// Length is the wanted length; phases are not cut.
	Length time.Duration
	// Hosts and Callers are the numbers of processes of the system and of callers.
	Hosts, Callers int
	// Product plays the product's own path with the deployment of an example, in place of the platform path.
	Product bool
	// Programs is the directory of the programs, Examples that of the examples, Dir that of settings and logs of the run.
	Programs, Examples, Dir string
	// Log takes a line for each fault.
	Log func(format string, args ...any)
}

// Report is the outcome of a run.
type Report struct {
	Seed   uint64
	Faults int
	// Requests counts those of callers, Served those answered.
	Requests, Served int
	// Judged counts by promise the cases in which it held good or was broken.
	Judged map[string]int
	// PeakMemory is the largest resident size of a process of the system, in bytes.
	PeakMemory int
	// Failures are the promises that were broken.
	Failures []string
}

// String is one line, and one more for each failure.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d of %d requests served, %d MB; judged", r.Seed, r.Faults, r.Served, r.Requests, r.PeakMemory>>20)
	for _, rule := range slices.Sorted(maps.Keys(r.Judged)) {
		fmt.Fprintf(&b, " %s %d", rule, r.Judged[rule])
	}
	for _, f := range r.Failures {
		b.WriteString("\n  broken: " + f)
	}
	return b.String()
}

// Run plays a seed. The error tells of a run that could not be played.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Hosts < 1 || o.Callers < 1 {
		return nil, eris.Errorf("%d hosts and %d callers can't be run", o.Hosts, o.Callers)
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, eris.Wrap(err, "directory of the run can't be made")
	}
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	play := runPlatform
	if o.Product {
		play = runProduct
	}
	report, err := play(ctx, o, random)
	if err != nil {
		return nil, err
	}
	report.Seed = o.Seed
	return report, nil
}

// playFaults injects faults at their times; each has its own goroutine, so that they overlap.
func playFaults(ctx context.Context, faults []fault, began time.Time, log func(string, ...any), r *record, inject func(context.Context, fault) error) {
	var under sync.WaitGroup
	for _, f := range faults {
		rest(ctx, time.Until(began.Add(f.at)))
		if ctx.Err() != nil {
			break
		}
		under.Go(func() {
			log("%s", f)
			if err := inject(ctx, f); err != nil {
				r.fail(fmt.Sprintf("fault %s: %v", f, err))
			}
		})
	}
	under.Wait()
}

// each strikes all hosts, at once or one after the other, and returns the first error.
func each[H any](hosts []H, strike func(H) error, inTurn bool) error {
	errs := make(chan error, len(hosts))
	for _, h := range hosts {
		if inTurn {
			errs <- strike(h)
			continue
		}
		go func() { errs <- strike(h) }()
	}
	var first error
	for range hosts {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// addProcess adds what a process of the system did wrong by itself.
func (r *Report) addProcess(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Failures = append(r.Failures, p.surprises...)
	r.PeakMemory = max(r.PeakMemory, p.peak)
	if p.peak > memoryLimit {
		r.Failures = append(r.Failures, fmt.Sprintf("%s used %d MB", p.name, p.peak>>20))
	}
	count, first, err := p.badLines()
	if err != nil || count > 0 {
		r.Failures = append(r.Failures, fmt.Sprintf("%s wrote %d lines that are not JSON, first %q, %v", p.name, count, first, err))
	}
}
