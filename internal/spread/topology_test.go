package spread

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

func viewOf(n, zones int) *member.View {
	v := &member.View{}
	for i := range n {
		v.Members = append(v.Members, member.Member{
			Instance: ids.Instance{Host: ids.HostID(i + 1), Incarnation: 1},
			Zone:     string(rune('a' + i%zones)),
		})
	}
	return v
}

func TestLinksHaveConstantDegree(t *testing.T) {
	v := viewOf(500, 5)
	degree := make(map[ids.HostID]int)
	for i := range v.Members {
		m := &v.Members[i]
		for _, target := range dialTargets(m.Instance.Host, m.Zone, v) {
			require.NotEqual(t, m.Instance.Host, target)
			degree[m.Instance.Host]++
			degree[target]++
		}
	}
	for host, d := range degree {
		require.LessOrEqual(t, d, 2*(zoneRings+fleetRings), "host %d", host)
	}
}

func TestLinksChangeOnlyNearChangedMembers(t *testing.T) {
	v := viewOf(500, 5)
	before := make(map[ids.HostID][]ids.HostID)
	for i := range v.Members {
		m := &v.Members[i]
		before[m.Instance.Host] = dialTargets(m.Instance.Host, m.Zone, v)
	}
	v.Members[70].State = member.StateDead
	changed := 0
	for i := range v.Members {
		m := &v.Members[i]
		targets := dialTargets(m.Instance.Host, m.Zone, v)
		require.NotContains(t, targets, v.Members[70].Instance.Host)
		if len(targets) != len(before[m.Instance.Host]) || targets[0] != before[m.Instance.Host][0] {
			changed++
		}
	}
	require.LessOrEqual(t, changed, zoneRings+fleetRings)
}

func TestFixedNumberOfWatchersPerZone(t *testing.T) {
	for _, n := range []int{1, 2, 5, 300} {
		v := viewOf(n, 1)
		watchers := 0
		for i := range v.Members {
			if isWatcher(v.Members[i].Instance.Host, "a", v) {
				watchers++
			}
		}
		require.Equal(t, min(n, WatchersPerZone), watchers)
	}
}
