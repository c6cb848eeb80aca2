package dsr

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/loadcontrol"
	"mimosashore.example/mimosashore/internal/store"
)

const (
	// attemptTime is the time in which a caller retransmits the SYN of an attempt: 600 ms after the first
	// one at the latest, with a margin for the way. It gives the attempt up after 1.4 s.
	attemptTime = 1400 * time.Millisecond
	// tokensUnknownTime is how long after the start of a host the registration of a live upstream may
	// not have reached it: upstreams write every 1.2 s, and a write may be done 6 s late.
	tokensUnknownTime = 8 * time.Second
	// resyncInterval is the minimum time between two requests for a full read of the directory.
	resyncInterval = time.Second
	// maxUnknownTokens bounds the unknown tokens that await a full read.
	maxUnknownTokens = 1024
)

// route is a route of the active configuration.
type route struct {
	directory.Route
	totalWeight int
}

// Core makes the routing decisions of one host. It is not safe for concurrent use.
type Core struct {
	zone string
	// position is the place of this host among the hosts of its zone.
	position loadcontrol.Position
	format   Format
	cache    flowCache
	waiters  waiters
	waiting  waiting
	// queuesAtUpstreams is set if requests don't wait at this host.
	queuesAtUpstreams bool
	learner           learner
	unrouted          unrouted

	byKey map[string]*upstream
	// byAddress holds the upstreams that are not gone. One that ended may still have the address of another one.
	byAddress   map[netip.AddrPort][]*upstream
	tokens      map[Token]*upstream
	services    map[string]*service
	zones       map[string]*zone
	linkMonitor linkMonitor
	// lapsedList holds upstreams whose registration has lapsed, goneList those that are gone, each
	// ordered by time.
	lapsedList, goneList []*upstream

	configured bool
	version    uint64
	// configEra and configRevision are the position at which the configuration was written.
	configRevision store.Revision
	configEra      store.Era
	configuredAt   time.Duration
	routes         map[netip.AddrPort]*route
	// declared holds the services that the configuration names.
	declared map[string]bool

	// era is the latest known era of the store, directoryPosition the position of the last change of
	// the directory.
	era               store.Era
	directoryPosition store.Position
	// complete is set once a full read of the directory has been applied. At tokensKnownAt all live
	// upstreams have registered since.
	complete      bool
	tokensKnownAt time.Duration
	// storeAnsweredAt is when the store last answered this host or a host that sends it updates.
	// storeReached is set once it has answered this host, storeDown while it does not.
	// storeAnsweredTo is the other host; invalid if it was this one.
	storeAnsweredAt time.Duration
	storeAnsweredTo netip.AddrPort
	storeReached    bool
	storeDown       bool
	// storeSettledAt is when registrations count as complete after the start of the host, and after
	// an outage or a restore of the store.
	storeSettledAt time.Duration
	// fullReadAt is when the last full read was requested from the store; zero if the last one came
	// from another host.
	fullReadAt   time.Duration
	nextResyncAt time.Duration
	confirmation confirmation
	// unknownTokens maps each token without a known upstream to when it was first seen.
	unknownTokens map[Token]time.Duration

	// header is the header of the current packet.
	header Packet
	// rotation varies where the search for an upstream starts, which breaks ties. seed differs between hosts.
	rotation, seed uint64

	// checks holds the checks in progress by identifier, rechecks is the number of those of silent upstreams.
	checks       map[uint64]*check
	rechecks     int
	lastCheck    uint64
	wantedChecks []Check

	// evacuations holds the evacuated zones by name, evacuatedServices is the number of services that
	// have upstreams in such zones only.
	evacuations       map[string]evacuation
	evacuatedServices int
	cold              coldControl

	asks    []Ask
	records []Record
	samples []Sample
	// resets holds flows to reset other than that of the current packet.
	resets []Packet
}

// New returns the core of a host in an availability zone. Hosts with different seeds break ties
// between upstreams differently, even if they start at the same time.
func New(zoneName string, format Format, seed uint64) *Core {
	return &Core{
		zone:          zoneName,
		rotation:      seed,
		seed:          seed,
		format:        format,
		cache:         newFlowCache(),
		byKey:         make(map[string]*upstream),
		byAddress:     make(map[netip.AddrPort][]*upstream),
		tokens:        make(map[Token]*upstream),
		services:      make(map[string]*service),
		zones:         make(map[string]*zone),
		routes:        make(map[netip.AddrPort]*route),
		waiters:       newWaiters(),
		waiting:       newWaiting(),
		learner:       newLearner(),
		unrouted:      newUnrouted(),
		unknownTokens: make(map[Token]time.Duration),
		checks:        make(map[uint64]*check),
		evacuations:   make(map[string]evacuation),
	}
}

