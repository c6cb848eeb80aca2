package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of PROTOCOL.md, "Flows", from the first SYN.
const (
	firstCopy   = 200 * time.Millisecond
	secondCopy  = 600 * time.Millisecond
	openTimeout = 1400 * time.Millisecond
)

var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("no answer")
)

// client stands in for a client with one address.
type client struct {
	w    *world
	name string
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*clientFlow
	port  uint16
	// lost is asked for each packet that arrives whether the client's link loses it; nil is never.
	lost func(p *packet, from netip.AddrPort) bool
}

// clientFlow is a flow of a client.
type clientFlow struct {
	c       *client
	key     flowKey
	isn     uint32
	irs     uint32
	echo    uint32
	stream  stream
	input   []byte
	sentAt  time.Time
	opened  bool
	done    bool
	err     error
	changed chan struct{}
}

func (w *world) newClient(name string, addr netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, w.port)))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, name: name, addr: addr, conn: conn, flows: make(map[uint16]*clientFlow), port: 1024}
	go c.read()
	go c.retransmit()
	return c, nil
}

func (c *client) setLost(lost func(p *packet, from netip.AddrPort) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = lost
}

func (c *client) read() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, valid := decode(buf[:n])
		c.mu.Lock()
		switch {
		case c.lost != nil && c.lost(&p, from):
			c.w.record("client %s: its link loses a packet of %s from %s, flags %d, %d bytes", c.name, p.dst, from, p.flags, len(p.data))
		case !valid && !p.isHostReset():
			c.w.record("client %s got a forged packet from %s", c.name, from)
		default:
			if f := c.flows[p.dst.Port()]; f != nil && f.key == (flowKey{p.dst, p.src}) && !f.done {
				f.handle(&p, from)
			}
		}
		c.mu.Unlock()
	}
}

// handle handles a packet of the flow. The caller holds the lock.
func (f *clientFlow) handle(p *packet, from netip.AddrPort) {
	defer f.notify()
	if p.flags&flagRST != 0 {
		f.c.w.resetSeen(f, p, from)
		f.err, f.done = errReset, true
		return
	}
	f.echo = p.echo
	if p.flags&flagSYN != 0 {
		if !f.opened {
			f.opened, f.irs = true, p.seq
			f.stream = stream{next: f.isn + 1, received: p.seq + 1, send: f.send}
		}
		if f.irs == p.seq {
			f.stream.sendAck()
		}
		return
	}
	if f.opened {
		f.input = append(f.input, f.stream.receive(p)...)
	}
}

func (f *clientFlow) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// send sends a packet to the host that the router picks.
func (f *clientFlow) send(seq, ack uint32, flags byte, data []byte) {
	p := packet{src: f.key.client, dst: f.key.service, echo: f.echo, seq: seq, ack: ack, flags: flags, data: data}
	if host := f.c.w.router.pick(f.key); host.IsValid() {
		// Send errors are ignored: packets are retransmitted.
		_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), host)
	}
}

// newFlow begins a flow from a port without sending anything.
func (c *client) newFlow(service netip.AddrPort, port uint16) *clientFlow {
	f := &clientFlow{c: c, key: flowKey{netip.AddrPortFrom(c.addr, port), service}, isn: rand.Uint32(), changed: make(chan struct{}, 1), sentAt: time.Now()}
	c.flows[port] = f
	return f
}

// nextPort returns a port that was not used before.
func (c *client) nextPort() uint16 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	return c.port
}

// sendSYN sends the SYN or a copy of it.
func (f *clientFlow) sendSYN(copy uint32) {
	f.send(f.isn, copy, flagSYN, nil)
}

// open opens a flow from a port.
func (c *client) open(service netip.AddrPort, port uint16) (*clientFlow, error) {
	c.mu.Lock()
	f := c.newFlow(service, port)
	f.sendSYN(0)
	c.mu.Unlock()
	start := f.sentAt
	for i, until := range []time.Duration{firstCopy, secondCopy, openTimeout} {
		if i > 0 {
			c.mu.Lock()
			f.sendSYN(uint32(i))
			c.mu.Unlock()
		}
		if f.waitFor(start.Add(until), func() bool { return f.opened }) {
			return f, nil
		}
		if f.err != nil {
			break
		}
	}
	err := f.err
	if err == nil {
		err = errTimeout
	}
	f.abandon()
	return f, err
}

// waitFor waits until the condition holds or the flow fails, and reports whether it holds.
func (f *clientFlow) waitFor(until time.Time, condition func() bool) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		f.c.mu.Lock()
		ok, failed := condition(), f.err != nil
		f.c.mu.Unlock()
		if ok || failed {
			return ok
		}
		select {
		case <-f.changed:
		case <-timer.C:
			return false
		}
	}
}

// abandon forgets the flow without a packet.
func (f *clientFlow) abandon() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	f.done = true
	if f.c.flows[f.key.client.Port()] == f {
		delete(f.c.flows, f.key.client.Port())
	}
}

// request sends a request and returns the status of its answer and the backend's name.
func (f *clientFlow) request(head string, size int, budget time.Duration) (int, string, error) {
	attempt := f.c.w.nextAttempt()
	body := strings.Repeat("r", size)
	text := fmt.Sprintf("%s HTTP/1.1\r\nHost: example\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", head, attempt, size, body)
	f.c.mu.Lock()
	if f.done {
		err := f.err
		f.c.mu.Unlock()
		return 0, "", err
	}
	f.c.w.asked(attempt, f)
	f.input = nil
	f.stream.write([]byte(text), false)
	f.c.mu.Unlock()
	var status int
	var fields map[string]string
	ok := f.waitFor(time.Now().Add(budget), func() bool {
		end := bytes.Index(f.input, []byte("\r\n\r\n"))
		if end < 0 {
			return false
		}
		fields = headers(string(f.input[:end]))
		length, _ := strconv.Atoi(fields["Content-Length"])
		if len(f.input) < end+4+length {
			return false
		}
		status, _ = strconv.Atoi(strings.Fields(string(f.input[:end]))[1])
		return true
	})
	switch {
	case ok:
		if status == 200 && fields["Backend-Stamp"] != attempt {
			f.c.w.record("client %s: answer to %s has the stamp of %s", f.c.name, attempt, fields["Backend-Stamp"])
		}
		return status, fields["Backend-Id"], nil
	case f.err != nil:
		return 0, "", f.err
	default:
		return 0, "", errTimeout
	}
}

// close ends the flow with a FIN.
func (f *clientFlow) close() {
	f.c.mu.Lock()
	if !f.done && !f.stream.finSent {
		f.stream.write(nil, true)
	}
	f.c.mu.Unlock()
	time.AfterFunc(2*time.Second, f.abandon)
}

func (f *clientFlow) ended() bool {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return f.done || f.stream.finSeen
}

func (c *client) retransmit() {
	for now := range time.Tick(10 * time.Millisecond) {
		c.mu.Lock()
		for _, f := range c.flows {
			if f.opened && !f.done {
				f.stream.resend(now)
			}
		}
		c.mu.Unlock()
	}
}
