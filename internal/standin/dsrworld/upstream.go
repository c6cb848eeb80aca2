package dsrworld

import (
	"encoding/binary"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// targetHeaderSize is the size of the upstream's id in front of a packet that a host
// forwards, in bytes.
const targetHeaderSize = 8

const (
	// healthPath is the path of the health check that upstreams serve over TCP.
	healthPath = "/health"
	// healthTimeout is the time after which a connection without a request is closed.
	healthTimeout = 5 * time.Second
	// maxListenAttempts is the number of ports that are tried for one that is free for both TCP and UDP.
	maxListenAttempts = 50
)

// Registration is an upstream's registration in the store.
type Registration struct {
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// ColdLeftMs is the remaining time of the slow start, in milliseconds.
	ColdLeftMs int `json:"coldLeftMs"`
	// Seq counts the heartbeats of the upstream since its start.
	Seq int `json:"seq"`
	// Born is the start time of the upstream, in milliseconds since the Unix epoch.
	Born int64 `json:"born"`
}

// Upstream answers requests of callers directly. An answer consists of the name of
// the upstream, a space and the request.
type Upstream struct {
	Name         string
	ID           uint64
	Registration Registration

	conn *net.UDPConn
	// listener accepts connections at the address of conn; health serves them.
	listener *net.TCPListener
	health   *http.Server

	mu    sync.Mutex
	flows map[netip.AddrPort]*upstreamFlow
	// runCounts holds the number of runs of each request.
	runCounts map[string]int
	// misdelivered counts the received packets that were for another upstream.
	misdelivered int
	// corrupted counts the received packets that were truncated or had a wrong
	// checksum.
	corrupted int
	// draining is set if each flow is to end with its next answer.
	draining bool
	// serviceTime is the time that an upstream works on a request.
	serviceTime time.Duration
	// firstSYNTime and copiedSYNTime are the times from the first SYN of a flow and from a
	// retransmission of it to the SYN+ACK.
	firstSYNTime, copiedSYNTime time.Duration
	// slots is the number of requests that run at once; running counts them, and waiting holds the
	// others in the order of their arrival. Zero slots means no limit.
	slots    int
	running  int
	waiting  []func()
	openings []Opening
	// synArrivals holds all SYNs, copies included.
	synArrivals []SYNArrival
	strays      []Stray
	// arrivals holds the times of the packets of open flows, by caller.
	arrivals map[netip.AddrPort][]time.Time
}

// upstreamFlow is a flow that the upstream accepted. Ended flows are kept, since
// delayed and duplicated packets of them can still arrive.
type upstreamFlow struct {
	// next is the next expected sequence number.
	next  uint32
	ended bool
	// open is set once the caller has acknowledged the SYN+ACK of this upstream; opening is the
	// index of the flow's Opening.
	open    bool
	opening int
	// pending is set while a request waits for a slot or runs.
	pending bool
}

// Opening is a SYN that opened a flow at an upstream.
type Opening struct {
	At      time.Time
	Caller  netip.AddrPort
	Service netip.AddrPort
	// SYNRetransmits is the number of the retransmission; 0 is the first SYN of the flow.
	SYNRetransmits int
	// Acknowledged is the time at which the caller's acknowledgment arrived, which opens the
	// flow. Zero means never.
	Acknowledged time.Time
}

// SYNArrival is a SYN that arrived at an upstream. Retransmits is as in Opening.
type SYNArrival struct {
	At          time.Time
	Caller      netip.AddrPort
	Retransmits int
}

// Stray is a packet of a flow that is unknown to the upstream, or that its caller opened at
// another one.
type Stray struct {
	At     time.Time
	Caller netip.AddrPort
}

// NewUpstream starts an upstream that receives datagrams and accepts connections at the
// given address; port 0 stands for any free port. The registration isn't written to the store.
func NewUpstream(id uint64, service, zone string, addr netip.AddrPort) (*Upstream, error) {
	conn, listener, err := listen(addr)
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		Name: fmt.Sprintf("i-%08x", id), ID: id, conn: conn, listener: listener, flows: make(map[netip.AddrPort]*upstreamFlow), runCounts: make(map[string]int), arrivals: make(map[netip.AddrPort][]time.Time),
		Registration: Registration{
			Service: service, Addr: conn.LocalAddr().String(), Zone: zone, Version: "v1", Slots: 2, State: "ready",
			Seq: 1, Born: time.Now().UnixMilli(),
		},
	}
	checks := http.NewServeMux()
	checks.HandleFunc("GET "+healthPath, u.serveHealth)
	u.health = &http.Server{Handler: checks, ReadHeaderTimeout: healthTimeout}
	go u.run()
	go func() {
		// It ends with the listener, which Close closes.
		_ = u.health.Serve(listener)
	}()
	return u, nil
}

