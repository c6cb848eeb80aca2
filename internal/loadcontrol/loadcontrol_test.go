package loadcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, items := rapid.IntRange(1, 900).Draw(t, "hosts"), rapid.IntRange(1, 3000).Draw(t, "items")
		j := rapid.IntRange(0, items-1).Draw(t, "item")
		item := 0.0
		for i := range hosts {
			item += Position{i, hosts}.Share(j, items)
		}
		require.InDelta(t, 1, item, 1e-6, "shares of an item")
		host, i := 0.0, rapid.IntRange(0, hosts-1).Draw(t, "host")
		for j := range items {
			host += Position{i, hosts}.Share(j, items)
		}
		require.InDelta(t, float64(items)/float64(hosts), host, 1e-6, "shares of a host")
	})
	require.Equal(t, 1.0, Position{}.Share(3, 5), "a host that knows no others")
}

func TestLimit(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name            string
		work, objective time.Duration
		want            float64
	}{
		{"unknown work", 0, 400 * ms, 2},
		{"no objective", 30 * ms, 0, 2},
		{"short work", 30 * ms, 400 * ms, 2 * maxPerSlot},
		{"half of the objective's share is work", 160 * ms, 400 * ms, 3},
		{"work beyond the objective", 500 * ms, 400 * ms, 2},
	} {
		require.InDelta(t, c.want, Limit(2, c.work, c.objective), 1e-9, c.name)
	}
}

func TestPacerAdmits(t *testing.T) {
	const now, work = time.Second, 40 * time.Millisecond
	for _, c := range []struct {
		name        string
		admittedAgo time.Duration
		open, limit float64
		class       Class
		want        bool
	}{
		{"below the limit", 0, 3, 4, Class{}, true},
		{"at the limit", 0, 4, 4, Class{}, false},
		{"urgent at the limit", 0, 4, 4, Class{Urgent: true}, true},
		{"urgent at its own limit", 0, 8, 4, Class{Urgent: true}, false},
		{"late below half of the limit", 0, 1, 4, Class{Late: true}, true},
		{"late at half of the limit", 0, 2, 4, Class{Late: true}, false},
		{"late and urgent", 0, 3, 4, Class{Late: true, Urgent: true}, true},
		{"limit of half a request, after the pause", 80 * time.Millisecond, 0, 0.5, Class{}, true},
		{"limit of half a request, during the pause", 79 * time.Millisecond, 0, 0.5, Class{}, false},
		{"limit of half a request, one open", time.Second, 1, 0.5, Class{}, false},
	} {
		p := Pacer{AdmittedAt: now - c.admittedAgo}
		require.Equal(t, c.want, p.Admits(now, c.open, c.limit, c.class, work), c.name)
	}
	require.True(t, (&Pacer{}).Admits(0, 0, 0.1, Class{}, work), "the first request of all")
}

func TestWindowFollowsLatency(t *testing.T) {
	const objective, work = 150 * time.Millisecond, 30 * time.Millisecond
	w := NewWindow()
	for i := range 40 {
		w.AddLatency(time.Duration(i)*40*time.Millisecond, 40*time.Millisecond, work, objective)
	}
	grown := w.Size()
	require.Greater(t, grown, windowInitial+3.0, "timely answers enlarge the window")
	now := 2 * time.Second
	w.AddLatency(now, 120*time.Millisecond, work, objective)
	require.InDelta(t, grown*windowDecrease, w.Size(), 1e-9)
	w.AddLatency(now+50*time.Millisecond, 120*time.Millisecond, work, objective)
	require.InDelta(t, grown*windowDecrease, w.Size(), 1e-9, "one decrease per round trip")
	for i := range 60 {
		w.AddLatency(now+time.Duration(i)*200*time.Millisecond, 120*time.Millisecond, work, objective)
	}
	require.Equal(t, windowMin, w.Size())
}

// Slow upstreams miss every objective. The window still distinguishes idle ones from busy ones.
func TestWindowAllowsForSlowWork(t *testing.T) {
	const objective, work = 100 * time.Millisecond, 160 * time.Millisecond
	w := NewWindow()
	w.AddLatency(time.Second, 200*time.Millisecond, work, objective)
	require.Greater(t, w.Size(), float64(windowInitial))
	w.AddLatency(2*time.Second, 300*time.Millisecond, work, objective)
	require.Less(t, w.Size(), float64(windowInitial))
}

func TestDemand(t *testing.T) {
	const work, slots = 100 * time.Millisecond, 6 // 60 requests a second
	for _, c := range []struct {
		name    string
		rate    int
		waiting int
		want    bool
	}{
		{"half of the slots", 30, 0, false},
		{"half of the slots, some wait", 30, 20, false},
		{"half of the slots, more wait than can be served", 30, 90, true},
		{"about what the slots can do", 60, 0, false},
		{"twice what the slots can do", 120, 0, true},
	} {
		var d Demand
		now := time.Duration(0)
		for range 5 * c.rate {
			now += time.Second / time.Duration(c.rate)
			d.Asked(now)
		}
		require.InEpsilon(t, c.rate, d.Rate(now), 0.05, c.name)
		require.Equal(t, c.want, d.Exceeds(now, slots, work, c.waiting), c.name)
		require.False(t, d.Exceeds(now, slots, 0, c.waiting), "without a known duration of work")
		require.False(t, d.Exceeds(now+4*time.Second, slots, work, 0), "after the peak")
	}
}

// All callers come back at once after an outage: the excess is short, and they wait.
func TestDemandOfReturningCallers(t *testing.T) {
	var d Demand
	for range 30 {
		d.Asked(time.Second)
	}
	require.False(t, d.Exceeds(time.Second, 6, 30*time.Millisecond, 26))
}

// Attempts that were refused and come back at once must not keep up the overload by themselves.
func TestRefusedAttemptsCountOnce(t *testing.T) {
	var asked, refused Demand
	for range 10 {
		asked.Asked(time.Second)
		for range 3 {
			refused.Refused(time.Second)
		}
	}
	require.InDelta(t, asked.Rate(time.Second), refused.Rate(time.Second), 1e-9)
}

func TestWork(t *testing.T) {
	const ms = time.Millisecond
	var w Work
	for _, sample := range []time.Duration{2000 * ms, 30 * ms, 40 * ms, 35 * ms} {
		w.Add(sample)
		require.Zero(t, w.Mean())
	}
	w.Add(30 * ms)
	require.Equal(t, 30*ms, w.Mean(), "a first answer that was delayed does not count")
	w.Add(3 * time.Second)
	require.Less(t, w.Mean(), 45*ms, "nor does a single one later")
	for range 40 {
		w.Add(270 * ms)
	}
	require.InDelta(t, 270, w.Mean().Seconds()*1000, 5, "lasting slowness does")
}
