package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
)

func TestIdleReportOfAnOverloadedUpstream(t *testing.T) {
	r := newHarness(serviceOf(4, 2))
	misreporting := r.upstreams[1]
	misreporting.otherHostsRunning = 1
	misreporting.report = &Report{Healthy: true}
	r.run(2*time.Second, 1)
	r.resetCounts()
	r.run(5*time.Second, 2)
	require.LessOrEqual(t, misreporting.peak, 1)
	require.Less(t, r.shed, 5*4, "false reports cause fewer than four sheds per second")
	require.GreaterOrEqual(t, r.answered, 330, "of 350")
}

func TestHealthyReportOfADeadUpstream(t *testing.T) {
	r := newHarness(serviceOf(4, 2))
	r.run(time.Second, 1)
	r.upstreams[1].dead = true
	r.upstreams[1].report = &Report{Healthy: true}
	r.run(10*time.Second, 0)
	r.resetCounts()
	r.run(30*time.Second, 1)
	require.LessOrEqual(t, r.upstreams[1].started, 8)
	require.LessOrEqual(t, r.timeouts, 8)
	r.upstreams[1].dead = false
	r.run(60*time.Second, 1)
	r.resetCounts()
	r.run(5*time.Second, 1)
	require.Positive(t, r.upstreams[1].started, "the upstream is used again after an answered probe")
}

func TestDeadUpstreamIsAvoidedBeforeTheFirstTimeout(t *testing.T) {
	r := newHarness(serviceOf(4, 10))
	r.run(2*time.Second, 0)
	r.run(time.Second, 1)
	r.upstreams[1].dead = true
	r.upstreams[1].report = &Report{Healthy: true}
	r.resetCounts()
	r.run(time.Second, 1)
	before := r.upstreams[1].started
	r.run(requestTimeout/2-10*step, 2)
	require.Zero(t, r.timeouts)
	require.Equal(t, before, r.upstreams[1].started, "the upstream is overdue and gets no more requests")
}

func TestFrozenReportIsIgnored(t *testing.T) {
	r := newHarness(serviceOf(4, 2))
	r.run(2*time.Second, 0)
	r.upstreams[1].report = &Report{Healthy: true, Running: 2, Connections: 2_000}
	r.run(5*time.Second, 1)
	r.resetCounts()
	r.run(5*time.Second, 8)
	require.GreaterOrEqual(t, r.answered, 390, "both slots of the upstream with frozen reports are used")
	seen := map[ids.UpstreamID]bool{}
	for range 8 {
		seen[r.p.PlaceFlow(r.now).Upstream] = true
	}
	require.True(t, seen[1], "flows are placed in spite of the frozen connection count")
}

func TestUnhealthyReportOfAGoodUpstream(t *testing.T) {
	r := newHarness(serviceOf(2, 2))
	r.upstreams[1].report = &Report{Healthy: false}
	r.run(5*time.Second, 4)
	r.resetCounts()
	r.run(5*time.Second, 4)
	require.GreaterOrEqual(t, r.answered, 195, "unhealthy reports must not reduce the capacity")
}

func TestReportsRevealMissedAnswers(t *testing.T) {
	r := newHarness(serviceOf(1, 2))
	r.run(time.Second, 0)
	r.p.Offer(r.now, Request{Ticket: 1_001, Deadline: r.now + time.Minute})
	r.p.Offer(r.now, Request{Ticket: 1_002, Deadline: r.now + time.Minute})
	r.run(2*time.Second, 0)
	require.Equal(t, ActionStart, r.offer().Action, "reports show that both requests have ended")
	require.Equal(t, ActionWait, r.offer().Action, "one extra request at a time")
	r.run(step*2, 0)
	r.p.observe(r.now, r.p.byID[1], OutcomeShed, 0)
	r.run(time.Second, 0)
	require.Zero(t, r.p.byID[1].reports.extraSlots(r.now), "a shed contradicts the reports")
}

