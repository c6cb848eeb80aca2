// Package forward is the stateless packet path: it routes a datagram by its
// header and the routing table alone. It allocates nothing and is safe for
// concurrent use.
//
// Streams, closes and acknowledgements go straight to the upstream, and answers
// and pushes straight to the caller. Datagrams that need the state of a flow or
// request go to package hostcore on one host: opens and renewals on the home of
// the flow, which package table chooses; requests, and what upstreams report
// about them, on its owner, the host that opened or last renewed it.
package forward

import (
	"net/netip"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

// Route decides what to do with a datagram that has passed wire.Check. It may
// rewrite the header in place: the return route and the placed upstream of a
// datagram to an upstream, and the flags of a datagram to a caller.
//
// Opens and requests for a service or account that is not in the table, and
// requests whose owner is gone, go to the core, which notifies the caller.
func Route(t *table.Table, env wire.Envelope, p wire.Packet) Decision {
	if t == nil {
		return drop(ReasonNoTable)
	}
	switch p.Kind() {
	case wire.KindOpen:
		flow := flowid.ParseUnverified(p.Flow())
		return routeToHome(t, env, &flow)
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

func verifyFlow(t *table.Table, p wire.Packet) (flowid.Flow, Reason) {
	flow, status := t.Keys.Open(p.Flow())
	return flow, reasonOf(status)
}

func reasonOf(status flowid.Status) Reason {
	switch status {
	case flowid.StatusOK:
		return ReasonNone
	case flowid.StatusUnknownKey:
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

// routeToHome routes to the home chosen by the flow's nonce. If the service is
// unknown or has no home, the datagram goes to the core of this host, which
// refuses it.
func routeToHome(t *table.Table, env wire.Envelope, flow *flowid.Flow) Decision {
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

// serviceOf returns the service of a flow, or nil if the table doesn't have it
// under the flow's account.
func serviceOf(t *table.Table, flow *flowid.Flow) *table.Service {
	service := t.Service(flow.Service)
	if service == nil || service.Account.ID != flow.Account {
		return nil
	}
	return service
}

func routeToOwner(t *table.Table, env wire.Envelope, p wire.Packet) Decision {
	flow, reason := verifyFlow(t, p)
	if reason != ReasonNone {
		return drop(reason)
	}
	if p.Kind() == wire.KindRenew {
		return routeToHome(t, env, &flow)
	}
	if flow.Owner == t.Self {
		return Decision{Action: ActionCore}
	}
	if owner := liveOwner(t, flow.Owner); owner != nil {
		return relay(env, owner.Data)
	}
	return Decision{Action: ActionCore}
}

// liveOwner returns the host that runs the given instance, or nil if the
// instance is dead, replaced by a later incarnation or unknown. An instance
// newer than the one in the table counts as live: it has already sealed a flow
// identifier, so the membership view is outdated.
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
	flow, reason := verifyFlow(t, p)
	if reason != ReasonNone {
		return drop(reason)
	}
	if p.Kind() == wire.KindClose && env.Origin == wire.OriginRelay {
		return coreIfOwner(t, &flow)
	}
	target := flow.Upstream
	if p.Kind() == wire.KindAck && p.PlacedUpstream() != 0 {
		target = p.PlacedUpstream()
	}
	upstream, reason := upstreamOfFlow(t, &flow, target)
	if reason != ReasonNone {
		return drop(reason)
	}
	if !t.Keys.SealRoute(p.Route(), p.Flow(), env.Source) {
		return drop(ReasonNoTable)
	}
	p.SetPlacedUpstream(target)
	d := Decision{Action: ActionSend, To: upstream.Address}
	if p.Kind() == wire.KindClose {
		notifyOwner(t, &flow, &d)
	}
	return d
}

// upstreamOfFlow returns the upstream with the given id if it belongs to the
// flow's account and service.
func upstreamOfFlow(t *table.Table, flow *flowid.Flow, id ids.UpstreamID) (table.Upstream, Reason) {
	upstream, ok := t.Upstream(id)
	if !ok {
		return table.Upstream{}, ReasonUnknownUpstream
	}
	if upstream.Service != flow.Service || upstream.Account != flow.Account {
		return table.Upstream{}, ReasonForeignUpstream
	}
	return upstream, ReasonNone
}
