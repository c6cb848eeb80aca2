// Command mimosa-measure simulates placement policies in virtual time and writes
// their tables and plots to docs/MEASUREMENTS.md. With --capacity it measures
// how the state and work of a host grow with the fleet and writes
// docs/CAPACITY-SLOPES.md.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/measure/capacity"
	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/measure/scenario"
)

type args struct {
	Out  string `arg:"--out" default:"docs" help:"directory of the page and the plots"`
	Seed uint64 `arg:"--seed" default:"1" help:"seed of all runs"`
	// Capacity measures the capacity slopes instead of simulating the policies.
	Capacity bool `arg:"--capacity" help:"measure the slopes of the capacity page"`
}

const (
	measurementsFile = "MEASUREMENTS.md"
	slopesFile       = "CAPACITY-SLOPES.md"
	plotsDir         = "plots"
	fileMode         = 0o644
	dirMode          = 0o755
)

const measurementsIntro = `# Measurements

Written by ` + "`make measure`" + `; don't edit. The project's decision code and its baselines run in virtual time over small fakes of
callers, hosts and upstreams, with seed %d; the same seed gives the same bytes. The figures compare policies. They are no
promise for a machine: the delays are the users', the service times (100 ms for orders and entries, 400 ms for drawings and
sheets, half of it exponential) and the cost of a datagram (10 microseconds) are chosen. Load reports come every 500 ms
and are 500 ms old. A dead host is suspect, and replaced as a home, after 1 s; the membership protocol took 0.7 s to 1.7 s (median 0.9 s) in
36 runs with four and five hosts. The model lets all callers renew their flows then; in the system a caller learns it with the next
push or answer, so callers without a stream wait until the host counts as dead, after about 3 s. Callers give an attempt 2 s (drawings and sheets 5 s) and come back
after refusals for 10 s (15 s).

`

const slopesIntro = `# Slopes of the capacity page

Written by ` + "`make capacity`" + `; don't edit. Times are medians of five runs on the machine that ran it, which may be shared; memory
is what the heap keeps after a collection. docs/CAPACITY.md draws the conclusions.

`

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		os.Exit(1)
	}
}

func run(a args) error {
	if a.Capacity {
		return writePage(filepath.Join(a.Out, slopesFile), slopesIntro, capacity.Tables(capacity.FullSizes), nil)
	}
	plots := scenario.Plots(a.Seed)
	if err := writePlots(filepath.Join(a.Out, plotsDir), plots); err != nil {
		return err
	}
	return writePage(filepath.Join(a.Out, measurementsFile), fmt.Sprintf(measurementsIntro, a.Seed), scenario.All(a.Seed), plots)
}

func writePlots(dir string, plots []scenario.NamedPlot) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrapf(err, "plot directory %s can't be created", dir)
	}
	for _, p := range plots {
		f, err := os.OpenFile(filepath.Join(dir, p.File), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
		if err != nil {
			return eris.Wrapf(err, "plot %s can't be written", p.File)
		}
		if err := p.Plot.WriteSVG(f); err != nil {
			return eris.Wrapf(err, "plot %s can't be written", p.File)
		}
		if err := f.Close(); err != nil {
			return eris.Wrapf(err, "plot %s can't be written", p.File)
		}
	}
	return nil
}

func writePage(path, intro string, tables []*report.Table, plots []scenario.NamedPlot) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return eris.Wrapf(err, "page %s can't be written", path)
	}
	fmt.Fprint(f, intro)
	for _, p := range plots {
		fmt.Fprintf(f, "![%s](%s/%s)\n\n", p.Plot.Title, plotsDir, p.File)
	}
	for _, t := range tables {
		if err := t.WriteMarkdown(f); err != nil {
			return eris.Wrapf(err, "page %s can't be written", path)
		}
	}
	return eris.Wrapf(f.Close(), "page %s can't be written", path)
}
