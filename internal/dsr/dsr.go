// Package dsr is the routing core of a host whose upstreams answer callers directly (direct server
// return), so that the host sees only the packets that callers send. A new flow is assigned an
// upstream and a token that identifies the upstream. Both ends of the flow echo the token, so that
// any host can route the later packets without a flow table.
//
// The core infers the state of upstreams from the packets of callers: handshakes that are not
// completed, requests in progress and acknowledged answers. This state is a cache. Losing it makes
// the selection of upstreams worse but breaks no flow.
//
// The core has no clock, sockets or goroutines. Each call is given the time, as the duration since
// the start of the host, and a call for a packet returns the Effect to carry out.
package dsr

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Token identifies an incarnation of an upstream in the packets of a flow. Zero is no token.
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

// Packet is the header of a packet from a caller.
type Packet struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Seq     uint32
	Ack     uint32
	// Length is the size of the payload in bytes.
	Length int
	Token  Token
	// SYN is set on the packet that opens a flow and on its retransmissions.
	SYN bool
	// SYNRetransmits is the number of the retransmission; zero for the first packet.
	SYNRetransmits uint32
	// HasAck is set if Ack is valid.
	HasAck bool
	FIN    bool
	RST    bool
}

// Format reads and writes packets in their wire format.
type Format interface {
	// Overhead returns the size in bytes of the upstream identity in front of a forwarded packet.
	Overhead() int
	// Parse decodes the header of a packet.
	Parse(b []byte, p *Packet) error
	// SetToken writes the token into a packet.
	SetToken(b []byte, t Token)
	// PutTarget writes the identity of an upstream in front of a packet.
	PutTarget(b []byte, id uint64)
	// AppendReset appends a packet that resets the flow at the caller.
	AppendReset(b []byte, p *Packet) []byte
}

// Action is what is done with a packet.
type Action uint8

// Actions.
const (
	// Drop discards the packet.
	Drop Action = iota
	// Forward sends the packet to an upstream.
	Forward
	// Reset discards the packet and resets the flow at the caller.
	Reset
	actionCount
)

var actionNames = [actionCount]string{"drop", "forward", "reset"}

// String returns the action as it appears in logs and metrics.
func (a Action) String() string { return actionNames[a] }

// Reason is why an action was taken.
type Reason uint8

// Reasons.
const (
	// ReasonRouted means that the token identifies the upstream.
	ReasonRouted Reason = iota
	// ReasonUnregistered means that the token identifies an upstream without a registration, which may
	// still serve.
	ReasonUnregistered
	// ReasonPlaced means that a new flow was assigned an upstream.
	ReasonPlaced
	// ReasonSYNRetransmit means that a retransmitted SYN goes to the upstream of the first one.
	ReasonSYNRetransmit
	// ReasonMoved means that a retransmitted SYN goes to another upstream, since the first one is
	// suspect or gone.
	ReasonMoved
	// ReasonMalformed means that the header of the packet could not be decoded.
	ReasonMalformed
	// ReasonNoConfiguration means that no configuration or no full directory has been applied yet.
	ReasonNoConfiguration
	// ReasonNoRoute means that the configuration has no route for the address.
	ReasonNoRoute
	// ReasonStaleConfiguration means that there is no route for the address, but the configuration
	// may be out of date.
	ReasonStaleConfiguration
	// ReasonNoUpstream means that the service has no upstream that can take the flow.
	ReasonNoUpstream
	// ReasonPaced means that all upstreams that answer are at their limits; the caller will
	// retransmit the SYN.
	ReasonPaced
	// ReasonOverloaded means that all upstreams that answer are at their limits, and that a
	// retransmission of the SYN would not be served either.
	ReasonOverloaded
	// ReasonNoToken means that a packet other than a SYN has no token.
	ReasonNoToken
	// ReasonUnknownToken means that no known upstream has the token.
	ReasonUnknownToken
	// ReasonUpstreamGone means that the upstream of the token has left, restarted or lost its
	// registration.
	ReasonUpstreamGone
	// ReasonUpstreamSilent means that the upstream does not answer; the caller can repeat its
	// idempotent request elsewhere.
	ReasonUpstreamSilent
	// ReasonEvacuated means that the upstream of a repeated SYN, or all upstreams of the service, are in
	// evacuated zones.
	ReasonEvacuated
	// ReasonCold means that the upstream of a repeated SYN is cold and takes no opening packet from this
	// host now.
	ReasonCold
	reasonCount
)

// reasonNames holds the names in logs and metrics. ReasonSYNRetransmit is "copy" there.
var reasonNames = [reasonCount]string{
	"routed", "unregistered", "placed", "copy", "moved", "malformed", "no configuration", "no route", "stale configuration", "no upstream",
	"paced", "overloaded", "no token", "unknown token", "upstream gone", "upstream silent", "evacuated", "cold upstream",
}

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Effect is the decision on one packet.
type Effect struct {
	Action Action
	Reason Reason
	// To and ID are the address and identity of the upstream for Forward.
	To netip.AddrPort
	ID uint64
	// Token is written into the packet unless it is zero.
	Token Token
	// Resync requests a full read of the directory.
	Resync bool
}
