package policy

import (
	"fmt"
	"time"

	"mimosashore.example/mimosashore/internal/admission"
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/measure/sim"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/retrybudget"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/verdict"
)

// Home is the project's policy: in each availability zone one host, the home of
// the service, places its requests. It runs the production code of the routing
// table, placement, admission control and retry budget.
type Home struct {
	run   *sim.Run
	seed  uint64
	snap  *config.Snapshot
	view  *member.View
	table *table.Table
	hosts []*homeHost
}

type homeHost struct {
	self      ids.Instance
	admission *admission.Controller
	services  map[ids.ServiceID]*homeService
}

type homeService struct {
	placer  *placement.Placer
	retries *retrybudget.Budget
	waiting map[placement.Ticket]*sim.Request
}

// HostRequestRate is the number of requests per second that a host admits.
const HostRequestRate = 2_000

// NewHome returns the project's policy.
func NewHome(run *sim.Run, seed uint64) sim.Policy {
	h := &Home{run: run, seed: seed, snap: &config.Snapshot{}, view: &member.View{Version: 1}}
	for i, spec := range run.Setup.Hosts {
		instance := ids.Instance{Host: ids.HostIDOf(spec.Name), Incarnation: 1}
		h.view.Members = append(h.view.Members, member.Member{Instance: instance, Name: spec.Name, Zone: spec.Zone})
		h.hosts = append(h.hosts, &homeHost{
			self:      instance,
			admission: admission.New(seed+uint64(i), HostRequestRate),
			services:  make(map[ids.ServiceID]*homeService),
		})
	}
	h.addAccounts()
	h.update(0)
	run.OnHostWait = func(host int, lag time.Duration) {
		h.hosts[host].admission.ObserveLag(run.Now(), lag)
	}
	return h
}

func (h *Home) addAccounts() {
	for _, s := range h.run.Services {
		if h.snap.Account(s.Spec.Account.ID) == nil {
			h.snap.Accounts = append(h.snap.Accounts, *s.Spec.Account)
		}
	}
}

// update rebuilds the routing tables of all hosts after a change of membership.
func (h *Home) update(now time.Duration) {
	h.table = table.Build(h.hosts[0].self, h.snap, h.view)
	for i, host := range h.hosts {
		own := table.Build(host.self, h.snap, h.view)
		host.admission.Update(now, h.snap, admission.SharesOf(own, h.snap))
		for _, s := range h.run.Services {
			if hs := host.services[s.Spec.Config.ID]; hs != nil {
				hs.placer.AdoptZones(now, own.AdoptedBy(own.Service(s.Spec.Config.ID), h.hosts[i].self))
			}
		}
	}
}

// serviceAt returns the state of a service at a host and creates it on first use.
func (h *Home) serviceAt(now time.Duration, host int, s *sim.Service) *homeService {
	c := s.Spec.Config
	hs := h.hosts[host].services[c.ID]
	if hs != nil {
		return hs
	}
	hs = &homeService{
		placer:  placement.New(c, h.run.Setup.Hosts[host].Zone, h.seed^uint64(c.ID)^uint64(host)<<32),
		retries: retrybudget.New(c.RetryPercent),
		waiting: make(map[placement.Ticket]*sim.Request),
	}
	hs.placer.AdoptZones(now, h.table.AdoptedBy(h.table.Service(c.ID), h.hosts[host].self))
	h.hosts[host].services[c.ID] = hs
	return hs
}

func (h *Home) hostIndex(instance ids.Instance) int {
	for i, host := range h.hosts {
		if host.self == instance {
			return i
		}
	}
	panic(fmt.Sprintf("host %v is not part of the simulation", instance))
}

func (h *Home) homeFor(s *sim.Service, f *sim.Flow) (int, bool) {
	home, ok := h.table.HomeFor(h.table.Service(s.Spec.Config.ID), f.Nonce)
	if !ok {
		return 0, false
	}
	return h.hostIndex(home.Host), true
}

