package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
)

const (
	serviceTime    = 100 * time.Millisecond
	requestTimeout = 2 * time.Second
	step           = 10 * time.Millisecond
)

func serviceOf(n, slots int) *config.Service {
	s := &config.Service{ID: 1, QueueLimit: 100, SlowStart: 10 * time.Second}
	for i := range n {
		s.Upstreams = append(s.Upstreams, config.Upstream{ID: ids.UpstreamID(i + 1), Zone: "a", Slots: slots, Connections: 2_000})
	}
	return s
}

// fakeUpstream runs requests with a fixed latency. It can shed, stop answering
// or send false reports.
type fakeUpstream struct {
	slots             int
	otherHostsRunning int
	dead              bool
	latency           time.Duration
	running           int
	peak              int
	started           int
	// report, if set, is sent instead of the real load.
	report *Report
}

// harness runs a placer against fake upstreams in virtual time.
type harness struct {
	p           *Placer
	now         time.Duration
	upstreams   map[ids.UpstreamID]*fakeUpstream
	order       []ids.UpstreamID
	next        Ticket
	completions map[Ticket]completion
	deadline    map[Ticket]time.Duration
	answered    int
	shed        int
	timeouts    int
	refused     []Decision
}

type completion struct {
	at       time.Duration
	upstream ids.UpstreamID
	outcome  Outcome
}

func newHarness(s *config.Service) *harness {
	h := &harness{
		p: New(s, "a", 7), upstreams: map[ids.UpstreamID]*fakeUpstream{},
		completions: map[Ticket]completion{}, deadline: map[Ticket]time.Duration{},
	}
	for _, u := range s.Upstreams {
		h.upstreams[u.ID] = &fakeUpstream{slots: u.Slots, latency: serviceTime}
		h.order = append(h.order, u.ID)
	}
	return h
}

func (h *harness) apply(ds ...Decision) {
	for _, d := range ds {
		switch d.Action {
		case ActionStart:
			h.begin(d)
		case ActionRefuse:
			h.refused = append(h.refused, d)
		}
	}
}

func (h *harness) begin(d Decision) {
	u := h.upstreams[d.Upstream]
	u.started++
	switch {
	case u.dead:
		h.completions[d.Ticket] = completion{h.deadline[d.Ticket], d.Upstream, OutcomeTimeout}
	case u.running+u.otherHostsRunning >= u.slots:
		h.completions[d.Ticket] = completion{h.now + step, d.Upstream, OutcomeShed}
		return
	default:
		h.completions[d.Ticket] = completion{h.now + u.latency, d.Upstream, OutcomeAnswered}
	}
	u.running++
	u.peak = max(u.peak, u.running)
}

func (h *harness) offer() Decision {
	h.next++
	h.deadline[h.next] = h.now + requestTimeout
	d := h.p.Offer(h.now, Request{Ticket: h.next, Deadline: h.now + requestTimeout})
	h.apply(d)
	return d
}

// run advances the time by length and makes the given number of offers per
// step.
func (h *harness) run(length time.Duration, offers int) {
	for end := h.now + length; h.now < end; h.now += step {
		h.finishDue()
		if h.now%(100*time.Millisecond) == 0 {
			h.reportAll()
		}
		for range offers {
			h.offer()
		}
		h.apply(h.p.Tick(h.now)...)
	}
}

func (h *harness) finishDue() {
	for t := Ticket(1); t <= h.next; t++ {
		e, ok := h.completions[t]
		if !ok || e.at > h.now {
			continue
		}
		delete(h.completions, t)
		switch e.outcome {
		case OutcomeAnswered:
			h.answered++
			h.upstreams[e.upstream].running--
		case OutcomeTimeout:
			h.timeouts++
			h.upstreams[e.upstream].running--
		case OutcomeShed:
			h.shed++
		}
		h.apply(h.p.Finish(h.now, t, e.upstream, e.outcome)...)
	}
}

func (h *harness) reportAll() {
	for _, id := range h.order {
		u := h.upstreams[id]
		report := Report{Healthy: !u.dead, Running: u.running + u.otherHostsRunning}
		if u.report != nil {
			report = *u.report
		}
		report.Upstream = id
		h.apply(h.p.HandleReport(h.now, report)...)
	}
}

func (h *harness) resetCounts() {
	h.answered, h.shed, h.timeouts, h.refused = 0, 0, 0, nil
	for _, u := range h.upstreams {
		u.started, u.peak = 0, u.running
	}
}

func TestSlotsAreFilledEvenlyWithoutSheds(t *testing.T) {
	h := newHarness(serviceOf(4, 2))
	h.run(time.Second, 0)
	for range 8 {
		require.Equal(t, ActionStart, h.offer().Action)
	}
	require.Equal(t, ActionWait, h.offer().Action)
	for _, u := range h.upstreams {
		require.Equal(t, 2, u.running)
	}
	h.run(3*time.Second, 10)
	require.Zero(t, h.shed)
}

func TestFinishTwiceFreesOneSlot(t *testing.T) {
	h := newHarness(serviceOf(1, 2))
	h.run(time.Second, 0)
	first, second := h.offer(), h.offer()
	require.Equal(t, ActionStart, second.Action)
	h.p.Finish(h.now, first.Ticket, first.Upstream, OutcomeAnswered)
	h.p.Finish(h.now, first.Ticket, first.Upstream, OutcomeAnswered)
	require.Equal(t, ActionStart, h.offer().Action)
	require.Equal(t, ActionWait, h.offer().Action)
}

