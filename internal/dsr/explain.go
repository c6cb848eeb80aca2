package dsr

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// maxExplained bounds the upstreams of a service that an explanation lists.
const maxExplained = 1000

// Errors of Explain.
var (
	// ErrNotReady means that the host has no configuration or no full directory yet.
	ErrNotReady = eris.New("the host has no configuration or no full directory yet")
	// ErrNoRoute means that the configuration in force has no route for the address.
	ErrNoRoute = eris.New("no route has this address")
)

// What would be done with the first packet of a flow.
const (
	OutcomeForwarded = "forwarded"
	OutcomeWaits     = "waits"
	OutcomeRejected  = "rejected"
	OutcomeDropped   = "dropped"
)

// Explanation is where a new flow of a caller would go now, and why. Times are in milliseconds.
type Explanation struct {
	Caller  string `json:"caller"`
	Address string `json:"address"`
	Route   string `json:"route"`
	// Version, Era and Revision are those of the configuration.
	Version     uint64 `json:"configuration_version"`
	Era         uint64 `json:"configuration_era"`
	Revision    uint64 `json:"configuration_revision"`
	Priority    int    `json:"priority"`
	ObjectiveMs int64  `json:"latency_objective_ms"`
	DeadlineMs  int64  `json:"deadline_ms"`
	// Flow is what this host knows of a flow between these addresses; nil is nothing. A new flow from
	// the same port takes its place.
	Flow *ExplainedFlow `json:"flow,omitempty"`
	// Services holds the targets of the route. Which one a flow gets follows from its ports and its
	// first sequence number, which the caller draws.
	Services []ExplainedService `json:"services"`
}

// ExplainedFlow is a known flow.
type ExplainedFlow struct {
	Phase    string `json:"phase"`
	Upstream string `json:"upstream"`
	Token    Token  `json:"token"`
}

// ExplainedService is the outcome if the flow goes to a service.
type ExplainedService struct {
	Name string `json:"name"`
	// Part is the part of new flows that goes to the service.
	Part float64 `json:"part"`
	// Outcome is what would be done, Reason why, and Upstream the upstream if it is forwarded.
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Upstream string `json:"upstream,omitempty"`
	// Known is the number of upstreams of the service, Compared that of those which were compared with
	// each other. Upstreams holds these, in the order of the comparison.
	Known     int                 `json:"known"`
	Compared  int                 `json:"compared"`
	OwnSlots  float64             `json:"own_slots"`
	WorkMs    float64             `json:"work_ms"`
	Demand    float64             `json:"demand"`
	Wait      *ExplainedWait      `json:"wait,omitempty"`
	Upstreams []ExplainedUpstream `json:"upstreams"`
}

// ExplainedWait is the outlook of a flow that has to wait or is rejected.
type ExplainedWait struct {
	// Ahead is the number of requests that go before it, ExpectedMs how long it waits for an upstream;
	// -1 is unknown.
	Ahead      int     `json:"ahead"`
	ExpectedMs float64 `json:"expected_ms"`
	// InTime is set if it is expected to meet its latency objective; nil is unknown.
	InTime *bool `json:"in_time,omitempty"`
}

// ExplainedUpstream is an upstream that was compared.
type ExplainedUpstream struct {
	Key       string `json:"key"`
	Zone      string `json:"zone"`
	To        string `json:"to"`
	Status    string `json:"status"`
	Suspicion string `json:"suspicion"`
	Slots     int    `json:"slots"`
	// Share is the part of the upstream that this host is responsible for.
	Share float64 `json:"share"`
	// LearnedLimit is the number of requests that it handles well at a time, LearnedWorkMs how long one
	// takes there. Nil is unknown.
	LearnedLimit  *float64 `json:"learned_limit,omitempty"`
	LearnedWorkMs *float64 `json:"learned_work_ms,omitempty"`
	Opening       int      `json:"opening"`
	Busy          int      `json:"busy"`
	Flows         int      `json:"flows"`
	// Cost is the expected wait in requests per slot; nil if the upstream can't be chosen.
	Cost *float64 `json:"cost,omitempty"`
	// Verdict is "chosen", or why it is not.
	Verdict string `json:"verdict"`
}

// Explain returns where the first packet of a new flow would go now. It changes nothing: not the
// rotation among equal upstreams either, so that the next packet goes where it says, unless timers
// that end before change the state.
func (c *Core) Explain(now time.Duration, caller, address netip.AddrPort) (*Explanation, error) {
	if !c.Ready() {
		return nil, ErrNotReady
	}
	r := c.routes[address]
	if r == nil {
		return nil, eris.Wrapf(ErrNoRoute, "%s in version %d of the configuration", address, c.version)
	}
	e := &Explanation{
		Caller: caller.String(), Address: address.String(), Route: r.Name, Version: c.version, Era: uint64(c.configEra), Revision: uint64(c.configRevision),
		Priority: r.Priority, ObjectiveMs: r.LatencyObjective.Milliseconds(), DeadlineMs: r.Timeout.Milliseconds(),
		Services: make([]ExplainedService, 0, len(r.Targets)),
	}
	if f := c.cache.flows[flowKey{caller, address}]; f != nil {
		e.Flow = &ExplainedFlow{Phase: f.phase.String(), Upstream: f.upstream.Key, Token: f.upstream.token}
	}
	p := &Packet{Caller: caller, Service: address, SYN: true}
	for _, t := range r.Targets {
		only := *r
		only.Targets, only.totalWeight = slices.Clone(r.Targets[:1]), t.Weight
		only.Targets[0] = t
		s := ExplainedService{Name: t.Service, Part: 1}
		if r.totalWeight > 0 {
			s.Part = float64(t.Weight) / float64(r.totalWeight)
		}
		c.restoring(c.services[t.Service], func() { c.explainService(now, &only, p, &s) })
		e.Services = append(e.Services, s)
	}
	return e, nil
}

