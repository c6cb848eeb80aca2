package hostcore

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/table"
)

// A fleet has far more services than any one host serves.
func TestOnlyUsedServicesHaveState(t *testing.T) {
	b := newHarness(t, 2, 2)
	snap := testSnapshot(2, 2)
	for i := range 100 {
		id := testService + 1 + ids.ServiceID(i)
		snap.Accounts[0].Services = append(snap.Accounts[0].Services, config.Service{ID: id})
	}
	b.setSnapshot(snap)
	b.open(7)
	require.Len(t, b.core.services, 1)
	require.Equal(t, []ids.ServiceID{testService}, b.core.serviceOrder)
}

func TestServiceIsDroppedAfterHomeMovesAndFlowsEnd(t *testing.T) {
	b := newHarness(t, 2, 2)
	b.open(7)
	elsewhere := testView("h2")
	moved := table.Build(b.core.self, testSnapshot(2, 2), elsewhere)
	b.core.SetTable(b.now, moved, &b.out)
	require.Len(t, b.core.services, 1, "the flow still needs its service")
	b.tick(flowIdleTime)
	b.core.SetTable(b.now, moved, &b.out)
	require.Empty(t, b.core.services)
	require.Empty(t, b.core.serviceOrder)
}
