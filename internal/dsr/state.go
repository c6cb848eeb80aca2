package dsr

import (
	"cmp"
	"slices"
	"time"
)

// State is what a core believes, for operators. Times are in milliseconds.
type State struct {
	Ready                 bool            `json:"ready"`
	Version               uint64          `json:"configuration_version"`
	ConfigurationRevision uint64          `json:"configuration_revision"`
	Routes                int             `json:"routes"`
	Flows                 int             `json:"flows"`
	StoreDown             bool            `json:"store_down"`
	StoreAnswerAgeMs               int64           `json:"store_heard_ms"`
	OwnLinkSuspected              bool            `json:"own_link_suspected"`
	SuspectZones          []string        `json:"zones_in_doubt"`
	Upstreams             []UpstreamState `json:"upstreams"`
}

// UpstreamState is what a core believes of an upstream.
type UpstreamState struct {
	Key      string `json:"key"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	To       string `json:"to"`
	Token    Token  `json:"token"`
	Revision uint64 `json:"revision"`
	// Status is one of the registration, Suspicion one of what the host saw.
	Status    string  `json:"status"`
	Suspicion string  `json:"suspicion"`
	Opening   int     `json:"opening"`
	Busy      int     `json:"busy"`
	Flows     int     `json:"flows"`
	Window    float64 `json:"window"`
	LatencyMs float64 `json:"latency_ms"`
	// LastAnswerAgeMs is the time since the last sign of life; negative is never.
	LastAnswerAgeMs int64 `json:"life_ms"`
}

// State returns what the core believes.
func (c *Core) State(now time.Duration) *State {
	c.advance(now)
	s := &State{
		Ready: c.Ready(), Version: c.version, ConfigurationRevision: c.configRevision, Routes: len(c.routes), Flows: len(c.cache.flows),
		StoreDown: c.storeDown, StoreAnswerAgeMs: (now - c.heardAt).Milliseconds(), OwnLinkSuspected: c.strain.high(now),
		SuspectZones: []string{}, Upstreams: make([]UpstreamState, 0, len(c.byKey)+len(c.goneList)),
	}
	for name, z := range c.zones {
		if z.doubt.step != 0 {
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
	if u.lifeAt != 0 {
		s.LastAnswerAgeMs = (now - u.lifeAt).Milliseconds()
	}
	return s
}

func (u *upstream) status() string {
	switch {
	case u.gone:
		return "gone"
	case u.removeAt != 0:
		return "lapsed"
	case u.unusable:
		return "unreadable"
	case u.shared:
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
	case now < u.doubt.until:
		return "avoided"
	case u.doubt.step != 0:
		return "on trial"
	case u.zone.doubt.step != 0:
		return "zone in doubt"
	default:
		return ""
	}
}
