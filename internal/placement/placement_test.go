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
	r := &harness{
		p: New(s, "a", 7), upstreams: map[ids.UpstreamID]*fakeUpstream{},
		completions: map[Ticket]completion{}, deadline: map[Ticket]time.Duration{},
	}
	for _, u := range s.Upstreams {
		r.upstreams[u.ID] = &fakeUpstream{slots: u.Slots, latency: serviceTime}
		r.order = append(r.order, u.ID)
	}
	return r
}

func (r *harness) apply(ds ...Decision) {
	for _, d := range ds {
		switch d.Action {
		case ActionStart:
			r.begin(d)
		case ActionRefuse:
			r.refused = append(r.refused, d)
		}
	}
}

func (r *harness) begin(d Decision) {
	u := r.upstreams[d.Upstream]
	u.started++
	switch {
	case u.dead:
		r.completions[d.Ticket] = completion{r.deadline[d.Ticket], d.Upstream, OutcomeTimeout}
	case u.running+u.otherHostsRunning >= u.slots:
		r.completions[d.Ticket] = completion{r.now + step, d.Upstream, OutcomeShed}
		return
	default:
		r.completions[d.Ticket] = completion{r.now + u.latency, d.Upstream, OutcomeAnswered}
	}
	u.running++
	u.peak = max(u.peak, u.running)
}

func (r *harness) offer() Decision {
	r.next++
	r.deadline[r.next] = r.now + requestTimeout
	d := r.p.Offer(r.now, Request{Ticket: r.next, Deadline: r.now + requestTimeout})
	r.apply(d)
	return d
}

// run advances the time by length and makes the given number of offers per
// step.
func (r *harness) run(length time.Duration, offers int) {
	for end := r.now + length; r.now < end; r.now += step {
		r.finishDue()
		if r.now%(100*time.Millisecond) == 0 {
			r.reportAll()
		}
		for range offers {
			r.offer()
		}
		r.apply(r.p.Tick(r.now)...)
	}
}

func (r *harness) finishDue() {
	for t := Ticket(1); t <= r.next; t++ {
		e, ok := r.completions[t]
		if !ok || e.at > r.now {
			continue
		}
		delete(r.completions, t)
		switch e.outcome {
		case OutcomeAnswered:
			r.answered++
			r.upstreams[e.upstream].running--
		case OutcomeTimeout:
			r.timeouts++
			r.upstreams[e.upstream].running--
		case OutcomeShed:
			r.shed++
		}
		r.apply(r.p.Finish(r.now, t, e.upstream, e.outcome)...)
	}
}

func (r *harness) reportAll() {
	for _, id := range r.order {
		u := r.upstreams[id]
		report := Report{Healthy: !u.dead, Running: u.running + u.otherHostsRunning}
		if u.report != nil {
			report = *u.report
		}
		report.Upstream = id
		r.apply(r.p.HandleReport(r.now, report)...)
	}
}

func (r *harness) resetCounts() {
	r.answered, r.shed, r.timeouts, r.refused = 0, 0, 0, nil
	for _, u := range r.upstreams {
		u.started, u.peak = 0, u.running
	}
}

func TestSlotsAreFilledEvenlyWithoutSheds(t *testing.T) {
	r := newHarness(serviceOf(4, 2))
	r.run(time.Second, 0)
	for range 8 {
		require.Equal(t, ActionStart, r.offer().Action)
	}
	require.Equal(t, ActionWait, r.offer().Action)
	for _, u := range r.upstreams {
		require.Equal(t, 2, u.running)
	}
	r.run(3*time.Second, 10)
	require.Zero(t, r.shed)
}

func TestFinishTwiceFreesOneSlot(t *testing.T) {
	r := newHarness(serviceOf(1, 2))
	r.run(time.Second, 0)
	first, second := r.offer(), r.offer()
	require.Equal(t, ActionStart, second.Action)
	r.p.Finish(r.now, first.Ticket, first.Upstream, OutcomeAnswered)
	r.p.Finish(r.now, first.Ticket, first.Upstream, OutcomeAnswered)
	require.Equal(t, ActionStart, r.offer().Action)
	require.Equal(t, ActionWait, r.offer().Action)
}

func TestOverloadIsRefusedAtTheOffer(t *testing.T) {
	s := serviceOf(4, 2)
	s.QueueLimit = 10_000
	r := newHarness(s)
	r.run(5*time.Second, 0)
	r.run(5*time.Second, 8)
	require.Zero(t, r.timeouts)
	require.GreaterOrEqual(t, r.answered, 380, "of the 400 that 80 requests per second allow")
	require.Greater(t, len(r.refused), 1_000)
	late := 0
	for _, d := range r.refused {
		require.Positive(t, d.RetryAfter)
		if d.Reason == verdict.ReasonDeadline {
			late++
		}
	}
	require.Less(t, late, len(r.refused)/20, "overload must be refused at the offer, not after waiting")
}

