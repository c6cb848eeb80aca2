package hostcore

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// The window never reports a seen id as fresh, whatever the order of ids and the
// gaps between them, and returns the stored verdict of each id within the window.
func TestPropertyWindowAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := ids.RequestID(rapid.IntRange(0, 50).Draw(t, "floor"))
		w := window{floor: floor}
		model := make(map[ids.RequestID]verdict.Verdict)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := ids.RequestID(rapid.IntRange(0, 300).Draw(t, "id"))
			if rapid.IntRange(0, 40).Draw(t, "jump") == 0 {
				id += 1 << 40
			}
			want, seen := model[id]
			switch w.status(id) {
			case idFresh:
				require.False(t, seen, "id %d ran before", id)
				require.True(t, id >= floor && id > 0)
				w.markSeen(id)
				v := rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.Ran, verdict.MayHaveRun}).Draw(t, "verdict")
				w.setVerdict(id, v, verdict.ReasonShed)
				model[id] = v
			case idSeen:
				v, reason := w.verdict(id)
				require.Equal(t, want, v)
				require.Equal(t, verdict.ReasonShed, reason)
			}
		}
	})
}
