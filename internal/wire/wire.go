// Package wire defines the datagrams that callers, hosts and upstreams
// exchange. A datagram is a fixed header in network byte order and an opaque
// payload. Accessors read and write the header in place and allocate nothing.
//
// The layout, in bytes:
//
//	  0  magic (1), version (1), kind (1), flags (1)
//	  4  flow identifier (60), see package flowid
//	 64  request id, or the sequence number of a stream message (8)
//	 72  offset of the payload within the body (4)
//	 76  total size of the body (4)
//	 80  deadline: milliseconds that remain (4)
//	 84  retry-after or acknowledged bytes, by kind (4)
//	 88  verdict (1), reason (1), payload length (2)
//	 92  load report: running requests (2), connections (2)
//	 96  upstream incarnation (8)
//	104  upstream on which the request was placed (4), reserved (4)
//	112  return route (44), see package flowid
//	156  payload
package wire

import (
	"encoding/binary"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
)

const (
	// Magic is the first byte of each datagram.
	Magic = 0xB7
	// Version is the layout version in the second byte.
	Version = 1
	// HeaderSize is the size of the fixed header, in bytes.
	HeaderSize = 156
	// MaxDatagram is the largest datagram that is sent or accepted, in bytes.
	MaxDatagram = 1400
	// MaxPayload is the largest payload of one datagram, in bytes.
	MaxPayload = MaxDatagram - HeaderSize
	// FlowSize is the size of a flow identifier, in bytes.
	FlowSize = 60
	// RouteSize is the size of a return route, in bytes.
	RouteSize = 44
)

const (
	offKind        = 2
	offFlags       = 3
	offFlow        = 4
	offRequest     = 64
	offOffset      = 72
	offTotal       = 76
	offDeadline    = 80
	offAux         = 84
	offVerdict     = 88
	offReason      = 89
	offLength      = 90
	offRunning     = 92
	offConnections = 94
	offUpstreamInc = 96
	offPlaced      = 104
	offRoute       = 112
)

// Kind says what a datagram asks or reports.
type Kind uint8

// The kinds of datagrams, by sender.
const (
	KindInvalid Kind = iota

	// Caller to host.

	// KindOpen asks for a flow: account, service and nonce are set in the flow field.
	KindOpen
	// KindRenew asks for a new identifier of the same flow with a new owner.
	KindRenew
	// KindClose ends a flow.
	KindClose
	// KindRequest carries one part of a request to the owner of the flow.
	KindRequest
	// KindCancel closes a request id: an owner that has not forwarded it says not run.
	KindCancel
	// KindStream carries a stream message from the caller to the upstream.
	KindStream
	// KindAck acknowledges answer parts or stream messages to the upstream.
	KindAck

	// Host to caller.

	// KindOpened carries a flow identifier.
	KindOpened
	// KindRefused refuses an open, a renewal or a request; the verdict says whether it may have run.
	KindRefused
	// KindAccepted tells how many bytes of a request the owner holds (aux).
	KindAccepted

	// Upstream to host to caller.

	// KindAnswer carries one part of an answer.
	KindAnswer
	// KindPush carries a stream message from the upstream to the caller.
	KindPush
	// KindShed tells that the upstream refused a request without running it.
	KindShed
	// KindReceived tells how many bytes of a request the upstream holds (aux).
	KindReceived
	// KindFlowLost tells that the upstream doesn't know the flow (it restarted).
	KindFlowLost

	// Host to upstream.

	// KindForward carries one part of a request to an upstream.
	KindForward
	// KindForwardCancel asks the upstream to stop a request.
	KindForwardCancel

	// Host to host.

	// KindDone tells the owner that the last part of an answer passed by.
	KindDone

	kindCount
)

var kindNames = [kindCount]string{
	"invalid", "open", "renew", "close", "request", "cancel", "stream", "ack",
	"opened", "refused", "accepted", "answer", "push", "shed", "received",
	"flow-lost", "forward", "forward-cancel", "done",
}

// String returns the kind as it appears in logs and transcripts.
func (k Kind) String() string {
	if k >= kindCount {
		return "invalid"
	}
	return kindNames[k]
}

// Flags are bits of the header.
type Flags uint8

const (
	// FlagIdempotent marks a request that may run more than once.
	FlagIdempotent Flags = 1 << iota
	// FlagMoveFlow tells the caller that the upstream drains: open the next flow, then close this one.
	FlagMoveFlow
	// FlagRenew tells the caller that the owner of the flow leaves or has moved: renew the identifier.
	FlagRenew
	// FlagLast marks the last part of an answer.
	FlagLast
	// FlagRetransmit marks a datagram that its sender sent before.
	FlagRetransmit
)

// Packet is a datagram: header and payload.
type Packet []byte

// New returns a packet of the given kind with room for a payload of n bytes.
func New(kind Kind, n int) Packet {
	p := make(Packet, HeaderSize+n)
	p.Init(kind, n)
	return p
}

// Init writes magic, version, kind and payload length into a zeroed header.
func (p Packet) Init(kind Kind, n int) {
	p[0] = Magic
	p[1] = Version
	p[offKind] = byte(kind)
	binary.BigEndian.PutUint16(p[offLength:], uint16(n))
}

// Kind returns the kind of the datagram.
func (p Packet) Kind() Kind { return Kind(p[offKind]) }

// SetKind replaces the kind.
func (p Packet) SetKind(k Kind) { p[offKind] = byte(k) }

// Flags returns the flag bits.
func (p Packet) Flags() Flags { return Flags(p[offFlags]) }

// SetFlags replaces the flag bits.
func (p Packet) SetFlags(f Flags) { p[offFlags] = byte(f) }