// Open implements sim.Policy.
func (h *Home) Open(now time.Duration, s *sim.Service, f *sim.Flow) bool {
	owner, ok := h.homeFor(s, f)
	if !ok {
		return false
	}
	d := h.serviceAt(now, owner, s).placer.PlaceFlow(now)
	f.Owner, f.Upstream = owner, d.Upstream
	return d.Action == placement.ActionStart
}

// Owner implements sim.Policy. A flow whose owner has been detected as dead is
// renewed at its current home.
func (h *Home) Owner(now time.Duration, r *sim.Request, arrival int) int {
	if h.view.Members[r.Flow.Owner].State != member.StateDead {
		return r.Flow.Owner
	}
	if owner, ok := h.homeFor(r.Service, r.Flow); ok {
		r.Flow.Owner = owner
		h.serviceAt(now, owner, r.Service).placer.AdoptFlow(now, r.Flow.Upstream)
	}
	return r.Flow.Owner
}

// Offer implements sim.Policy.
func (h *Home) Offer(now time.Duration, r *sim.Request) {
	c := r.Service.Spec.Config
	ok, reason, retryAfter := h.hosts[r.Owner].admission.Admit(now, r.Service.Spec.Account.ID, c.ID, c.Priority)
	if !ok {
		h.run.Refuse(r, sim.Refusal{Reason: reason, RetryAfter: retryAfter})
		return
	}
	hs := h.serviceAt(now, r.Owner, r.Service)
	hs.retries.OnRequest(now)
	h.place(now, hs, r, 0)
}

func (h *Home) place(now time.Duration, hs *homeService, r *sim.Request, exclude ids.UpstreamID) {
	d := hs.placer.Offer(now, placement.Request{Ticket: r.Ticket, Deadline: r.Deadline, Exclude: exclude})
	if d.Action == placement.ActionWait {
		hs.waiting[r.Ticket] = r
		return
	}
	apply(h.run, d, r)
}

// Ended implements sim.Policy.
func (h *Home) Ended(now time.Duration, r *sim.Request, upstream ids.UpstreamID, outcome placement.Outcome) {
	hs := h.serviceAt(now, r.Owner, r.Service)
	if hs.placer.Withdraw(now, r.Ticket) {
		delete(hs.waiting, r.Ticket)
		return
	}
	h.applyWaiting(hs, hs.placer.Finish(now, r.Ticket, upstream, outcome))
	if outcome != placement.OutcomeShed {
		return
	}
	if !hs.retries.TryRetry(now) {
		h.run.Refuse(r, sim.Refusal{Reason: verdict.ReasonShed, RetryAfter: fixedRetryAfter})
		return
	}
	h.place(now, hs, r, upstream)
}

func (h *Home) applyWaiting(hs *homeService, decisions []placement.Decision) {
	for _, d := range decisions {
		r := hs.waiting[d.Ticket]
		delete(hs.waiting, d.Ticket)
		apply(h.run, d, r)
	}
}

// Report implements sim.Policy.
func (h *Home) Report(now time.Duration, s *sim.Service, r placement.Report) {
	for i, host := range h.hosts {
		hs := host.services[s.Spec.Config.ID]
		if hs != nil && !h.run.Dead(i) {
			h.applyWaiting(hs, hs.placer.HandleReport(now, r))
		}
	}
}

// Tick implements sim.Policy.
func (h *Home) Tick(now time.Duration) {
	for i, host := range h.hosts {
		if h.run.Dead(i) {
			continue
		}
		for _, s := range h.run.Services {
			if hs := host.services[s.Spec.Config.ID]; hs != nil {
				h.applyWaiting(hs, hs.placer.Tick(now))
			}
		}
	}
}

// HostDied implements sim.Policy.
func (h *Home) HostDied(now time.Duration, host int) {
	h.view.Version++
	h.view.Members[host].State = member.StateDead
	h.update(now)
}

// apply executes a placement decision on a request.
func apply(run *sim.Run, d placement.Decision, r *sim.Request) {
	switch d.Action {
	case placement.ActionStart:
		run.Forward(r, d.Upstream)
	case placement.ActionRefuse:
		run.Refuse(r, sim.Refusal{Reason: d.Reason, RetryAfter: d.RetryAfter})
	}
}
