package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
)

func TestFalseIdleReportsCauseFewSheds(t *testing.T) {
	h := newHarness(serviceOf(4, 2))
	misreporting := h.upstreams[1]
	misreporting.otherHostsRunning = 1
	misreporting.report = &Report{Healthy: true}
	h.run(2*time.Second, 1)
	h.resetCounts()
	h.run(5*time.Second, 2)
	require.LessOrEqual(t, misreporting.peak, 1)
	require.Less(t, h.shed, 5*4, "false reports cause fewer than four sheds per second")
	require.GreaterOrEqual(t, h.answered, 330, "of 350")
}

func TestDeadUpstreamIsEjectedDespiteHealthyReports(t *testing.T) {
	h := newHarness(serviceOf(4, 2))
	h.run(time.Second, 1)
	h.upstreams[1].dead = true
	h.upstreams[1].report = &Report{Healthy: true}
	h.run(10*time.Second, 0)
	h.resetCounts()
	h.run(30*time.Second, 1)
	require.LessOrEqual(t, h.upstreams[1].started, 8)
	require.LessOrEqual(t, h.timeouts, 8)
	h.upstreams[1].dead = false
	h.run(60*time.Second, 1)
	h.resetCounts()
	h.run(5*time.Second, 1)
	require.Positive(t, h.upstreams[1].started, "the upstream is used again after an answered probe")
}

func TestDeadUpstreamIsAvoidedBeforeTheFirstTimeout(t *testing.T) {
	h := newHarness(serviceOf(4, 10))
	h.run(2*time.Second, 0)
	h.run(time.Second, 1)
	h.upstreams[1].dead = true
	h.upstreams[1].report = &Report{Healthy: true}
	h.resetCounts()
	h.run(time.Second, 1)
	before := h.upstreams[1].started
	h.run(requestTimeout/2-10*step, 2)
	require.Zero(t, h.timeouts)
	require.Equal(t, before, h.upstreams[1].started, "the upstream is overdue and gets no more requests")
}

func TestFrozenReportIsIgnored(t *testing.T) {
	h := newHarness(serviceOf(4, 2))
	h.run(2*time.Second, 0)
	h.upstreams[1].report = &Report{Healthy: true, Running: 2, Connections: 2_000}
	h.run(5*time.Second, 1)
	h.resetCounts()
	h.run(5*time.Second, 8)
	require.GreaterOrEqual(t, h.answered, 390, "both slots of the upstream with frozen reports are used")
	seen := map[ids.UpstreamID]bool{}
	for range 8 {
		seen[h.p.PlaceFlow(h.now).Upstream] = true
	}
	require.True(t, seen[1], "flows are placed in spite of the frozen connection count")
}

func TestFalseUnhealthyReportsKeepCapacity(t *testing.T) {
	h := newHarness(serviceOf(2, 2))
	h.upstreams[1].report = &Report{Healthy: false}
	h.run(5*time.Second, 4)
	h.resetCounts()
	h.run(5*time.Second, 4)
	require.GreaterOrEqual(t, h.answered, 195, "unhealthy reports must not reduce the capacity")
}

func TestReportsRevealMissedAnswers(t *testing.T) {
	h := newHarness(serviceOf(1, 2))
	h.run(time.Second, 0)
	h.p.Offer(h.now, Request{Ticket: 1_001, Deadline: h.now + time.Minute})
	h.p.Offer(h.now, Request{Ticket: 1_002, Deadline: h.now + time.Minute})
	h.run(2*time.Second, 0)
	require.Equal(t, ActionStart, h.offer().Action, "reports show that both requests have ended")
	require.Equal(t, ActionWait, h.offer().Action, "one extra request at a time")
	h.run(step*2, 0)
	h.p.observe(h.now, h.p.byID[1], OutcomeShed, 0)
	h.run(time.Second, 0)
	require.Zero(t, h.p.byID[1].reports.extraSlots(h.now), "a shed contradicts the reports")
}

