// Package dsr routes packets of flows whose upstreams answer callers directly
// (direct server return). Hosts see only what callers send. The first packet of
// a flow is given an upstream and a token that names it; both ends repeat the
// token, so that any host routes the later packets without a table of flows.
//
// What a host sees of flows tells it about upstreams: a handshake that the
// caller doesn't complete, work under way, acknowledged answers. That memory is
// a cache; losing it costs quality of decisions, never a flow.
//
// The core has no clock, socket or goroutine: each call gets the time, as the
// duration since the start of the host, and fills effects.
package dsr

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Token names an incarnation of an upstream in the packets of a flow. Zero is no token.
type Token uint32

// TokenOf returns the token of an incarnation of an upstream.
func TokenOf(id uint64, incarnation int64) Token {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], id)
	binary.BigEndian.PutUint64(b[8:], uint64(incarnation))
	sum := xxhash.Sum64(b[:])
	if t := Token(sum); t != 0 {
		return t
	}
	return Token(sum>>32) | 1
}

// Packet is the header of a packet that a caller sent.
type Packet struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Seq     uint32
	Ack     uint32
	// Length is the size of the data, in bytes.
	Length int
	Token  Token
	// SYN marks the first packet of a flow and its copies; Copy counts the copies.
	SYN bool
	SYNRetransmits uint32
	// HasAck is set if Ack is meaningful.
	HasAck bool
	FIN    bool
	RST  bool
}

// Format is the format of packets on the wire.
type Format interface {
	// Overhead is the size of the identity in front of a packet to an upstream, in bytes.
	Overhead() int
	// Parse reads the header of a packet.
	Parse(b []byte, p *Packet) error
	// SetToken writes the token into a packet.
	SetToken(b []byte, t Token)
	// PutTarget writes the identity of an upstream in front of a packet.
	PutTarget(b []byte, id uint64)
	// AppendReset appends the packet that resets the caller's flow.
	AppendReset(b []byte, p *Packet) []byte
}

// Action is what happens to a packet.
type Action uint8

// The actions.
const (
	// Drop sends nothing.
	Drop Action = iota
	// Forward sends the packet to an upstream.
	Forward
	// Reset tells the caller that the flow can't go on.
	Reset
	actionCount
)

var actionNames = [actionCount]string{"drop", "forward", "reset"}

// String returns the action as it appears in logs and metrics.
func (a Action) String() string { return actionNames[a] }

// Reason says why an action was taken.
type Reason uint8

// The reasons.
const (
	// ReasonRouted means that the token named the upstream.
	ReasonRouted Reason = iota
	// ReasonPlaced means that a new flow was given an upstream.
	ReasonPlaced
	// ReasonCopy means that a copy of a first packet follows the first one.
	ReasonCopy
	// ReasonMoved means that a copy goes elsewhere, since the upstream of the first is in doubt.
	ReasonMoved
	// ReasonMalformed means that the packet could not be read.
	ReasonMalformed
	// ReasonNoConfiguration means that no configuration is known yet.
	ReasonNoConfiguration
	// ReasonNoRoute means that the configuration has no route for the address.
	ReasonNoRoute
	// ReasonStaleConfiguration means that no route is known and the configuration may be old.
	ReasonStaleConfiguration
	// ReasonNoUpstream means that the service has no usable upstream.
	ReasonNoUpstream
	// ReasonPaced means that all upstreams have enough open work; the copy comes later.
	ReasonPaced
	// ReasonNoToken means that a later packet names no upstream.
	ReasonNoToken
	// ReasonUnknownToken means that the token's upstream is not known yet.
	ReasonUnknownToken
	// ReasonUpstreamGone means that the token's upstream has left or died.
	ReasonUpstreamGone
	// ReasonUpstreamSilent means that nothing came back from the upstream while the caller repeated an idempotent request.
	ReasonUpstreamSilent
	reasonCount
)

var reasonNames = [reasonCount]string{
	"routed", "placed", "copy", "moved", "malformed", "no configuration", "no route", "stale configuration", "no upstream",
	"paced", "no token", "unknown token", "upstream gone", "upstream silent",
}

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Effect is what to do with one packet.
type Effect struct {
	Action Action
	Reason Reason
	// To and ID are the address and identity of the upstream to forward to.
	To netip.AddrPort
	ID uint64
	// Token is written into the packet unless it is zero.
	Token Token
	// Refresh asks for a full read of the directory.
	Refresh bool
}
