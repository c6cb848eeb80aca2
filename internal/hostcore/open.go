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
	// stoppingRetryAfter is what a stopping host asks callers to wait.
	stoppingRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is what a host without configuration asks callers to wait.
	notReadyRetryAfter = 500 * time.Millisecond
)

// open answers an open request if this host is the home of the nonce.
func (c *Core) open(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
	asked := flowid.ParseUnverified(p.Flow())
	entry := c.table.Service(asked.Service)
	if entry == nil || entry.Account.ID != asked.Account {
		c.refuseFlow(env, p, verdict.ReasonUnknownService, 0, out)
		return
	}
	if c.relayToHome(entry, asked.Nonce, env, p, out) {
		return
	}
	key := flowKey{nonce: asked.Nonce, service: asked.Service}
	if f := c.flows.byKey[key]; f != nil && !f.retired {
		c.sendOpened(f, env, out)
		return
	}
	if c.stopping {
		c.refuseFlow(env, p, verdict.ReasonStopping, stoppingRetryAfter, out)
		return
	}
	if ok, reason, after := c.admission.AdmitFlow(now, asked.Account); !ok {
		c.refuseFlow(env, p, reason, after, out)
		return
	}
	s := c.useService(now, entry)
	d := s.placer.PlaceFlow(now)
	if d.Action != placement.ActionStart {
		c.refuseFlow(env, p, d.Reason, d.RetryAfter, out)
		return
	}
	f := &flow{key: key, service: s, account: asked.Account, upstream: d.Upstream, counted: true}
	if !c.keepFlow(now, f) {
		s.placer.CloseFlow(now, d.Upstream)
		c.refuseFlow(env, p, verdict.ReasonOverload, d.RetryAfter, out)
		return
	}
	out.record(f, 0, "owner: flow opened", "least loaded upstream", d.Considered)
	c.sendOpened(f, env, out)
}

// keepFlow adds the state of a new flow. An older flow under the same key, of
// an earlier incarnation, gives way.
func (c *Core) keepFlow(now time.Duration, f *flow) bool {
	if old := c.flows.byKey[f.key]; old != nil && old.live == nil {
		c.dropFlow(now, old)
	}
	if !c.makeRoom(now) {
		return false
	}
	c.flows.add(now, f)
	f.service.flows++
	return true
}

// relayToHome passes an open or a renewal on to the home of the flow. It reports
// false if this host has to answer itself. After too many relays the hosts
// don't agree on the home, and any of them may take the flow.
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

// relay passes a datagram on to another host.
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

// renew gives a flow its next generation, owned by the present home. A home that
// owns the flow already confirms the present one.
func (c *Core) renew(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
	old, fault := c.table.Keys.Open(p.Flow())
	if fault != flowid.OK {
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
	if reason, ok := c.canRenew(&old); !ok {
		c.refuseFlow(env, p, reason, stoppingRetryAfter, out)
		return
	}
	f := &flow{key: key, service: c.useService(now, entry), account: old.Account, upstream: old.Upstream}
	f.floor = p.Request()
	if !c.keepFlow(now, f) {
		c.refuseFlow(env, p, verdict.ReasonOverload, stoppingRetryAfter, out)
		return
	}
	c.adoptFlow(now, &old, f)
	out.record(f, 0, "owner: flow renewed", "present home", 1)
	c.sendOpened(f, env, out)
}

// adoptFlow counts a renewed flow in place of its former generation.
func (c *Core) adoptFlow(now time.Duration, old *flowid.Flow, f *flow) {
	if former := c.flows.find(old); former != nil {
		c.releaseFlow(now, former)
	}
	f.counted = true
	f.service.placer.AdoptFlow(now, f.upstream)
}

func (c *Core) canRenew(old *flowid.Flow) (verdict.Reason, bool) {
	if c.stopping {
		return verdict.ReasonStopping, false
	}
	u, ok := c.table.Upstream(old.Upstream)
	if !ok || u.Service != old.Service {
		return verdict.ReasonNoUpstream, false
	}
	return verdict.ReasonNone, true
}

// sendOpened answers with the sealed identifier of the flow.
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

// closeFlow ends a flow: what has not been forwarded is refused.
func (c *Core) closeFlow(now time.Duration, env wire.Envelope, p wire.Packet, out *Effects) {
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
	for _, r := range f.requests() {
		if r.state != stateForwarded && r.state != stateEnded {
			c.cancelRequest(now, r, verdict.ReasonClosed, out)
		}
	}
}

// ownerState says where the owner named by an identifier is.
type ownerState uint8

const (
	// ownerInvalid stands for an identifier that doesn't check.
	ownerInvalid ownerState = iota
	ownerSelf
	// ownerPast is an earlier incarnation of this process.
	ownerPast
	// ownerOther is another host that still takes datagrams.
	ownerOther
	// ownerDead hosts seem dead; they may only be cut off from this one.
	ownerDead
	// ownerGone hosts run under a later incarnation.
	ownerGone
	// ownerUnknown hosts are not in the view.
	ownerUnknown
)

type ownerPlace struct {
	state  ownerState
	member *member.Member
}

// openIdentifier checks the identifier of the datagram and finds its owner.
func (c *Core) openIdentifier(p wire.Packet) (flowid.Flow, ownerPlace) {
	id, fault := c.table.Keys.Open(p.Flow())
	if fault != flowid.OK {
		c.counters.BadIdentifier++
		return id, ownerPlace{}
	}
	entry := c.table.Service(id.Service)
	if entry != nil && entry.Account.ID != id.Account {
		c.counters.BadIdentifier++
		return id, ownerPlace{}
	}
	return id, c.findOwner(id.Owner)
}

func (c *Core) findOwner(owner ids.Instance) ownerPlace {
	if owner == c.self {
		return ownerPlace{state: ownerSelf}
	}
	if owner.Host == c.self.Host {
		if slices.Contains(c.past, owner.Incarnation) {
			return ownerPlace{state: ownerPast}
		}
		return ownerPlace{state: ownerGone}
	}
	m := c.table.Host(owner.Host)
	switch {
	case m == nil:
		return ownerPlace{state: ownerUnknown}
	case m.Instance.Incarnation > owner.Incarnation:
		return ownerPlace{state: ownerGone, member: m}
	case m.State != member.StateDead || m.Instance.Incarnation < owner.Incarnation:
		// A later incarnation than the known one shows that the view lags.
		return ownerPlace{state: ownerOther, member: m}
	default:
		return ownerPlace{state: ownerDead}
	}
}
