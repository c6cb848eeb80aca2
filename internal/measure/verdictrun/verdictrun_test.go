package verdictrun

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNoUnknownOutcomeWithoutFaultOrOnPlannedStop(t *testing.T) {
	for _, f := range Faults()[:2] {
		row := Run(f, 3)
		require.Positive(t, row.Ran, f.Name)
		require.Zero(t, row.MayHaveRun, f.Name)
		require.Zero(t, row.Broken, f.Name)
		require.Zero(t, row.Violations, f.Name)
	}
}

// BenchmarkTable prints the table of docs/OWNERSHIP.md. Run it with -benchtime 1x -v.
func BenchmarkTable(b *testing.B) {
	const sessions = 20
	for b.Loop() {
		require.NoError(b, Table(sessions).WriteMarkdown(b.Output()))
	}
}