// Ready reports whether the host can route packets.
func (c *Core) Ready() bool { return c.configured && c.complete }

// Version returns the version of the active configuration.
func (c *Core) Version() uint64 { return c.version }

// ConfigurationAge returns how long the configuration has been active on this host, or zero if
// there is none.
func (c *Core) ConfigurationAge(now time.Duration) time.Duration {
	if !c.configured {
		return 0
	}
	return now - c.configuredAt
}

// Flows returns the number of flows in the cache.
func (c *Core) Flows() int { return len(c.cache.flows) }

// applyConfiguration activates a configuration if it is newer than the active one: by its version and,
// within an era of the store, also by its revision, since the store may take an older one late.
func (c *Core) applyConfiguration(now time.Duration, n *directory.Configuration) {
	if c.configured {
		switch {
		case n.Era == c.configEra && n.Revision <= c.configRevision, n.Era < c.configEra && n.Version <= c.version:
			return
		case n.Version < c.version:
			detail := "the store took it late"
			if n.Era > c.configEra {
				detail = "a restored store has it"
			}
			c.emit(Record{Event: "older configuration refused", Version: n.Version, Era: uint64(n.Era), Revision: uint64(n.Revision), Detail: detail})
			return
		}
	}
	c.configured, c.version, c.configEra, c.configRevision, c.configuredAt = true, n.Version, n.Era, n.Revision, now
	old := c.routes
	c.routes = make(map[netip.AddrPort]*route, len(n.Routes))
	c.declared = make(map[string]bool, len(n.Services))
	for _, name := range n.Services {
		c.declared[name] = true
	}
	for _, s := range c.services {
		s.latencyObjective, s.deadline, s.lowestPriority, s.coldStart, s.undeclared = 0, 0, 0, nil, false
	}
	for name, cold := range n.ColdStarts {
		c.serviceOf(name).coldStart = &cold
	}
	for i := range n.Routes {
		r := &route{Route: n.Routes[i]}
		for _, t := range r.Targets {
			r.totalWeight += t.Weight
			c.declared[t.Service] = true
			c.serviceOf(t.Service).addRoute(r)
		}
		c.routes[r.Addr] = r
	}
	c.emit(Record{Event: "configuration in force", Version: n.Version, Era: uint64(n.Era), Revision: uint64(n.Revision), Considered: len(n.Routes), Suspect: n.Skipped, Open: len(old), Age: now - c.storeAnsweredAt})
	c.applyUnknownServices(now)
}

// HandlePacket decides on one packet of a caller. The returned header is valid until the next call.
func (c *Core) HandlePacket(now time.Duration, b []byte) (*Packet, Effect) {
	c.linkMonitor.packetReceived(now)
	c.advance(now)
	p := &c.header
	if err := c.format.Parse(b, p); err != nil {
		c.emit(Record{Event: "packet dropped", Action: Drop, Detail: err.Error()})
		return p, Effect{Action: Drop, Reason: ReasonMalformed}
	}
	var e Effect
	if p.SYN {
		if p.SYNRetransmits == 0 {
			c.callerReturned(now, p)
		}
		e = c.handleSYN(now, p)
	} else {
		e = c.routePacket(now, p)
	}
	c.serveWaiting(now)
	return p, e
}

// advance handles timeouts that have expired: of lapsed registrations, handshakes, requests in
// progress and idle flows.
func (c *Core) advance(now time.Duration) {
	c.expireUpstreams(now)
	c.advanceLearning(now)
	handshakeTimeout := c.linkMonitor.handshakeTimeout()
	for f := c.cache.opening.First(); f != nil && now-f.openedAt > handshakeTimeout; f = c.cache.opening.First() {
		c.cache.setPhase(now, f, phaseOverdue)
		c.onHandshakeTimeout(now, f)
	}
	c.expireBusy(now)
	c.cache.expire(now)
	c.waiters.expire(now)
	c.unrouted.expire(now)
}

