package daemon

import (
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/wire"
)

// bufferSize is the size of a receive buffer, in bytes: an envelope, the largest
// datagram and one extra byte, by which an oversized datagram is detected.
const bufferSize = wire.EnvelopeSize + wire.MaxDatagram + 1

// coreDatagram is a datagram queued for the core.
type coreDatagram struct {
	env wire.Envelope
	// readAt is the time at which the datagram was read, as the duration since the
	// host started.
	readAt   time.Duration
	priority config.Priority
	buffer   [wire.MaxDatagram]byte
	size     int
}

func (h *coreDatagram) packet() wire.Packet { return h.buffer[:h.size] }

// outDatagram is a datagram queued for the writer.
type outDatagram struct {
	buffer   [bufferSize]byte
	datagram netio.Datagram
}
