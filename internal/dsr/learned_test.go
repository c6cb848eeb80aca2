package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mixedScale is the shape of a deployment with 33 hosts in front of 120 upstreams, at a third of its size.
var mixedScale = loadScale{3, 4, 14,
	loadClass{streamPort, 398, 40 * time.Millisecond, 300 * time.Millisecond, 2500 * time.Millisecond, 1, 0.5, true},
	loadClass{orderPort, 114, 52 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second, 2, 1, false}}

// slow makes every second upstream work more slowly by a factor.
func (w *loadWorld) slow(factor float64) {
	for i, u := range w.directory.Upstreams {
		if i%2 == 0 {
			w.upstreams[u.Addr].slower = factor
		}
	}
}

// served returns the requests that the slow and the other upstreams answered since the last call.
func (w *loadWorld) served() (slow, usual int) {
	for i, u := range w.directory.Upstreams {
		p := w.upstreams[u.Addr]
		if i%2 == 0 {
			slow += p.served
		} else {
			usual += p.served
		}
		p.served = 0
	}
	return slow, usual
}

// counts returns the sum of the judgements of all hosts.
func (w *loadWorld) counts() (n LearnedCounts) {
	for _, hosts := range w.zones {
		for _, c := range hosts {
			l := c.LearnedCounts()
			n.Slow, n.Limited, n.Changes, n.Sheds = n.Slow+l.Slow, n.Limited+l.Limited, n.Changes+l.Changes, n.Sheds+l.Sheds
		}
	}
	return n
}

// Half of the upstreams turn six times slower. They must not get more than a sixth of what the others get, and
// all must get the same again two seconds after they recovered.
func TestHalfOfUpstreamsSlow(t *testing.T) {
	for seed := range uint64(3) {
		w := newLoadWorld(mixedScale, seed+1)
		w.start()
		w.RunUntil(6 * time.Second)
		w.slow(6)
		w.RunUntil(7 * time.Second)
		w.served()
		o := w.measure(10 * time.Second)
		slow, usual := w.served()
		t.Log("slow:", o, slow, usual)
		require.LessOrEqual(t, float64(slow), float64(usual)/6)
		require.GreaterOrEqual(t, o.worth/o.owed, 0.95)
		w.slow(1)
		w.RunUntil(w.Now() + 2*time.Second)
		w.served()
		o = w.measure(5 * time.Second)
		slow, usual = w.served()
		t.Log("recovered:", o, slow, usual)
		require.GreaterOrEqual(t, float64(slow), 0.85*float64(usual))
	}
}

// Upstreams that are alike must be treated as if nothing were learned.
func TestAlikeUpstreamsAreNotJudgedSlow(t *testing.T) {
	w := newLoadWorld(mixedScale, 1)
	w.start()
	w.RunUntil(30 * time.Second)
	n := w.counts()
	t.Logf("%+v", n)
	require.LessOrEqual(t, n.Slow+n.Limited, 1)
	require.LessOrEqual(t, n.Changes, uint64(12), "for 42 upstreams in 30 s")
}

// All upstreams turn slow alike: the requests are heavier, and the limits stay at the slots.
func TestAllSlowUpstreamsKeepTheirSlots(t *testing.T) {
	w := newLoadWorld(mixedScale, 1)
	w.start()
	w.RunUntil(6 * time.Second)
	w.slowdown = 3
	w.RunUntil(9 * time.Second)
	all, work := 0, time.Duration(0)
	for _, hosts := range w.zones {
		for _, c := range hosts {
			for _, u := range c.services["orders"].own {
				all++
				work += u.learnedWork(w.Now())
				require.EqualValues(t, u.Slots, u.learnedLimit(w.Now()))
			}
		}
	}
	n := w.counts()
	t.Logf("%v on average, %+v", work/time.Duration(all), n)
	require.InDelta(t, 3*0.042, work.Seconds()/float64(all), 0.025, "of 42 ms on average")
	require.LessOrEqual(t, n.Slow, 4, "in the judgement of 12 hosts")
}
