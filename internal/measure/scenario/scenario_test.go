package scenario

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/measure/report"
)

func smallRun(t *testing.T, seed uint64) []byte {
	short := Sizes{PlacementTime: 25 * time.Second, Hosts: []int{4}}
	tables := []*report.Table{Flows(200), placementTable(seed, cubiertaVerde, 0.7, short)}
	var b bytes.Buffer
	for _, table := range tables {
		require.NoError(t, table.WriteMarkdown(&b))
	}
	plot := report.Plot{Title: "small", Series: []report.Series{{Name: "a", Values: []float64{1, 3, 2}}}}
	require.NoError(t, plot.WriteSVG(&b))
	return b.Bytes()
}

func TestSameSeedGivesSameBytes(t *testing.T) {
	first := smallRun(t, 1)
	require.Equal(t, first, smallRun(t, 1))
	require.NotEqual(t, first, smallRun(t, 2))
	goldie.New(t).Assert(t, "small", first)
}

// TestBulkFloodDoesNotReduceUrgentService guards against a bulk flood that takes
// slots from the urgent service, and against goodput that collapses when the
// urgent service floods too, with and without the loss of a host. It checks one
// point of the full tables.
func TestBulkFloodDoesNotReduceUrgentService(t *testing.T) {
	c := floodCase{projectPolicy, 4, 0.95}
	for _, lost := range []int{noHost, 0} {
		r := cumann.floodRuns(1, c, lost)
		require.GreaterOrEqual(t, r.bulk.served*100, r.baseline.served*99)
		require.GreaterOrEqual(t, r.both.goodput, 0.95)
		require.Zero(t, r.baseline.dropped)
		if lost == noHost {
			require.GreaterOrEqual(t, r.both.bulk, 0.95, "bulk work is not starved while capacity is free")
		}
	}
}

func TestRunningRequestsAreBalanced(t *testing.T) {
	short := Sizes{PlacementTime: 60 * time.Second}
	for _, f := range []fleet{cubiertaVerde, cumann} {
		service := runPlacement(projectPolicy, f.oneZone(1, 4), 0.7, short.PlacementTime)
		whole, window := service.Counts.RunningImbalance()
		require.LessOrEqual(t, whole.MaxOverMean, 1.10)
		require.LessOrEqual(t, window.MaxOverMean, 1.10)
		require.Zero(t, service.Counts.Sheds)
		require.Equal(t, service.Counts.Offered, service.Counts.Served)
	}
}
