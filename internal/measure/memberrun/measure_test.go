package memberrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMeasureSmallFleet(t *testing.T) {
	row := Measure(5, 0, 0, 1)
	require.Zero(t, row.FalseRemovals)
	require.Less(t, row.MaxDetection, 15*time.Second)
	require.Less(t, row.MaxBytesPerSecond, 8192.0)
	require.Len(t, Table([]int{3}, []float64{0}, 1).Rows, 2, "one row for each loss rate and one with restarts")
}

func TestZoneLossIsDetected(t *testing.T) {
	require.Less(t, ZoneLoss(8, 1), 15*time.Second)
}
