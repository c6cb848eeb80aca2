package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// entry is what a backend says of itself in the store.
type entry struct {
	Service    string `json:"service"`
	Addr       string `json:"addr"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int64  `json:"coldLeftMs"`
	Seq        int64  `json:"seq"`
	Born       int64  `json:"born"`
}

// run is a request that a backend began to work on.
type run struct {
	at      time.Time
	attempt string
	service string
	backend string
	route   netip.AddrPort
	// taken is when the opening packet of the flow arrived.
	taken time.Time
}

type backend struct {
	id     uint64
	key    string
	addr   netip.AddrPort
	work   time.Duration
	store  *store
	rec    *record
	conn   *net.UDPConn
	health *http.Server

	mu      sync.Mutex
	entry   entry
	flows   map[[2]netip.AddrPort]*backendFlow
	running int
	queue   []func()
	stopped chan struct{}
	endedAt time.Time
	// forged counts packets that their sender did not write so.
	forged int
}

type backendFlow struct {
	open, ended, closing bool
	// iss is the sequence number of the SYN+ACK, taken when the first SYN arrived.
	iss   uint32
	taken time.Time
	// next is the next sequence number expected, sent the one after the last byte sent, acked what the client has.
	next, sent, acked uint32
	echo              uint32
	busy              bool
	last              []byte
}

const (
	queueLength = 8
	heartbeat   = 1200 * time.Millisecond
)

func newBackend(id uint64, service, zone string, addr netip.AddrPort, slots int, work time.Duration, s *store, rec *record) (*backend, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, key: fmt.Sprintf("servers/i-%08x", id), addr: addr, work: work, store: s, rec: rec, conn: conn,
		flows: make(map[[2]netip.AddrPort]*backendFlow), stopped: make(chan struct{}),
		entry: entry{Service: service, Addr: addr.String(), Zone: zone, Version: "v1", Slots: slots, State: "ready", Born: time.Now().UnixMilli()},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if b.state() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	b.health = &http.Server{Handler: mux}
	go b.health.Serve(l)
	go b.read()
	b.register()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				b.beat()
			case <-b.stopped:
				return
			}
		}
	}()
	return b, nil
}

func (b *backend) state() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entry.State
}

// register writes the entry and returns when the store confirmed it.
func (b *backend) register() time.Time {
	b.mu.Lock()
	b.entry.Seq++
	e := b.entry
	b.mu.Unlock()
	return b.store.put(b.key, e)
}

// beat is a heartbeat. The entry in the store changes if more than seq does.
func (b *backend) beat() {
	b.mu.Lock()
	b.entry.Seq++
	want := b.entry
	b.mu.Unlock()
	b.store.mu.Lock()
	held := b.store.items[b.key]
	b.store.mu.Unlock()
	var e entry
	if json.Unmarshal(held.Value, &e) == nil {
		e.Seq = want.Seq
		if e == want {
			return
		}
	}
	b.store.put(b.key, want)
}

// drain reports that the backend leaves and returns when the store confirmed it.
func (b *backend) drain() time.Time {
	b.mu.Lock()
	b.entry.State = "draining"
	b.mu.Unlock()
	return b.register()
}

// end ends the backend without a notice.
func (b *backend) end() {
	select {
	case <-b.stopped:
	default:
		b.mu.Lock()
		b.endedAt = time.Now()
		b.mu.Unlock()
		close(b.stopped)
		b.conn.Close()
		b.health.Close()
	}
}

func (b *backend) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if id := binary.BigEndian.Uint64(buf); id != 0 && id != b.id {
			continue
		}
		p, valid := decode(buf[8:n])
		b.mu.Lock()
		if !valid {
			b.forged++
			b.rec.line("backend %s got a packet that its sender did not write so, from %s", b.key, p.src)
		} else {
			b.handle(&p)
		}
		b.mu.Unlock()
	}
}

// send answers the client directly. Packets to clients go to the port of the hosts' datagram address.
func (b *backend) send(p packet) []byte {
	w := p.encode()
	b.conn.WriteToUDPAddrPort(w, netip.AddrPortFrom(p.dst.Addr(), b.rec.clientPort))
	return w
}

func (b *backend) handle(p *packet) {
	key := [2]netip.AddrPort{p.src, p.dst}
	f := b.flows[key]
	if p.flags&flagSYN != 0 {
		if p.flags&flagACK != 0 {
			b.forged++
			return
		}
		if f == nil || f.next != p.seq+1 && !f.open || f.ended {
			iss := rand.Uint32()
			f = &backendFlow{iss: iss, taken: time.Now(), next: p.seq + 1, sent: iss + 1, acked: iss + 1}
			b.flows[key] = f
			b.rec.openingTaken(b, p)
		}
		if !f.open {
			f.echo = p.echo
			b.send(packet{seq: f.iss, ack: p.seq + 1, src: p.dst, dst: p.src, echo: f.echo, flags: flagSYN | flagACK})
		}
		return
	}
	if f == nil || !f.open && p.ack != f.iss+1 {
		if p.flags&flagRST == 0 {
			b.rec.strayed(b, p)
			b.send(packet{seq: p.ack, src: p.dst, dst: p.src, echo: p.echo, flags: flagRST})
		}
		return
	}
	f.echo = p.echo
	if p.flags&flagRST != 0 {
		f.ended = true
		return
	}
	if !f.open {
		f.open = true
		b.rec.flowOpened(b, p)
	}
	b.rec.packetOfFlow(b, p)
	if p.flags&flagACK != 0 && int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if f.ended {
		if len(p.data) > 0 {
			b.send(packet{seq: p.ack, src: p.dst, dst: p.src, echo: f.echo, flags: flagRST})
		} else if p.flags&flagFIN != 0 {
			b.send(packet{seq: f.sent, ack: f.next, src: p.dst, dst: p.src, echo: f.echo, flags: flagACK})
		}
		return
	}
	if p.flags&flagFIN != 0 && p.seq == f.next {
		f.next++
		f.ended = true
		b.send(packet{seq: f.sent, ack: f.next, src: p.dst, dst: p.src, echo: f.echo, flags: flagACK | flagFIN})
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.next || f.busy {
		// A copy: the client lacks the acknowledgement or the answer.
		if f.last != nil && f.acked != f.sent {
			b.conn.WriteToUDPAddrPort(f.last, netip.AddrPortFrom(p.src.Addr(), b.rec.clientPort))
		} else {
			b.send(packet{seq: f.sent, ack: f.next, src: p.dst, dst: p.src, echo: f.echo, flags: flagACK})
		}
		return
	}
	f.next += uint32(len(p.data))
	f.busy = true
	b.begin(f, p)
}

// begin runs a request, queues it, or rejects it as not run.
func (b *backend) begin(f *backendFlow, p *packet) {
	attempt := header(p.data, "Attempt-Id")
	work := func() {
		b.running++
		b.rec.ran(run{at: time.Now(), attempt: attempt, service: b.entry.Service, backend: b.key, route: p.dst, taken: f.taken})
		time.AfterFunc(b.work/2+rand.N(b.work), func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.running--
			b.answer(f, p, "200 OK", attempt)
			if len(b.queue) > 0 {
				next := b.queue[0]
				b.queue = b.queue[1:]
				next()
			}
		})
	}
	switch {
	case b.running < b.entry.Slots:
		work()
	case len(b.queue) < queueLength:
		// The acknowledgement shows that the request arrived.
		b.send(packet{seq: f.sent, ack: f.next, src: p.dst, dst: p.src, echo: f.echo, flags: flagACK})
		b.queue = append(b.queue, work)
	default:
		b.answer(f, p, "503 Service Unavailable\r\nNot-Executed: 1", attempt)
	}
}

// answer sends an answer, and again until the client has it.
func (b *backend) answer(f *backendFlow, p *packet, status, attempt string) {
	body := "answer to " + attempt + " by " + b.key
	text := fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nBackend-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", status, attempt, b.key, len(body), body)
	flags := byte(flagACK)
	f.busy = false
	// A backend that is draining closes each flow after its next answer.
	if b.entry.State == "draining" {
		flags |= flagFIN
		f.closing = true
	}
	seq := f.sent
	f.sent += uint32(len(text))
	if f.closing {
		f.sent++
	}
	f.last = b.send(packet{seq: seq, ack: f.next, src: p.dst, dst: p.src, echo: f.echo, flags: flags, data: []byte(text)})
	want, wait := f.sent, 200*time.Millisecond
	var again func()
	tries := 0
	again = func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if tries++; f.ended || int32(f.acked-want) >= 0 || tries > 8 {
			return
		}
		b.conn.WriteToUDPAddrPort(f.last, netip.AddrPortFrom(p.src.Addr(), b.rec.clientPort))
		wait = min(2*wait, 1600*time.Millisecond)
		time.AfterFunc(wait, again)
	}
	time.AfterFunc(wait, again)
}

// header returns the value of a header of a request or answer.
func header(data []byte, name string) string {
	_, rest, ok := bytes.Cut(data, []byte(name+": "))
	if !ok {
		return ""
	}
	value, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(value)
}
