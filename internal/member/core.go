package member

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// Times of the protocol.
const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// ProbePeriod is the time between two probes of a host.
	ProbePeriod = time.Second
	// attemptInterval is the wait for an ack before the next attempt of a probe.
	attemptInterval = 300 * time.Millisecond
	// PauseLimit is the time between two ticks after which the host takes
	// itself for paused.
	PauseLimit = 2 * time.Second
	// DeadKeep is how long a dead host stays in the view.
	DeadKeep = 10 * time.Minute
	// listInterval is the time between two pages asked from other hosts.
	listInterval = 2 * time.Second
	// recontactInterval is the time between two pings of hosts that are not live.
	recontactInterval = 3 * time.Second
	// gossipInterval is the time between two rounds of messages that only carry
	// updates, while there are any.
	gossipInterval = 500 * time.Millisecond
	// joinWait is how long a host waits for the whole list of another host.
	joinWait = 3 * time.Second
	// relayKeep is how long a ping on behalf of another host is remembered.
	relayKeep = 2 * ProbePeriod
)

// Sizes of the protocol.
const (
	// probeAttempts is the number of pings of one probe. From the second one on
	// other hosts are asked to ping as well.
	probeAttempts = 5
	// indirectProbes is the number of hosts asked with each attempt.
	indirectProbes = 3
	// suspicionPeriods is the number of probe periods for a suspected host to
	// refute, on top of one for each four doublings of the fleet.
	suspicionPeriods = 2
	// piggybacked is the number of updates that spread with one message.
	piggybacked = 8
	// gossipTargets is the number of hosts that get updates in a round.
	gossipTargets = 2
	// pageUpdates is the number of updates in a page.
	pageUpdates = 12
	// leastTransmissions is the number of times that a host sends an update on,
	// on top of one for each two doublings of the fleet.
	leastTransmissions = 6
	// joinContacts is the number of contacts that a host pings while it knows nobody.
	joinContacts = 3
)

// Settings are fixed for the life of a core.
type Settings struct {
	Self Member
	// Contacts are addresses where other hosts may be found.
	Contacts []netip.AddrPort
	Seed     uint64
}

// Send is a message to the control address of a host.
type Send struct {
	To      netip.AddrPort
	Message *Message
}

// Record is one decision for the log.
type Record struct {
	// Event is the short sentence of the log line.
	Event string
	Host  string
	State State
	Reason   string
}

// Effects is what the core wants done, in order.
type Effects struct {
	Sends   []Send
	Records []Record
	// View is set when the view changed.
	View *View
	// Paused tells that the time jumped between two ticks: the host was stopped
	// and must take a new incarnation before it owns work again.
	Paused bool
	// MinIncarnation is not zero if a later run of this host is known: the
	// host must take an incarnation of at least this value.
	MinIncarnation ids.Incarnation
}

// Reset empties the effects and keeps their memory.
func (e *Effects) Reset() {
	*e = Effects{Sends: e.Sends[:0], Records: e.Records[:0]}
}

// peer is another host and what is under way with it.
type peer struct {
	Update
	id ids.HostID
	// since is the time of the last change of state.
	since time.Duration
	// heardAt is the time of the last message, kept for watched hosts.
	heardAt time.Duration
	// suspectedHere tells that this host raised the suspicion.
	suspectedHere bool
}

// probe is one check of a host. A new one starts each period, also while the
// attempts of earlier ones go on.
type probe struct {
	target   ids.HostID
	sequence uint64
	attempts int
	// limit is the number of attempts, interval the time between two.
	limit    int
	interval time.Duration
	next     time.Duration
}

type relay struct {
	to       netip.AddrPort
	sequence uint64
	expires  time.Duration
}

// Core is the membership of one host. It is not safe for concurrent use.
type Core struct {
	self     Update
	selfID   ids.HostID
	rng      *rand.Rand
	contacts []netip.AddrPort
	peers    map[ids.HostID]*peer
	// order holds the ids of the peers in ascending order.
	order []ids.HostID
	// unwell holds the ids of the peers that are suspect or dead, ascending.
	unwell []ids.HostID
	// round is the order of the probes; each live peer comes up once a round.
	round     []ids.HostID
	gossip    gossip
	probes    []probe
	relays    map[uint64]relay
	sequence  uint64
	version   uint64
	changed   bool
	started   time.Duration
	lastTick  time.Duration
	nextProbe time.Duration
	nextBeat  time.Duration
	// watched holds the hosts that this one watched at the last tick.
	watched   []ids.HostID
	nextList  time.Duration
	nextRetry time.Duration
	nextRound time.Duration
	cursor    ids.HostID
	listedAll bool
}

// New returns a core that knows itself only.
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

// SetContacts replaces the addresses where other hosts may be found, such as
// the platform's list of hosts and the operators' plan say. They are hints: a
// host counts as a member only once it was heard of from a host.
func (c *Core) SetContacts(contacts []netip.AddrPort) {
	c.contacts = contacts
}

// CancelLeave takes back the announcement of a planned stop.
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

// SetIncarnation announces a new incarnation of this host.
func (c *Core) SetIncarnation(now time.Duration, i ids.Incarnation) {
	if i <= c.self.Incarnation {
		return
	}
	c.self.Incarnation = i
	c.self.Counter = 0
	c.announceSelf()
}

// Joined reports whether the host has the whole list of another host, or has
// waited long enough: hosts that start together have no list to give.
func (c *Core) Joined(now time.Duration) bool {
	return c.listedAll || now-c.started >= joinWait
}

func (c *Core) announceSelf() {
	c.gossip.add(c.self)
	c.changed = true
}

func (c *Core) nextSequence() uint64 {
	c.sequence++
	return c.sequence
}

// doublings is the number of doublings from one host to the fleet's size.
func (c *Core) doublings() int {
	return bits.Len(uint(len(c.peers)))
}

func (c *Core) transmissions() int {
	return leastTransmissions + c.doublings()/2
}

func (c *Core) suspicionTime() time.Duration {
	return time.Duration(suspicionPeriods+c.doublings()/4) * ProbePeriod
}

func (c *Core) send(out *Effects, to netip.AddrPort, m *Message) {
	m.From = c.self
	if m.Updates == nil {
		m.Updates = c.gossip.take(piggybacked, c.transmissions())
	}
	out.Sends = append(out.Sends, Send{To: to, Message: m})
}

// publish gives out the view if it changed since the last tick.
func (c *Core) publish(out *Effects) {
	if c.changed {
		c.changed = false
		c.version++
		out.View = c.view()
	}
}
