package table

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

func testService() *config.Service {
	return &config.Service{ID: 5, Upstreams: []config.Upstream{
		{ID: 1, Zone: "a", Slots: 3},
		{ID: 2, Zone: "b", Slots: 1},
		{ID: 3, Zone: "c", Slots: 4, State: config.UpstreamDraining},
	}}
}

func testView(states ...member.State) *member.View {
	v := &member.View{}
	zones := []string{"a", "a", "b", "c"}
	for i, zone := range zones {
		m := member.Member{Instance: ids.Instance{Host: ids.HostID(i + 1), Incarnation: 1}, Zone: zone}
		if i < len(states) {
			m.State = states[i]
		}
		v.Members = append(v.Members, m)
	}
	return v
}

func TestHomesAreHostsOfTheirZones(t *testing.T) {
	homes := newService(nil, testService()).homesIn(testFleet(testView()))
	require.Len(t, homes, 3)
	require.Equal(t, "a", homes[0].Zone)
	require.Contains(t, []ids.HostID{1, 2}, homes[0].Host.Host)
	require.Equal(t, ids.HostID(3), homes[1].Host.Host)
}

func TestOnlyLiveHostsAreHomes(t *testing.T) {
	for _, state := range []member.State{member.StateLeaving, member.StateSuspect, member.StateDead} {
		homes := newService(nil, testService()).homesIn(testFleet(testView(state, member.StateLive, state)))
		require.Equal(t, ids.HostID(2), homes[0].Host.Host, "%v", state)
		require.Len(t, homes, 2, "zone b has no live host left: %v", state)
	}
}

func TestZoneWithoutHostsIsAdopted(t *testing.T) {
	homes := newService(nil, testService()).homesIn(testFleet(testView(member.StateLive, member.StateLive, member.StateDead)))
	require.Len(t, homes, 2)
	require.Equal(t, 4, homes[0].Weight+homes[1].Weight, "every slot of an active upstream has a home")
	adopted := append(append([]string{}, homes[0].Adopted...), homes[1].Adopted...)
	require.Equal(t, []string{"b"}, adopted)
}

func TestServiceWithoutHostsInItsZonesGetsRemoteHome(t *testing.T) {
	view := &member.View{Members: []member.Member{{Instance: ids.Instance{Host: 9, Incarnation: 1}, Zone: "z"}}}
	homes := newService(nil, testService()).homesIn(testFleet(view))
	require.Len(t, homes, 1)
	require.Equal(t, "z", homes[0].Zone)
	require.Equal(t, []string{"a", "b", "c"}, homes[0].Adopted)
	require.Equal(t, 4, homes[0].Weight)
	require.Empty(t, newService(nil, testService()).homesIn(testFleet(&member.View{})))
}

func TestFlowsAreSpreadInProportionToSlots(t *testing.T) {
	s := newService(nil, testService())
	homes := s.homesIn(testFleet(testView()))
	count := make(map[string]int)
	const flows = 40_000
	for n := range flows {
		home, ok := homeForNonce(s, homes, ids.Nonce(n))
		require.True(t, ok)
		count[home.Zone]++
	}
	require.InDelta(t, 0.75, float64(count["a"])/flows, 0.01)
	require.Zero(t, count["c"], "a zone with only draining upstreams gets no flows")
}

func testFleet(view *member.View) *fleet {
	return newFleet(nil, view)
}

func TestOnlyFlowsOfAZoneWithoutHostsMove(t *testing.T) {
	service := &config.Service{ID: 5, Upstreams: []config.Upstream{
		{ID: 1, Zone: "a", Slots: 3}, {ID: 2, Zone: "b", Slots: 3}, {ID: 3, Zone: "c", Slots: 3},
	}}
	s := newService(nil, service)
	before := s.homesIn(testFleet(testView()))
	after := newService(nil, service).homesIn(testFleet(testView(member.StateLive, member.StateLive, member.StateDead)))
	const flows = 3_000
	moved := 0
	for n := range flows {
		was, _ := homeForNonce(s, before, ids.Nonce(n))
		is, ok := homeForNonce(s, after, ids.Nonce(n))
		require.True(t, ok)
		if was.Zone == "b" {
			moved++
			require.Equal(t, []string{"b"}, is.Adopted)
			continue
		}
		require.Equal(t, was.Host, is.Host)
	}
	require.InDelta(t, flows/3, moved, flows/20)
}