// listen opens the sockets for datagrams and connections at one address.
func listen(addr netip.AddrPort) (*net.UDPConn, *net.TCPListener, error) {
	for attempt := 1; ; attempt++ {
		listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
		if err != nil {
			return nil, nil, err
		}
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listener.Addr().(*net.TCPAddr).AddrPort()))
		if err == nil {
			return conn, listener, nil
		}
		listener.Close()
		if addr.Port() != 0 || attempt == maxListenAttempts {
			return nil, nil, err
		}
	}
}

// Key returns the key of the registration in the store.
func (u *Upstream) Key() string { return "servers/" + u.Name }

// Close stops the upstream. Open connections are closed, new ones are refused.
func (u *Upstream) Close() {
	u.conn.Close()
	u.listener.Close()
	u.health.Close()
}

// Opened returns the number of flows opened at the upstream.
func (u *Upstream) Opened() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.openings)
}

// Openings returns the SYNs that opened flows at the upstream.
func (u *Upstream) Openings() []Opening {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.openings)
}

// SYNArrivals returns the SYNs that arrived, in order.
func (u *Upstream) SYNArrivals() []SYNArrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.synArrivals)
}

// Strays returns the received packets of unknown flows.
func (u *Upstream) Strays() []Stray {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.strays)
}

// Arrivals returns the times of the packets of open flows, by caller.
func (u *Upstream) Arrivals() map[netip.AddrPort][]time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[netip.AddrPort][]time.Time)
	for caller, at := range u.arrivals {
		out[caller] = slices.Clone(at)
	}
	return out
}

// LocalAddr returns the address from which the upstream answers.
func (u *Upstream) LocalAddr() netip.AddrPort { return u.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// RunCounts returns the number of runs of each request.
func (u *Upstream) RunCounts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runCounts)
}

// Misdelivered returns the number of received packets that were for another upstream.
func (u *Upstream) Misdelivered() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.misdelivered
}

// Corrupted returns the number of received packets that were truncated or had a
// wrong checksum.
func (u *Upstream) Corrupted() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.corrupted
}

// SetServiceTime sets the time that the upstream works on a request.
func (u *Upstream) SetServiceTime(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serviceTime = d
}

// SetHandshakeTimes sets the times from the first SYN of a flow, and from a retransmission of it, to
// the SYN+ACK.
func (u *Upstream) SetHandshakeTimes(first, copied time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.firstSYNTime, u.copiedSYNTime = first, copied
}

// SetSlots limits the number of requests that run at once, so that others queue. A request is
// acknowledged only with its answer. Zero is no limit.
func (u *Upstream) SetSlots(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slots = n
	u.runWaiting()
}

// runWaiting starts requests for which a slot is free. The caller holds u.mu.
func (u *Upstream) runWaiting() {
	for len(u.waiting) > 0 && (u.slots == 0 || u.running < u.slots) {
		answer := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.running++
		time.AfterFunc(u.serviceTime, func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			answer()
			u.running--
			u.runWaiting()
		})
	}
}

// Drain makes the upstream set FIN in the next answer on each flow.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// serveHealth answers a health check: the upstream is healthy unless it is leaving.
func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// RunCount returns the number of runs of a request.
func (u *Upstream) RunCount(request string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runCounts[request]
}

