package client

import (
	"errors"
	"net"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/wire"
)

// packetQueueSize is the maximum number of received datagrams queued for the
// session's goroutine. Further ones are dropped; the sender retransmits them.
const packetQueueSize = 512

// socket is the UDP socket of a session.
type socket struct {
	conn    *net.UDPConn
	packets chan wire.Packet
	fabric  *net.UDPAddr
}

func newSocket(o Options) (*socket, error) {
	if !o.Fabric.IsValid() {
		return nil, eris.New("client: fabric address is not set")
	}
	var local *net.UDPAddr
	if o.Local.IsValid() {
		local = net.UDPAddrFromAddrPort(o.Local)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, eris.Wrap(err, "client: open UDP socket")
	}
	return &socket{
		conn:    conn,
		packets: make(chan wire.Packet, packetQueueSize),
		fabric:  net.UDPAddrFromAddrPort(o.Fabric),
	}, nil
}

// read queues well-formed datagrams for the session until the socket is closed.
func (s *socket) read() {
	buf := make([]byte, wire.MaxDatagram+1)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.enqueue(copyIfValid(buf[:n]))
	}
}

func (s *socket) enqueue(p wire.Packet) {
	if p == nil {
		return
	}
	select {
	case s.packets <- p:
	default:
	}
}

// send sends a datagram to the fabric. Errors are ignored: a datagram that was not
// sent is retransmitted like one that was lost.
func (s *socket) send(p wire.Packet) {
	_, _ = s.conn.WriteToUDP(p, s.fabric)
}

func (s *socket) close() {
	s.conn.Close()
}
