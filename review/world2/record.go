package main

import (
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"
)

// record is what clients, backends and the operator saw, and the file record.txt.
type record struct {
	clientPort uint16
	started    time.Time

	mu     sync.Mutex
	file   *os.File
	runs   []run
	opened map[flowKey]flowOpening
	strays []stray
	// arrivals counts the packets of open flows by backend.
	arrivals map[flowKey]map[string]int
}

type flowKey struct{ client, route netip.AddrPort }

type flowOpening struct {
	at      time.Time
	backend string
}

// stray is a packet at a backend that does not hold its flow, which it answers with a reset.
type stray struct {
	at      time.Time
	key     flowKey
	backend string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, opened: make(map[flowKey]flowOpening), arrivals: make(map[flowKey]map[string]int)}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) openingTaken(b *backend, p *packet) {
	r.line("backend %s took the opening packet (copy %d) of %s to %s", b.key, p.ack, p.src, p.dst)
}

func (r *record) flowOpened(b *backend, p *packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened[flowKey{p.src, p.dst}] = flowOpening{time.Now(), b.key}
	r.write("flow %s to %s opened at %s", p.src, p.dst, b.key)
}

func (r *record) packetOfFlow(b *backend, p *packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := flowKey{p.src, p.dst}
	if r.arrivals[k] == nil {
		r.arrivals[k] = make(map[string]int)
	}
	r.arrivals[k][b.key]++
}

func (r *record) strayed(b *backend, p *packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.strays = append(r.strays, stray{time.Now(), flowKey{p.src, p.dst}, b.key})
	r.write("backend %s got a packet of %s to %s, which it does not hold, and sent a reset", b.key, p.src, p.dst)
}

func (r *record) ran(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
	r.write("backend %s of %s ran %s on route %s", x.backend, x.service, x.attempt, x.route)
}

// openedAt returns where a flow is open.
func (r *record) openedAt(k flowKey) (flowOpening, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.opened[k]
	return o, ok
}

func (r *record) runsOf(match func(*run) bool) (out []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.runs {
		if match(&r.runs[i]) {
			out = append(out, r.runs[i])
		}
	}
	return out
}
