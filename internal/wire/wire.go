// Package wire defines the datagrams that callers, hosts and upstreams
// exchange. A datagram is a fixed header in network byte order followed by an
// opaque payload. Accessors read and write the header in place and do not
// allocate. The envelope that precedes a relayed datagram is defined here too.
//
// Datagrams of callers and upstreams reach the hosts through the fabric, the
// network in front of them, which delivers each to an arbitrary host. A flow is
// the association of a caller with a service: its stream goes to the upstream of
// the flow, and each of its requests is placed on any upstream of the service.
// The home of a flow is the host that opens and renews it; the owner is the host
// that did so last and handles its requests.
//
// The layout, in bytes:
//
//	  0  magic (1), version (1), kind (1), flags (1)
//	  4  flow identifier (60), see package flowid
//	 64  request id, or sequence number of a stream message (8)
//	 72  offset of the payload within the body (4)
//	 76  total size of the body (4)
//	 80  time remaining until the deadline, in milliseconds (4)
//	 84  retry-after delay in milliseconds or acknowledged bytes, depending on the kind (4)
//	 88  verdict (1), reason (1), payload length (2)
//	 92  load report: running requests (2), connections (2)
//	 96  upstream incarnation (8)
//	104  upstream that the request was placed on (4), reserved (4)
//	112  return route (44), see package flowid
//	156  payload
package wire

import (
	"encoding/binary"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
)

