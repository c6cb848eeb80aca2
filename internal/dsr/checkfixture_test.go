package dsr

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/store"
)

// checkNetwork answers the connections of checks. Those that it does not mention are accepted.
type checkNetwork struct {
	// silent addresses don't answer, refusing ones have no listener. Those of upstreams that answer no
	// handshakes, but run, are accepting.
	silent, refusing, accepting map[netip.AddrPort]bool
	// cutOff is set while the host reaches no upstream.
	cutOff bool
	// loss returns the share of connections to an address that are lost; nil is none.
	loss   func(netip.AddrPort) float64
	random *rand.Rand
	// connections counts the attempts.
	connections int
}

// dueEvent is the begin or the result of a check.
type dueEvent struct {
	at  time.Duration
	run func()
}

// connect adds the result of one connection.
func (n *checkNetwork) connect(a *Attempts, addr netip.AddrPort) {
	n.connections++
	switch {
	case n.cutOff || n.silent[addr] && !n.accepting[addr] || n.loss != nil && n.random.Float64() < n.loss(addr):
		a.Unanswered++
	case n.refusing[addr]:
		a.Refused++
	default:
		a.Accepted++
	}
}

// startChecks schedules the checks that the core asks for.
func (f *fixture) startChecks() {
	for _, ch := range f.core.TakeChecks() {
		f.events = append(f.events, dueEvent{f.now + ch.Delay, func() { f.carryOut(ch) }})
	}
}

// carryOut carries out a check as the host does.
func (f *fixture) carryOut(ch Check) {
	at := f.now + ch.Time
	r := CheckResult{ID: ch.ID, StartedAt: f.now, Controls: make([]Attempts, len(ch.Controls))}
	for i := range ch.Attempts {
		f.network.connect(&r.Target, ch.Target)
		refused := r.Target.Refused >= ch.Refusals
		if i%2 == 1 || refused {
			for j, control := range ch.Controls {
				f.network.connect(&r.Controls[j], control)
			}
		}
		if refused || r.Target.Accepted > 0 {
			at = f.now + time.Duration(i)*ch.Interval + checkTransit
			break
		}
	}
	f.events = append(f.events, dueEvent{at, func() { f.core.CheckDone(f.now, r) }})
}

// takeDue returns the first event until the given time, or nil.
func (f *fixture) takeDue(until time.Duration) *dueEvent {
	first := -1
	for i, e := range f.events {
		if e.at <= until && (first < 0 || e.at < f.events[first].at) {
			first = i
		}
	}
	if first < 0 {
		return nil
	}
	e := f.events[first]
	f.events = slices.Delete(f.events, first, first+1)
	return &e
}

// declare applies a configuration that names another service.
func (f *fixture) declare(service string) {
	n := configuration(f.core.version + 1)
	n.Services = []string{service}
	f.rev = max(f.rev, store.Revision(n.Version)) + 1
	n.Revision = f.rev
	f.core.Apply(f.now, &directory.Change{Revision: f.rev, Configuration: n})
}

// stopUpstream ends the process of an upstream: its address refuses connections.
func (f *fixture) stopUpstream(u *upstream) {
	f.network.refusing = map[netip.AddrPort]bool{u.Addr: true}
}

// requireReset requires a flow without an answer to be reset by a check that its next retransmission
// causes, after a time.
func (c *caller) requireReset(after time.Duration) {
	c.f.t.Helper()
	require.Equal(c.f.t, Forward, c.retransmit().Action)
	c.f.advance(after)
	require.Equal(c.f.t, Reset, c.retransmit().Action)
}
