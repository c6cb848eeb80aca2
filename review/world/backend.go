package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// backendGivesUp is the number of retransmissions after which a backend gives up.
	backendGivesUp = 8
	// heartbeat is heartbeatMs of the sheets.
	heartbeat = 1200 * time.Millisecond
	// slots and queueLength are those of the sheets.
	slots       = 2
	queueLength = 8
)

// flowKey identifies a flow.
type flowKey struct{ client, service netip.AddrPort }

// backend stands in for a backend: it registers in the store and answers clients directly.
type backend struct {
	w       *world
	name    string
	id      uint64
	service string
	zone    string
	born    int64
	addr    netip.AddrPort
	conn    *net.UDPConn

	mu       sync.Mutex
	flows    map[flowKey]*backendFlow
	running  int
	waiting  []func()
	draining bool
	ended    bool
}

// backendFlow is a flow that a backend holds.
type backendFlow struct {
	key flowKey
	// clientISN is the sequence number of the client's SYN, isn that of the backend's answer.
	clientISN, isn uint32
	echo           uint32
	stream         stream
	open, ended    bool
	// arrived is when the opening packet arrived.
	arrived time.Time
	via     netip.AddrPort
	input   []byte
}

// newBackend starts a backend.
func (w *world) newBackend(service, zone string, addr netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	id := uint64(rand.Uint32()) | 1<<31
	b := &backend{
		w: w, name: fmt.Sprintf("i-%08x", id), id: id, service: service, zone: zone, born: time.Now().UnixMilli(), addr: addr,
		conn: conn, flows: make(map[flowKey]*backendFlow),
	}
	b.register("ready")
	go b.read()
	go b.retransmit()
	go b.beat()
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	w.record("backend %s of %s starts at %s in %s", b.name, service, addr, zone)
	return nil
}

// register writes the backend's entry and returns when the store confirmed it.
func (b *backend) register(state string) time.Time {
	return b.w.store.put("servers/"+b.name, b.entry(state))
}

func (b *backend) entry(state string) map[string]any {
	return map[string]any{
		"service": b.service, "addr": b.addr.String(), "zone": b.zone, "version": "v1", "slots": slots, "state": state,
		"coldLeftMs": 0, "seq": 1, "born": b.born,
	}
}

// beat writes the entry at each heartbeat. The entry changes only when more than seq changes, that is
// if the store has another one.
func (b *backend) beat() {
	for range time.Tick(heartbeat) {
		b.mu.Lock()
		if b.ended {
			b.mu.Unlock()
			return
		}
		state := "ready"
		if b.draining {
			state = "draining"
		}
		b.mu.Unlock()
		if !b.w.store.holds("servers/"+b.name, b.entry(state)) {
			b.register(state)
			b.w.record("backend %s writes its entry again", b.name)
		}
	}
}

// drain reports the backend as draining and returns when the store confirmed it.
func (b *backend) drain() time.Time {
	b.mu.Lock()
	b.draining = true
	at := b.register("draining")
	b.mu.Unlock()
	b.w.record("backend %s reports draining, confirmed", b.name)
	return at
}

// leave ends the backend and removes its entry.
func (b *backend) leave() {
	b.w.mu.Lock()
	b.w.left[b] = time.Now()
	b.w.mu.Unlock()
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	b.conn.Close()
	b.w.store.remove("servers/" + b.name)
	b.w.record("backend %s has left", b.name)
}

func (b *backend) read() {
	buf := make([]byte, 2048)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < targetSize {
			continue
		}
		if id := binary.BigEndian.Uint64(buf); id != 0 && id != b.id {
			continue
		}
		p, valid := decode(buf[targetSize:n])
		if !valid || p.flags&flagSYN != 0 && p.flags&flagACK != 0 {
			b.w.record("backend %s got a forged packet of %s from %s", b.name, p.src, from)
			continue
		}
		b.mu.Lock()
		b.handle(&p, from)
		b.mu.Unlock()
	}
}

// send sends a packet of a flow to the client, at the port of the hosts' datagram address.
func (b *backend) send(p packet) {
	b.w.sent.Add(1)
	// Send errors are ignored: packets are retransmitted.
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), b.w.port))
}

