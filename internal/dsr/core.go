package dsr

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/directory"
)

const (
	// freshFor is how old the last answer of the store may be for a missing
	// route to count as missing: two watches of 2 s with their timeouts.
	freshFor = 6 * time.Second
	// freshDown is the same while the store does not answer this host: another
	// host that it answers sends news each 0.4 s; three of them.
	freshDown = 1200 * time.Millisecond
	// refreshInterval is the least time between two requests for a full read.
	refreshInterval = time.Second
	// maxUnknown bounds the tokens that wait for a full read.
	maxUnknown = 1024
)

// route is a route of the configuration in force.
type route struct {
	directory.Route
	total int
}

// Core decides for one host. It is not safe for concurrent use.
type Core struct {
	zone   string
	format Format
	cache  flowCache

	byKey    map[string]*upstream
	tokens   map[Token]*upstream
	services map[string]*service
	zones    map[string]*zone
	strain   strain
	// pending holds upstreams whose registration lapsed, goneList those that are gone, both in the order of time.
	pending, goneList []*upstream

	configured bool
	version    uint64
	// configRevision is the revision of the store that wrote the configuration.
	configRevision uint64
	configuredAt   time.Duration
	routes         map[netip.AddrPort]*route

	// complete is set once a full directory is known.
	complete bool
	// heardAt is when the store last answered this host or one that it follows;
	// storeDown is set while it doesn't answer this host.
	heardAt   time.Duration
	storeDown bool
	// settledAt is when what the store says counts again after an outage.
	settledAt time.Duration
	// listedAt is when the last full read from the store was sent.
	listedAt  time.Duration
	refreshAt time.Duration
	// unknown holds when a token without upstream was first seen.
	unknown map[Token]time.Duration

	// head is the header of the packet at hand.
	head Packet
	// turn varies the choice among equals.
	turn uint64

	records []Record
	samples []Sample
	// resets are for flows other than that of the packet at hand.
	resets []Packet
}

// New returns the core of a host in an availability zone. Hosts with different
// seeds choose in different orders among equals, also when they start together.
func New(zoneName string, format Format, seed uint64) *Core {
	return &Core{
		zone:     zoneName,
		turn:     seed,
		format:   format,
		cache:    newFlowCache(),
		byKey:    make(map[string]*upstream),
		tokens:   make(map[Token]*upstream),
		services: make(map[string]*service),
		zones:    make(map[string]*zone),
		routes:   make(map[netip.AddrPort]*route),
		unknown:  make(map[Token]time.Duration),
	}
}

// Ready reports whether the host can route packets.
func (c *Core) Ready() bool { return c.configured && c.complete }

// Version returns the version of the configuration in force.
func (c *Core) Version() uint64 { return c.version }

// ConfigurationAge returns how long the configuration has been in force here; zero if there is none.
func (c *Core) ConfigurationAge(now time.Duration) time.Duration {
	if !c.configured {
		return 0
	}
	return now - c.configuredAt
}

// Flows returns the number of flows in the cache.
func (c *Core) Flows() int { return len(c.cache.flows) }

// StoreAnswered notes an answer of the store.
func (c *Core) StoreAnswered(now time.Duration) {
	c.heardAt = now
	if c.storeDown {
		c.storeDown = false
		c.settledAt = now + removalHold
		c.note(Record{Event: "store answers again", HoldsFor: removalHold})
	}
}

// PeerAnswered notes that another host told what it knows, and how long ago the
// store answered that host; negative is never.
func (c *Core) PeerAnswered(now, heard time.Duration) {
	if heard >= 0 {
		c.heardAt = max(c.heardAt, now-heard)
	}
}

// StoreFailed notes a call that the store did not answer.
func (c *Core) StoreFailed(now time.Duration, why string) {
	if !c.storeDown {
		c.storeDown = true
		c.note(Record{Event: "store does not answer", Detail: why, Age: now - c.heardAt})
	}
}

