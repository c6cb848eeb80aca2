package dsr

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a core as shown to operators. Times are in milliseconds.
type State struct {
	Ready bool `json:"ready"`
	// Lacks names what a host that is not ready has not received yet.
	Lacks                 []string `json:"lacks,omitempty"`
	Version               uint64   `json:"configuration_version"`
	ConfigurationEra      uint64   `json:"configuration_era"`
	ConfigurationRevision uint64   `json:"configuration_revision"`
	Routes                int      `json:"routes"`
	Flows                 int      `json:"flows"`
	StoreDown             bool     `json:"store_down"`
	StoreAnswerAgeMs      int64    `json:"store_heard_ms"`
	OwnLinkSuspected      bool     `json:"own_link_suspected"`
	SuspectZones          []string `json:"zones_in_doubt"`
	// EvacuatedZones holds the zones that operators have taken out of use for new flows.
	EvacuatedZones []EvacuationState `json:"evacuated_zones"`
	// ZoneIndex is the place of this host among the ZoneHosts hosts of its zone; both are zero while
	// it knows no others.
	ZoneIndex int             `json:"zone_index"`
	ZoneHosts int             `json:"zone_hosts"`
	Services  []ServiceState  `json:"services"`
	Upstreams []UpstreamState `json:"upstreams"`
}

// ServiceState is the load of a service as shown to operators.
type ServiceState struct {
	Name string `json:"name"`
	// OwnSlots is the number of slots that this host is responsible for, WorkMs the time that a
	// request takes one, and Demand the requests per second that are asked of them.
	OwnSlots float64 `json:"own_slots"`
	WorkMs   float64 `json:"work_ms"`
	Demand   float64 `json:"demand"`
	// Waiting is the number of callers that wait, Spilled that of requests at upstreams of other
	// hosts, and SpillLimit the largest number of these.
	Waiting    int     `json:"waiting"`
	Spilled    int     `json:"spilled"`
	SpillLimit float64 `json:"spill_limit"`
}

// UpstreamState is the state of an upstream as shown to operators.
type UpstreamState struct {
	Key      string `json:"key"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	To       string `json:"to"`
	Token    Token  `json:"token"`
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
	// Status follows from the registration, Suspicion from the packets that the host has seen.
	Status    string `json:"status"`
	Suspicion string `json:"suspicion"`
	Opening   int    `json:"opening"`
	Busy      int    `json:"busy"`
	Flows     int    `json:"flows"`
	// Share is the part of the upstream that this host is responsible for.
	Share     float64 `json:"share"`
	LatencyMs float64 `json:"latency_ms"`
	// ColdMs is how long the upstream stays cold, ColdOwned is set if this host opens its flows meanwhile.
	ColdMs    int64 `json:"cold_ms,omitempty"`
	ColdOwned bool  `json:"cold_owned,omitempty"`
	// LearnedLimit is the number of requests that the upstream takes well at a time, LearnedWorkMs the
	// time that one takes then.
	LearnedLimit  float64 `json:"learned_limit"`
	LearnedWorkMs float64 `json:"learned_work_ms"`
	// Judgement is how the capacity compares with that of the peers.
	Judgement string `json:"judgement"`
	// LastAnswerAgeMs is the time since the upstream last answered; -1 if it never has.
	LastAnswerAgeMs int64 `json:"life_ms"`
}

// State returns the state of the core.
func (c *Core) State(now time.Duration) *State {
	c.advance(now)
	s := &State{
		Ready: c.Ready(), Lacks: c.lacks(), Version: c.version, ConfigurationEra: uint64(c.configEra), ConfigurationRevision: uint64(c.configRevision), Routes: len(c.routes), Flows: len(c.cache.flows),
		StoreDown: c.storeDown, StoreAnswerAgeMs: (now - c.storeAnsweredAt).Milliseconds(), OwnLinkSuspected: c.linkMonitor.suspected(now),
		SuspectZones: []string{}, Services: []ServiceState{}, Upstreams: make([]UpstreamState, 0, len(c.byKey)+len(c.goneList)),
	}
	for name, z := range c.zones {
		if z.backoff.delay != 0 {
			s.SuspectZones = append(s.SuspectZones, name)
		}
	}
	slices.Sort(s.SuspectZones)
	s.EvacuatedZones = c.evacuationStates(now)
	s.ZoneIndex, s.ZoneHosts = c.position.Index, c.position.Count
	for name, v := range c.services {
		if v.sharesStale {
			c.computeShares(v)
		}
		s.Services = append(s.Services, ServiceState{
			Name: name, OwnSlots: v.ownSlots, WorkMs: v.work.Mean().Seconds() * 1000, Demand: v.demand.Rate(now),
			Waiting: v.waiting + v.queue.Len(), Spilled: v.spilled, SpillLimit: v.spill.Size(),
		})
	}
	slices.SortFunc(s.Services, func(a, b ServiceState) int { return cmp.Compare(a.Name, b.Name) })
	for _, u := range c.byKey {
		s.Upstreams = append(s.Upstreams, c.upstreamState(now, u))
	}
	for _, u := range c.goneList {
		s.Upstreams = append(s.Upstreams, u.state(now))
	}
	slices.SortFunc(s.Upstreams, func(a, b UpstreamState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Era, b.Era), cmp.Compare(a.Revision, b.Revision))
	})
	return s
}

// lacks names what the core needs to be ready.
func (c *Core) lacks() []string {
	var lacks []string
	if !c.configured {
		lacks = append(lacks, "configuration")
	}
	if !c.complete {
		lacks = append(lacks, "directory of upstreams")
	}
	return lacks
}

func (u *upstream) state(now time.Duration) UpstreamState {
	s := UpstreamState{
		Key: u.Key, Service: u.Service, Zone: u.Zone, To: u.Addr.String(), Token: u.token, Era: uint64(u.Era), Revision: uint64(u.Revision),
		Status: u.status(), Suspicion: u.suspicion(now), Opening: u.opening, Busy: u.busy, Flows: u.flows,
		Share: u.share, LatencyMs: u.latency * 1000, LastAnswerAgeMs: -1,
		LearnedLimit: u.learnedLimit(now), LearnedWorkMs: u.learnedWork(now).Seconds() * 1000,
		Judgement: u.judgement(now).name(),
	}
	if u.lastAnswerAt != 0 {
		s.LastAnswerAgeMs = (now - u.lastAnswerAt).Milliseconds()
	}
	return s
}

func (u *upstream) status() string {
	switch {
	case u.gone:
		return "gone"
	case u.lost:
		return "lost by the store"
	case u.removeAt != 0:
		return "lapsed"
	case u.unreadable:
		return "unreadable"
	case u.tokenShared:
		return "shared token"
	case u.Draining:
		return "draining"
	case u.evacuated:
		return "evacuated"
	default:
		return "ready"
	}
}

func (u *upstream) suspicion(now time.Duration) string {
	switch {
	case u.silentAt != 0:
		return "silent"
	case now < u.backoff.until:
		return "avoided"
	case u.backoff.delay != 0:
		return "on trial"
	case u.zone.backoff.delay != 0:
		return "zone in doubt"
	default:
		return ""
	}
}
