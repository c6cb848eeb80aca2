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
	ErrWrongAnswer   = errors.New("answer belongs to another request")
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

// LastFlowAddr returns the address and port of the flow that was opened last or is being opened.
func (c *Caller) LastFlowAddr() netip.AddrPort { return netip.AddrPortFrom(c.addr, c.port) }

// Flow is a flow of a caller. One is used at a time.
type Flow struct {
	caller  *Caller
	service netip.AddrPort
	self    netip.AddrPort
	// Hosts returns the host that takes the next packet.
	hosts    func() netip.AddrPort
	seq, ack uint32
	echo     uint32
	trace    Trace
}

// Trace tells what a flow went through.
type Trace struct {
	// Local is the end of the caller.
	Local netip.AddrPort
	// SYNs are the packets that asked for the flow.
	SYNs []SYN
	// Opened reports whether an upstream took the flow, and Upstream holds the last 32 bits of its identity.
	Opened     bool
	Upstream uint32
	// Ended is set once the upstream ended the flow with an answer.
	Ended bool
	// Reset is the reset that ended the flow, if one did.
	Reset *Reset
}

// SYN is a packet that asks for a flow.
type SYN struct {
	At   time.Time
	Host netip.AddrPort
}

// Reset is a reset that a caller got.
type Reset struct {
	At   time.Time
	From netip.AddrPort
	// ByHost is set if a host sent it, and not an upstream.
	ByHost bool
}

// Open opens a flow to a service through the hosts that the function names.
// The flow that failed is returned beside the error.
func (c *Caller) Open(service netip.AddrPort, hosts func() netip.AddrPort) (*Flow, error) {
	c.port++
	self := netip.AddrPortFrom(c.addr, c.port)
	f := &Flow{caller: c, service: service, self: self, hosts: hosts, seq: 1000 * uint32(c.port), trace: Trace{Local: self}}
	began := time.Now()
	for copies, wait := range []time.Duration{firstCopy, secondCopy, openLimit} {
		at := time.Now()
		host := f.send(packet{seq: f.seq, ack: uint32(copies), flags: syn})
		f.trace.SYNs = append(f.trace.SYNs, SYN{at, host})
		p, err := f.receive(began.Add(wait))
		if errors.Is(err, ErrTimeout) {
			continue
		}
		if err != nil {
			return f, err
		}
		f.trace.Opened, f.trace.Upstream = true, p.seq
		f.seq++
		f.ack = p.seq + 1
		f.send(packet{seq: f.seq, ack: f.ack, flags: ack})
		return f, nil
	}
	return f, ErrTimeout
}

// Trace returns what the flow went through so far.
func (f *Flow) Trace() Trace { return f.trace }

// send sends a packet and returns the host that takes it.
func (f *Flow) send(p packet) netip.AddrPort {
	p.src, p.dst, p.echo = f.self, f.service, f.echo
	host := f.hosts()
	// A lost packet is sent again.
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.encode(), host)
	return host
}

// receive returns the next packet of the flow.
func (f *Flow) receive(until time.Time) (packet, error) {
	buf := make([]byte, 2048)
	for {
		if err := f.caller.conn.SetReadDeadline(until); err != nil {
			return packet{}, err
		}
		n, from, err := f.caller.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return packet{}, ErrTimeout
		}
		p, whole := decode(buf[:n])
		if p.dst != f.self || p.src != f.service {
			continue
		}
		if p.flags&rst != 0 {
			f.trace.Reset = &Reset{At: time.Now(), From: from, ByHost: p.sum == 0}
			return p, ErrReset
		}
		if !whole {
			return p, ErrWrongAnswer
		}
		// Another upstream took a copy of the first packet; the flow is open at the first one.
		if f.trace.Opened && p.flags&syn != 0 {
			continue
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
		f.trace.Ended = p.flags&fin != 0
		f.seq += uint32(len(text))
		f.ack = p.seq + uint32(len(p.data))
		f.send(packet{seq: f.seq, ack: f.ack, flags: ack})
		name, body, _ := strings.Cut(string(p.data), " ")
		if body != text {
			return name, ErrWrongAnswer
		}
		return name, nil
	}
	return "", ErrTimeout
}

// Close ends the flow.
func (f *Flow) Close() { f.send(packet{seq: f.seq, ack: f.ack, flags: fin | ack}) }