func (c *Core) applyConfiguration(now time.Duration, n *directory.Configuration) {
	if c.configured && uint64(n.Revision) <= c.configRevision {
		return
	}
	c.configured, c.version, c.configRevision, c.configuredAt = true, n.Version, uint64(n.Revision), now
	old := c.routes
	c.routes = make(map[netip.AddrPort]*route, len(n.Routes))
	for _, s := range c.services {
		s.objective, s.lowest = 0, 0
	}
	for i := range n.Routes {
		r := &route{Route: n.Routes[i]}
		for _, t := range r.Targets {
			r.total += t.Weight
			c.serviceOf(t.Service).require(r)
		}
		c.routes[r.Addr] = r
	}
	c.note(Record{Event: "configuration in force", Version: n.Version, Revision: uint64(n.Revision), Considered: len(n.Routes), Suspect: n.Skipped, Open: len(old), Age: now - c.heardAt})
}

// HandlePacket decides on one packet of a caller. The header is valid until the next call.
func (c *Core) HandlePacket(now time.Duration, b []byte) (*Packet, Effect) {
	c.strain.packet(now)
	c.advance(now)
	p := &c.head
	if err := c.format.Parse(b, p); err != nil {
		c.note(Record{Event: "packet dropped", Action: Drop, Detail: err.Error()})
		return p, Effect{Action: Drop, Reason: ReasonMalformed}
	}
	if p.SYN {
		return p, c.open(now, p)
	}
	return p, c.later(now, p)
}

// advance does what has become due.
func (c *Core) advance(now time.Duration) {
	c.settle(now)
	timeout := c.strain.timeout()
	for f := c.cache.opening.First(); f != nil && now-f.openedAt > timeout; f = c.cache.opening.First() {
		c.cache.enter(now, f, phaseOverdue)
		c.unanswered(now, f)
	}
	for f := c.cache.busy.First(); f != nil && now-f.busyAt > busyLimit; f = c.cache.busy.First() {
		c.cache.enter(now, f, phaseIdle)
	}
	c.cache.expire(now)
}

// open decides on the first packet of a flow or a copy of it.
func (c *Core) open(now time.Duration, p *Packet) Effect {
	if !c.configured || !c.complete {
		return Effect{Action: Drop, Reason: ReasonNoConfiguration}
	}
	r := c.routes[p.Service]
	if r == nil {
		return c.noRoute(now, p)
	}
	key := flowKey{p.Caller, p.Service}
	f := c.cache.flows[key]
	if f != nil && p.SYNRetransmits == 0 && f.phase != phaseOpening && f.phase != phaseOverdue {
		c.cache.drop(f)
		f = nil
	}
	reason := ReasonPlaced
	if f != nil {
		f.copies++
		if c.copyFollows(now, f) {
			return c.forward(f.upstream, ReasonCopy)
		}
		reason = ReasonMoved
	}
	choice := c.choose(now, r, p)
	if choice.upstream == nil {
		c.noteOpening("flow not opened", now, p, r, choice, choice.reason)
		return Effect{Action: Drop, Reason: choice.reason}
	}
	if f == nil {
		f = c.cache.add(now, key)
	} else {
		c.cache.enter(now, f, phaseClosed)
	}
	f.upstream, f.route = choice.upstream, r
	f.upstream.window.usedAt = now
	f.end, f.answered = p.Seq+1, 0
	c.cache.touch(now, f)
	c.cache.enter(now, f, phaseOpening)
	c.noteOpening("flow opened", now, p, r, choice, reason)
	return c.forward(choice.upstream, reason)
}

// copyFollows reports whether a copy of the first packet goes where the first
// one went: two upstreams that answer leave a caller with the token of the later one.
func (c *Core) copyFollows(now time.Duration, f *flow) bool {
	u := f.upstream
	switch {
	case u.gone:
		return false
	case f.phase == phaseOpening || u.reachedAt > f.openedAt:
		return true
	default:
		return u.usable() && !u.doubtful(now)
	}
}

func (c *Core) noteOpening(event string, now time.Duration, p *Packet, r *route, ch choice, why Reason) {
	rec := Record{
		Event: event, Caller: p.Caller, Address: p.Service, Service: ch.service, Detail: reasonNames[why], Version: c.version,
		Age: now - c.heardAt, Considered: ch.considered, Suspect: ch.doubtful,
	}
	if u := ch.upstream; u != nil {
		rec.Upstream, rec.Token, rec.Revision, rec.To = u.Key, u.token, uint64(u.Revision), u.Addr
		rec.Open, rec.Action = u.busy+u.opening, Forward
	}
	c.note(rec)
}

