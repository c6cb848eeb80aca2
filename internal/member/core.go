package member

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// Protocol timing.
const (
	// TickInterval is the interval at which the caller calls Tick.
	TickInterval = 100 * time.Millisecond
	// ProbePeriod is the interval between two regular probes. Each probes the next
	// host in the probe order.
	ProbePeriod = time.Second
	// attemptInterval is how long an attempt of a probe waits for an ack before the
	// next one starts.
	attemptInterval = 300 * time.Millisecond
	// PauseThreshold is the longest gap between two ticks that does not count as a
	// pause of the process.
	PauseThreshold = 2 * time.Second
	// DeadRetention is how long a dead host stays in the view.
	DeadRetention = 10 * time.Minute
	// listInterval is the interval of anti-entropy: each time, one page of the
	// member list is requested from another host.
	listInterval = 2 * time.Second
	// recontactInterval is the interval between two pings of a dead host or of a
	// contact that is not a member.
	recontactInterval = 3 * time.Second
	// gossipInterval is the interval between two rounds of dedicated gossip
	// messages. They are sent only while updates are pending.
	gossipInterval = 500 * time.Millisecond
	// joinTimeout is how long a starting host waits for a complete member list from
	// another host.
	joinTimeout = 3 * time.Second
	// relayTTL is how long a ping sent on behalf of another host is remembered.
	relayTTL = 2 * ProbePeriod
)

// Protocol sizes.
const (
	// probeAttempts is the number of pings in a regular probe. From the second
	// attempt on, other hosts are asked to ping the target as well.
	probeAttempts = 5
	// indirectProbes is the number of hosts asked to ping the target in each
	// attempt.
	indirectProbes = 3
	// suspicionPeriods is the number of probe periods that a suspected host has to
	// refute the suspicion, in addition to one for each four doublings of the fleet
	// size.
	suspicionPeriods = 2
	// maxPiggybacked is the largest number of gossip updates piggybacked on a
	// message.
	maxPiggybacked = 8
	// gossipTargets is the number of hosts that receive dedicated gossip messages in
	// each round.
	gossipTargets = 2
	// maxPageUpdates is the largest number of updates in a page.
	maxPageUpdates = 12
	// minTransmissions is the number of times that a host sends an update, in
	// addition to one for each two doublings of the fleet size.
	minTransmissions = 6
	// maxJoinContacts is the largest number of contacts pinged in each probe period
	// while no other host is known.
	maxJoinContacts = 3
)

// Settings holds the parameters of a Core. They do not change after New.
type Settings struct {
	Self Member
	// Contacts are control addresses at which other hosts may be found.
	Contacts []netip.AddrPort
	// Seed seeds the random choices of hosts.
	Seed uint64
}

// Send is a message to be sent to a control address.
type Send struct {
	To      netip.AddrPort
	Message *Message
}

// Record describes a membership decision for the log.
type Record struct {
	// Event is the message of the log line.
	Event  string
	Host   string
	State  State
	Reason string
}

// Effects collects the actions that the caller has to perform, in order.
type Effects struct {
	Sends   []Send
	Records []Record
	// View is the new view, or nil if it has not changed.
	View *View
	// Paused is set when the gap between two ticks exceeded PauseThreshold. The host
	// must take a new incarnation before it owns flows or requests again; package
	// daemon detects the pause on its own and does so.
	Paused bool
	// MinIncarnation is the lowest incarnation that this host must take, because
	// other hosts know of a later incarnation than its own. It is zero otherwise.
	MinIncarnation ids.Incarnation
}

// Reset clears the effects and keeps the slices' capacity.
func (e *Effects) Reset() {
	*e = Effects{Sends: e.Sends[:0], Records: e.Records[:0]}
}

// peer is another host with its latest known state.
type peer struct {
	Update
	id ids.HostID
	// since is the time of the last state change.
	since time.Duration
	// lastReceived is the time of the last message from the host. It is used only
	// while this host watches it.
	lastReceived time.Duration
	// suspectedLocally is set if the suspicion was raised by this host rather than
	// received in an update.
	suspectedLocally bool
}

// probe is a check of a host. A regular probe starts each probe period, even while
// attempts of earlier probes are pending.
type probe struct {
	target   ids.HostID
	sequence uint64
	attempts int
	// maxAttempts is the largest number of attempts, and interval is the time
	// between two of them.
	maxAttempts int
	interval    time.Duration
	nextAttempt time.Duration
}

// relay is a ping sent on behalf of another host, which expects the ack.
type relay struct {
	to       netip.AddrPort
	sequence uint64
	expires  time.Duration
}