// restoring calls a function that decides on a flow of the service, and undoes what the decision
// changes: the rotation, the shares if they were out of date, and the age of estimates.
func (c *Core) restoring(s *service, decide func()) {
	rotation := c.rotation
	defer func() { c.rotation = rotation }()
	if s == nil {
		decide()
		return
	}
	saved, own := *s, slices.Clone(s.own)
	shares := make([]float64, len(s.upstreams))
	for i, u := range s.upstreams {
		shares[i] = u.share
	}
	decide()
	*s = saved
	copy(s.own, own)
	for i, u := range s.upstreams {
		u.share = shares[i]
	}
}

func (c *Core) explainService(now time.Duration, r *route, p *Packet, e *ExplainedService) {
	ch := c.choose(now, r, p)
	e.Reason, e.Outcome, e.Upstreams = reasonNames[ch.reason], OutcomeDropped, []ExplainedUpstream{}
	s := ch.state
	if s == nil {
		return
	}
	e.Known, e.OwnSlots, e.WorkMs, e.Demand = len(s.upstreams), s.ownSlots, milliseconds(s.work.Mean()), s.demand.Rate(now)
	switch {
	case ch.upstream != nil:
		e.Outcome, e.Reason, e.Upstream = OutcomeForwarded, reasonNames[ReasonPlaced], ch.upstream.Key
	case ch.reason == ReasonPaced:
		e.Outcome = OutcomeWaits
		if s.schedules() {
			e.Reason = reasonNames[ReasonWaiting]
		}
		var rejected bool
		if e.Wait, rejected = c.explainWait(now, r, p, ch); rejected {
			e.Outcome, e.Reason = OutcomeRejected, reasonNames[ReasonOverloaded]
		}
	}
	compared := c.comparedBy(&ch)
	e.Compared = len(compared)
	spills := s.spill.Admits(now, s.spilled, s.spillClass(ch.class))
	for _, u := range compared[:min(len(compared), maxExplained)] {
		e.Upstreams = append(e.Upstreams, c.explainUpstream(now, r, &ch, u, spills))
	}
}

// explainWait returns the outlook of a caller that has to wait, and whether it is rejected.
func (c *Core) explainWait(now time.Duration, r *route, p *Packet, ch choice) (*ExplainedWait, bool) {
	s := ch.state
	if !s.schedules() {
		w := &ExplainedWait{Ahead: s.waiting, ExpectedMs: -1}
		if work := s.work.Mean(); work > 0 && s.ownSlots > 0 {
			w.ExpectedMs = float64(s.waiting+1) * milliseconds(work) / s.ownSlots
		}
		return w, c.overloaded(now, s, ch.class)
	}
	a, rejected := c.outlook(now, p, r, ch)
	w := &ExplainedWait{Ahead: a.Rank, ExpectedMs: -1, InTime: &a.InTime}
	if a.Wait > 0 {
		w.ExpectedMs = milliseconds(a.Wait)
	}
	return w, rejected
}

// comparedBy returns the upstreams that a choice has compared, in that order.
func (c *Core) comparedBy(ch *choice) []*upstream {
	s := ch.state
	n := len(s.upstreams)
	if n == 0 {
		return nil
	}
	start := int(((c.rotation * goldenRatioStep) >> 32) % uint64(n))
	var own, compared []*upstream
	count := n
	if n > fullSearchSize && !ch.searchedAll {
		own, count = s.own, foreignSample
		compared = append(compared, own...)
	}
	for i := range count {
		if u := s.upstreams[(start+i)%n]; !slices.Contains(own, u) {
			compared = append(compared, u)
		}
	}
	return compared
}

func (c *Core) explainUpstream(now time.Duration, r *route, ch *choice, u *upstream, spills bool) ExplainedUpstream {
	e := ExplainedUpstream{
		Key: u.Key, Zone: u.Zone, To: u.Addr.String(), Status: u.status(), Suspicion: u.suspicion(now), Slots: u.Slots, Share: u.share,
		Opening: u.opening, Busy: u.busy, Flows: u.flows,
	}
	if u.learned != nil {
		limit, work := u.learnedLimit(now), milliseconds(u.learnedWork(now))
		e.LearnedLimit, e.LearnedWorkMs = &limit, &work
	}
	if !u.usable() {
		e.Verdict = "takes no new flows: " + e.Status
		return e
	}
	suspect := u.suspect(now)
	if c.admits(now, ch, u, r.LatencyObjective, spills) {
		cost := c.cost(now, ch, u, suspect)
		e.Cost = &cost
	}
	switch {
	case u == ch.upstream:
		e.Verdict = "chosen"
	case e.Cost == nil && u.share == 0 && !spills:
		e.Verdict = "other hosts are responsible for it, and this host has as many requests at such upstreams as it may"
	case e.Cost == nil:
		e.Verdict = "at its limit"
	case suspect && ch.upstream == nil:
		e.Verdict = "may not answer, while others are only at their limits"
	case suspect:
		e.Verdict = "may not answer"
	case *e.Cost > ch.cost:
		e.Verdict = "costs more"
	default:
		e.Verdict = "costs the same and was compared later"
	}
	return e
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// phaseNames are the phases in explanations.
var phaseNames = [...]string{phaseOpening: "opening", phaseOverdue: "not answered", phaseIdle: "idle", phaseBusy: "busy", phaseClosed: "closed"}

func (p phase) String() string { return phaseNames[p] }
