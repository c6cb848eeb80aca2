// Command mimosa-soak runs the programs under random faults and checks the
// guarantees of the system. It prints a report for each seed and exits with
// status 1 if a seed failed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/buildinfo"
	"mimosashore.example/mimosashore/internal/cmdline"
	"mimosashore.example/mimosashore/internal/soak"
)

// arguments holds the parsed command line.
type arguments struct {
	Seed        uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds       uint64        `arg:"--seeds" default:"1" help:"number of seeds, one after the other"`
	Length      time.Duration `arg:"--length" default:"60s" help:"length of a run"`
	Hosts       int           `arg:"--hosts" default:"6" help:"number of host processes"`
	Callers     int           `arg:"--callers" default:"24" help:"number of callers"`
	Product     bool          `arg:"--product" help:"play the product's own path in place of the platform's"`
	Restores    bool          `arg:"--restores" default:"true" help:"restore the store from a copy now and then; false for the schedules of before that fault"`
	Links       bool          `arg:"--link-faults" default:"true" help:"add faults of hosts that read the store for others, of other writers and of callers' links; false for the schedules of before"`
	Silence     bool          `arg:"--silence-faults" default:"true" help:"add lossy links of many callers, and slow upstreams; false for the schedules of before"`
	Evacuations bool          `arg:"--evacuations" default:"true" help:"evacuate zones and bound new flows to cold upstreams; false for the schedules of before"`
	Overloads   bool          `arg:"--overloads" default:"true" help:"ask more of services than their slots can do while hosts are killed; false for the schedules of before"`
	Examples    string        `arg:"--examples" default:"examples" placeholder:"DIR" help:"directory of the example deployments"`
	Programs    string        `arg:"--programs" default:"bin" placeholder:"DIR" help:"directory of the programs"`
	Keep        string        `arg:"--keep" placeholder:"DIR" help:"directory for the logs of runs; by default only those of failed ones are kept, in a temporary one"`
}

// Description returns the text at the head of the help.
func (arguments) Description() string {
	return "Runs host processes under faults chosen by a seed, and checks what callers and upstreams see."
}

// Version returns the line printed by --version.
func (arguments) Version() string { return buildinfo.Version("mimosa-soak") }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var args arguments
	cmdline.MustParse(&args)
	if err := args.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "mimosa-soak:", err)
		os.Exit(1)
	}
}

// run runs all seeds. It fails if a seed can't be run or has failures.
func (a *arguments) run(ctx context.Context) error {
	dir := a.Keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "mimosa-soak"); err != nil {
			return eris.Wrap(err, "log directory can't be created")
		}
	}
	failed := 0
	for seed := a.Seed; seed < a.Seed+a.Seeds && ctx.Err() == nil; seed++ {
		ok, err := a.runSeed(ctx, seed, filepath.Join(dir, fmt.Sprint(seed)))
		if err != nil {
			return eris.Wrapf(err, "seed %d could not be run, logs are in %s", seed, dir)
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return eris.Errorf("%d of %d seeds failed, logs are in %s", failed, a.Seeds, dir)
	}
	return nil
}

// runSeed runs one seed, prints its report, and reports whether it had no failures.
func (a *arguments) runSeed(ctx context.Context, seed uint64, dir string) (bool, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, eris.Wrap(err, "log directory can't be created")
	}
	faultLog, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return false, eris.Wrap(err, "fault log can't be created")
	}
	defer faultLog.Close()
	report, err := soak.Run(ctx, soak.Options{
		Seed: seed, Length: a.Length, Hosts: a.Hosts, Callers: a.Callers, Product: a.Product, Restores: a.Restores, LinkFaults: a.Links, SilenceFaults: a.Silence, Evacuations: a.Evacuations, Overloads: a.Overloads, Programs: a.Programs, Examples: a.Examples, Dir: dir,
		Log: func(format string, args ...any) {
			fmt.Fprintf(faultLog, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
		},
	})
	if err != nil {
		return false, err
	}
	fmt.Println(report)
	if len(report.Failures) == 0 && a.Keep == "" {
		return true, eris.Wrap(os.RemoveAll(dir), "logs can't be removed")
	}
	return len(report.Failures) == 0, nil
}
