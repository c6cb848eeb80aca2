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
	ReasonMalformed
	ReasonForged
	ReasonStaleKey
	ReasonUnknownUpstream
	ReasonForeignUpstream
	ReasonNoTable
	ReasonWrongDirection
	ReasonTooManyRelays
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
