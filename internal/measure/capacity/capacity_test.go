package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
)

func TestAllSlopesAreMeasured(t *testing.T) {
	tables := Tables(Sizes{Upstreams: []int{200, 400}, Flows: []int{50}})
	require.Len(t, tables, 7)
	for _, table := range tables {
		require.NotEmpty(t, table.Rows, table.Title)
		for _, row := range table.Rows {
			require.Len(t, row, len(table.Columns), table.Title)
		}
	}
}

func TestTargetFleetSizes(t *testing.T) {
	snap := config.Assemble(fleetOf(targetUpstreams).documents())
	services, upstreams := 0, 0
	for i := range snap.Accounts {
		services += len(snap.Accounts[i].Services)
		for j := range snap.Accounts[i].Services {
			upstreams += len(snap.Accounts[i].Services[j].Upstreams)
		}
	}
	require.Equal(t, targetServices, services)
	require.Equal(t, targetUpstreams, upstreams)
	require.Len(t, snap.Hosts, targetHosts)
}
