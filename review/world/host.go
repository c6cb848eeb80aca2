package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// graceTime is graceS of the sheets, the time from SIGTERM to SIGKILL.
const graceTime = 6 * time.Second

// host is a machine with one process of the system.
type host struct {
	w    *world
	name string
	zone string
	ip   netip.Addr
	link *link

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newHost prepares a host. Its link to the store is a proxy.
func (w *world) newHost(zone string) (*host, error) {
	n := len(w.hosts)
	h := &host{w: w, name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: w.ip(10 + n)}
	var err error
	if h.link, err = newLink(fmt.Sprintf("%s:%d", w.ip(40+n), w.port+100), w.store.addr()); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, nil
}

func (h *host) data() netip.AddrPort    { return netip.AddrPortFrom(h.ip, h.w.port) }
func (h *host) ready() netip.AddrPort   { return netip.AddrPortFrom(h.ip, h.w.port-5) }
func (h *host) control() netip.AddrPort { return netip.AddrPortFrom(h.ip, h.w.port-6) }

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	w := h.w
	zones := make(map[string]string)
	var seeds []string
	for _, o := range w.hosts {
		zones[o.zone] = "valle-central"
		if len(seeds) < 3 {
			seeds = append(seeds, o.control().String())
		}
	}
	settings, err := json.Marshal(map[string]any{
		"node": h.name, "role": "host", "machineClass": "front", "serves": []string{"front", "control"}, "ip": h.ip.String(),
		"zone": h.zone, "region": "valle-central", "zones": zones,
		"listen":        map[string]string{"datagramAddr": h.data().String(), "ready": h.ready().String(), "control": h.control().String()},
		"internalPorts": []int{int(w.port) + 200, int(w.port) + 215}, "seeds": seeds, "bootstrap": true, "faultCounted": false,
		"limits":  map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 280, "maxFds": 8192, "linkMbps": 200.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "advertise", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds":         w.bounds, "hash": "mod", "proxyMode": "echo",
		"platform": map[string]any{"addr": h.link.addr(), "proxyMode": "kv", "writesPerS": 1200, "readsPerS": 6000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, h.name+".json")
	if err := os.WriteFile(path, settings, 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(w.command[0], w.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MIMOSASHORE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		w.record("process of %s ended: %v", h.name, err)
		close(done)
	}()
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	w.record("host %s starts at %s", h.name, h.data())
	return nil
}

// stop stops the process as planned.
func (h *host) stop() {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	h.w.record("host %s gets SIGTERM", h.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(graceTime):
		_ = cmd.Process.Kill()
		<-done
	}
}

// kill ends the process at once, at the end of a case.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
		<-h.done
	}
}

// reader returns the control address of the host that reads the store for this one, by its own
// account; empty if it reads the store itself.
func (h *host) reader() string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + netip.AddrPortFrom(h.ip, 9464).String() + "/state")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var s struct {
		Reader string `json:"reader"`
	}
	if json.NewDecoder(resp.Body).Decode(&s) != nil {
		return ""
	}
	return s.Reader
}

// router stands in for the platform's routers of one zone. It probes the hosts twice a second and
// spreads flows by a hash modulo the hosts in rotation.
type router struct {
	w  *world
	mu sync.Mutex
	// hosts are the zone's hosts in a fixed order, missed the failed probes of each since the last good
	// one, in is set for those in rotation.
	hosts  []*host
	missed map[*host]int
	in     map[*host]bool
}

func (w *world) newRouter() *router {
	r := &router{w: w, missed: make(map[*host]int), in: make(map[*host]bool)}
	w.router = r
	return r
}

func (r *router) add(h *host) {
	r.mu.Lock()
	r.hosts = append(r.hosts, h)
	r.mu.Unlock()
	go r.probe(h)
}

func (r *router) probe(h *host) {
	client := http.Client{Timeout: 400 * time.Millisecond}
	for range time.Tick(500 * time.Millisecond) {
		resp, err := client.Get("http://" + h.ready().String() + "/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		r.mu.Lock()
		was := r.in[h]
		if ok {
			r.missed[h], r.in[h] = 0, true
		} else if r.missed[h]++; r.missed[h] >= 2 {
			r.in[h] = false
		}
		is := r.in[h]
		r.mu.Unlock()
		if was != is {
			r.w.record("router: %s in rotation: %t", h.name, is)
		}
	}
}

// pick returns the host for a flow; not valid if there is none.
func (r *router) pick(key flowKey) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*host
	for _, h := range r.hosts {
		if r.in[h] {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(r.hosts) {
		in = r.hosts
	}
	if len(in) == 0 {
		return netip.AddrPort{}
	}
	sum := fnv.New32a()
	// Writing to a hash does not fail.
	_, _ = sum.Write([]byte(strings.Join([]string{key.client.String(), key.service.String()}, " ")))
	return in[sum.Sum32()%uint32(len(in))].data()
}

// inRotation returns the number of hosts in rotation.
func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, in := range r.in {
		if in {
			n++
		}
	}
	return n
}