const (
	// Magic is the first byte of every datagram.
	Magic = 0xB7
	// Version is the layout version, the second byte of every datagram.
	Version = 1
	// HeaderSize is the size of the header, in bytes.
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

// Offsets of the header fields, in bytes.
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

// Kind is the message type of a datagram.
type Kind uint8

// The kinds of datagrams, grouped by sender and receiver.
const (
	KindInvalid Kind = iota

	// Caller to host.

	// KindOpen requests a flow; the flow field holds account, service and nonce.
	KindOpen
	// KindRenew requests a new identifier for an open flow. The home of the flow
	// issues it and becomes the owner. The request field holds the next request id.
	KindRenew
	// KindClose ends a flow.
	KindClose
	// KindRequest carries one part of a request to the owner of the flow.
	KindRequest
	// KindCancel cancels a request id. An owner that has not forwarded the request
	// refuses it with the verdict NotRun.
	KindCancel
	// KindStream carries a stream message from the caller to the upstream.
	KindStream
	// KindAck acknowledges parts of an answer or stream messages to the upstream.
	KindAck

	// Host to caller.

	// KindOpened carries the identifier of a flow that was opened or renewed.
	KindOpened
	// KindRefused refuses an open, a renewal or a request. Its verdict says whether
	// the request may have run.
	KindRefused
	// KindAccepted acknowledges the part of a request body that the owner has
	// received. Aux is its length from the start of the body, in bytes.
	KindAccepted

	// Upstream to host. The host passes KindAnswer, KindPush and KindFlowLost on to
	// the caller.

	// KindAnswer carries one part of an answer.
	KindAnswer
	// KindPush carries a stream message from the upstream to the caller.
	KindPush
	// KindShed notifies the owner that the upstream refused a request without
	// running it.
	KindShed
	// KindReceived acknowledges the part of a request body that the upstream has
	// received. Aux is its length from the start of the body, in bytes.
	KindReceived
	// KindFlowLost reports that the upstream does not know the flow, for example
	// after a restart.
	KindFlowLost

	// Host to upstream.

	// KindForward carries one part of a request to an upstream.
	KindForward
	// KindForwardCancel cancels a request at the upstream.
	KindForwardCancel

	// Host to host.

	// KindDone notifies the owner that the last part of an answer was forwarded to
	// the caller by the sending host.
	KindDone

	kindCount
)

var kindNames = [kindCount]string{
	"invalid", "open", "renew", "close", "request", "cancel", "stream", "ack",
	"opened", "refused", "accepted", "answer", "push", "shed", "received",
	"flow-lost", "forward", "forward-cancel", "done",
}

// String returns the name of the kind for logs and transcripts.
func (k Kind) String() string {
	if k >= kindCount {
		return "invalid"
	}
	return kindNames[k]
}

// Flags is the set of flag bits of the header.
type Flags uint8

const (
	// FlagIdempotent marks a request that may run more than once.
	FlagIdempotent Flags = 1 << iota
	// FlagMoveFlow tells the caller that the upstream is draining: open another
	// flow, then close this one.
	FlagMoveFlow
	// FlagRenew tells the caller to renew the flow identifier: the owner is stopping,
	// gone, without the state of the flow or no longer its home, or the identifier is
	// not sealed with the current key.
	FlagRenew
	// FlagLast marks the last part of an answer.
	FlagLast
	// FlagRetransmit marks a retransmission.
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

// SetKind sets the kind.
func (p Packet) SetKind(k Kind) { p[offKind] = byte(k) }

// Flags returns the flag bits.
func (p Packet) Flags() Flags { return Flags(p[offFlags]) }

// SetFlags sets the flag bits and clears all others.
func (p Packet) SetFlags(f Flags) { p[offFlags] = byte(f) }

// Has reports whether all bits of f are set.
func (p Packet) Has(f Flags) bool { return p.Flags()&f == f }

// Flow returns the bytes of the flow identifier. It aliases the packet.
func (p Packet) Flow() []byte { return p[offFlow : offFlow+FlowSize : offFlow+FlowSize] }

// Request returns the request id, or the sequence number of a stream message.
func (p Packet) Request() ids.RequestID {
	return ids.RequestID(binary.BigEndian.Uint64(p[offRequest:]))
}

// SetRequest sets the request id, or the sequence number of a stream message.
func (p Packet) SetRequest(id ids.RequestID) {
	binary.BigEndian.PutUint64(p[offRequest:], uint64(id))
}

// Offset returns the position of the payload within the body, in bytes.
func (p Packet) Offset() uint32 { return binary.BigEndian.Uint32(p[offOffset:]) }

// SetOffset sets the position of the payload within the body, in bytes.
func (p Packet) SetOffset(v uint32) { binary.BigEndian.PutUint32(p[offOffset:], v) }

// Total returns the size of the whole body, in bytes.
func (p Packet) Total() uint32 { return binary.BigEndian.Uint32(p[offTotal:]) }

// SetTotal sets the size of the whole body, in bytes.
func (p Packet) SetTotal(v uint32) { binary.BigEndian.PutUint32(p[offTotal:], v) }

// DeadlineMillis returns the time remaining until the deadline of the request,
// in milliseconds.
func (p Packet) DeadlineMillis() uint32 { return binary.BigEndian.Uint32(p[offDeadline:]) }

// SetDeadlineMillis sets the time remaining until the deadline, in milliseconds.
func (p Packet) SetDeadlineMillis(v uint32) { binary.BigEndian.PutUint32(p[offDeadline:], v) }

// Aux returns the retry-after delay in milliseconds or the number of acknowledged
// bytes, depending on the kind.
func (p Packet) Aux() uint32 { return binary.BigEndian.Uint32(p[offAux:]) }

// SetAux sets the retry-after delay in milliseconds or the number of acknowledged
// bytes, depending on the kind.
func (p Packet) SetAux(v uint32) { binary.BigEndian.PutUint32(p[offAux:], v) }

// Verdict returns whether the request ran, did not run or may have run.
func (p Packet) Verdict() verdict.Verdict { return verdict.Verdict(p[offVerdict]) }

// Reason returns the cause of a refusal.
func (p Packet) Reason() verdict.Reason { return verdict.Reason(p[offReason]) }

// SetVerdict sets the verdict and its reason.
func (p Packet) SetVerdict(v verdict.Verdict, r verdict.Reason) {
	p[offVerdict] = byte(v)
	p[offReason] = byte(r)
}

// Load returns the load report of the upstream: the numbers of running requests
// and of connections.
func (p Packet) Load() (running, connections uint16) {
	return binary.BigEndian.Uint16(p[offRunning:]), binary.BigEndian.Uint16(p[offConnections:])
}

// SetLoad sets the load report.
func (p Packet) SetLoad(running, connections uint16) {
	binary.BigEndian.PutUint16(p[offRunning:], running)
	binary.BigEndian.PutUint16(p[offConnections:], connections)
}

// UpstreamIncarnation returns the incarnation, that is, the run of the process, of
// the upstream that sent the datagram or that it is addressed to. Zero means that
// it is not known.
func (p Packet) UpstreamIncarnation() uint64 {
	return binary.BigEndian.Uint64(p[offUpstreamInc:])
}

// SetUpstreamIncarnation sets the incarnation of the upstream.
func (p Packet) SetUpstreamIncarnation(v uint64) {
	binary.BigEndian.PutUint64(p[offUpstreamInc:], v)
}

// PlacedUpstream returns the upstream that the request was placed on. The
// upstream and the caller echo it, so that acknowledgements are routed to that
// upstream.
func (p Packet) PlacedUpstream() ids.UpstreamID {
	return ids.UpstreamID(binary.BigEndian.Uint32(p[offPlaced:]))
}

// SetPlacedUpstream sets the upstream that the request was placed on.
func (p Packet) SetPlacedUpstream(id ids.UpstreamID) {
	binary.BigEndian.PutUint32(p[offPlaced:], uint32(id))
}

// Route returns the bytes of the return route. It aliases the packet.
func (p Packet) Route() []byte { return p[offRoute : offRoute+RouteSize : offRoute+RouteSize] }

// Payload returns the opaque bytes after the header.
func (p Packet) Payload() []byte { return p[HeaderSize:] }

// Status is the result of Check: StatusOK, or the reason why a datagram is malformed. It
// is not a Go error.
type Status uint8

// The results of Check.
const (
	StatusOK Status = iota
	// StatusShort means that the datagram is shorter than a header.
	StatusShort
	// StatusLong means that the datagram is longer than MaxDatagram.
	StatusLong
	// StatusBadMagic means that the first byte is not Magic.
	StatusBadMagic
	// StatusBadVersion means that the layout version is not Version.
	StatusBadVersion
	// StatusBadKind means that the kind is unknown.
	StatusBadKind
	// StatusBadLength means that the payload length in the header is not that of the
	// datagram.
	StatusBadLength
	// StatusBadRange means that the payload extends beyond the body.
	StatusBadRange
)

// String returns the metric label of the result.
func (s Status) String() string {
	switch s {
	case StatusOK:
		return "ok"
	case StatusShort:
		return "short"
	case StatusLong:
		return "long"
	case StatusBadMagic:
		return "magic"
	case StatusBadVersion:
		return "version"
	case StatusBadKind:
		return "kind"
	case StatusBadLength:
		return "length"
	case StatusBadRange:
		return "range"
	default:
		return "invalid"
	}
}

// Check validates the size and the header of a datagram. If it returns StatusOK, all
// accessors of Packet(b) stay within b and the payload lies within the body.
func Check(b []byte) Status {
	switch {
	case len(b) < HeaderSize:
		return StatusShort
	case len(b) > MaxDatagram:
		return StatusLong
	case b[0] != Magic:
		return StatusBadMagic
	case b[1] != Version:
		return StatusBadVersion
	case b[offKind] == 0 || Kind(b[offKind]) >= kindCount:
		return StatusBadKind
	}
	n := int(binary.BigEndian.Uint16(b[offLength:]))
	if n != len(b)-HeaderSize {
		return StatusBadLength
	}
	p := Packet(b)
	if p.Offset() > p.Total() || uint64(n) > uint64(p.Total()-p.Offset()) {
		return StatusBadRange
	}
	return StatusOK
}
