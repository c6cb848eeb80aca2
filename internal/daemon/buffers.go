package daemon

import (
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/wire"
)

// bufferSize holds the largest datagram behind an envelope, and one byte more
// to tell a datagram that is too large.
const bufferSize = wire.EnvelopeSize + wire.MaxDatagram + 1

// handover is a datagram on its way to the core.
type handover struct {
	env wire.Envelope
	// at is when it was read, as the time since the start of the host.
	at       time.Duration
	priority config.Priority
	buffer   [wire.MaxDatagram]byte
	size     int
}

func (h *handover) packet() wire.Packet { return h.buffer[:h.size] }

// outgoing is a datagram on its way to the writer.
type outgoing struct {
	buffer   [bufferSize]byte
	datagram netio.Datagram
}