func (c *Core) forwardTo(u *upstream, reason Reason) Effect {
	return Effect{Action: Forward, Reason: reason, To: u.Addr, ID: u.ID, Token: u.token}
}

// routePacket decides on a packet other than a SYN.
func (c *Core) routePacket(now time.Duration, p *Packet) Effect {
	if p.Token == 0 {
		return Effect{Action: Drop, Reason: ReasonNoToken}
	}
	key := flowKey{p.Caller, p.Service}
	f := c.cache.flows[key]
	if w := c.waiting.byKey[key]; w != nil && w.upstream == nil {
		// The flow is open: another host forwarded a copy of the SYN.
		c.dropWaiting(w)
	}
	u := c.tokens[p.Token]
	if f != nil && !f.upstream.gone && (f.upstream.token == p.Token || f.continuedBy(p)) {
		u = f.upstream
	}
	if u == nil {
		return c.handleUnknownToken(now, p)
	}
	for u.gone && u.replacedBy != nil && u.replacedBy.hasSameEndpoint(u) {
		u = u.replacedBy
	}
	if c.configured && c.routes[p.Service] == nil {
		if now < c.storeSettledAt {
			// The configuration of a host that just started may be the older one of a restored store.
			return Effect{Action: Drop, Reason: ReasonStaleConfiguration}
		}
		return c.handleNoRoute(now, p)
	}
	if f == nil {
		f = c.cache.add(now, key)
		f.upstream, f.phase = u, phaseClosed
		f.nextSeq, f.lastAck, f.receivedSeq = p.Seq, p.Ack, p.Seq
		c.cache.setPhase(now, f, phaseIdle)
	}
	if f.upstream != u {
		if !u.hasSameEndpoint(f.upstream) {
			c.emitRerouted(now, p, f.upstream, u, "token of another upstream", f.tokenEvidence())
			f.nextSeq, f.lastAck, f.receivedSeq = p.Seq, p.Ack, p.Seq
			f.progressAt, f.pending = now, false
		}
		c.cache.setPhase(now, f, phaseClosed)
		f.upstream = u
		c.cache.setPhase(now, f, phaseIdle)
	}
	f.route = c.routes[p.Service]
	c.cache.touch(now, f)
	if e, held := c.holdRequest(now, f, p); held {
		if p.HasAck {
			acknowledgement := *p
			acknowledgement.Length, acknowledgement.FIN = 0, false
			c.observe(now, f, &acknowledgement)
		}
		return e
	}
	c.observe(now, f, p)
	if f.waitsInVain(now) {
		unanswered := now - f.progressAt
		c.cache.remove(f)
		c.emitReset(now, p, u, u.silenceReason(), u.silentBy, unanswered)
		return Effect{Action: Reset, Reason: u.silenceReason()}
	}
	if u.gone {
		return c.forwardTo(u, ReasonUnregistered)
	}
	return c.forwardTo(u, ReasonRouted)
}

// handleUnknownToken drops a packet with an unknown token and requests a full read of the
// directory. Once a full read that was requested after the token was first seen, and after all live
// upstreams have registered, does not have the token either, the flow is reset.
func (c *Core) handleUnknownToken(now time.Duration, p *Packet) Effect {
	first, seen := c.unknownTokens[p.Token]
	if !seen {
		if len(c.unknownTokens) >= maxUnknownTokens {
			clear(c.unknownTokens)
		}
		c.unknownTokens[p.Token] = now
		first = now
	}
	judgedFrom := max(first, c.storeSettledAt, c.tokensKnownAt)
	missing := judgedFrom < c.fullReadAt
	if missing && !c.storeDown && c.complete {
		c.emitReset(now, p, nil, ReasonUnknownToken, directoryEvidence(netip.AddrPort{}, "token is missing in a full read of the directory", c.directoryPosition, c.fullReadAt), 0)
		return Effect{Action: Reset, Reason: ReasonUnknownToken}
	}
	e := Effect{Action: Drop, Reason: ReasonUnknownToken}
	if due := c.fullReadAt <= first || now >= judgedFrom && !missing; due && now >= c.nextResyncAt {
		c.nextResyncAt = now + resyncInterval
		e.Resync = true
		c.emit(Record{Event: "token is unknown, reading the directory", Caller: p.Caller, Address: p.Service, Token: p.Token, Age: now - c.storeAnsweredAt})
	}
	return e
}
