package dsrworld

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Timeouts of a caller, the same as on the users' platform. The first three count
// from the first SYN: the SYN is retransmitted after the timeouts of the first and
// second SYN, and opening fails after openTimeout.
const (
	firstSYNTimeout          = 200 * time.Millisecond
	secondSYNTimeout         = 600 * time.Millisecond
	openTimeout              = 1400 * time.Millisecond
	initialRetransmitTimeout = 200 * time.Millisecond
	// requestTimeout is the time limit for an answer, retransmissions included.
	requestTimeout = 4 * time.Second
	// minDelay is the shortest delay of a datagram on a link with Impairment.MaxDelay.
	minDelay = 100 * time.Millisecond
	// maxUnread is the number of datagrams that wait for a caller.
	maxUnread = 256
)

// Errors of a caller.
var (
	ErrReset   = errors.New("flow reset")
	ErrTimeout = errors.New("no answer in time")
	// ErrWrongAnswer is also returned for a packet that is truncated or has a wrong checksum.
	ErrWrongAnswer = errors.New("answer belongs to another request")
)

// Caller opens flows from one address, through one socket.
type Caller struct {
	addr netip.Addr
	conn *net.UDPConn
	// lastFlowPort is the port of the flow opened last. Flows differ by their port;
	// all of them use the one socket.
	lastFlowPort uint16
	inbox        chan datagram

	// takesLastEcho is set if a SYN+ACK that does not open the flow changes the echo as well.
	takesLastEcho bool

	mu         sync.Mutex
	impairment Impairment
}

// datagram is a datagram received by a caller.
type datagram struct {
	at   time.Time
	from netip.AddrPort
	data []byte
}

// Impairment is a fault of the link of a caller. The zero value is none.
type Impairment struct {
	// LossUp and LossDown are the fractions of the datagrams from and to the caller that
	// are lost.
	LossUp, LossDown float64
	// MaxDelay is the longest delay of a datagram in each direction. Delays are random, so
	// that datagrams overtake each other.
	MaxDelay time.Duration
}

// NewCaller opens the socket of a caller at addr. The port is the data port of the
// hosts, to which upstreams send their answers.
func NewCaller(addr netip.Addr, port uint16) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, port)))
	if err != nil {
		return nil, err
	}
	c := &Caller{addr: addr, conn: conn, lastFlowPort: 40000, inbox: make(chan datagram, maxUnread)}
	go c.read()
	return c, nil
}

// Impair sets the fault of the caller's link.
func (c *Caller) Impair(i Impairment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.impairment = i
}

// pass calls deliver for a datagram, at once or after its delay, unless the datagram is lost.
func (c *Caller) pass(up bool, deliver func()) {
	c.mu.Lock()
	i := c.impairment
	c.mu.Unlock()
	loss := i.LossDown
	if up {
		loss = i.LossUp
	}
	switch {
	case rand.Float64() < loss:
	case i.MaxDelay > minDelay:
		time.AfterFunc(minDelay+rand.N(i.MaxDelay-minDelay), deliver)
	default:
		deliver()
	}
}

// read reads datagrams until the socket is closed.
func (c *Caller) read() {
	for {
		buf := make([]byte, 2048)
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		c.pass(false, func() {
			select {
			case c.inbox <- datagram{time.Now(), from, buf[:n]}:
			default:
			}
		})
	}
}

// TakeLastEcho makes the flows that are opened from now on send the echo of any last packet received, also
// that of a second SYN+ACK. By default they ignore it.
func (c *Caller) TakeLastEcho() { c.takesLastEcho = true }

// Close closes the socket.
func (c *Caller) Close() { c.conn.Close() }

// Addr returns the caller's address.
func (c *Caller) Addr() netip.Addr { return c.addr }

// LastFlowAddr returns the caller's address and port of the flow opened last or being
// opened.
func (c *Caller) LastFlowAddr() netip.AddrPort { return netip.AddrPortFrom(c.addr, c.lastFlowPort) }

// Flow is a flow of a caller. A caller can use one flow at a time.
type Flow struct {
	caller  *Caller
	service netip.AddrPort
	local   netip.AddrPort
	// nextHost returns the host to which the next packet is sent.
	nextHost func() netip.AddrPort
	seq, ack uint32
	// echo is the echo field of the last packet received. Each packet sends it back.
	echo  uint32
	trace Trace
}

