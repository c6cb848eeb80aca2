package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is an entry host: the program of the deploy file as a process of its own.
type host struct {
	name, zone           string
	data, ready, control netip.AddrPort
	dir                  string
	command              []string
	settings             map[string]any
	rec                  *record

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	// keep is set while a process that ends is started again.
	keep bool
	logs *os.File
	// disturbedAt is when the process was last started, stopped or signalled.
	disturbedAt time.Time
}

// restartDelay is the pause before a process that ended is started again.
const restartDelay = 300 * time.Millisecond

func (h *host) start() error {
	b, err := json.MarshalIndent(h.settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(h.dir, h.name+".json")
	if err := os.WriteFile(path, b, 0o644); err != nil {
		return err
	}
	if h.logs == nil {
		if h.logs, err = os.Create(filepath.Join(h.dir, h.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command(h.command[0], h.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MIMOSASHORE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = h.logs, h.logs
	// The process ends with this program, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.process, h.done, h.keep, h.disturbedAt = cmd, done, true, time.Now()
	h.mu.Unlock()
	h.rec.line("host %s started, pid %d", h.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		close(done)
		h.rec.line("host %s ended: %v", h.name, err)
		h.mu.Lock()
		again := h.keep
		h.disturbedAt = time.Now()
		h.mu.Unlock()
		if again {
			time.Sleep(restartDelay)
			h.mu.Lock()
			again = h.keep
			h.mu.Unlock()
		}
		if again {
			if err := h.start(); err != nil {
				h.rec.line("host %s can't be started: %v", h.name, err)
			}
		}
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rec.line("signal %v to host %s", s, h.name)
	h.disturbedAt = time.Now()
	_ = h.process.Process.Signal(s)
}

// calmSince reports whether nothing was done to the host from the given time on.
func (h *host) calmSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disturbedAt.Before(t)
}

// stop ends the host for good.
func (h *host) stop() {
	h.mu.Lock()
	h.keep = false
	p, done := h.process, h.done
	h.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.Process.Kill()
	<-done
}

// router hands packets to the hosts of a zone that are in rotation, by a hash over the addresses and ports.
type router struct {
	hosts []*host
	rec   *record

	mu       sync.Mutex
	in       []bool
	misses   []int
	changes  []time.Time
	stopping chan struct{}
}

func newRouter(hosts []*host, rec *record) *router {
	r := &router{hosts: hosts, rec: rec, in: make([]bool, len(hosts)), misses: make([]int, len(hosts)), stopping: make(chan struct{})}
	for i := range hosts {
		go r.check(i)
	}
	return r
}

// check asks a host twice a second whether it is ready.
func (r *router) check(i int) {
	c := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		started := time.Now()
		ready := false
		if resp, err := c.Get("http://" + r.hosts[i].ready.String() + "/ready"); err == nil {
			ready = resp.StatusCode == http.StatusOK
			resp.Body.Close()
		}
		r.mu.Lock()
		was := r.in[i]
		if ready {
			r.in[i], r.misses[i] = true, 0
		} else if r.misses[i]++; r.misses[i] >= 2 {
			r.in[i] = false
		}
		if was != r.in[i] {
			r.changes = append(r.changes, time.Now())
			r.rec.line("host %s in rotation: %t", r.hosts[i].name, r.in[i])
		}
		r.mu.Unlock()
		select {
		case <-time.After(time.Until(started.Add(500 * time.Millisecond))):
		case <-r.stopping:
			return
		}
	}
}

// choose returns the host for the packets of a flow now. If fewer than half are in rotation, all are used.
func (r *router) choose(k flowKey) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*host
	for i, h := range r.hosts {
		if r.in[i] {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(r.hosts) {
		in = r.hosts
	}
	f := fnv.New32a()
	for _, a := range []netip.AddrPort{k.client, k.route} {
		b := a.Addr().As4()
		f.Write(b[:])
		f.Write(binary.BigEndian.AppendUint16(nil, a.Port()))
	}
	return in[f.Sum32()%uint32(len(in))]
}

// inTouch reports whether the hosts at an address, and the one that gets the packets of a flow now, were left alone for
// the given time.
func (r *router) inTouch(at netip.AddrPort, k flowKey, d time.Duration) bool {
	since := time.Now().Add(-d)
	for _, h := range r.hosts {
		if h.data == at && !h.calmSince(since) {
			return false
		}
	}
	return r.choose(k).calmSince(since)
}

// inRotation returns the number of hosts in rotation.
func (r *router) inRotation() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, in := range r.in {
		if in {
			n++
		}
	}
	return n
}

// awaitRotation waits until a number of hosts are in rotation.
func (r *router) awaitRotation(ctx context.Context, n int) error {
	for r.inRotation() != n {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d hosts in rotation, not %d", r.inRotation(), n)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}
