// Package member implements the membership of the fleet: which hosts are live,
// suspect, leaving or dead, and under which incarnation. Failures are detected by
// heartbeats between neighbouring hosts and by random probes in the manner of
// SWIM; changes spread by gossip, and anti-entropy repairs what gossip missed.
//
// In this package a watcher of a host is a host that expects its heartbeats: one
// of its two successors in the order of host ids. The watchers in package spread
// are unrelated: they watch the platform's store for their availability zone.
//
// The Core is a deterministic state machine; the control plane sends its messages
// as datagrams.
package member

import (
	"net/netip"

	"mimosashore.example/mimosashore/internal/ids"
)

// State is the state of a host as seen by another host.
type State uint8

// Host states. A host owns a flow or a request if it holds its state and decides
// on it; see package hostcore.
const (
	// StateLive hosts take part in routing and own flows and requests.
	StateLive State = iota
	// StateSuspect hosts failed a probe. Until they are declared dead, they keep the
	// flows and requests that they own, but get no new ones.
	StateSuspect
	// StateLeaving hosts announced a planned stop. They finish the flows and requests
	// that they own, but get no new ones.
	StateLeaving
	// StateDead hosts did not refute a suspicion in time, or failed a probe while
	// leaving.
	StateDead
)

// String returns the state as used in logs.
func (s State) String() string {
	switch s {
	case StateLive:
		return "live"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	default:
		return "invalid"
	}
}

// Member is a host in a view.
type Member struct {
	Instance ids.Instance
	Name     string
	Zone     string
	Data     netip.AddrPort
	Control  netip.AddrPort
	State    State
}

// View is an immutable snapshot of the known hosts, including the local one,
// ordered by host id. Dead hosts stay in the view for DeadRetention, so that their
// incarnation can be told apart from one that was never known.
type View struct {
	// Version increases with each change.
	Version uint64
	Members []Member
}

// Find returns the member with the given host id, or nil.
func (v *View) Find(id ids.HostID) *Member {
	for i := range v.Members {
		if v.Members[i].Instance.Host == id {
			return &v.Members[i]
		}
	}
	return nil
}

// viewState returns the state of a host as it appears in views: a host that
// announced a planned stop is leaving until it is dead.
func (u *Update) viewState() State {
	if u.Leaving && u.State != StateDead {
		return StateLeaving
	}
	return u.State
}

func (u *Update) member(id ids.HostID) Member {
	return Member{
		Instance: ids.Instance{Host: id, Incarnation: u.Incarnation},
		Name:     u.Name,
		Zone:     u.Zone,
		Data:     u.Data,
		Control:  u.Control,
		State:    u.viewState(),
	}
}

// View returns the current view.
func (c *Core) View() *View { return c.view() }

func (c *Core) view() *View {
	v := &View{Version: c.version, Members: make([]Member, 0, len(c.order)+1)}
	self := c.self.member(c.selfID)
	placed := false
	for _, id := range c.order {
		if !placed && id > c.selfID {
			v.Members = append(v.Members, self)
			placed = true
		}
		v.Members = append(v.Members, c.peers[id].member(id))
	}
	if !placed {
		v.Members = append(v.Members, self)
	}
	return v
}
