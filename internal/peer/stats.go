package peer

import "sync/atomic"

// Stats holds the counters of a Transport. They may be read from any goroutine.
type Stats struct {
	BytesSent, BytesReceived          atomic.Uint64
	DatagramsSent, DatagramsReceived  atomic.Uint64
	MessagesSent, MessagesReceived    atomic.Uint64
	DatagramsDropped, MessagesDropped atomic.Uint64
	// BadDatagrams counts datagrams that could not be read, decoded or encoded,
	// BadMessages the messages from links that could not be decoded, and Redials the
	// closed links and failed dials after which a target is dialed again.
	BadDatagrams, BadMessages, Redials atomic.Uint64
	// DialsSkipped counts the times a target was not dialed because it was
	// already linked, for example because it had dialed this host.
	DialsSkipped atomic.Uint64
}
