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

// setDefault sets a flag that the command line left alone.
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

// fault is one random step of a schedule.
type fault struct {
	at    time.Duration
	apply func(w *Simulation)
}

// drawUnplanned draws a fault that nobody planned.
func drawUnplanned(t *rapid.T) fault {
	at := time.Duration(rapid.IntRange(100, 12_000).Draw(t, "at")) * millisecond
	last := time.Duration(rapid.IntRange(10, 6_000).Draw(t, "duration")) * millisecond
	host := rapid.IntRange(0, 3).Draw(t, "host")
	up := FirstUpstream + ids.UpstreamID(rapid.IntRange(0, 11).Draw(t, "upstream"))
	later := func(w *Simulation, do func()) { w.At(w.Now()+last, do) }
	switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); kind {
	case 0:
		return fault{at, func(w *Simulation) { w.Hosts()[host].Kill(); later(w, w.Hosts()[host].Start) }}
	case 1:
		late := rapid.Bool().Draw(t, "late")
		return fault{at, func(w *Simulation) { w.Hosts()[host].Freeze(); later(w, func() { w.Hosts()[host].Unfreeze(late) }) }}
	case 2:
		return fault{at, func(w *Simulation) { w.Partition(ZoneA, ZoneB); later(w, w.Heal) }}
	case 3:
		return fault{at, func(w *Simulation) { w.Upstream(up).Kill(); later(w, w.Upstream(up).Start) }}
	case 4:
		loss := rapid.Float64Range(0, 0.4).Draw(t, "loss")
		return fault{at, func(w *Simulation) { w.Faults.Loss = loss; later(w, func() { w.Faults.Loss = 0 }) }}
	default:
		jitter := time.Duration(rapid.IntRange(0, 2000).Draw(t, "jitter")) * millisecond
		return fault{at, func(w *Simulation) {
			w.Faults.Jitter, w.Faults.Duplicate, w.Faults.DuplicateDelay = jitter/10, 0.5, jitter
			later(w, func() { w.Faults = Faults{} })
		}}
	}
}

func TestPropertyUnplannedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(DefaultSettings(rapid.Uint64().Draw(t, "seed")))
		w.AddTraffic(14 * second)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			f := drawUnplanned(t)
			w.At(f.at, func() { f.apply(w) })
		}
		w.Run(25 * second)
		require.Empty(t, w.Violations())
	})
}

func TestQuietSessionRunsEverything(t *testing.T) {
	w := New(DefaultSettings(1))
	w.AddTraffic(5 * second)
	w.Run(10 * second)
	require.Empty(t, w.Violations())
	for _, o := range w.Requests() {
		require.Equal(t, verdict.Ran, o.Result.Verdict, o.Label)
	}
	require.Zero(t, w.Broken())
}
