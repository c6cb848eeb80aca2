package spreadrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMeasureSmallFleet(t *testing.T) {
	rows := Measure(5, 1)
	require.Len(t, rows, 5)
	for _, row := range rows {
		require.Zero(t, row.Missing, row.Phase)
		require.Less(t, row.Max, 7*time.Second, row.Phase)
		require.Less(t, row.MaxBytesPerSecond, 8192.0, row.Phase)
	}
}
