package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/table"
)

func pollTable() *table.Table {
	self := ids.Instance{Host: 1, Incarnation: 1}
	snap := &config.Snapshot{Accounts: []config.Account{{ID: 1, Services: []config.Service{{ID: 2, Upstreams: []config.Upstream{
		{ID: 10, Zone: "a", Slots: 2},
		{ID: 11, Zone: "b", Slots: 2},
	}}}}}}
	view := &member.View{Members: []member.Member{
		{Instance: self, Zone: "a"},
		{Instance: ids.Instance{Host: 2, Incarnation: 1}, Zone: "b"},
	}}
	return table.Build(self, snap, view)
}

func upstreamIDs(targets []pollTarget) []ids.UpstreamID {
	var all []ids.UpstreamID
	for _, t := range targets {
		all = append(all, t.upstream)
	}
	return all
}

// Spilling requests to an upstream of another availability zone requires its load
// reports.
func TestSpillingServicesPollOtherZones(t *testing.T) {
	require.Equal(t, []ids.UpstreamID{10}, upstreamIDs(pollTargets(pollTable(), nil)))
	require.Equal(t, []ids.UpstreamID{10, 11}, upstreamIDs(pollTargets(pollTable(), []ids.ServiceID{2})))
}

func TestPollIntervalRespectsBudget(t *testing.T) {
	require.Equal(t, time.Second, pollInterval(time.Second, 3))
	require.Equal(t, 10*time.Second, pollInterval(time.Second, 30))
	require.Equal(t, time.Minute, pollInterval(time.Minute, 30))
}