func (b *backend) handle(p *packet, from netip.AddrPort) {
	key := flowKey{p.src, p.dst}
	f := b.flows[key]
	reset := func() { b.send(packet{src: p.dst, dst: p.src, echo: p.echo, seq: p.ack, flags: flagRST}) }
	switch {
	case p.flags&flagRST != 0:
		if f != nil {
			f.ended = true
		}
	case p.flags&flagSYN != 0:
		if f == nil || (f.ended || !f.open) && f.clientISN != p.seq {
			f = b.accept(key, p, from)
		}
		if f.clientISN == p.seq && !f.open && !f.ended {
			f.echo = p.echo
			b.sendSYNACK(f)
		}
	case f == nil:
		reset()
	case f.ended:
		if len(p.data) > 0 {
			reset()
		} else if p.flags&flagFIN != 0 {
			b.send(packet{src: p.dst, dst: p.src, echo: f.echo, seq: f.stream.next, ack: p.seq + 1, flags: flagACK})
		}
	default:
		if !f.open {
			if p.flags&flagACK == 0 || p.ack != f.isn+1 {
				reset()
				return
			}
			f.open = true
			f.stream.unacked = nil
			b.w.flowOpened(f, b)
		}
		f.echo = p.echo
		f.input = append(f.input, f.stream.receive(p)...)
		b.serve(f)
		if f.stream.finSeen && !f.stream.finSent {
			f.stream.write(nil, true)
		}
		if f.stream.finSeen && f.stream.finSent && len(f.stream.unacked) == 0 {
			f.ended = true
		}
	}
}

// accept begins a flow for a SYN.
func (b *backend) accept(key flowKey, p *packet, from netip.AddrPort) *backendFlow {
	f := &backendFlow{key: key, clientISN: p.seq, isn: rand.Uint32(), echo: p.echo, arrived: time.Now(), via: from}
	f.stream.received, f.stream.next = p.seq+1, f.isn+1
	f.stream.send = func(seq, ack uint32, flags byte, data []byte) {
		b.send(packet{src: key.service, dst: key.client, echo: f.echo, seq: seq, ack: ack, flags: flags, data: data})
	}
	f.stream.unacked = []segment{{seq: f.isn, flags: flagSYN | flagACK}}
	f.stream.timeout, f.stream.resendAt = retransmitMin, time.Now().Add(retransmitMin)
	b.flows[key] = f
	return f
}

func (b *backend) sendSYNACK(f *backendFlow) {
	b.send(packet{src: f.key.service, dst: f.key.client, echo: f.echo, seq: f.isn, ack: f.clientISN + 1, flags: flagSYN | flagACK})
}

// serve takes whole requests from a flow's input.
func (b *backend) serve(f *backendFlow) {
	for {
		end := bytes.Index(f.input, []byte("\r\n\r\n"))
		if end < 0 {
			return
		}
		head := string(f.input[:end])
		fields := headers(head)
		length, _ := strconv.Atoi(fields["Content-Length"])
		if len(f.input) < end+4+length {
			return
		}
		f.input = f.input[end+4+length:]
		attempt := fields["Attempt-Id"]
		path, _, _ := strings.Cut(head, " HTTP/1.1")
		run := func() { b.run(f, path, attempt) }
		switch {
		case b.running < slots:
			run()
		case len(b.waiting) < queueLength:
			b.waiting = append(b.waiting, run)
		default:
			f.stream.write([]byte("HTTP/1.1 503 Full\r\nBackend-Id: "+b.name+"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"), false)
		}
	}
}

// run works on a request and answers it. The caller holds the lock.
func (b *backend) run(f *backendFlow, path, attempt string) {
	b.running++
	b.w.ran(b, f, attempt)
	time.AfterFunc(workOf[path].time, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.ended {
			return
		}
		if !f.ended {
			body := strings.Repeat("x", workOf[path].size)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nBackend-Id: %s\r\nBackend-Stamp: %s\r\nContent-Length: %d\r\n\r\n", b.name, attempt, len(body))
			f.stream.write([]byte(head+body), b.draining)
		}
		b.running--
		if len(b.waiting) > 0 {
			next := b.waiting[0]
			b.waiting = b.waiting[1:]
			next()
		}
	})
}

// retransmit retransmits what is due, until the backend ends.
func (b *backend) retransmit() {
	for now := range time.Tick(10 * time.Millisecond) {
		b.mu.Lock()
		if b.ended {
			b.mu.Unlock()
			return
		}
		for key, f := range b.flows {
			switch {
			case f.ended:
			case !f.open && len(f.stream.unacked) > 0 && now.After(f.stream.resendAt):
				f.stream.resends++
				f.stream.timeout = min(2*f.stream.timeout, retransmitMax)
				f.stream.resendAt = now.Add(f.stream.timeout)
				b.sendSYNACK(f)
			default:
				if f.open {
					f.stream.resend(now)
				}
			}
			if f.stream.resends > backendGivesUp {
				delete(b.flows, key)
			}
		}
		b.mu.Unlock()
	}
}

// headers returns the header fields of a request or answer.
func headers(head string) map[string]string {
	fields := make(map[string]string)
	for _, line := range strings.Split(head, "\r\n")[1:] {
		if k, v, ok := strings.Cut(line, ": "); ok {
			fields[k] = v
		}
	}
	return fields
}