func TestOverloadIsRefusedAtTheOffer(t *testing.T) {
	s := serviceOf(4, 2)
	s.QueueLimit = 10_000
	h := newHarness(s)
	h.run(5*time.Second, 0)
	h.run(5*time.Second, 8)
	require.Zero(t, h.timeouts)
	require.GreaterOrEqual(t, h.answered, 380, "of the 400 that 80 requests per second allow")
	require.Greater(t, len(h.refused), 1_000)
	late := 0
	for _, d := range h.refused {
		require.Positive(t, d.RetryAfter)
		if d.Reason == verdict.ReasonDeadline {
			late++
		}
	}
	require.Less(t, late, len(h.refused)/20, "overload must be refused at the offer, not after waiting")
}

func TestExcludedUpstreamIsNotTriedAgain(t *testing.T) {
	h := newHarness(serviceOf(2, 2))
	h.run(time.Second, 0)
	for ticket := Ticket(101); ticket < 103; ticket++ {
		d := h.p.Offer(h.now, Request{Ticket: ticket, Deadline: h.now + requestTimeout, Exclude: 1})
		require.Equal(t, ids.UpstreamID(2), d.Upstream)
	}
	alone := newHarness(serviceOf(1, 2))
	d := alone.p.Offer(0, Request{Ticket: 1, Deadline: requestTimeout, Exclude: 1})
	require.Equal(t, ActionRefuse, d.Action)
	require.Equal(t, verdict.ReasonShed, d.Reason)
}

func TestWithdrawnTicketNeverStarts(t *testing.T) {
	h := newHarness(serviceOf(1, 1))
	first := h.offer()
	waiting := h.offer()
	require.Equal(t, ActionWait, waiting.Action)
	require.True(t, h.p.Withdraw(h.now, waiting.Ticket))
	require.False(t, h.p.Withdraw(h.now, waiting.Ticket))
	require.Empty(t, h.p.Finish(serviceTime, first.Ticket, first.Upstream, OutcomeAnswered))
}

func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	s := serviceOf(2, 2)
	h := newHarness(s)
	h.run(time.Second, 1)
	drained := *s
	drained.Upstreams = append([]config.Upstream(nil), s.Upstreams...)
	drained.Upstreams[0].State = config.UpstreamDraining
	h.p.Update(h.now, &drained)
	h.resetCounts()
	h.run(3*time.Second, 2)
	require.Zero(t, h.upstreams[1].started)
	require.Positive(t, h.upstreams[2].started)
	for range 50 {
		require.Equal(t, ids.UpstreamID(2), h.p.PlaceFlow(h.now).Upstream)
	}
}

func TestFlowsGoToTheLeastConnections(t *testing.T) {
	h := newHarness(serviceOf(4, 2))
	count := map[ids.UpstreamID]int{}
	for range 8_000 {
		count[h.p.PlaceFlow(h.now).Upstream]++
		h.now += step
	}
	for id, n := range count {
		require.Equal(t, 2_000, n, "upstream %d", id)
	}
	d := h.p.PlaceFlow(h.now)
	require.Equal(t, ActionRefuse, d.Action)
	require.Equal(t, verdict.ReasonOverload, d.Reason)
}

func TestNewHomeCountsReportedFlows(t *testing.T) {
	h := newHarness(serviceOf(2, 2))
	h.p.HandleReport(0, Report{Upstream: 1, Healthy: true, Connections: 1_999})
	h.p.HandleReport(0, Report{Upstream: 2, Healthy: true, Connections: 1_999})
	require.Equal(t, ActionStart, h.p.PlaceFlow(0).Action)
	require.Equal(t, ActionStart, h.p.PlaceFlow(0).Action)
	require.Equal(t, ActionRefuse, h.p.PlaceFlow(0).Action)
}

// Guards against a new home that overloads upstreams on which the requests placed by
// the previous home are still running.
func TestNewHomeDoesNotOverloadUpstreams(t *testing.T) {
	h := newHarness(serviceOf(4, 3))
	for _, u := range h.upstreams {
		u.otherHostsRunning = 2
	}
	h.reportAll()
	h.run(serviceTime, 4)
	for _, u := range h.upstreams {
		u.otherHostsRunning = 0
	}
	require.Zero(t, h.shed)
	h.run(3*time.Second, 4)
	h.resetCounts()
	h.run(2*time.Second, 4)
	require.GreaterOrEqual(t, h.answered, 230, "all 12 slots are in use again")
	require.Zero(t, h.shed)
}

func TestNewHomeWithoutReportsStartsOneRequestPerUpstream(t *testing.T) {
	h := newHarness(serviceOf(4, 3))
	for _, u := range h.upstreams {
		u.otherHostsRunning = 2
	}
	for range 12 {
		h.offer()
	}
	for _, u := range h.upstreams {
		require.Equal(t, 1, u.running)
	}
	h.now = step
	h.finishDue()
	require.Zero(t, h.shed)
}

func TestShedsRevealUnreportedRequestsOfOtherHosts(t *testing.T) {
	h := newHarness(serviceOf(4, 2))
	h.run(time.Second, 2)
	for _, u := range h.upstreams {
		u.otherHostsRunning = 1
		u.report = &Report{Healthy: true, Running: 0}
	}
	h.run(time.Second, 1)
	h.resetCounts()
	h.run(5*time.Second, 1)
	require.Less(t, h.shed, h.answered/8)
	require.GreaterOrEqual(t, h.answered, 180, "of the 200 that four free slots allow")
}
