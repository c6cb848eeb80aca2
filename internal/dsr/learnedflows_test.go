package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/loadcontrol"
)

// learnUsual gives the estimates of both upstreams of the zone samples of 40 ms, with one request at a time.
func (f *fixture) learnUsual() {
	for range 40 {
		f.exchange(f.openFlow(orderPort), 40*time.Millisecond, 0)
	}
	require.InDelta(f.t, 0.040, f.core.services["orders"].peers.Reference().Seconds(), 0.012)
}

// exchange sends a request on an open flow and acknowledges the answer after the given time, with flags.
func (f *fixture) exchange(c *caller, d time.Duration, flags byte) {
	c.request()
	f.advance(d + 7*time.Millisecond)
	c.ack += 2000
	c.send(flagACK|flags, 0, 0)
	f.advance(10 * time.Millisecond)
}

// judgements returns the records of changed judgements.
func (f *fixture) judgements() (all []Record) {
	for _, r := range f.core.TakeRecords() {
		if r.Samples != 0 {
			all = append(all, r)
		}
	}
	return all
}

// openFlowAt opens a flow at an upstream.
func (f *fixture) openFlowAt(u *upstream) *caller {
	f.core.waiting.target = u
	defer func() { f.core.waiting.target = nil }()
	return f.openFlow(streamPort)
}

// slowUpstream makes one of the upstreams of the zone slow and returns it.
func (f *fixture) slowUpstream() *upstream {
	f.learnUsual()
	own := f.core.services["orders"].own
	require.Len(f.t, own, 2)
	for range 6 {
		f.exchange(f.openFlowAt(own[1]), 40*time.Millisecond, flagFIN)
		f.exchange(f.openFlowAt(own[0]), 250*time.Millisecond, flagFIN)
	}
	return own[0]
}

// Guards against other choices at deployments whose requests queue at upstreams: nothing is learned there, and an
// upstream with a higher latency costs more for a while.
func TestNothingIsLearnedWhereRequestsQueueAtUpstreams(t *testing.T) {
	undeclared, queues := newFixture(t), schedulingFixture(t)
	queues.core.services["orders"].queuesAtUpstreams = true
	for _, f := range []*fixture{undeclared, queues} {
		c := f.openFlow(streamPort)
		u := f.upstream(c)
		for range 6 {
			f.exchange(f.openFlowOnSameUpstream(c, streamPort), 250*time.Millisecond, flagFIN)
			f.exchange(f.openFlow(orderPort), 40*time.Millisecond, flagFIN)
		}
		require.Nil(t, u.learned)
		require.Empty(t, f.judgements())
		require.EqualValues(t, u.Slots, u.learnedLimit(f.now))
		slowed := u.learnedCost(f.now, 1, loadcontrol.Class{})
		require.Greater(t, slowed, 1.05*2/float64(u.Slots))
		require.InDelta(t, 2/float64(u.Slots), u.learnedCost(f.now+time.Minute, 1, loadcontrol.Class{}), 0.01)
	}
}

// The log must tell from which samples an upstream was judged, and the choice must avoid it except for probes.
func TestSlowUpstreamIsJudgedAndProbed(t *testing.T) {
	f := schedulingFixture(t)
	f.core.routes[serviceAddress(streamPort)].LatencyObjective = 300 * time.Millisecond
	f.core.services["orders"].latencyObjective = 300 * time.Millisecond
	u := f.slowUpstream()
	require.True(t, u.learned.Slow(f.now))
	records := f.judgements()
	require.Len(t, records, 1)
	r := records[0]
	require.Equal(t, []string{"like its peers", "slow", u.Key}, []string{r.FromJudgement, r.Detail, r.Upstream})
	require.NotEmpty(t, r.Evidence)
	require.InDelta(t, 0.040, r.PeerWork.Seconds(), 0.012)
	require.Greater(t, r.LearnedWork, 150*time.Millisecond)
	require.Equal(t, 1, f.core.LearnedCounts().Slow)
	require.Greater(t, u.learnedWork(f.now), 150*time.Millisecond)

	probes := 0
	for range 40 {
		c := f.openFlow(streamPort)
		if f.upstream(c) == u {
			probes++
		}
		c.send(flagACK|flagFIN, 0, 0)
		f.advance(93 * time.Millisecond)
	}
	require.InDelta(t, 2, probes, 1, "in 4 s, one in 1.8 s")

	f.core.markGone(f.now, u, "test", Evidence{})
	require.Zero(t, f.core.LearnedCounts().Slow)
}

