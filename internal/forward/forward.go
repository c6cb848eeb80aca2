// Package forward routes the packets that need no state: it looks only at the
// packet and the routing table, allocates nothing and may be called from
// several goroutines at once.
package forward

import (
	"net/netip"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

// Route decides on a datagram that passed wire.Check. It may rewrite the
// header in place: the return route and the placed upstream of a datagram to
// an upstream, and the flags of one to a caller.
//
// The core gets opens and requests of services and accounts that the table
// doesn't know, and requests whose owner is gone, to tell the caller.
func Route(t *table.Table, env wire.Envelope, p wire.Packet) Decision {
	if t == nil {
		return drop(ReasonNoTable)
	}
	switch p.Kind() {
	case wire.KindOpen:
		flow := flowid.ParseUnverified(p.Flow())
		return routeHome(t, env, &flow)
	case wire.KindRenew, wire.KindRequest, wire.KindCancel:
		return routeToOwner(t, env, p)
	case wire.KindClose, wire.KindStream, wire.KindAck:
		return routeToUpstream(t, env, p)
	case wire.KindAnswer, wire.KindPush, wire.KindFlowLost, wire.KindShed, wire.KindReceived:
		return routeFromUpstream(t, env, p)
	case wire.KindDone:
		return routeDone(t, env, p)
	default:
		return drop(ReasonWrongDirection)
	}
}

func drop(r Reason) Decision {
	return Decision{Action: ActionDrop, Reason: r}
}

func openFlow(t *table.Table, p wire.Packet) (flowid.Flow, Reason) {
	flow, err := t.Keys.Open(p.Flow())
	return flow, reasonOf(err)
}

func reasonOf(err flowid.Err) Reason {
	switch err {
	case flowid.OK:
		return ReasonNone
	case flowid.ErrKey:
		return ReasonStaleKey
	default:
		return ReasonForged
	}
}

func relay(env wire.Envelope, to netip.AddrPort) Decision {
	if env.Relays >= wire.MaxRelays {
		return drop(ReasonTooManyRelays)
	}
	return Decision{Action: ActionRelay, To: to}
}

// routeHome finds the home of a flow's nonce. A service without a home goes to
// the core, which refuses it.
func routeHome(t *table.Table, env wire.Envelope, flow *flowid.Flow) Decision {
	service := serviceOf(t, flow)
	if service == nil {
		return Decision{Action: ActionCore}
	}
	home, ok := t.HomeFor(service, flow.Nonce)
	if !ok || home.Host.Host == t.Self.Host {
		return Decision{Action: ActionCore}
	}
	host := t.Host(home.Host.Host)
	if host == nil {
		return Decision{Action: ActionCore}
	}
	return relay(env, host.Data)
}

// serviceOf returns the service of a flow if the table has it under the same account.
func serviceOf(t *table.Table, flow *flowid.Flow) *table.Service {
	service := t.Service(flow.Service)
	if service == nil || service.Account.ID != flow.Account {
		return nil
	}
	return service
}

func routeToOwner(t *table.Table, env wire.Envelope, p wire.Packet) Decision {
	flow, reason := openFlow(t, p)
	if reason != ReasonNone {
		return drop(reason)
	}
	if p.Kind() == wire.KindRenew {
		return routeHome(t, env, &flow)
	}
	if flow.Owner == t.Self {
		return Decision{Action: ActionCore}
	}
	if owner := liveOwner(t, flow.Owner); owner != nil {
		return relay(env, owner.Data)
	}
	return Decision{Action: ActionCore}
}

// liveOwner returns the host that runs the given instance, or nil if it is
// dead, replaced by a later incarnation or not known. An instance that is later
// than the known one is sealed into a flow already: the view lags.
func liveOwner(t *table.Table, owner ids.Instance) *member.Member {
	m := t.Host(owner.Host)
	switch {
	case m == nil || m.Instance.Incarnation > owner.Incarnation:
		return nil
	case m.Instance == owner && m.State == member.StateDead:
		return nil
	default:
		return m
	}
}

func routeToUpstream(t *table.Table, env wire.Envelope, p wire.Packet) Decision {
	flow, reason := openFlow(t, p)
	if reason != ReasonNone {
		return drop(reason)
	}
	if p.Kind() == wire.KindClose && env.Origin == wire.OriginRelay {
		return coreIfOwner(t, &flow)
	}
	target := flow.Upstream
	if p.Kind() == wire.KindAck && p.Placed() != 0 {
		target = p.Placed()
	}
	upstream, reason := upstreamOf(t, &flow, target)
	if reason != ReasonNone {
		return drop(reason)
	}
	if !t.Keys.SealRoute(p.Route(), p.Flow(), env.Source) {
		return drop(ReasonNoTable)
	}
	p.SetPlaced(target)
	d := Decision{Action: ActionSend, To: upstream.Address}
	if p.Kind() == wire.KindClose {
		tellOwner(t, &flow, &d)
	}
	return d
}

// upstreamOf returns an upstream if it belongs to the flow's account and service.
func upstreamOf(t *table.Table, flow *flowid.Flow, id ids.UpstreamID) (table.Upstream, Reason) {
	upstream, ok := t.Upstream(id)
	if !ok {
		return table.Upstream{}, ReasonUnknownUpstream
	}
	if upstream.Service != flow.Service || upstream.Account != flow.Account {
		return table.Upstream{}, ReasonForeignUpstream
	}
	return upstream, ReasonNone
}