// Trace records the events of a flow.
type Trace struct {
	// Local is the caller's address and port.
	Local netip.AddrPort
	// SYNs are the SYNs sent, the first one and its retransmissions.
	SYNs []SYN
	// Sent holds the time and host of each packet sent, SYNs included.
	Sent []SYN
	// OtherSYNACKs is the number of SYN+ACKs received from other upstreams after the one that
	// opened the flow.
	OtherSYNACKs int
	// Opened is set once an upstream accepted the flow; Upstream holds the low 32 bits of its id.
	Opened   bool
	Upstream uint32
	// Ended is set if the upstream set FIN in its last answer.
	Ended bool
	// Reset is the reset that ended the flow, or nil.
	Reset *Reset
}

// SYN is a SYN sent by a caller.
type SYN struct {
	At   time.Time
	Host netip.AddrPort
}

// Reset is a reset received by a caller.
type Reset struct {
	At   time.Time
	From netip.AddrPort
	// ByHost is set if a host sent the reset, not an upstream.
	ByHost bool
}

// Open opens a flow to a service and sends each packet to the host that nextHost
// returns. On an error it also returns the flow, for its trace.
func (c *Caller) Open(service netip.AddrPort, nextHost func() netip.AddrPort) (*Flow, error) {
	c.lastFlowPort++
	local := netip.AddrPortFrom(c.addr, c.lastFlowPort)
	f := &Flow{caller: c, service: service, local: local, nextHost: nextHost, seq: 1000 * uint32(c.lastFlowPort), trace: Trace{Local: local}}
	start := time.Now()
	for attempt, timeout := range []time.Duration{firstSYNTimeout, secondSYNTimeout, openTimeout} {
		at := time.Now()
		host := f.send(packet{seq: f.seq, ack: uint32(attempt), flags: syn})
		f.trace.SYNs = append(f.trace.SYNs, SYN{at, host})
		p, err := f.receive(start.Add(timeout))
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

// Trace returns the events of the flow so far.
func (f *Flow) Trace() Trace { return f.trace }

// send sends a packet and returns the host to which it was sent.
func (f *Flow) send(p packet) netip.AddrPort {
	p.src, p.dst, p.echo = f.local, f.service, f.echo
	host := f.nextHost()
	f.trace.Sent = append(f.trace.Sent, SYN{time.Now(), host})
	b := p.encode()
	f.caller.pass(true, func() {
		// Send errors are ignored: lost packets are retransmitted.
		_, _ = f.caller.conn.WriteToUDPAddrPort(b, host)
	})
	return host
}

// receive returns the next packet of the flow, or ErrTimeout if none arrives before
// the given time.
func (f *Flow) receive(until time.Time) (packet, error) {
	timeout := time.NewTimer(time.Until(until))
	defer timeout.Stop()
	for {
		var d datagram
		select {
		case <-timeout.C:
			return packet{}, ErrTimeout
		case d = <-f.caller.inbox:
		}
		p, valid := decode(d.data)
		if p.dst != f.local || p.src != f.service {
			continue
		}
		if p.flags&rst != 0 {
			f.trace.Reset = &Reset{At: d.at, From: d.from, ByHost: p.checksum == 0}
			return p, ErrReset
		}
		if !valid {
			return p, ErrWrongAnswer
		}
		// A retransmitted SYN can reach a second upstream, which answers with another
		// SYN-ACK. It is ignored, since the flow is already open at the first.
		if f.trace.Opened && p.flags&syn != 0 {
			if p.seq != f.trace.Upstream {
				f.trace.OtherSYNACKs++
			}
			if f.caller.takesLastEcho {
				f.echo = p.echo
			}
			continue
		}
		f.echo = p.echo
		return p, nil
	}
}

// Wait receives packets of the flow for a duration without sending any.
func (f *Flow) Wait(d time.Duration) error {
	for until := time.Now().Add(d); ; {
		if _, err := f.receive(until); errors.Is(err, ErrTimeout) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// Request sends a request, retransmits it until it is answered, and returns the
// name of the upstream that answered.
func (f *Flow) Request(text string) (string, error) {
	deadline := time.Now().Add(requestTimeout)
	wait := initialRetransmitTimeout
	for time.Now().Before(deadline) {
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
