package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// loadScales are the sizes at which each load pattern is played.
var loadScales = []struct {
	name  string
	scale loadScale
}{{"small", smallScale}, {"large", largeScale}}

// playLoad plays usual traffic for a while, then a load pattern.
func playLoad(t *testing.T, pattern func(t *testing.T, w *loadWorld)) {
	for _, s := range loadScales {
		t.Run(s.name, func(t *testing.T) {
			w := newLoadWorld(s.scale, 1)
			w.start()
			w.RunUntil(6 * time.Second)
			pattern(t, w)
		})
	}
}

// requireRecovered requires all requests of the usual traffic to be in time from two seconds after now.
func (w *loadWorld) requireRecovered(t *testing.T) {
	w.slowdown, w.pressure, w.callersZone = 1, 1, -1
	w.RunUntil(w.Now() + 2*time.Second)
	o := w.measure(3 * time.Second)
	t.Log("after the peak:", o)
	require.GreaterOrEqual(t, float64(total(o.inTime)), 0.99*float64(total(o.asked)))
}

func TestUsualLoadIsServedInTime(t *testing.T) {
	playLoad(t, func(t *testing.T, w *loadWorld) {
		o := w.measure(6 * time.Second)
		t.Log(o)
		require.GreaterOrEqual(t, float64(total(o.inTime)), 0.99*float64(total(o.asked)))
		require.Zero(t, o.refusals)
	})
}

// More is asked than the upstreams can do, because all are slow while the traffic doubles. Requests
// must not queue where nobody can choose any more, who can't be served is told so at once, and the
// urgent go first.
func TestSlowUpstreamsUnderBurst(t *testing.T) {
	playLoad(t, func(t *testing.T, w *loadWorld) {
		w.slowdown, w.pressure = 9, 2
		w.RunUntil(8 * time.Second)
		o := w.measure(6 * time.Second)
		t.Logf("attainable %.3f, %s", w.attainable(), o)
		asked := float64(total(o.asked))
		require.Less(t, float64(o.sheds), 0.05*asked, "upstreams shed next to nothing")
		require.Less(t, float64(o.held), 0.1*asked, "who fails is told early")
		served := func(i int) float64 { return float64(o.inTime[i]+o.late[i]) / float64(o.asked[i]) }
		require.Greater(t, served(1), 1.5*served(0), "orders are served before streams")
		w.requireRecovered(t)
	})
}

// A burst of several times the usual traffic, at upstreams of usual speed. The aim is eight tenths of
// what the upstreams could give.
func TestBurst(t *testing.T) {
	playLoad(t, func(t *testing.T, w *loadWorld) {
		w.pressure = 12
		w.RunUntil(8 * time.Second)
		o := w.measure(5 * time.Second)
		t.Logf("attainable %.3f, %s", w.attainable(), o)
		require.GreaterOrEqual(t, o.worth/o.owed, 0.8*w.attainable())
		require.GreaterOrEqual(t, float64(o.inTime[1]), 0.95*float64(o.asked[1]), "orders are in time")
		w.requireRecovered(t)
	})
}

// All upstreams turn slow, with as much to do as they can: few are refused.
func TestSlowUpstreams(t *testing.T) {
	playLoad(t, func(t *testing.T, w *loadWorld) {
		w.slowdown = 6
		w.RunUntil(8 * time.Second)
		o := w.measure(6 * time.Second)
		t.Logf("attainable %.3f, %s", w.attainable(), o)
		require.Less(t, float64(total(o.failed)), 0.05*float64(total(o.asked)))
		// At the small size, the work alone takes eight tenths of the latency objective.
		if w.scale.stream.work*time.Duration(w.slowdown) < w.scale.stream.objective/2 {
			require.GreaterOrEqual(t, o.worth/o.owed, 0.8*w.attainable())
		}
		w.requireRecovered(t)
	})
}

// Four upstreams in ten crash at once and answer with resets, or fall silent, under the usual traffic.
// Callers try three times; the share that each host opens flows at must not teach every host anew.
func TestCrashOfManyUpstreams(t *testing.T) {
	for _, dark := range []bool{false, true} {
		playLoad(t, func(t *testing.T, w *loadWorld) {
			// Flows at the upstreams that crash are lost in any case.
			w.streams = nil
			w.crash(0.4, dark)
			o := w.measure(4 * time.Second)
			t.Logf("dark %v: %s", dark, o)
			require.Less(t, float64(total(o.failed)), 0.01*float64(total(o.asked)))
		})
	}
}

// All hosts are down for a while, then all callers come back at once. The upstreams can work this off
// before the callers give up, so nobody is refused.
func TestReturnAfterOutageOfAllHosts(t *testing.T) {
	playLoad(t, func(t *testing.T, w *loadWorld) {
		w.zones, w.streams = nil, nil
		w.RunUntil(w.Now() + time.Second)
		w.startHosts()
		w.After(time.Second, w.knowPlaces)
		o := w.measure(2 * time.Second)
		t.Log(o)
		require.Zero(t, o.refusals)
		w.requireRecovered(t)
	})
}

// All callers are moved to the hosts of one zone. Its hosts spill to the upstreams of other zones.
func TestAllCallersInOneZone(t *testing.T) {
	playLoad(t, func(t *testing.T, w *loadWorld) {
		w.callersZone = 0
		w.RunUntil(w.Now() + time.Second)
		o := w.measure(4 * time.Second)
		t.Log(o)
		require.GreaterOrEqual(t, float64(total(o.inTime)), 0.99*float64(total(o.asked)))
	})
}

// One upstream is left of a service. It is kept busy, and the others know at once.
func TestOneUpstreamLeft(t *testing.T) {
	playLoad(t, func(t *testing.T, w *loadWorld) {
		w.streams = nil
		left := w.directory.Upstreams[0].Key
		for _, hosts := range w.zones {
			for _, c := range hosts {
				ch := &directory.Change{Revision: 20}
				for _, u := range w.directory.Upstreams {
					if u.Key != left {
						ch.Removed = append(ch.Removed, directory.Removal{Key: u.Key, Revision: 20})
					}
				}
				c.Apply(w.Now(), ch)
			}
		}
		w.RunUntil(w.Now() + lapseGrace + time.Second)
		o := w.measure(4 * time.Second)
		t.Log(o)
		w.requireServedByOne(t, o, 4*time.Second)
		require.Less(t, float64(o.held), 0.1*float64(total(o.asked)), "who fails is told early")
	})
}

// requireServedByOne requires one upstream to have been busy for at least half of the time.
func (w *loadWorld) requireServedByOne(t *testing.T, o *loadOutcome, d time.Duration) {
	served := 0.0
	for i, class := range []loadClass{w.scale.stream, w.scale.order} {
		served += float64(o.inTime[i]+o.late[i]) * class.work.Seconds()
	}
	require.Greater(t, served, 0.5*d.Seconds()*float64(w.directory.Upstreams[0].Slots))
}