func TestExcludedUpstreamIsNotTriedAgain(t *testing.T) {
	r := newHarness(serviceOf(2, 2))
	r.run(time.Second, 0)
	for ticket := Ticket(101); ticket < 103; ticket++ {
		d := r.p.Offer(r.now, Request{Ticket: ticket, Deadline: r.now + requestTimeout, Exclude: 1})
		require.Equal(t, ids.UpstreamID(2), d.Upstream)
	}
	alone := newHarness(serviceOf(1, 2))
	d := alone.p.Offer(0, Request{Ticket: 1, Deadline: requestTimeout, Exclude: 1})
	require.Equal(t, ActionRefuse, d.Action)
	require.Equal(t, verdict.ReasonShed, d.Reason)
}

func TestWithdrawnTicketNeverStarts(t *testing.T) {
	r := newHarness(serviceOf(1, 1))
	first := r.offer()
	waiting := r.offer()
	require.Equal(t, ActionWait, waiting.Action)
	require.True(t, r.p.Withdraw(r.now, waiting.Ticket))
	require.False(t, r.p.Withdraw(r.now, waiting.Ticket))
	require.Empty(t, r.p.Finish(serviceTime, first.Ticket, first.Upstream, OutcomeAnswered))
}

func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	s := serviceOf(2, 2)
	r := newHarness(s)
	r.run(time.Second, 1)
	drained := *s
	drained.Upstreams = append([]config.Upstream(nil), s.Upstreams...)
	drained.Upstreams[0].State = config.UpstreamDraining
	r.p.Update(r.now, &drained)
	r.resetCounts()
	r.run(3*time.Second, 2)
	require.Zero(t, r.upstreams[1].started)
	require.Positive(t, r.upstreams[2].started)
	for range 50 {
		require.Equal(t, ids.UpstreamID(2), r.p.PlaceFlow(r.now).Upstream)
	}
}

func TestFlowsGoToTheLeastConnections(t *testing.T) {
	r := newHarness(serviceOf(4, 2))
	count := map[ids.UpstreamID]int{}
	for range 8_000 {
		count[r.p.PlaceFlow(r.now).Upstream]++
		r.now += step
	}
	for id, n := range count {
		require.Equal(t, 2_000, n, "upstream %d", id)
	}
	d := r.p.PlaceFlow(r.now)
	require.Equal(t, ActionRefuse, d.Action)
	require.Equal(t, verdict.ReasonOverload, d.Reason)
}

func TestNewHomeCountsReportedFlows(t *testing.T) {
	r := newHarness(serviceOf(2, 2))
	r.p.HandleReport(0, Report{Upstream: 1, Healthy: true, Connections: 1_999})
	r.p.HandleReport(0, Report{Upstream: 2, Healthy: true, Connections: 1_999})
	require.Equal(t, ActionStart, r.p.PlaceFlow(0).Action)
	require.Equal(t, ActionStart, r.p.PlaceFlow(0).Action)
	require.Equal(t, ActionRefuse, r.p.PlaceFlow(0).Action)
}

// The requests placed by the previous home are still running when the new home
// starts.
func TestNewHomeDoesNotOverloadUpstreams(t *testing.T) {
	r := newHarness(serviceOf(4, 3))
	for _, u := range r.upstreams {
		u.otherHostsRunning = 2
	}
	r.reportAll()
	r.run(serviceTime, 4)
	for _, u := range r.upstreams {
		u.otherHostsRunning = 0
	}
	require.Zero(t, r.shed)
	r.run(3*time.Second, 4)
	r.resetCounts()
	r.run(2*time.Second, 4)
	require.GreaterOrEqual(t, r.answered, 230, "all 12 slots are in use again")
	require.Zero(t, r.shed)
}

func TestNewHomeWithoutReportsStartsOneRequestPerUpstream(t *testing.T) {
	r := newHarness(serviceOf(4, 3))
	for _, u := range r.upstreams {
		u.otherHostsRunning = 2
	}
	for range 12 {
		r.offer()
	}
	for _, u := range r.upstreams {
		require.Equal(t, 1, u.running)
	}
	r.now = step
	r.finishDue()
	require.Zero(t, r.shed)
}

func TestShedsRevealUnreportedRequestsOfOtherHosts(t *testing.T) {
	r := newHarness(serviceOf(4, 2))
	r.run(time.Second, 2)
	for _, u := range r.upstreams {
		u.otherHostsRunning = 1
		u.report = &Report{Healthy: true, Running: 0}
	}
	r.run(time.Second, 1)
	r.resetCounts()
	r.run(5*time.Second, 1)
	require.Less(t, r.shed, r.answered/8)
	require.GreaterOrEqual(t, r.answered, 180, "of the 200 that four free slots allow")
}
