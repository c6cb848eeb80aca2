package forward

import "net/netip"

// Action says what the shell does with a datagram.
type Action uint8

// The actions of a decision.
const (
	// ActionDrop discards the datagram and counts the reason.
	ActionDrop Action = iota
	// ActionSend sends the datagram to the address of the decision.
	ActionSend
	// ActionRelay sends it behind an envelope to another host.
	ActionRelay
	// ActionCore hands it to the decision core.
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

// Decision is what to do with one datagram.
type Decision struct {
	Action Action
	To     netip.AddrPort
	// NotifyOwner is the address of the owner that is told of the end of an answer,
	// or of a flow; it is not valid if nobody has to be told. The owner gets
	// the header of the datagram: an answer as KindDone, a close as it is.
	NotifyOwner netip.AddrPort
	// NotifyCore is set if the owner is this host.
	NotifyCore bool
	Reason   Reason
}

// Reason says why a datagram was dropped.
type Reason uint8

// The reasons of dropped datagrams.
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
	// ReasonCount is the number of reasons.
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
