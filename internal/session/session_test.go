package session

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "3s", "rapid.checks": defaultChecks,
	} {
		if err := setDefault(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// setDefault sets a flag to the value unless the command line has set it.
func setDefault(name, value string) error {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return nil
	}
	return flag.Set(name, value)
}

const (
	millisecond = time.Millisecond
	second      = time.Second
)

// step is one scheduled fault or planned change.
type step struct {
	at    time.Duration
	apply func(sim *Simulation)
}

// drawFault draws an unplanned fault that ends after a random duration.
func drawFault(t *rapid.T) step {
	at := time.Duration(rapid.IntRange(100, 12_000).Draw(t, "at")) * millisecond
	duration := time.Duration(rapid.IntRange(10, 6_000).Draw(t, "duration")) * millisecond
	host := rapid.IntRange(0, 3).Draw(t, "host")
	upstreamID := FirstUpstream + ids.UpstreamID(rapid.IntRange(0, 11).Draw(t, "upstream"))
	later := func(sim *Simulation, do func()) { sim.At(sim.Now()+duration, do) }
	switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); kind {
	case 0:
		return step{at, func(sim *Simulation) { sim.Hosts()[host].Kill(); later(sim, sim.Hosts()[host].Start) }}
	case 1:
		noticeLate := rapid.Bool().Draw(t, "late")
		return step{at, func(sim *Simulation) {
			sim.Hosts()[host].Freeze()
			later(sim, func() { sim.Hosts()[host].Unfreeze(noticeLate) })
		}}
	case 2:
		return step{at, func(sim *Simulation) { sim.Partition(ZoneA, ZoneB); later(sim, sim.Heal) }}
	case 3:
		return step{at, func(sim *Simulation) { sim.Upstream(upstreamID).Kill(); later(sim, sim.Upstream(upstreamID).Start) }}
	case 4:
		loss := rapid.Float64Range(0, 0.4).Draw(t, "loss")
		return step{at, func(sim *Simulation) { sim.Faults.Loss = loss; later(sim, func() { sim.Faults.Loss = 0 }) }}
	default:
		jitter := time.Duration(rapid.IntRange(0, 2000).Draw(t, "jitter")) * millisecond
		return step{at, func(sim *Simulation) {
			sim.Faults.Jitter, sim.Faults.Duplicate, sim.Faults.DuplicateDelay = jitter/10, 0.5, jitter
			later(sim, func() { sim.Faults = Faults{} })
		}}
	}
}

// TestPropertyUnplannedFaults guards against violated guarantees after up to five random
// faults: killed or paused hosts, killed upstreams, partitions, packet loss, reordering
// and duplicates.
func TestPropertyUnplannedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := New(DefaultSettings(rapid.Uint64().Draw(t, "seed")))
		sim.AddTraffic(14 * second)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			f := drawFault(t)
			sim.At(f.at, func() { f.apply(sim) })
		}
		sim.Run(25 * second)
		require.Empty(t, sim.Violations())
	})
}

func TestFaultFreeSessionRunsAllRequests(t *testing.T) {
	sim := New(DefaultSettings(1))
	sim.AddTraffic(5 * second)
	sim.Run(10 * second)
	require.Empty(t, sim.Violations())
	for _, q := range sim.Requests() {
		require.Equal(t, verdict.Ran, q.Result.Verdict, q.Label)
	}
	require.Zero(t, sim.BrokenFlows())
}