// Has reports whether all bits of f are set.
func (p Packet) Has(f Flags) bool { return p.Flags()&f == f }

// Flow returns the bytes of the flow identifier; writes go to the packet.
func (p Packet) Flow() []byte { return p[offFlow : offFlow+FlowSize : offFlow+FlowSize] }

// Request returns the request id or stream sequence number.
func (p Packet) Request() ids.RequestID {
	return ids.RequestID(binary.BigEndian.Uint64(p[offRequest:]))
}

// SetRequest replaces the request id or stream sequence number.
func (p Packet) SetRequest(id ids.RequestID) {
	binary.BigEndian.PutUint64(p[offRequest:], uint64(id))
}

// Offset returns the position of the payload within the body, in bytes.
func (p Packet) Offset() uint32 { return binary.BigEndian.Uint32(p[offOffset:]) }

// SetOffset replaces the position of the payload within the body.
func (p Packet) SetOffset(v uint32) { binary.BigEndian.PutUint32(p[offOffset:], v) }

// Total returns the size of the whole body, in bytes.
func (p Packet) Total() uint32 { return binary.BigEndian.Uint32(p[offTotal:]) }

// SetTotal replaces the size of the whole body.
func (p Packet) SetTotal(v uint32) { binary.BigEndian.PutUint32(p[offTotal:], v) }

// DeadlineMillis returns the time that remains for the request, in milliseconds.
func (p Packet) DeadlineMillis() uint32 { return binary.BigEndian.Uint32(p[offDeadline:]) }

// SetDeadlineMillis replaces the time that remains.
func (p Packet) SetDeadlineMillis(v uint32) { binary.BigEndian.PutUint32(p[offDeadline:], v) }

// Aux returns the retry-after in milliseconds or the acknowledged bytes, by kind.
func (p Packet) Aux() uint32 { return binary.BigEndian.Uint32(p[offAux:]) }

// SetAux replaces the retry-after or the acknowledged bytes.
func (p Packet) SetAux(v uint32) { binary.BigEndian.PutUint32(p[offAux:], v) }

// Verdict returns what is known about the execution of the request.
func (p Packet) Verdict() verdict.Verdict { return verdict.Verdict(p[offVerdict]) }

// Reason returns why the request was refused.
func (p Packet) Reason() verdict.Reason { return verdict.Reason(p[offReason]) }

// SetVerdict replaces verdict and reason.
func (p Packet) SetVerdict(v verdict.Verdict, r verdict.Reason) {
	p[offVerdict] = byte(v)
	p[offReason] = byte(r)
}

// Load returns the running requests and connections that the upstream reports.
func (p Packet) Load() (running, connections uint16) {
	return binary.BigEndian.Uint16(p[offRunning:]), binary.BigEndian.Uint16(p[offConnections:])
}

// SetLoad replaces the load report.
func (p Packet) SetLoad(running, connections uint16) {
	binary.BigEndian.PutUint16(p[offRunning:], running)
	binary.BigEndian.PutUint16(p[offConnections:], connections)
}

// UpstreamIncarnation returns the run of the upstream that the datagram is
// meant for or comes from; zero is not known.
func (p Packet) UpstreamIncarnation() uint64 {
	return binary.BigEndian.Uint64(p[offUpstreamInc:])
}

// SetUpstreamIncarnation replaces the run of the upstream.
func (p Packet) SetUpstreamIncarnation(v uint64) {
	binary.BigEndian.PutUint64(p[offUpstreamInc:], v)
}

// PlacedUpstream returns the upstream on which the request was placed. The upstream
// and the caller echo it, so that acknowledgements find that upstream.
func (p Packet) PlacedUpstream() ids.UpstreamID {
	return ids.UpstreamID(binary.BigEndian.Uint32(p[offPlaced:]))
}

// SetPlacedUpstream replaces the upstream on which the request was placed.
func (p Packet) SetPlacedUpstream(id ids.UpstreamID) {
	binary.BigEndian.PutUint32(p[offPlaced:], uint32(id))
}

// Route returns the bytes of the return route; writes go to the packet.
func (p Packet) Route() []byte { return p[offRoute : offRoute+RouteSize : offRoute+RouteSize] }

// Payload returns the opaque bytes after the header.
func (p Packet) Payload() []byte { return p[HeaderSize:] }

// Err says why a datagram is malformed.
type Err uint8

// The faults that Check finds.
const (
	OK Err = iota
	ErrShort
	ErrLong
	ErrMagic
	ErrVersion
	ErrKind
	ErrLength
	ErrRange
)

// String returns the fault as a metric label.
func (e Err) String() string {
	switch e {
	case OK:
		return "ok"
	case ErrShort:
		return "short"
	case ErrLong:
		return "long"
	case ErrMagic:
		return "magic"
	case ErrVersion:
		return "version"
	case ErrKind:
		return "kind"
	case ErrLength:
		return "length"
	case ErrRange:
		return "range"
	default:
		return "invalid"
	}
}

// Check returns OK if b is a well-formed datagram. After OK all accessors of
// Packet(b) are safe.
func Check(b []byte) Err {
	switch {
	case len(b) < HeaderSize:
		return ErrShort
	case len(b) > MaxDatagram:
		return ErrLong
	case b[0] != Magic:
		return ErrMagic
	case b[1] != Version:
		return ErrVersion
	case b[offKind] == 0 || Kind(b[offKind]) >= kindCount:
		return ErrKind
	}
	n := int(binary.BigEndian.Uint16(b[offLength:]))
	if n != len(b)-HeaderSize {
		return ErrLength
	}
	p := Packet(b)
	if p.Offset() > p.Total() || uint64(n) > uint64(p.Total()-p.Offset()) {
		return ErrRange
	}
	return OK
}