// An upstream that nobody asks any more must not be reported as slow for ever.
func TestJudgementWithoutSamplesExpires(t *testing.T) {
	f := schedulingFixture(t)
	u := f.slowUpstream()
	f.judgements()
	f.advance(31 * time.Second)
	f.core.State(f.now)
	require.Zero(t, f.core.LearnedCounts().Slow)
	require.Nil(t, u.learned)
	records := f.judgements()
	require.Len(t, records, 1)
	require.Equal(t, []string{"slow", "like its peers", u.Key}, []string{records[0].FromJudgement, records[0].Detail, records[0].Upstream})
}

// A slow upstream whose work exceeds the latency objective gets one request at a time at most, and an open flow may
// use its slots all the same.
func TestLimitOfUpstreamThatAnswersLate(t *testing.T) {
	f := schedulingFixture(t)
	u := f.slowUpstream()
	f.core.services["orders"].latencyObjective = 0
	require.EqualValues(t, 2, u.learnedLimit(f.now), "no objective")
	f.core.services["orders"].latencyObjective = 100 * time.Millisecond
	require.Less(t, u.learnedLimit(f.now), 0.5)
	require.Positive(t, u.learnedLimit(f.now))
	require.EqualValues(t, 2, u.learnedKnee(f.now))
}

// A request without an answer is evidence before its answer comes, but not if its caller sent it again, which a lossy
// link explains, nor if the host stood still meanwhile.
func TestUnansweredRequestsAreEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		disturb func(f *fixture, c *caller)
		counted bool
	}{
		"unanswered":  {func(*fixture, *caller) {}, true},
		"sent again":  {func(_ *fixture, c *caller) { c.retransmit() }, false},
		"host paused": {func(f *fixture, _ *caller) { f.core.linkMonitor.markDegraded(f.now) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := schedulingFixture(t)
			f.learnUsual()
			flow := f.openFlow(streamPort)
			flow.request()
			u := f.upstream(flow)
			before := 0
			if u.learned != nil {
				before, _ = u.learned.Samples()
			}
			f.advance(30 * time.Millisecond)
			c.disturb(f, flow)
			f.advance(150 * time.Millisecond)
			f.core.State(f.now)
			after, _ := u.learned.Samples()
			require.Equal(t, c.counted, after > before)
		})
	}
}

// A caller that ends a flow after a quick answer and comes back at once was rejected. A quick answer alone is none.
func TestCallerThatComesBackWasRejected(t *testing.T) {
	f := schedulingFixture(t)
	f.learnUsual()
	reject := func(flags byte, back bool) {
		first := f.openFlow(streamPort)
		c := f.openFlowOnSameUpstream(first, streamPort)
		first.request()
		f.exchange(c, 0, flags)
		if back {
			again := &caller{f: f, id: c.id, port: orderPort, seq: 700}
			again.sendSYN()
		}
		f.advance(40 * time.Millisecond)
		first.ackAnswer()
	}
	reject(flagFIN, false)
	reject(0, true)
	require.Zero(t, f.core.LearnedCounts().Sheds)
	reject(flagFIN, true)
	require.EqualValues(t, 1, f.core.LearnedCounts().Sheds)
}

// Guards against a single request at a shared upstream that counts as several in progress, which made its work seem
// shorter than it was and usual upstreams slow.
func TestSingleRequestAtSharedUpstreamIsOneInProgress(t *testing.T) {
	u := &upstream{share: 0.2}
	require.Equal(t, 1, u.inProgress())
	u.busy = 1
	require.Equal(t, 6, u.inProgress())
}