func TestAddedUpstreamStartsSlowly(t *testing.T) {
	s := serviceOf(4, 2)
	r := newHarness(s)
	r.run(2*time.Second, 1)
	grown := serviceOf(5, 2)
	r.upstreams[5] = &fakeUpstream{slots: 2, latency: serviceTime}
	r.order = append(r.order, 5)
	r.p.Update(r.now, grown)
	r.resetCounts()
	r.run(time.Second, 1)
	first := r.upstreams[5].started
	require.LessOrEqual(t, first, 5)
	r.run(10*time.Second, 1)
	r.resetCounts()
	r.run(time.Second, 1)
	require.GreaterOrEqual(t, r.upstreams[5].started, 14, "of the full share of 20")
}

func TestRestartedUpstreamStartsSlowly(t *testing.T) {
	r := newHarness(serviceOf(4, 2))
	for _, u := range r.upstreams {
		u.report = &Report{Healthy: true, Incarnation: 1}
	}
	r.run(2*time.Second, 1)
	r.upstreams[1].report = &Report{Healthy: true, Incarnation: 2}
	r.run(step*10, 0)
	r.resetCounts()
	r.run(time.Second, 1)
	require.LessOrEqual(t, r.upstreams[1].started, 5)
}

func TestAddedUpstreamGetsNoBurstOfFlows(t *testing.T) {
	r := newHarness(serviceOf(4, 2))
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

func TestPanicThresholdProbesAllUpstreams(t *testing.T) {
	r := newHarness(serviceOf(4, 2))
	r.run(time.Second, 1)
	for _, u := range r.upstreams {
		u.dead = true
	}
	r.run(90*time.Second, 1)
	for _, u := range r.upstreams {
		u.dead = false
	}
	r.resetCounts()
	r.run(requestTimeout+2*time.Second, 1)
	r.resetCounts()
	r.run(time.Second, 1)
	require.GreaterOrEqual(t, r.answered, 25, "most upstreams are in use again soon after they recover")
}

func TestSlowUpstreamIsLimited(t *testing.T) {
	r := newHarness(serviceOf(4, 3))
	r.upstreams[1].latency = 5 * serviceTime
	r.run(10*time.Second, 1)
	r.resetCounts()
	r.run(5*time.Second, 1)
	require.LessOrEqual(t, r.upstreams[1].peak, 2)
}

func twoZones() *config.Service {
	s := serviceOf(6, 2)
	for i := 3; i < 6; i++ {
		s.Upstreams[i].Zone = "b"
	}
	return s
}

func TestRequestsSpillWhenLocalUpstreamsFail(t *testing.T) {
	r := newHarness(twoZones())
	r.run(2*time.Second, 2)
	require.Zero(t, r.upstreams[4].started+r.upstreams[5].started+r.upstreams[6].started, "overload alone must not cause spilling")
	for id := ids.UpstreamID(1); id <= 3; id++ {
		r.upstreams[id].dead = true
	}
	r.run(4*requestTimeout, 1)
	r.resetCounts()
	r.run(5*time.Second, 1)
	require.GreaterOrEqual(t, r.answered, 130, "of the 150 that one slot per remote upstream allows")
	for id := ids.UpstreamID(4); id <= 6; id++ {
		require.LessOrEqual(t, r.upstreams[id].peak, 1)
	}
}

func TestSpilledRequestsReturnGradually(t *testing.T) {
	r := newHarness(twoZones())
	r.run(time.Second, 1)
	for id := ids.UpstreamID(1); id <= 3; id++ {
		r.upstreams[id].dead = true
	}
	r.run(4*requestTimeout, 1)
	for id := ids.UpstreamID(1); id <= 3; id++ {
		r.upstreams[id].dead = false
	}
	var perSecond []int
	for range 60 {
		r.resetCounts()
		r.run(time.Second, 1)
		perSecond = append(perSecond, r.upstreams[1].started+r.upstreams[2].started+r.upstreams[3].started)
		require.LessOrEqual(t, r.shed, 1)
	}
	for i := 1; i < len(perSecond); i++ {
		require.LessOrEqual(t, perSecond[i]-perSecond[i-1], 30, "second %d of %v", i, perSecond)
	}
	require.Zero(t, r.upstreams[4].started+r.upstreams[5].started+r.upstreams[6].started)
	require.False(t, r.p.spill.active)
}

func TestSpillEndsWithoutReportsFromTheOtherZone(t *testing.T) {
	r := newHarness(twoZones())
	r.run(2*time.Second, 1)
	s := twoZones()
	for i := range 3 {
		s.Upstreams[i].State = config.UpstreamDraining
	}
	r.p.Update(r.now, s)
	r.run(time.Second, 1)
	require.Positive(t, r.upstreams[4].started)
	r.order = r.order[:3]
	r.run(2*minReportTTL, 1)
	r.resetCounts()
	r.run(2*time.Second, 1)
	require.Zero(t, r.upstreams[4].started, "an upstream without fresh reports gets no spilled requests")
	require.NotEmpty(t, r.refused)
}

func TestAdoptedUpstreamsUseAllSlots(t *testing.T) {
	r := newHarness(twoZones())
	r.run(time.Second, 1)
	require.Zero(t, r.upstreams[4].started)
	r.p.AdoptZones(r.now, []string{"b"})
	r.run(time.Second, 1)
	r.resetCounts()
	r.run(5*time.Second, 2)
	require.GreaterOrEqual(t, r.answered, 570, "of the 600 that all six upstreams allow")
	require.Zero(t, r.shed)
	r.order = r.order[:3]
	r.run(2*minReportTTL, 1)
	r.resetCounts()
	r.run(2*time.Second, 1)
	require.Zero(t, r.upstreams[4].started, "an adopted zone without fresh reports may be unreachable")
}

func TestUnreachableAdoptedUpstreamGetsAtMostOneRequest(t *testing.T) {
	r := newHarness(twoZones())
	r.order = r.order[:3]
	r.p.AdoptZones(r.now, []string{"b"})
	for id := ids.UpstreamID(4); id <= 6; id++ {
		r.upstreams[id].dead = true
	}
	r.run(requestTimeout+time.Second, 1)
	for id := ids.UpstreamID(4); id <= 6; id++ {
		require.LessOrEqual(t, r.upstreams[id].started, 1)
	}
}

func TestUnhealthyReportProvesNoFreeSlot(t *testing.T) {
	r := newHarness(serviceOf(1, 2))
	r.run(time.Second, 0)
	r.p.Offer(r.now, Request{Ticket: 1_001, Deadline: r.now + time.Minute})
	r.p.Offer(r.now, Request{Ticket: 1_002, Deadline: r.now + time.Minute})
	r.upstreams[1].report = &Report{}
	r.run(2*time.Second, 0)
	require.Equal(t, ActionWait, r.offer().Action)
}

func TestSpillChangesAfterDelay(t *testing.T) {
	var s spill
	low, high := localSlots{usable: 4, configured: 10}, localSlots{usable: 9, configured: 10}
	s.update(0, low)
	require.False(t, s.active, "spilling must not start before the delay")
	s.update(spillStartDelay, low)
	require.True(t, s.active)
	s.update(spillStartDelay+time.Second, high)
	s.update(spillStartDelay+2*time.Second, low)
	s.update(spillStartDelay+3*time.Second, high)
	s.update(spillStartDelay+spillStopDelay+2*time.Second, high)
	require.True(t, s.active, "a dip restarts the delay")
	s.update(spillStartDelay+spillStopDelay+3*time.Second, high)
	require.False(t, s.active)
}

func TestInfrequentReportsStayFresh(t *testing.T) {
	const interval = 5 * time.Second
	r := newHarness(twoZones())
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
	require.GreaterOrEqual(t, r.answered, 570, "adopted upstreams are used until the next report is due")
	r.run(2*interval+step, 1)
	r.resetCounts()
	r.run(interval, 1)
	require.Zero(t, r.upstreams[4].started, "three intervals without a report count as unreachable")
}

func TestEventsAfterTheLastReportDoNotFreezeIt(t *testing.T) {
	const interval = 5 * time.Second
	var h reportState
	h.update(0, Report{Healthy: true, Running: 1})
	h.update(interval, Report{Healthy: true, Running: 2})
	for i := range 4 * frozenEvents {
		h.ownRunning.record(interval+time.Duration(i)*step, i%2)
	}
	require.True(t, h.valid(2*interval-step))
	h.update(2*interval, Report{Healthy: true, Running: 2})
	require.False(t, h.valid(2*interval), "an unchanged report after many events is frozen")
}
