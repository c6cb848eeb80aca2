package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// waitTimeout is the longest wait for an expected condition.
const waitTimeout = 20 * time.Second

// programPath is the path of the program under test, built by TestMain.
var programPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mimosad-dsr")
	if err != nil {
		panic(err)
	}
	programPath = filepath.Join(dir, "mimosad-dsr")
	if out, err := exec.Command("go", "build", "-o", programPath, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a deployment of hosts, upstreams and callers on loopback addresses.
type fleet struct {
	t           *testing.T
	store       *dsrworld.Store
	port        uint16
	hosts       []*hostProcess
	upstreams   map[string]*dsrworld.Upstream
	lastAddress byte
	// adjust changes the settings of hosts.
	adjust []func(*dsrworld.HostSettings)
}

// hostProcess is a host that runs in a process of its own.
type hostProcess struct {
	t        *testing.T
	settings string
	data     netip.AddrPort
	ready    string
	metrics  uint16
	cmd      *exec.Cmd
	mu       sync.Mutex
	buffer   bytes.Buffer
	exited   chan error
}

// Write collects the output of the process.
func (h *hostProcess) Write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.buffer.Write(b)
}

func (h *hostProcess) output() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.buffer.String()
}

func loopback(third, fourth byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, third, fourth}), port)
}

// givenPorts holds the ports that freePort has returned, which the kernel may give out again.
var givenPorts sync.Map

// freePort returns a port that is free for both TCP and UDP on 127.0.third.1, another one at each call.
func freePort(t *testing.T, third byte) uint16 {
	for range 50 {
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(loopback(third, 1, 0)))
		require.NoError(t, err)
		port := l.Addr().(*net.TCPAddr).AddrPort().Port()
		l.Close()
		if _, given := givenPorts.LoadOrStore(port, true); given {
			continue
		}
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback(third, 1, port)))
		if err == nil {
			u.Close()
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

// Guards against two listeners of a fleet that were given the same port.
func TestFreePortsAreDistinct(t *testing.T) {
	given := make(map[uint16]bool)
	for range 1000 {
		given[freePort(t, 110)] = true
	}
	require.Len(t, given, 1000)
}

// Route addresses. No route exists for unrouted.
var (
	orders   = netip.MustParseAddrPort("198.18.0.1:8080")
	sheets   = netip.MustParseAddrPort("198.18.0.2:8443")
	unrouted = netip.MustParseAddrPort("198.18.0.9:80")
)

// newFleet starts a store, three upstreams of each of two services, and hosts, and
// waits until all hosts are ready.
func newFleet(t *testing.T, hosts int, adjust ...func(*dsrworld.HostSettings)) *fleet {
	f := &fleet{t: t, adjust: adjust, store: dsrworld.NewStore(), upstreams: make(map[string]*dsrworld.Upstream), port: freePort(t, 110)}
	t.Cleanup(f.store.Close)
	f.configure(1, "orders-service")
	for n := range 3 {
		f.addUpstream(uint64(0xa0+n), "orders-service")
		f.addUpstream(uint64(0xb0+n), "sheets-service")
	}
	var contacts []string
	control := freePort(t, 110)
	for n := range hosts {
		contacts = append(contacts, loopback(110, byte(n+1), control).String())
	}
	for n := range hosts {
		h := f.newHost(n, contacts, control)
		f.hosts = append(f.hosts, h)
		h.start()
	}
	for _, h := range f.hosts {
		h.awaitReady(http.StatusOK)
	}
	return f
}

// configure writes a configuration that routes orders to the given service. It
// also holds a malformed route, which hosts must leave out.
func (f *fleet) configure(version int, ordersService string) {
	f.store.Put(dsrworld.ConfigurationKey, dsrworld.Configuration(version, []any{
		dsrworld.Route("orders", orders, "unsafe", ordersService), dsrworld.Route("sheets", sheets, "safe", "sheets-service"), "not a route",
	}))
}

func (f *fleet) addUpstream(id uint64, service string) *dsrworld.Upstream {
	f.lastAddress++
	u, err := dsrworld.NewUpstream(id, service, "zone-a", loopback(130, f.lastAddress, 0))
	require.NoError(f.t, err)
	f.t.Cleanup(u.Close)
	f.upstreams[u.Name] = u
	f.store.Put(u.Key(), u.Registration)
	return u
}

func (f *fleet) newHost(n int, contacts []string, control uint16) *hostProcess {
	h := &hostProcess{t: f.t, data: loopback(110, byte(n+1), f.port), ready: loopback(110, byte(n+1), freePort(f.t, 110)).String(), metrics: freePort(f.t, 110)}
	settings := dsrworld.HostSettings{
		Name: fmt.Sprintf("host-%d", n), Zone: "zone-a", Zones: []string{"zone-a"}, Data: h.data, Ready: netip.MustParseAddrPort(h.ready),
		Control: loopback(110, byte(n+1), control), Contacts: contacts, Store: f.store.Addr(), StopTimeout: 6 * time.Second, ApplyTimeout: 3 * time.Second,
	}
	for _, adjust := range f.adjust {
		adjust(&settings)
	}
	b, err := settings.Encode()
	require.NoError(f.t, err)
	h.settings = filepath.Join(f.t.TempDir(), "settings.json")
	require.NoError(f.t, os.WriteFile(h.settings, b, 0o600))
	return h
}

func (h *hostProcess) start() {
	h.cmd = exec.Command(programPath, "--metrics-port", fmt.Sprint(h.metrics))
	h.cmd.Env = append(os.Environ(), "MIMOSASHORE_SETTINGS="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = h, h
	require.NoError(h.t, h.cmd.Start())
	cmd, exited := h.cmd, make(chan error, 1)
	h.exited = exited
	go func() { exited <- cmd.Wait() }()
	h.t.Cleanup(func() { cmd.Process.Kill() })
}

func (h *hostProcess) kill() {
	h.cmd.Process.Kill()
	<-h.exited
}

func (h *hostProcess) awaitReady(want int) {
	require.Eventually(h.t, func() bool {
		resp, err := http.Get("http://" + h.ready + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == want
	}, waitTimeout, 10*time.Millisecond, h.output())
}

// randomHost returns the data address of a random host. Callers use it for each packet.
func (f *fleet) randomHost() netip.AddrPort { return f.hosts[rand.N(len(f.hosts))].data }

func (f *fleet) caller() *dsrworld.Caller {
	f.lastAddress++
	c, err := dsrworld.NewCaller(loopback(120, f.lastAddress, 0).Addr(), f.port)
	require.NoError(f.t, err)
	f.t.Cleanup(c.Close)
	return c
}
