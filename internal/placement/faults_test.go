package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
)

func TestIdleReportOfAnOverloadedUpstream(t *testing.T) {
	r := newRig(serviceOf(4, 2))
	liar := r.up[1]
	liar.foreign = 1
	liar.report = &Report{Healthy: true}
	r.run(2*time.Second, 1)
	r.resetCounts()
	r.run(5*time.Second, 2)
	require.LessOrEqual(t, liar.peak, 1)
	require.Less(t, r.shed, 5*4, "the lie costs less than four sheds a second")
	require.GreaterOrEqual(t, r.answered, 330, "of 350")
}

func TestHealthyReportOfADeadUpstream(t *testing.T) {
	r := newRig(serviceOf(4, 2))
	r.run(time.Second, 1)
	r.up[1].dead = true
	r.up[1].report = &Report{Healthy: true}
	r.run(10*time.Second, 0)
	r.resetCounts()
	r.run(30*time.Second, 1)
	require.LessOrEqual(t, r.up[1].started, 8)
	require.LessOrEqual(t, r.timeouts, 8)
	r.up[1].dead = false
	r.run(60*time.Second, 1)
	r.resetCounts()
	r.run(5*time.Second, 1)
	require.Positive(t, r.up[1].started, "it is used again once a probe was answered")
}

func TestDeadUpstreamIsAvoidedBeforeTheFirstTimeout(t *testing.T) {
	r := newRig(serviceOf(4, 10))
	r.run(2*time.Second, 0)
	r.run(time.Second, 1)
	r.up[1].dead = true
	r.up[1].report = &Report{Healthy: true}
	r.resetCounts()
	r.run(time.Second, 1)
	before := r.up[1].started
	r.run(patience/2-10*step, 2)
	require.Zero(t, r.timeouts)
	require.Equal(t, before, r.up[1].started, "more load finds it overdue")
}

func TestFrozenReportIsIgnored(t *testing.T) {
	r := newRig(serviceOf(4, 2))
	r.run(2*time.Second, 0)
	r.up[1].report = &Report{Healthy: true, Running: 2, Connections: 2_000}
	r.run(5*time.Second, 1)
	r.resetCounts()
	r.run(5*time.Second, 8)
	require.GreaterOrEqual(t, r.answered, 390, "the frozen upstream runs its two slots")
	seen := map[ids.UpstreamID]bool{}
	for range 8 {
		seen[r.p.PlaceFlow(r.now).Upstream] = true
	}
	require.True(t, seen[1], "it may get flows")
}

func TestUnhealthyReportOfAGoodUpstream(t *testing.T) {
	r := newRig(serviceOf(2, 2))
	r.up[1].report = &Report{Healthy: false}
	r.run(5*time.Second, 4)
	r.resetCounts()
	r.run(5*time.Second, 4)
	require.GreaterOrEqual(t, r.answered, 195, "a hint takes no capacity away")
}

func TestMissedAnswersAreProvenByReports(t *testing.T) {
	r := newRig(serviceOf(1, 2))
	r.run(time.Second, 0)
	r.p.Offer(r.now, Request{Ticket: 1_001, Deadline: r.now + time.Minute})
	r.p.Offer(r.now, Request{Ticket: 1_002, Deadline: r.now + time.Minute})
	r.run(2*time.Second, 0)
	require.Equal(t, ActionStart, r.offer().Action, "reports show that both have ended")
	require.Equal(t, ActionWait, r.offer().Action, "one extra request at a time")
	r.run(step*2, 0)
	r.p.observe(r.now, r.p.byID[1], OutcomeShed, 0)
	r.run(time.Second, 0)
	require.Zero(t, r.p.byID[1].hint.extra(r.now), "a shed refutes the reports")
}

func TestColdUpstreamGetsASlowRamp(t *testing.T) {
	s := serviceOf(4, 2)
	r := newRig(s)
	r.run(2*time.Second, 1)
	grown := serviceOf(5, 2)
	r.up[5] = &fakeUpstream{slots: 2, took: serviceTime}
	r.order = append(r.order, 5)
	r.p.Update(r.now, grown)
	r.resetCounts()
	r.run(time.Second, 1)
	first := r.up[5].started
	require.LessOrEqual(t, first, 5)
	r.run(10*time.Second, 1)
	r.resetCounts()
	r.run(time.Second, 1)
	require.GreaterOrEqual(t, r.up[5].started, 14, "full share is 20")
}

