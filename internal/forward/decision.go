package forward

import "net/netip"

// Action is what the caller of Route has to do with a datagram.
type Action uint8

// Actions of a decision.
const (
	// ActionDrop discards the datagram and counts Decision.Reason.
	ActionDrop Action = iota
	// ActionSend sends the datagram to Decision.To.
	ActionSend
	// ActionRelay sends the datagram in an envelope to the host at Decision.To.
	ActionRelay
	// ActionCore passes the datagram to the host's stateful core, package
	// hostcore.
	ActionCore
)

var actionNames = [...]string{"drop", "send", "relay", "hand to core"}

// String returns the action as it appears in logs.
func (a Action) String() string {
	if int(a) >= len(actionNames) {
		return "invalid"
	}
	return actionNames[a]
}

// Decision is the routing decision for one datagram.
type Decision struct {
	Action Action
	To     netip.AddrPort
	// NotifyOwner is the address of the owner to notify of the end of an answer or
	// flow. It is invalid if no other host needs to be notified. The owner is
	// sent the header of the datagram: as KindDone for an answer, unchanged for
	// a close.
	NotifyOwner netip.AddrPort
	// NotifyCore is set if the owner to notify is this host.
	NotifyCore bool
	Reason     Reason
}

// Reason is why a datagram was dropped.
type Reason uint8

// Reasons for dropping a datagram.
const (
	ReasonNone Reason = iota
	// ReasonMalformed means that the datagram or its envelope is malformed. Route
	// doesn't return it: its datagrams have passed the check.
	ReasonMalformed
	// ReasonForged means that the MAC of the flow identifier or return route is
	// wrong.
	ReasonForged
	// ReasonStaleKey means that the key that sealed the field is not in the table.
	ReasonStaleKey
	// ReasonUnknownUpstream means that the upstream of the flow, or the sender of a
	// datagram from an upstream, is not in the table.
	ReasonUnknownUpstream
	// ReasonForeignUpstream means that the upstream belongs to another service or
	// client account than the flow.
	ReasonForeignUpstream
	// ReasonNoTable means that the host has no routing table or no sealing key yet.
	ReasonNoTable
	// ReasonWrongDirection means that the sender may not send this kind to a host.
	ReasonWrongDirection
	// ReasonTooManyRelays means that the datagram was already relayed
	// wire.MaxRelays times.
	ReasonTooManyRelays
	// ReasonOwnerGone means that the owner that the datagram is meant for is dead,
	// unknown or not this host.
	ReasonOwnerGone
	// ReasonCount is the number of reasons, ReasonNone included.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"none", "malformed", "forged", "stale_key", "unknown_upstream", "foreign_upstream",
	"no_table", "wrong_direction", "too_many_relays", "owner_gone",
}

// String returns the reason as a metric label.
func (r Reason) String() string {
	if r >= ReasonCount {
		return "invalid"
	}
	return reasonNames[r]
}
