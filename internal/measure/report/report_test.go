package report

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTableWriteMarkdown(t *testing.T) {
	table := Table{Title: "Flows", Columns: []string{"policy", "imbalance"}, Note: "One run."}
	table.Add("random", 1.25)
	var b strings.Builder
	require.NoError(t, table.WriteMarkdown(&b))
	require.Equal(t, "## Flows\n\n| policy | imbalance |\n| --- | --- |\n| random | 1.250 |\n\nOne run.\n\n", b.String())
}