func (c *Core) forward(u *upstream, why Reason) Effect {
	return Effect{Action: Forward, Reason: why, To: u.Addr, ID: u.ID, Token: u.token}
}

// noRoute decides on a packet to an address without a route. A reset needs a
// configuration that can't have been replaced unnoticed.
func (c *Core) noRoute(now time.Duration, p *Packet) Effect {
	if age := now - c.heardAt; age > freshFor || c.storeDown && age > freshDown {
		return Effect{Action: Drop, Reason: ReasonStaleConfiguration}
	}
	c.noteReset(now, p, nil, ReasonNoRoute)
	return Effect{Action: Reset, Reason: ReasonNoRoute}
}

func (c *Core) noteReset(now time.Duration, p *Packet, u *upstream, why Reason) {
	rec := Record{
		Event: "flow reset", Caller: p.Caller, Address: p.Service, Token: p.Token, Action: Reset, Detail: reasonNames[why],
		Version: c.version, Age: now - c.heardAt,
	}
	if u != nil {
		rec.Upstream, rec.Service, rec.Revision = u.Key, u.Service, uint64(u.Revision)
		rec.Age = now - u.lifeAt
	}
	c.note(rec)
}

// later decides on a packet after the first.
func (c *Core) later(now time.Duration, p *Packet) Effect {
	if p.Token == 0 {
		return Effect{Action: Drop, Reason: ReasonNoToken}
	}
	key := flowKey{p.Caller, p.Service}
	f := c.cache.flows[key]
	u := c.tokens[p.Token]
	if u == nil {
		return c.unknownToken(now, p)
	}
	if u.gone && !c.livesOn(now, u) {
		if f != nil {
			c.cache.drop(f)
		}
		c.noteReset(now, p, u, ReasonUpstreamGone)
		return Effect{Action: Reset, Reason: ReasonUpstreamGone}
	}
	if c.configured && c.routes[p.Service] == nil {
		if f != nil {
			c.cache.drop(f)
		}
		return c.noRoute(now, p)
	}
	if f == nil {
		f = c.cache.add(now, key)
		f.upstream, f.phase = u, phaseClosed
		f.end, f.answered, f.taken = p.Seq, p.Ack, p.Seq
		c.cache.enter(now, f, phaseIdle)
	}
	if f.upstream != u {
		c.cache.enter(now, f, phaseClosed)
		f.upstream = u
		c.cache.enter(now, f, phaseIdle)
	}
	f.route = c.routes[p.Service]
	c.cache.touch(now, f)
	c.observe(now, f, p)
	if c.silent(now, f) {
		c.cache.drop(f)
		c.noteReset(now, p, u, ReasonUpstreamSilent)
		return Effect{Action: Reset, Reason: ReasonUpstreamSilent}
	}
	return c.forward(u, ReasonRouted)
}

// livesOn reports whether an upstream without a registration still answers
// callers, as one does that lost touch with the store only.
func (c *Core) livesOn(now time.Duration, u *upstream) bool {
	return u.lifeAt != 0 && now-u.lifeAt < lifeKeep && c.byKey[u.Key] == nil
}

// unknownToken drops the packet until a full read that was sent after the
// first sight of the token doesn't know it either.
func (c *Core) unknownToken(now time.Duration, p *Packet) Effect {
	first, seen := c.unknown[p.Token]
	if !seen {
		if len(c.unknown) >= maxUnknown {
			clear(c.unknown)
		}
		c.unknown[p.Token] = now
		first = now
	}
	if first < c.listedAt && !c.storeDown && now >= c.settledAt && c.complete {
		c.noteReset(now, p, nil, ReasonUnknownToken)
		return Effect{Action: Reset, Reason: ReasonUnknownToken}
	}
	e := Effect{Action: Drop, Reason: ReasonUnknownToken}
	if now >= c.refreshAt {
		c.refreshAt = now + refreshInterval
		e.Refresh = true
		c.note(Record{Event: "token is unknown, reading the directory", Caller: p.Caller, Address: p.Service, Token: p.Token, Age: now - c.heardAt})
	}
	return e
}