func (u *Upstream) run() {
	buf := make([]byte, 2048)
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		u.handlePacket(buf[:n], from.Port())
	}
}

// handlePacket handles a packet. Replies go to the caller's address at the given port:
// that of the sending host, since callers and hosts use the same port.
func (u *Upstream) handlePacket(b []byte, port uint16) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(b) < targetHeaderSize {
		u.corrupted++
		return
	}
	id := binary.BigEndian.Uint64(b)
	p, valid := decode(b[targetHeaderSize:])
	if !valid {
		u.corrupted++
		return
	}
	if id != 0 && id != u.ID {
		u.misdelivered++
		return
	}
	reply := packet{src: p.dst, dst: p.src, echo: p.echo, flags: ack}
	f := u.flows[p.src]
	if f != nil && p.flags&syn == 0 {
		if !f.open && p.ack == uint32(u.ID)+1 {
			f.open = true
			u.openings[f.opening].Acknowledged = time.Now()
		}
		if f.open {
			u.arrivals[p.src] = append(u.arrivals[p.src], time.Now())
		}
	}
	switch {
	case p.flags&syn != 0:
		u.synArrivals = append(u.synArrivals, SYNArrival{time.Now(), p.src, int(p.ack)})
		if f == nil {
			f = &upstreamFlow{next: p.seq + 1, opening: len(u.openings)}
			u.flows[p.src] = f
			u.openings = append(u.openings, Opening{At: time.Now(), Caller: p.src, Service: p.dst, SYNRetransmits: int(p.ack)})
		}
		if f.next != p.seq+1 || f.ended {
			return
		}
		reply.flags, reply.seq, reply.ack = syn|ack, uint32(u.ID), p.seq+1
	case f == nil || !f.open:
		u.strays = append(u.strays, Stray{time.Now(), p.src})
		reply.flags, reply.seq = rst, p.ack
	case len(p.data) > 0 && f.ended:
		reply.flags, reply.seq = rst, p.ack
	case len(p.data) > 0:
		isNew := p.seq == f.next
		if isNew {
			f.next += uint32(len(p.data))
			u.runCounts[string(p.data)]++
		}
		reply.seq, reply.ack = p.ack, p.seq+uint32(len(p.data))
		reply.data = []byte(u.Name + " " + string(p.data))
		to := netip.AddrPortFrom(p.src.Addr(), port)
		switch {
		case isNew && u.slots > 0:
			f.pending = true
			u.waiting = append(u.waiting, func() {
				f.pending = false
				u.answer(reply, to)
			})
			u.runWaiting()
		case f.pending:
		case u.slots == 0 && u.serviceTime > 0:
			time.AfterFunc(u.serviceTime, func() {
				u.mu.Lock()
				defer u.mu.Unlock()
				u.answer(reply, to)
			})
		default:
			u.answer(reply, to)
		}
		return
	case p.flags&fin != 0:
		f.ended = true
		reply.flags, reply.seq, reply.ack = fin|ack, p.ack, p.seq+1
	default:
		return
	}
	encoded, to := reply.encode(), netip.AddrPortFrom(p.src.Addr(), port)
	var delay time.Duration
	switch {
	case p.flags&syn != 0 && p.ack == 0:
		delay = u.firstSYNTime
	case p.flags&syn != 0:
		delay = u.copiedSYNTime
	}
	if delay > 0 {
		time.AfterFunc(delay, func() { u.send(encoded, to) })
		return
	}
	u.send(encoded, to)
}

// answer sends the answer to a request. The caller holds u.mu.
func (u *Upstream) answer(reply packet, to netip.AddrPort) {
	if u.draining {
		reply.flags |= fin
	}
	u.send(reply.encode(), to)
}

func (u *Upstream) send(b []byte, to netip.AddrPort) {
	// Send errors are ignored: the caller retransmits.
	_, _ = u.conn.WriteToUDPAddrPort(b, to)
}
