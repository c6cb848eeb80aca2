package dsrworld

import (
	"encoding/binary"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// targetSize is the size of the identity in front of a packet to an upstream.
const targetSize = 8

// Registration is what an upstream writes into the store.
type Registration struct {
	Service    string `json:"service"`
	Addr       string `json:"addr"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int    `json:"coldLeftMs"`
	Seq        int    `json:"seq"`
	Born       int64  `json:"born"`
}

// Upstream answers requests of callers directly. An answer repeats the request
// behind the name of the upstream.
type Upstream struct {
	Name         string
	ID           uint64
	Registration Registration

	conn  *net.UDPConn
	mu    sync.Mutex
	flows map[netip.AddrPort]*upstreamFlow
	// ran counts runs of each request, misses packets for another upstream, broken those that were changed on the way.
	ran    map[string]int
	misses int
	broken int
	// leaving ends each flow with its next answer.
	leaving bool
	// work is the time from a request to its answer.
	work   time.Duration
	opened []Opening
	strays []Stray
}

// upstreamFlow is a flow that the upstream took. Ended ones are remembered, since copies of their packets can come late.
type upstreamFlow struct {
	// next is the next byte expected.
	next  uint32
	ended bool
}

// Opening is a packet that opened a flow at an upstream.
type Opening struct {
	At      time.Time
	Caller  netip.AddrPort
	Service netip.AddrPort
	// Attempt is the number of the packet among the caller's copies.
	Attempt int
}

// Stray is a packet of a flow that the upstream does not hold.
type Stray struct {
	At     time.Time
	Caller netip.AddrPort
}

// NewUpstream starts an upstream at a loopback address.
func NewUpstream(id uint64, service, zone string, addr netip.AddrPort) (*Upstream, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		Name: fmt.Sprintf("i-%08x", id), ID: id, conn: conn, flows: make(map[netip.AddrPort]*upstreamFlow), ran: make(map[string]int),
		Registration: Registration{
			Service: service, Addr: conn.LocalAddr().String(), Zone: zone, Version: "v1", Slots: 2, State: "ready",
			Seq: 1, Born: time.Now().UnixMilli(),
		},
	}
	go u.run()
	return u, nil
}

// Key is the key of the registration in the store.
func (u *Upstream) Key() string { return "servers/" + u.Name }

// Close ends the upstream.
func (u *Upstream) Close() { u.conn.Close() }

// Opened returns the number of flows that were opened here.
func (u *Upstream) Opened() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.opened)
}

// Openings returns the openings of flows so far.
func (u *Upstream) Openings() []Opening {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.opened)
}

// Strays returns the packets so far of flows that are not held here.
func (u *Upstream) Strays() []Stray {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.strays)
}

// RunCounts returns how often each request ran.
func (u *Upstream) RunCounts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.ran)
}

// Misdelivered returns the number of packets that were meant for another upstream.
func (u *Upstream) Misdelivered() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.misses
}

// Corrupted returns the number of packets that were changed on the way.
func (u *Upstream) Corrupted() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.broken
}

// SetServiceTime sets the time from a request to its answer.
func (u *Upstream) SetServiceTime(work time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = work
}

// Drain makes the upstream end each flow with its next answer.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// RunCount returns how often a request ran.
func (u *Upstream) RunCount(request string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[request]
}

func (u *Upstream) run() {
	buf := make([]byte, 2048)
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		u.take(buf[:n], from.Port())
	}
}

// take handles a packet; the port of the fabric is that of the hosts' data address.
func (u *Upstream) take(b []byte, port uint16) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(b) < targetSize {
		u.broken++
		return
	}
	id := binary.BigEndian.Uint64(b)
	p, whole := decode(b[targetSize:])
	if !whole {
		u.broken++
		return
	}
	if id != 0 && id != u.ID {
		u.misses++
		return
	}
	back := packet{src: p.dst, dst: p.src, echo: p.echo, flags: ack}
	f := u.flows[p.src]
	switch {
	case p.flags&syn != 0:
		if f == nil {
			f = &upstreamFlow{next: p.seq + 1}
			u.flows[p.src] = f
			u.opened = append(u.opened, Opening{time.Now(), p.src, p.dst, int(p.ack)})
		}
		if f.next != p.seq+1 || f.ended {
			return
		}
		back.flags, back.seq, back.ack = syn|ack, uint32(u.ID), p.seq+1
	case f == nil:
		u.strays = append(u.strays, Stray{time.Now(), p.src})
		back.flags, back.seq = rst, p.ack
	case len(p.data) > 0 && f.ended:
		back.flags, back.seq = rst, p.ack
	case len(p.data) > 0:
		if p.seq == f.next {
			f.next += uint32(len(p.data))
			u.ran[string(p.data)]++
		}
		back.seq, back.ack = p.ack, p.seq+uint32(len(p.data))
		back.data = []byte(u.Name + " " + string(p.data))
		if u.leaving {
			back.flags |= fin
		}
	case p.flags&fin != 0:
		f.ended = true
		back.flags, back.seq, back.ack = fin|ack, p.ack, p.seq+1
	default:
		return
	}
	answer, to := back.encode(), netip.AddrPortFrom(p.src.Addr(), port)
	if len(back.data) > 0 && u.work > 0 {
		time.AfterFunc(u.work, func() { u.send(answer, to) })
		return
	}
	u.send(answer, to)
}

func (u *Upstream) send(b []byte, to netip.AddrPort) {
	// A lost packet is sent again by the caller.
	_, _ = u.conn.WriteToUDPAddrPort(b, to)
}