// Core is the membership state machine of one host. It has no clock, socket or
// goroutine: callers pass the time, as the duration since the start of the
// process, and perform the returned Effects. It is not safe for concurrent use.
type Core struct {
	self     Update
	selfID   ids.HostID
	rng      *rand.Rand
	contacts []netip.AddrPort
	peers    map[ids.HostID]*peer
	// order holds the ids of the peers in ascending order.
	order []ids.HostID
	// notLive holds the ids of the peers that are suspect or dead, in ascending
	// order.
	notLive []ids.HostID
	// probeOrder holds the ids of the peers that are still to be probed in this
	// round, in random order. Each peer that is not dead is probed once a round.
	probeOrder    []ids.HostID
	gossip        gossip
	probes        []probe
	relays        map[uint64]relay
	sequence      uint64
	version       uint64
	changed       bool
	started       time.Duration
	lastTick      time.Duration
	nextProbe     time.Duration
	nextHeartbeat time.Duration
	// watched holds the ids of the hosts that this one watched at the last tick.
	watched       []ids.HostID
	nextList      time.Duration
	nextRecontact time.Duration
	nextGossip    time.Duration
	// cursor is the host id after which the next requested page starts.
	cursor ids.HostID
	// listComplete is set once a complete member list has been received.
	listComplete bool
}

// New returns a core whose only member is the local host.
func New(now time.Duration, s Settings) *Core {
	return &Core{
		self: Update{
			Name: s.Self.Name, Zone: s.Self.Zone, Data: s.Self.Data, Control: s.Self.Control,
			Incarnation: s.Self.Instance.Incarnation,
		},
		selfID:   s.Self.Instance.Host,
		rng:      rand.New(rand.NewPCG(s.Seed, uint64(s.Self.Instance.Host))),
		contacts: s.Contacts,
		peers:    make(map[ids.HostID]*peer),
		relays:   make(map[uint64]relay),
		started:  now,
		lastTick: now,
		changed:  true,
	}
}

// SetContacts replaces the contacts, which come from the platform's list of hosts
// and the operators' plan. They are only hints: a host becomes a member when a
// membership message names it.
func (c *Core) SetContacts(contacts []netip.AddrPort) {
	c.contacts = contacts
}

// CancelLeave cancels the announcement of a planned stop.
func (c *Core) CancelLeave(now time.Duration) {
	if !c.self.Leaving {
		return
	}
	c.self.Leaving = false
	c.self.Counter++
	c.announceSelf()
}

// Leave announces a planned stop.
func (c *Core) Leave(now time.Duration, out *Effects) {
	if c.self.Leaving {
		return
	}
	c.self.Leaving = true
	c.self.Counter++
	c.announceSelf()
	for _, p := range c.pick(indirectProbes, 0) {
		c.send(out, p.Control, &Message{Kind: KindPing, Sequence: c.nextSequence()})
	}
}

// SetIncarnation sets and announces a later incarnation of this host. An
// incarnation that is not later than the present one is ignored.
func (c *Core) SetIncarnation(now time.Duration, i ids.Incarnation) {
	if i <= c.self.Incarnation {
		return
	}
	c.self.Incarnation = i
	c.self.Counter = 0
	c.announceSelf()
}

// Joined reports whether the host has received a complete member list or has
// waited for joinTimeout. The time limit is needed because hosts that start
// together have no complete list to send.
func (c *Core) Joined(now time.Duration) bool {
	return c.listComplete || now-c.started >= joinTimeout
}

func (c *Core) announceSelf() {
	c.gossip.add(c.self)
	c.changed = true
}

func (c *Core) nextSequence() uint64 {
	c.sequence++
	return c.sequence
}

// doublings returns the base-2 logarithm of the fleet size, rounded up.
func (c *Core) doublings() int {
	return bits.Len(uint(len(c.peers)))
}

func (c *Core) transmissions() int {
	return minTransmissions + c.doublings()/2
}

func (c *Core) suspicionTimeout() time.Duration {
	return time.Duration(suspicionPeriods+c.doublings()/4) * ProbePeriod
}

func (c *Core) send(out *Effects, to netip.AddrPort, m *Message) {
	m.From = c.self
	if m.Updates == nil {
		m.Updates = c.gossip.take(maxPiggybacked, c.transmissions())
	}
	out.Sends = append(out.Sends, Send{To: to, Message: m})
}

// publish adds the view to the effects if it has changed since the last tick.
func (c *Core) publish(out *Effects) {
	if c.changed {
		c.changed = false
		c.version++
		out.View = c.view()
	}
}
