package forward

import (
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

func routeFromUpstream(t *table.Table, env wire.Envelope, p wire.Packet) Decision {
	flow, reason := verifyFlow(t, p)
	if reason != ReasonNone {
		return drop(reason)
	}
	sender, ok := t.UpstreamAt(env.Source)
	if !ok {
		return drop(ReasonUnknownUpstream)
	}
	if _, reason = upstreamOfFlow(t, &flow, sender); reason != ReasonNone {
		return drop(reason)
	}
	if p.Kind() == wire.KindShed || p.Kind() == wire.KindReceived {
		return routeShedOrReceived(t, env, &flow)
	}
	return routeToCaller(t, p, &flow)
}

// routeShedOrReceived routes a datagram of KindShed or KindReceived to the owner
// of the flow.
func routeShedOrReceived(t *table.Table, env wire.Envelope, flow *flowid.Flow) Decision {
	if flow.Owner.Host == t.Self.Host {
		return Decision{Action: ActionCore}
	}
	if host := ownerHost(t, flow.Owner); host != nil {
		return relay(env, host.Data)
	}
	return drop(ReasonOwnerGone)
}

// ownerHost returns the host of an owner, or nil if the owner is dead or
// unknown. The host may meanwhile run under a later incarnation: after a pause
// it still finishes the work it owned before, and after a restart it ignores
// datagrams about that work.
func ownerHost(t *table.Table, owner ids.Instance) *member.Member {
	m := t.Host(owner.Host)
	if m == nil || m.State == member.StateDead && m.Instance.Incarnation >= owner.Incarnation {
		return nil
	}
	return m
}

func routeToCaller(t *table.Table, p wire.Packet, flow *flowid.Flow) Decision {
	caller, status := t.Keys.OpenRoute(p.Route(), p.Flow())
	if status != flowid.StatusOK {
		return drop(reasonOf(status))
	}
	p.SetFlags(p.Flags()&^(wire.FlagMoveFlow|wire.FlagRenew) | callerFlags(t, p, flow))
	d := Decision{Action: ActionSend, To: caller}
	if p.Kind() == wire.KindAnswer && p.Has(wire.FlagLast) {
		notifyOwner(t, flow, &d)
	}
	return d
}

// notifyOwner sets in d whom to notify: the core of this host, the host that owns
// the flow, or nobody if the owner is dead or unknown.
func notifyOwner(t *table.Table, flow *flowid.Flow, d *Decision) {
	if flow.Owner.Host == t.Self.Host {
		d.NotifyCore = true
		return
	}
	if host := ownerHost(t, flow.Owner); host != nil {
		d.NotifyOwner = host.Data
	}
}

// callerFlags returns the flags that tell the caller to move or renew its flow.
func callerFlags(t *table.Table, p wire.Packet, flow *flowid.Flow) wire.Flags {
	var flags wire.Flags
	if u, _ := t.Upstream(flow.Upstream); u.Draining {
		flags |= wire.FlagMoveFlow
	}
	if !t.Keys.SealedWithCurrent(p.Flow()) || !ownerIsHome(t, flow) {
		flags |= wire.FlagRenew
	}
	return flags
}

// ownerIsHome reports whether the owner of the flow is still its home. It also
// reports true if the flow has no home, since it can't be renewed then.
func ownerIsHome(t *table.Table, flow *flowid.Flow) bool {
	service := serviceOf(t, flow)
	if service == nil {
		return true
	}
	home, ok := t.HomeFor(service, flow.Nonce)
	return !ok || home.Host == flow.Owner
}

func routeDone(t *table.Table, env wire.Envelope, p wire.Packet) Decision {
	if env.Origin != wire.OriginRelay {
		return drop(ReasonWrongDirection)
	}
	flow, reason := verifyFlow(t, p)
	if reason != ReasonNone {
		return drop(reason)
	}
	return coreIfOwner(t, &flow)
}

// coreIfOwner passes a notification for the owner of the flow to the core. It drops
// the notification if the owner is another host.
func coreIfOwner(t *table.Table, flow *flowid.Flow) Decision {
	if flow.Owner.Host != t.Self.Host {
		return drop(ReasonOwnerGone)
	}
	return Decision{Action: ActionCore}
}
