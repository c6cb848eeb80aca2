// Package netio reads and writes UDP datagrams in batches without allocating.
// A batch size of one uses the UDP methods of the standard library; larger
// batches use recvmmsg and sendmmsg.
package netio

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// SocketBuffer is the size requested for the receive and the send buffer of a
// socket, in bytes. The kernel may grant less.
const SocketBuffer = 4 << 20

// Datagram is one datagram with the address of its sender or receiver. A
// Reader fills Data up to its capacity and sets its length.
type Datagram struct {
	Data []byte
	Addr netip.AddrPort
}

// Reader reads datagrams. It is not safe for concurrent use.
type Reader interface {
	// Read waits for at least one datagram and returns the number stored.
	Read(into []Datagram) (int, error)
}

// Writer writes datagrams. It is not safe for concurrent use.
type Writer interface {
	// Write sends the datagrams and returns the number accepted by the kernel.
	// Datagrams that the kernel rejects are skipped. It fails if the socket is
	// closed.
	Write(from []Datagram) (int, error)
}

// Options configure the sockets of an address.
type Options struct {
	// Readers is the number of readers. Values below one mean one.
	Readers int
	// Batch is the maximum number of datagrams per system call. Values below
	// one mean one.
	Batch int
	// ReusePort opens a socket with SO_REUSEPORT for each reader; otherwise all
	// readers share one socket.
	ReusePort bool
}

// Sockets are the sockets of one local address.
type Sockets struct {
	conns []*net.UDPConn
	batch int
}

// Listen opens the sockets of a local address. With port 0, all sockets share
// the port that the kernel chose for the first one.
func Listen(ctx context.Context, address netip.AddrPort, o Options) (*Sockets, error) {
	count := max(o.Readers, 1)
	shared := !o.ReusePort || count == 1
	s := &Sockets{batch: max(o.Batch, 1)}
	for len(s.conns) < count {
		if shared && len(s.conns) > 0 {
			s.conns = append(s.conns, s.conns[0])
			continue
		}
		conn, err := listen(ctx, address, !shared)
		if err != nil {
			s.Close()
			return nil, eris.Wrapf(err, "socket %s can't be opened", address)
		}
		s.conns = append(s.conns, conn)
		address = s.Addr()
	}
	return s, nil
}

func listen(ctx context.Context, address netip.AddrPort, reusePort bool) (*net.UDPConn, error) {
	var config net.ListenConfig
	if reusePort {
		config.Control = setReusePort
	}
	packetConn, err := config.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		return nil, err
	}
	conn := packetConn.(*net.UDPConn)
	if err := setBuffers(conn); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

func setBuffers(conn *net.UDPConn) error {
	if err := conn.SetReadBuffer(SocketBuffer); err != nil {
		return err
	}
	return conn.SetWriteBuffer(SocketBuffer)
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optErr
}

// Addr returns the local address of the sockets.
func (s *Sockets) Addr() netip.AddrPort {
	return s.conns[0].LocalAddr().(*net.UDPAddr).AddrPort()
}

// Readers returns the number of readers.
func (s *Sockets) Readers() int { return len(s.conns) }

// Batch returns the maximum number of datagrams per call.
func (s *Sockets) Batch() int { return s.batch }

// Reader returns a new reader of the socket at index, which is in [0, Readers()).
func (s *Sockets) Reader(index int) (Reader, error) {
	conn := s.conns[index]
	if s.batch == 1 {
		return singleIO{conn}, nil
	}
	return newBatch(conn, s.batch)
}

// Writer returns a new writer to the socket at index, which is in [0, Readers()).
func (s *Sockets) Writer(index int) (Writer, error) {
	conn := s.conns[index]
	if s.batch == 1 {
		return singleIO{conn}, nil
	}
	return newBatch(conn, s.batch)
}

// Close closes the sockets. Blocked readers and writers return net.ErrClosed.
func (s *Sockets) Close() {
	for i, conn := range s.conns {
		if i == 0 || conn != s.conns[0] {
			conn.Close()
		}
	}
}

// NewDatagrams returns n datagrams with buffers of size bytes each, which share
// one allocation.
func NewDatagrams(n, size int) []Datagram {
	memory := make([]byte, n*size)
	datagrams := make([]Datagram, n)
	for i := range datagrams {
		datagrams[i].Data = memory[i*size : (i+1)*size : (i+1)*size]
	}
	return datagrams
}