func TestRestartedUpstreamGetsASlowRamp(t *testing.T) {
	r := newRig(serviceOf(4, 2))
	for _, u := range r.up {
		u.report = &Report{Healthy: true, Incarnation: 1}
	}
	r.run(2*time.Second, 1)
	r.up[1].report = &Report{Healthy: true, Incarnation: 2}
	r.run(step*10, 0)
	r.resetCounts()
	r.run(time.Second, 1)
	require.LessOrEqual(t, r.up[1].started, 5)
}

func TestColdUpstreamGetsNoWaveOfFlows(t *testing.T) {
	r := newRig(serviceOf(4, 2))
	for range 2_000 {
		r.p.PlaceFlow(r.now)
		r.now += step
	}
	r.p.Update(r.now, serviceOf(5, 2))
	got := 0
	for range 500 {
		if r.p.PlaceFlow(r.now).Upstream == 5 {
			got++
		}
		r.now += step
	}
	require.Less(t, got, 250)
	require.Positive(t, got)
}

func TestWhenMostLookDeadAllAreProbed(t *testing.T) {
	r := newRig(serviceOf(4, 2))
	r.run(time.Second, 1)
	for _, u := range r.up {
		u.dead = true
	}
	r.run(90*time.Second, 1)
	for _, u := range r.up {
		u.dead = false
	}
	r.resetCounts()
	r.run(patience+2*time.Second, 1)
	r.resetCounts()
	r.run(time.Second, 1)
	require.GreaterOrEqual(t, r.answered, 25, "most upstreams are back soon after they answer")
}

func TestSlowUpstreamIsLimited(t *testing.T) {
	r := newRig(serviceOf(4, 3))
	r.up[1].took = 5 * serviceTime
	r.run(10*time.Second, 1)
	r.resetCounts()
	r.run(5*time.Second, 1)
	require.LessOrEqual(t, r.up[1].peak, 2)
}

func twoZones() *config.Service {
	s := serviceOf(6, 2)
	for i := 3; i < 6; i++ {
		s.Upstreams[i].Zone = "b"
	}
	return s
}

func TestWorkSpillsWhenOwnUpstreamsAreShort(t *testing.T) {
	r := newRig(twoZones())
	r.run(2*time.Second, 2)
	require.Zero(t, r.up[4].started+r.up[5].started+r.up[6].started, "a flood alone does not spill")
	for id := ids.UpstreamID(1); id <= 3; id++ {
		r.up[id].dead = true
	}
	r.run(4*patience, 1)
	r.resetCounts()
	r.run(5*time.Second, 1)
	require.GreaterOrEqual(t, r.answered, 130, "of the 150 that one slot of each remote upstream can run")
	for id := ids.UpstreamID(4); id <= 6; id++ {
		require.LessOrEqual(t, r.up[id].peak, 1)
	}
}

func TestSpilledWorkReturnsWithoutAWave(t *testing.T) {
	r := newRig(twoZones())
	r.run(time.Second, 1)
	for id := ids.UpstreamID(1); id <= 3; id++ {
		r.up[id].dead = true
	}
	r.run(4*patience, 1)
	for id := ids.UpstreamID(1); id <= 3; id++ {
		r.up[id].dead = false
	}
	var perSecond []int
	for range 60 {
		r.resetCounts()
		r.run(time.Second, 1)
		perSecond = append(perSecond, r.up[1].started+r.up[2].started+r.up[3].started)
		require.LessOrEqual(t, r.shed, 1)
	}
	for i := 1; i < len(perSecond); i++ {
		require.LessOrEqual(t, perSecond[i]-perSecond[i-1], 30, "second %d of %v", i, perSecond)
	}
	require.Zero(t, r.up[4].started+r.up[5].started+r.up[6].started)
	require.False(t, r.p.spill.on)
}