func TestAddedUpstreamStartsSlowly(t *testing.T) {
	s := serviceOf(4, 2)
	h := newHarness(s)
	h.run(2*time.Second, 1)
	grown := serviceOf(5, 2)
	h.upstreams[5] = &fakeUpstream{slots: 2, latency: serviceTime}
	h.order = append(h.order, 5)
	h.p.Update(h.now, grown)
	h.resetCounts()
	h.run(time.Second, 1)
	first := h.upstreams[5].started
	require.LessOrEqual(t, first, 5)
	h.run(10*time.Second, 1)
	h.resetCounts()
	h.run(time.Second, 1)
	require.GreaterOrEqual(t, h.upstreams[5].started, 14, "of the full share of 20")
}

func TestRestartedUpstreamStartsSlowly(t *testing.T) {
	h := newHarness(serviceOf(4, 2))
	for _, u := range h.upstreams {
		u.report = &Report{Healthy: true, Incarnation: 1}
	}
	h.run(2*time.Second, 1)
	h.upstreams[1].report = &Report{Healthy: true, Incarnation: 2}
	h.run(step*10, 0)
	h.resetCounts()
	h.run(time.Second, 1)
	require.LessOrEqual(t, h.upstreams[1].started, 5)
}

func TestAddedUpstreamGetsNoBurstOfFlows(t *testing.T) {
	h := newHarness(serviceOf(4, 2))
	for range 2_000 {
		h.p.PlaceFlow(h.now)
		h.now += step
	}
	h.p.Update(h.now, serviceOf(5, 2))
	got := 0
	for range 500 {
		if h.p.PlaceFlow(h.now).Upstream == 5 {
			got++
		}
		h.now += step
	}
	require.Less(t, got, 250)
	require.Positive(t, got)
}

func TestPanicThresholdProbesAllUpstreams(t *testing.T) {
	h := newHarness(serviceOf(4, 2))
	h.run(time.Second, 1)
	for _, u := range h.upstreams {
		u.dead = true
	}
	h.run(90*time.Second, 1)
	for _, u := range h.upstreams {
		u.dead = false
	}
	h.resetCounts()
	h.run(requestTimeout+2*time.Second, 1)
	h.resetCounts()
	h.run(time.Second, 1)
	require.GreaterOrEqual(t, h.answered, 25, "most upstreams are in use again soon after they recover")
}

func TestSlowUpstreamIsLimited(t *testing.T) {
	h := newHarness(serviceOf(4, 3))
	h.upstreams[1].latency = 5 * serviceTime
	h.run(10*time.Second, 1)
	h.resetCounts()
	h.run(5*time.Second, 1)
	require.LessOrEqual(t, h.upstreams[1].peak, 2)
}

func twoZones() *config.Service {
	s := serviceOf(6, 2)
	for i := 3; i < 6; i++ {
		s.Upstreams[i].Zone = "b"
	}
	return s
}

func TestRequestsSpillWhenLocalUpstreamsFail(t *testing.T) {
	h := newHarness(twoZones())
	h.run(2*time.Second, 2)
	require.Zero(t, h.upstreams[4].started+h.upstreams[5].started+h.upstreams[6].started, "overload alone must not cause spilling")
	for id := ids.UpstreamID(1); id <= 3; id++ {
		h.upstreams[id].dead = true
	}
	h.run(4*requestTimeout, 1)
	h.resetCounts()
	h.run(5*time.Second, 1)
	require.GreaterOrEqual(t, h.answered, 130, "of the 150 that one slot per remote upstream allows")
	for id := ids.UpstreamID(4); id <= 6; id++ {
		require.LessOrEqual(t, h.upstreams[id].peak, 1)
	}
}

func TestSpilledRequestsReturnGradually(t *testing.T) {
	h := newHarness(twoZones())
	h.run(time.Second, 1)
	for id := ids.UpstreamID(1); id <= 3; id++ {
		h.upstreams[id].dead = true
	}
	h.run(4*requestTimeout, 1)
	for id := ids.UpstreamID(1); id <= 3; id++ {
		h.upstreams[id].dead = false
	}
	var perSecond []int
	for range 60 {
		h.resetCounts()
		h.run(time.Second, 1)
		perSecond = append(perSecond, h.upstreams[1].started+h.upstreams[2].started+h.upstreams[3].started)
		require.LessOrEqual(t, h.shed, 1)
	}
	for i := 1; i < len(perSecond); i++ {
		require.LessOrEqual(t, perSecond[i]-perSecond[i-1], 30, "second %d of %v", i, perSecond)
	}
	require.Zero(t, h.upstreams[4].started+h.upstreams[5].started+h.upstreams[6].started)
	require.False(t, h.p.spill.active)
}

