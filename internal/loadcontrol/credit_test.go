package loadcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Hosts that are all short must not ask all the time: the budget is 8 KB a second for each host, and a request
// to two hosts with its answers takes 300 bytes, once as the host that asks and once as one that is asked.
func TestAskerKeepsToBudget(t *testing.T) {
	for _, granted := range []bool{false, true} {
		var a Asker
		asks := 0
		for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
			if a.Ask(now) {
				asks++
				if granted {
					a.Granted(now)
				}
			}
		}
		bytes := float64(asks) / 20 * 300 * 2
		t.Logf("granted %v: %d requests in 20 s, %.0f bytes a second", granted, asks, bytes)
		require.Less(t, bytes, 8000.0)
	}
}

// A host that was denied asks less often, and at once after a grant.
func TestAskerBacksOff(t *testing.T) {
	var a Asker
	now := time.Duration(0)
	require.True(t, a.Ask(now))
	require.False(t, a.Ask(now+askIntervalMin-1))
	now += askIntervalMin
	require.True(t, a.Ask(now))
	require.Equal(t, 1, a.Denials(), "the first one")
	require.False(t, a.Ask(now+askIntervalMin))
	a.Granted(now + askIntervalMin)
	require.True(t, a.Ask(now+2*askIntervalMin))
	require.Zero(t, a.Denials())
}

func TestLenderLendsHalfOfItsFreeSlots(t *testing.T) {
	const work = 40 * time.Millisecond
	for _, c := range []struct {
		free         float64
		wanted, want int
	}{{0, 4, 0}, {0.9, 4, 0}, {1, 4, 1}, {2, 4, 1}, {5, 8, 3}, {5, 2, 2}, {-1, 4, 0}} {
		var l Lender
		require.Equal(t, c.want, l.Lend(0, c.free, c.wanted, work), "%v free, %d wanted", c.free, c.wanted)
		require.Equal(t, c.want, l.Lent(CreditTime+work-1))
		require.Zero(t, l.Lent(CreditTime+work))
	}
}
