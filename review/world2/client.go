package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

var (
	errTimeout = errors.New("no answer in time")
	errRefused = errors.New("the backend did not run it")
)

// resetError is a reset that a client got.
type resetError struct {
	bySystem bool
	from     netip.AddrPort
	at       time.Time
	// opened is set if the client had the answer of a backend before.
	opened bool
}

func (e *resetError) Error() string {
	if e.bySystem {
		return fmt.Sprintf("reset of the system, opened %t", e.opened)
	}
	return fmt.Sprintf("reset of the backend at %s, opened %t", e.from, e.opened)
}

// client is a client address; each of its flows has a port of its own.
type client struct {
	addr   netip.Addr
	conn   *net.UDPConn
	router *router
	rec    *record
	port   atomic.Uint32

	mu    sync.Mutex
	flows map[flowKey]*flow
}

func newClient(addr netip.Addr, r *router, rec *record) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, rec.clientPort)))
	if err != nil {
		return nil, err
	}
	c := &client{addr: addr, conn: conn, router: r, rec: rec, flows: make(map[flowKey]*flow)}
	c.port.Store(20000 + rand.Uint32N(10000))
	go c.read()
	return c, nil
}

func (c *client) read() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, valid := decode(buf[:n])
		if !valid && p.sum != 0 {
			continue
		}
		c.mu.Lock()
		f := c.flows[flowKey{p.dst, p.src}]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.inbox <- received{p, from, time.Now()}:
			default:
			}
		}
	}
}

type received struct {
	packet
	from netip.AddrPort
	at   time.Time
}

// flow is a flow of a client, used by one goroutine.
type flow struct {
	client *client
	key    flowKey
	// host is a fixed host; if it is nil, the router chooses.
	host  *host
	inbox chan received
	// backend is the address that the SYN+ACK came from, synSeq its sequence number.
	backend netip.AddrPort
	synSeq  uint32
	open    bool
	// ended is set once the backend closed the flow.
	ended    bool
	seq, ack uint32
	echo     uint32
	openedAt time.Time
	sentAt   time.Time
	others   int
}

// newFlow returns a flow that is not opened yet.
func (c *client) newFlow(route netip.AddrPort, h *host) *flow {
	f := &flow{client: c, key: flowKey{netip.AddrPortFrom(c.addr, uint16(c.port.Add(1))), route}, host: h, inbox: make(chan received, 64), seq: rand.Uint32()}
	c.mu.Lock()
	c.flows[f.key] = f
	c.mu.Unlock()
	return f
}

// close forgets the flow, after a FIN if it is open.
func (f *flow) close() {
	if f.open {
		f.send(packet{seq: f.seq, ack: f.ack, flags: flagFIN | flagACK})
	}
	f.client.mu.Lock()
	delete(f.client.flows, f.key)
	f.client.mu.Unlock()
}

func (f *flow) send(p packet) {
	p.src, p.dst, p.echo = f.key.client, f.key.route, f.echo
	h := f.host
	if h == nil {
		h = f.client.router.choose(f.key)
	}
	if h != nil {
		f.client.conn.WriteToUDPAddrPort(p.encode(), h.data)
	}
}

// receive returns the next packet, or errTimeout. The echo of each packet is placed in those that follow.
func (f *flow) receive(until time.Time) (received, error) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case p := <-f.inbox:
		if p.flags&flagRST != 0 {
			return p, &resetError{bySystem: p.sum == 0, from: p.from, at: p.at, opened: f.open}
		}
		f.echo = p.echo
		if f.open && p.flags&flagSYN != 0 && p.seq != f.synSeq {
			f.others++
			f.client.rec.line("client %s got another SYN+ACK, from %s", f.key.client, p.from)
		}
		return p, nil
	case <-t.C:
		return received{}, errTimeout
	}
}

// opening opens the flow: a SYN, and copies after 200 and 600 ms.
func (f *flow) opening() error {
	f.sentAt = time.Now()
	for i, after := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(packet{seq: f.seq, ack: uint32(i), flags: flagSYN})
		for {
			p, err := f.receive(f.sentAt.Add(after))
			if err == errTimeout {
				break
			}
			if err != nil {
				return err
			}
			if p.flags&(flagSYN|flagACK) != flagSYN|flagACK {
				continue
			}
			f.seq++
			f.open, f.backend, f.synSeq, f.ack, f.openedAt = true, p.from, p.seq, p.seq+1, time.Now()
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
			return nil
		}
	}
	return errTimeout
}

// request sends a request on the open flow and waits for its answer.
func (f *flow) request(attempt string, budget time.Duration) (answer string, err error) {
	text := []byte("POST /order HTTP/1.1\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n")
	end := time.Now().Add(budget)
	wait := 200 * time.Millisecond
	resend := time.Now()
	acked := false
	for time.Now().Before(end) {
		if !acked && !time.Now().Before(resend) {
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK, data: text})
			resend = time.Now().Add(wait)
			wait = min(2*wait, 1600*time.Millisecond)
		}
		until := end
		if !acked && resend.Before(end) {
			until = resend
		}
		p, err := f.receive(until)
		if err == errTimeout {
			continue
		}
		if err != nil {
			return "", err
		}
		if p.flags&flagSYN != 0 {
			continue
		}
		if p.ack == f.seq+uint32(len(text)) {
			acked = true
		}
		if len(p.data) == 0 || p.seq != f.ack {
			if len(p.data) > 0 {
				f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
			}
			continue
		}
		f.seq += uint32(len(text))
		f.ack += uint32(len(p.data))
		if p.flags&flagFIN != 0 {
			f.ack++
			f.ended = true
		}
		f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
		if header(p.data, "Attempt-Id") != attempt {
			return string(p.data), fmt.Errorf("answer to %s belongs to %s", attempt, header(p.data, "Attempt-Id"))
		}
		if header(p.data, "Not-Executed") != "" {
			return string(p.data), errRefused
		}
		return string(p.data), nil
	}
	return "", errTimeout
}

// wait keeps the flow open without a request.
func (f *flow) wait(d time.Duration) error {
	for until := time.Now().Add(d); ; {
		p, err := f.receive(until)
		if err == errTimeout {
			return nil
		}
		if err != nil {
			return err
		}
		if len(p.data) > 0 {
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
		}
	}
}
