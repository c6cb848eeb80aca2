package dsr

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a core as shown to operators. Times are in milliseconds.
type State struct {
	Ready                 bool            `json:"ready"`
	Version               uint64          `json:"configuration_version"`
	ConfigurationRevision uint64          `json:"configuration_revision"`
	Routes                int             `json:"routes"`
	Flows                 int             `json:"flows"`
	StoreDown             bool            `json:"store_down"`
	StoreAnswerAgeMs      int64           `json:"store_heard_ms"`
	OwnLinkSuspected      bool            `json:"own_link_suspected"`
	SuspectZones          []string        `json:"zones_in_doubt"`
	Upstreams             []UpstreamState `json:"upstreams"`
}

// UpstreamState is the state of an upstream as shown to operators.
type UpstreamState struct {
	Key      string `json:"key"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	To       string `json:"to"`
	Token    Token  `json:"token"`
	Revision uint64 `json:"revision"`
	// Status follows from the registration, Suspicion from the packets that the host has seen.
	Status    string  `json:"status"`
	Suspicion string  `json:"suspicion"`
	Opening   int     `json:"opening"`
	Busy      int     `json:"busy"`
	Flows     int     `json:"flows"`
	Window    float64 `json:"window"`
	LatencyMs float64 `json:"latency_ms"`
	// LastAnswerAgeMs is the time since the upstream last answered; -1 if it never has.
	LastAnswerAgeMs int64 `json:"life_ms"`
}

// State returns the state of the core.
func (c *Core) State(now time.Duration) *State {
	c.advance(now)
	s := &State{
		Ready: c.Ready(), Version: c.version, ConfigurationRevision: c.configRevision, Routes: len(c.routes), Flows: len(c.cache.flows),
		StoreDown: c.storeDown, StoreAnswerAgeMs: (now - c.storeAnsweredAt).Milliseconds(), OwnLinkSuspected: c.linkMonitor.suspected(now),
		SuspectZones: []string{}, Upstreams: make([]UpstreamState, 0, len(c.byKey)+len(c.goneList)),
	}
	for name, z := range c.zones {
		if z.backoff.delay != 0 {
			s.SuspectZones = append(s.SuspectZones, name)
		}
	}
	slices.Sort(s.SuspectZones)
	for _, u := range c.byKey {
		s.Upstreams = append(s.Upstreams, u.state(now))
	}
	for _, u := range c.goneList {
		s.Upstreams = append(s.Upstreams, u.state(now))
	}
	slices.SortFunc(s.Upstreams, func(a, b UpstreamState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Revision, b.Revision))
	})
	return s
}

func (u *upstream) state(now time.Duration) UpstreamState {
	s := UpstreamState{
		Key: u.Key, Service: u.Service, Zone: u.Zone, To: u.Addr.String(), Token: u.token, Revision: uint64(u.Revision),
		Status: u.status(), Suspicion: u.suspicion(now), Opening: u.opening, Busy: u.busy, Flows: u.flows,
		Window: u.window.size, LatencyMs: u.latency * 1000, LastAnswerAgeMs: -1,
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
	case u.removeAt != 0:
		return "lapsed"
	case u.unreadable:
		return "unreadable"
	case u.tokenShared:
		return "shared token"
	case u.Draining:
		return "draining"
	default:
		return "ready"
	}
}

func (u *upstream) suspicion(now time.Duration) string {
	switch {
	case u.isSilent(now):
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
