package hostcore

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/table"
)

// Guards against a host that keeps state for every service of the fleet, most of which
// it never serves.
func TestOnlyUsedServicesHaveState(t *testing.T) {
	h := newHarness(t, 2, 2)
	snap := testSnapshot(2, 2)
	for i := range 100 {
		id := testService + 1 + ids.ServiceID(i)
		snap.Accounts[0].Services = append(snap.Accounts[0].Services, config.Service{ID: id})
	}
	h.setSnapshot(snap)
	h.open(7)
	require.Len(t, h.core.services, 1)
	require.Equal(t, []ids.ServiceID{testService}, h.core.serviceOrder)
}

func TestServiceIsDroppedAfterHomeMovesAndFlowsEnd(t *testing.T) {
	h := newHarness(t, 2, 2)
	h.open(7)
	elsewhere := testView("h2")
	moved := table.Build(h.core.self, testSnapshot(2, 2), elsewhere)
	h.core.SetTable(h.now, moved, &h.out)
	require.Len(t, h.core.services, 1, "the flow still needs its service")
	h.tick(flowIdleTime)
	h.core.SetTable(h.now, moved, &h.out)
	require.Empty(t, h.core.services)
	require.Empty(t, h.core.serviceOrder)
}
