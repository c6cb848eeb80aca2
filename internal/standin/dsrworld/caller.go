package dsrworld

import (
	"errors"
	"net"
	"net/netip"
	"strings"
	"time"
)

// The times of a caller, as the platform's callers have them.
const (
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openLimit  = 1400 * time.Millisecond
	repeatWait = 200 * time.Millisecond
	// requestLimit is the longest wait for an answer.
	requestLimit = 4 * time.Second
)

// Errors of a caller.
var (
	ErrReset   = errors.New("flow was reset")
	ErrTimeout = errors.New("no answer in time")
	ErrMixed   = errors.New("answer belongs to another request")
)

// Caller is one address of callers with its socket.
type Caller struct {
	addr netip.Addr
	conn *net.UDPConn
	port uint16
}

// NewCaller opens the socket of a caller; the port is that of the hosts' data address.
func NewCaller(addr netip.Addr, port uint16) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, port)))
	if err != nil {
		return nil, err
	}
	return &Caller{addr: addr, conn: conn, port: 40000}, nil
}

// Close closes the socket.
func (c *Caller) Close() { c.conn.Close() }

// Flow is an open flow of a caller. One is used at a time.
type Flow struct {
	caller  *Caller
	service netip.AddrPort
	self    netip.AddrPort
	// Hosts returns the host that takes the next packet.
	hosts    func() netip.AddrPort
	seq, ack uint32
	echo     uint32
}

// Open opens a flow to a service through the hosts that the function names.
func (c *Caller) Open(service netip.AddrPort, hosts func() netip.AddrPort) (*Flow, error) {
	c.port++
	f := &Flow{caller: c, service: service, self: netip.AddrPortFrom(c.addr, c.port), hosts: hosts, seq: 1000 * uint32(c.port)}
	began := time.Now()
	for copies, wait := range []time.Duration{firstCopy, secondCopy, openLimit} {
		f.send(packet{seq: f.seq, ack: uint32(copies), flags: syn})
		p, err := f.receive(began.Add(wait))
		if errors.Is(err, ErrTimeout) {
			continue
		}
		if err != nil {
			return nil, err
		}
		f.seq++
		f.ack = p.seq + 1
		f.send(packet{seq: f.seq, ack: f.ack, flags: ack})
		return f, nil
	}
	return nil, ErrTimeout
}

func (f *Flow) send(p packet) {
	p.src, p.dst, p.echo = f.self, f.service, f.echo
	// A lost packet is sent again.
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.encode(), f.hosts())
}

// receive returns the next packet of the flow.
func (f *Flow) receive(until time.Time) (packet, error) {
	buf := make([]byte, 2048)
	for {
		if err := f.caller.conn.SetReadDeadline(until); err != nil {
			return packet{}, err
		}
		n, _, err := f.caller.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return packet{}, ErrTimeout
		}
		p, whole := decode(buf[:n])
		if p.dst != f.self || p.src != f.service {
			continue
		}
		if p.flags&rst != 0 {
			return p, ErrReset
		}
		if !whole {
			return p, ErrMixed
		}
		f.echo = p.echo
		return p, nil
	}
}

// Request sends a request, again until it is answered, and returns the name of the upstream.
func (f *Flow) Request(text string) (string, error) {
	limit := time.Now().Add(requestLimit)
	wait := repeatWait
	for time.Now().Before(limit) {
		f.send(packet{seq: f.seq, ack: f.ack, flags: ack, data: []byte(text)})
		p, err := f.receive(time.Now().Add(wait))
		for err == nil && (len(p.data) == 0 || p.ack != f.seq+uint32(len(text))) {
			p, err = f.receive(time.Now().Add(wait))
		}
		if errors.Is(err, ErrTimeout) {
			wait *= 2
			continue
		}
		if err != nil {
			return "", err
		}
		f.seq += uint32(len(text))
		f.ack = p.seq + uint32(len(p.data))
		f.send(packet{seq: f.seq, ack: f.ack, flags: ack})
		name, body, _ := strings.Cut(string(p.data), " ")
		if body != text {
			return name, ErrMixed
		}
		return name, nil
	}
	return "", ErrTimeout
}

// Close ends the flow.
func (f *Flow) Close() { f.send(packet{seq: f.seq, ack: f.ack, flags: fin | ack}) }
