package wire

import (
	"encoding/binary"
	"net/netip"
)

// EnvelopeSize is the size of an envelope, in bytes: magic (1), origin (1),
// source port (2), relay count (1), reserved (3), source address (16). The fabric
// and relaying hosts prepend an envelope to each datagram.
const EnvelopeSize = 24

// EnvelopeMagic is the first byte of every envelope.
const EnvelopeMagic = 0xE5

// Origin identifies the kind of sender that wrote an envelope.
type Origin uint8

// The origins of envelopes.
const (
	// OriginFabric is the fabric, which delivers a datagram to an arbitrary host.
	OriginFabric Origin = iota + 1
	// OriginRelay is a host that relays a datagram to the owner or home host of its flow.
	OriginRelay
)

// MaxRelays is the maximum number of times that a datagram is relayed between hosts.
const MaxRelays = 3

// Envelope records the original sender of a datagram that the fabric or a host
// passed on.
type Envelope struct {
	Origin Origin
	// Relays is the number of times that hosts have relayed the datagram.
	Relays uint8
	// Source is the address of the caller or upstream that sent the datagram.
	Source netip.AddrPort
}

// Put writes the envelope into dst, which must hold at least EnvelopeSize bytes.
func (e Envelope) Put(dst []byte) {
	dst[0] = EnvelopeMagic
	dst[1] = byte(e.Origin)
	binary.BigEndian.PutUint16(dst[2:], e.Source.Port())
	dst[4] = e.Relays
	dst[5], dst[6], dst[7] = 0, 0, 0
	addr := e.Source.Addr().As16()
	copy(dst[8:], addr[:])
}

// ParseEnvelope decodes the envelope at the start of b and returns it with the
// datagram that follows. It reports false if b does not start with a valid
// envelope.
func ParseEnvelope(b []byte) (Envelope, []byte, bool) {
	if len(b) < EnvelopeSize || b[0] != EnvelopeMagic {
		return Envelope{}, nil, false
	}
	origin := Origin(b[1])
	if origin != OriginFabric && origin != OriginRelay {
		return Envelope{}, nil, false
	}
	addr := netip.AddrFrom16([16]byte(b[8:24])).Unmap()
	e := Envelope{
		Origin: origin,
		Relays: b[4],
		Source: netip.AddrPortFrom(addr, binary.BigEndian.Uint16(b[2:])),
	}
	return e, b[EnvelopeSize:], true
}
