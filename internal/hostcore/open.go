package hostcore

import (
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

const (
	// stoppingRetryAfter is the retry-after delay of a stopping host.
	stoppingRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is the retry-after delay of a host without configuration, or without the
	// part of it that a caller needs.
	notReadyRetryAfter = 500 * time.Millisecond
	// configurationSpreadTime is the time in which a configuration is in force on all hosts.
	configurationSpreadTime = 7 * time.Second
	// maxUnknownUpstreams bounds the upstreams that were removed or are not known.
	maxUnknownUpstreams = 1024
)

// handleOpen opens a flow if this host is its home, which depends on the service and
// the nonce, or relays the datagram to the home.
func (c *Core) handleOpen(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
	requested := flowid.ParseUnverified(p.Flow())
	entry := c.table.Service(requested.Service)
	if entry == nil || entry.Account.ID != requested.Account {
		c.refuseFlow(env, p, verdict.ReasonUnknownService, 0, out)
		return
	}
	if c.relayToHome(entry, requested.Nonce, env, p, out) {
		return
	}
	key := flowKey{nonce: requested.Nonce, service: requested.Service}
	if f := c.flows.byKey[key]; f != nil && !f.retired {
		c.sendOpened(f, env, out)
		return
	}
	if c.stopping {
		c.refuseFlow(env, p, verdict.ReasonStopping, stoppingRetryAfter, out)
		return
	}
	if ok, reason, after := c.admission.AdmitFlow(now, requested.Account); !ok {
		c.refuseFlow(env, p, reason, after, out)
		return
	}
	s := c.ensureService(now, entry)
	d := s.placer.PlaceFlow(now)
	if d.Action != placement.ActionStart {
		c.refuseFlow(env, p, d.Reason, d.RetryAfter, out)
		return
	}
	f := &flow{key: key, service: s, account: requested.Account, upstream: d.Upstream, holdsConnection: true}
	if !c.addFlow(now, f) {
		s.placer.CloseFlow(now, d.Upstream)
		c.refuseFlow(env, p, verdict.ReasonOverload, d.RetryAfter, out)
		return
	}
	out.record(f, 0, "owner: flow opened", "least loaded upstream", d.Considered)
	c.sendOpened(f, env, out)
}

// addFlow adds the state of a new flow. An older flow of an earlier incarnation
// under the same key is dropped, unless it has requests in flight. It reports
// false if the flow table is full.
func (c *Core) addFlow(now time.Duration, f *flow) bool {
	if old := c.flows.byKey[f.key]; old != nil && old.inFlight == nil {
		c.dropFlow(now, old)
	}
	if !c.ensureFlowCapacity(now) {
		return false
	}
	c.flows.add(now, f)
	f.service.flows++
	return true
}

// relayToHome relays an open or a renewal to the home of the flow. It reports
// false if this host has to answer itself. After wire.MaxRelays relays the hosts
// evidently disagree on the home, and this host may take the flow.
func (c *Core) relayToHome(entry *table.Service, nonce ids.Nonce, env wire.Envelope, p wire.Packet, out *Effects) bool {
	home, ok := c.table.HomeFor(entry, nonce)
	if !ok || home.Host == c.self || env.Relays >= wire.MaxRelays {
		return false
	}
	m := c.table.Host(home.Host.Host)
	if m == nil {
		return false
	}
	c.relay(m.Data, env, p, out)
	return true
}

// relay sends a copy of a datagram to another host, unless it was already relayed
// wire.MaxRelays times.
func (c *Core) relay(to netip.AddrPort, env wire.Envelope, p wire.Packet, out *Effects) {
	if env.Relays >= wire.MaxRelays {
		c.counters.RelaysExhausted++
		return
	}
	out.Sends = append(out.Sends, Send{
		To:     to,
		Packet: slices.Clone(p),
		Relay:  true,
		Relays: env.Relays + 1,
		Source: env.Source,
	})
}

// handleRenew creates the next generation of a flow, owned by its current home. A
// home that already owns the flow confirms the current generation.
func (c *Core) handleRenew(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
	old, status := c.table.Keys.Open(p.Flow())
	if status != flowid.StatusOK {
		c.counters.BadIdentifier++
		return
	}
	entry := c.table.Service(old.Service)
	if entry == nil || entry.Account.ID != old.Account {
		c.refuseFlow(env, p, verdict.ReasonUnknownService, 0, out)
		return
	}
	if c.relayToHome(entry, old.Nonce, env, p, out) {
		return
	}
	if f := c.flows.find(&old); f != nil && f.open() && old.Owner == c.self && !c.stopping {
		c.flows.touch(now, f)
		c.sendOpened(f, env, out)
		return
	}
	key := flowKey{nonce: old.Nonce, service: old.Service, generation: old.Generation + 1}
	if f := c.flows.byKey[key]; f != nil && !f.retired {
		c.sendOpened(f, env, out)
		return
	}
	if reason, after := c.refusesRenewal(now, &old); reason != verdict.ReasonNone {
		c.refuseFlow(env, p, reason, after, out)
		return
	}
	f := &flow{key: key, service: c.ensureService(now, entry), account: old.Account, upstream: old.Upstream}
	f.floor = p.Request()
	if !c.addFlow(now, f) {
		c.refuseFlow(env, p, verdict.ReasonOverload, stoppingRetryAfter, out)
		return
	}
	c.adoptFlow(now, &old, f)
	out.record(f, 0, "owner: flow renewed", "present home", 1)
	c.sendOpened(f, env, out)
}

// adoptFlow counts a renewed flow as a connection of its upstream, in place of its
// former generation if this host has the state of that.
func (c *Core) adoptFlow(now time.Duration, old *flowid.Flow, f *flow) {
	if former := c.flows.find(old); former != nil {
		c.releaseFlow(now, former)
	}
	f.holdsConnection = true
	f.service.placer.AdoptFlow(now, f.upstream)
}

// refusesRenewal returns why a flow can't be renewed, with the retry-after delay, or ReasonNone. An
// upstream that this host has never known may be of a configuration that has not arrived yet: the
// identifier proves that another host knew it. The caller keeps its flow meanwhile.
func (c *Core) refusesRenewal(now time.Duration, old *flowid.Flow) (verdict.Reason, time.Duration) {
	u, known := c.table.Upstream(old.Upstream)
	switch {
	case c.stopping:
		return verdict.ReasonStopping, stoppingRetryAfter
	case known && u.Service == old.Service:
		return verdict.ReasonNone, 0
	case known || c.unknownUpstreams.isGone(now, old.Upstream):
		return verdict.ReasonNoUpstream, stoppingRetryAfter
	default:
		return verdict.ReasonNotReady, notReadyRetryAfter
	}
}

// unknownUpstreams maps upstreams that the configuration does not have to when they count as gone.
type unknownUpstreams map[ids.UpstreamID]time.Duration

// isGone reports whether an upstream was removed by a configuration, or has not been known for
// configurationSpreadTime since the first question.
func (m unknownUpstreams) isGone(now time.Duration, id ids.UpstreamID) bool {
	goneAt, ok := m[id]
	if !ok {
		goneAt = now + configurationSpreadTime
		m.set(id, goneAt)
	}
	return now >= goneAt
}

func (m unknownUpstreams) set(id ids.UpstreamID, goneAt time.Duration) {
	if len(m) >= maxUnknownUpstreams {
		clear(m)
	}
	m[id] = goneAt
}

// sendOpened replies with the sealed identifier of the flow.
func (c *Core) sendOpened(f *flow, env wire.Envelope, out *Effects) {
	p := wire.New(wire.KindOpened, 0)
	id := flowid.Flow{
		Account:    f.account,
		Service:    f.key.service,
		Upstream:   f.upstream,
		Owner:      c.self,
		Nonce:      f.key.nonce,
		Generation: f.key.generation,
		Serial:     f.serial,
	}
	if !c.table.Keys.Seal(p.Flow(), &id) {
		return
	}
	if u, _ := c.table.Upstream(f.upstream); u.Draining {
		p.SetFlags(wire.FlagMoveFlow)
	}
	out.send(env.Source, p)
}

// handleClose closes a flow and refuses its requests that were not forwarded.
func (c *Core) handleClose(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
	id, owner := c.openIdentifier(p)
	switch owner.state {
	case ownerOther:
		c.relay(owner.member.Data, env, p, out)
		return
	case ownerSelf:
	default:
		return
	}
	f := c.flows.find(&id)
	if f == nil || f.closed {
		return
	}
	out.record(f, 0, "owner: flow closed", "caller", 0)
	f.closed = true
	c.releaseFlow(now, f)
	for _, r := range f.inFlightRequests() {
		if r.state != stateForwarded && r.state != stateEnded {
			c.cancelRequest(now, r, verdict.ReasonClosed, out)
		}
	}
}

// ownerState classifies the owner named by a flow identifier.
type ownerState uint8

const (
	// ownerInvalid means that the flow identifier failed verification, or names a
	// service of another client account.
	ownerInvalid ownerState = iota
	// ownerSelf is the current incarnation of this host.
	ownerSelf
	// ownerPast is an earlier incarnation of this process.
	ownerPast
	// ownerOther is another host, to which datagrams are relayed.
	ownerOther
	// ownerDead is a host in state dead. It may still be running, partitioned from
	// this host.
	ownerDead
	// ownerGone is an incarnation that its host no longer runs.
	ownerGone
	// ownerUnknown is a host that is not in the membership view.
	ownerUnknown
)

// ownerLocation is the state of an owner. The member is set for ownerOther, and
// for ownerGone if the owner is another host.
type ownerLocation struct {
	state  ownerState
	member *member.Member
}

// openIdentifier verifies the flow identifier of the datagram and locates its
// owner.
func (c *Core) openIdentifier(p wire.Packet) (flowid.Flow, ownerLocation) {
	id, status := c.table.Keys.Open(p.Flow())
	if status != flowid.StatusOK {
		c.counters.BadIdentifier++
		return id, ownerLocation{}
	}
	entry := c.table.Service(id.Service)
	if entry != nil && entry.Account.ID != id.Account {
		c.counters.BadIdentifier++
		return id, ownerLocation{}
	}
	return id, c.findOwner(id.Owner)
}

func (c *Core) findOwner(owner ids.Instance) ownerLocation {
	if owner == c.self {
		return ownerLocation{state: ownerSelf}
	}
	if owner.Host == c.self.Host {
		if slices.Contains(c.pastIncarnations, owner.Incarnation) {
			return ownerLocation{state: ownerPast}
		}
		return ownerLocation{state: ownerGone}
	}
	m := c.table.Host(owner.Host)
	switch {
	case m == nil:
		return ownerLocation{state: ownerUnknown}
	case m.Instance.Incarnation > owner.Incarnation:
		return ownerLocation{state: ownerGone, member: m}
	case m.State != member.StateDead || m.Instance.Incarnation < owner.Incarnation:
		// An incarnation newer than the known one shows that the view is outdated.
		return ownerLocation{state: ownerOther, member: m}
	default:
		return ownerLocation{state: ownerDead}
	}
}