func TestSpillEndsWithoutReportsFromTheOtherZone(t *testing.T) {
	h := newHarness(twoZones())
	h.run(2*time.Second, 1)
	s := twoZones()
	for i := range 3 {
		s.Upstreams[i].State = config.UpstreamDraining
	}
	h.p.Update(h.now, s)
	h.run(time.Second, 1)
	require.Positive(t, h.upstreams[4].started)
	h.order = h.order[:3]
	h.run(2*minReportTTL, 1)
	h.resetCounts()
	h.run(2*time.Second, 1)
	require.Zero(t, h.upstreams[4].started, "an upstream without fresh reports gets no spilled requests")
	require.NotEmpty(t, h.refused)
}

func TestAdoptedUpstreamsUseAllSlots(t *testing.T) {
	h := newHarness(twoZones())
	h.run(time.Second, 1)
	require.Zero(t, h.upstreams[4].started)
	h.p.AdoptZones(h.now, []string{"b"})
	h.run(time.Second, 1)
	h.resetCounts()
	h.run(5*time.Second, 2)
	require.GreaterOrEqual(t, h.answered, 570, "of the 600 that all six upstreams allow")
	require.Zero(t, h.shed)
	h.order = h.order[:3]
	h.run(2*minReportTTL, 1)
	h.resetCounts()
	h.run(2*time.Second, 1)
	require.Zero(t, h.upstreams[4].started, "an adopted zone without fresh reports may be unreachable")
}

func TestUnreachableAdoptedUpstreamGetsAtMostOneRequest(t *testing.T) {
	h := newHarness(twoZones())
	h.order = h.order[:3]
	h.p.AdoptZones(h.now, []string{"b"})
	for id := ids.UpstreamID(4); id <= 6; id++ {
		h.upstreams[id].dead = true
	}
	h.run(requestTimeout+time.Second, 1)
	for id := ids.UpstreamID(4); id <= 6; id++ {
		require.LessOrEqual(t, h.upstreams[id].started, 1)
	}
}

func TestUnhealthyReportProvesNoFreeSlot(t *testing.T) {
	h := newHarness(serviceOf(1, 2))
	h.run(time.Second, 0)
	h.p.Offer(h.now, Request{Ticket: 1_001, Deadline: h.now + time.Minute})
	h.p.Offer(h.now, Request{Ticket: 1_002, Deadline: h.now + time.Minute})
	h.upstreams[1].report = &Report{}
	h.run(2*time.Second, 0)
	require.Equal(t, ActionWait, h.offer().Action)
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
	h := newHarness(twoZones())
	h.p.AdoptZones(h.now, []string{"b"})
	order := h.order
	h.order = nil
	for range 5 {
		h.run(interval, 1)
		h.order = order
		h.reportAll()
		h.order = nil
	}
	h.resetCounts()
	h.run(interval-step, 2)
	require.GreaterOrEqual(t, h.answered, 570, "adopted upstreams are used until the next report is due")
	h.run(2*interval+step, 1)
	h.resetCounts()
	h.run(interval, 1)
	require.Zero(t, h.upstreams[4].started, "three intervals without a report count as unreachable")
}

func TestEventsAfterTheLastReportDoNotFreezeIt(t *testing.T) {
	const interval = 5 * time.Second
	var s reportState
	s.update(0, Report{Healthy: true, Running: 1})
	s.update(interval, Report{Healthy: true, Running: 2})
	for i := range 4 * frozenEvents {
		s.ownRunning.record(interval+time.Duration(i)*step, i%2)
	}
	require.True(t, s.valid(2*interval-step))
	s.update(2*interval, Report{Healthy: true, Running: 2})
	require.False(t, s.valid(2*interval), "an unchanged report after many events is frozen")
}