func TestSpillEndsWhenTheOtherZoneIsCutOff(t *testing.T) {
	r := newRig(twoZones())
	r.run(2*time.Second, 1)
	s := twoZones()
	for i := range 3 {
		s.Upstreams[i].State = config.UpstreamDraining
	}
	r.p.Update(r.now, s)
	r.run(time.Second, 1)
	require.Positive(t, r.up[4].started)
	r.order = r.order[:3]
	r.run(2*hintLife, 1)
	r.resetCounts()
	r.run(2*time.Second, 1)
	require.Zero(t, r.up[4].started, "without fresh reports nothing is sent there")
	require.NotEmpty(t, r.refused)
}

func TestAdoptedUpstreamsAreCountedExactly(t *testing.T) {
	r := newRig(twoZones())
	r.run(time.Second, 1)
	require.Zero(t, r.up[4].started)
	r.p.AdoptZones(r.now, []string{"b"})
	r.run(time.Second, 1)
	r.resetCounts()
	r.run(5*time.Second, 2)
	require.GreaterOrEqual(t, r.answered, 570, "of the 600 that all six upstreams can run")
	require.Zero(t, r.shed)
	r.order = r.order[:3]
	r.run(2*hintLife, 1)
	r.resetCounts()
	r.run(2*time.Second, 1)
	require.Zero(t, r.up[4].started, "an adopted zone without reports may be cut off")
}

func TestUnreachableAdoptedUpstreamCostsOneRequest(t *testing.T) {
	r := newRig(twoZones())
	r.order = r.order[:3]
	r.p.AdoptZones(r.now, []string{"b"})
	for id := ids.UpstreamID(4); id <= 6; id++ {
		r.up[id].dead = true
	}
	r.run(patience+time.Second, 1)
	for id := ids.UpstreamID(4); id <= 6; id++ {
		require.LessOrEqual(t, r.up[id].started, 1)
	}
}

func TestFailedPollProvesNoFreeSlot(t *testing.T) {
	r := newRig(serviceOf(1, 2))
	r.run(time.Second, 0)
	r.p.Offer(r.now, Request{Ticket: 1_001, Deadline: r.now + time.Minute})
	r.p.Offer(r.now, Request{Ticket: 1_002, Deadline: r.now + time.Minute})
	r.up[1].report = &Report{}
	r.run(2*time.Second, 0)
	require.Equal(t, ActionWait, r.offer().Action)
}

func TestSpillHoldsItsState(t *testing.T) {
	var s spill
	low, high := ownSlots{usable: 4, configured: 10}, ownSlots{usable: 9, configured: 10}
	s.update(0, low)
	require.False(t, s.on, "a short dip is no reason")
	s.update(spillAfter, low)
	require.True(t, s.on)
	s.update(spillAfter+time.Second, high)
	s.update(spillAfter+2*time.Second, low)
	s.update(spillAfter+3*time.Second, high)
	s.update(spillAfter+spillHold+2*time.Second, high)
	require.True(t, s.on, "the dip started the wait anew")
	s.update(spillAfter+spillHold+3*time.Second, high)
	require.False(t, s.on)
}

func TestRareReportsStayFresh(t *testing.T) {
	const interval = 5 * time.Second
	r := newRig(twoZones())
	r.p.AdoptZones(r.now, []string{"b"})
	order := r.order
	r.order = nil
	for range 5 {
		r.run(interval, 1)
		r.order = order
		r.reportAll()
		r.order = nil
	}
	r.resetCounts()
	r.run(interval-step, 2)
	require.GreaterOrEqual(t, r.answered, 570, "adopted upstreams are used up to the next report")
	r.run(2*interval+step, 1)
	r.resetCounts()
	r.run(interval, 1)
	require.Zero(t, r.up[4].started, "three intervals without report may be a cut")
}

func TestEventsAfterTheLastReportDontFreezeIt(t *testing.T) {
	const interval = 5 * time.Second
	var h hint
	h.take(0, Report{Healthy: true, Running: 1})
	h.take(interval, Report{Healthy: true, Running: 2})
	for i := range 4 * frozenEvents {
		h.own.record(interval+time.Duration(i)*step, i%2)
	}
	require.True(t, h.believed(2*interval-step))
	h.take(2*interval, Report{Healthy: true, Running: 2})
	require.False(t, h.believed(2*interval), "the same report again, after so many events")
}
