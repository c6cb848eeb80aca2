package soak

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// host is a host of the platform path with the links that faults are injected into.
type host struct {
	*process
	name     string
	zone     string
	settings string
	good     []byte
	data     netip.AddrPort
	ready    netip.AddrPort
	control  netip.AddrPort
	// store and contact carry the host's calls of the store, and what other hosts say to it as a contact.
	store, contact *tcpLink
	// busy is held by a fault that stops or starts the process.
	busy sync.Mutex
}

func (h *host) span() string { return "host " + h.data.String() }

// deployment is what hosts share.
type deployment struct {
	ports       ports
	store       string
	zones       []string
	applyWithin time.Duration
	programs    string
	dir         string
}

// ports are the ports of a run, the same at all addresses.
type ports struct{ data, ready, control, metrics uint16 }

// newPorts returns ports that were free at the first address of the run.
func newPorts(net3 byte) (ports, error) {
	var p ports
	for _, port := range []*uint16{&p.data, &p.ready, &p.control, &p.metrics} {
		free, err := freePort(loopback(net3, 1, 0))
		if err != nil {
			return p, err
		}
		*port = free
	}
	return p, nil
}

// freePort returns a port that is free for TCP and UDP.
func freePort(at netip.AddrPort) (uint16, error) {
	const tries = 50
	for range tries {
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at))
		if err != nil {
			return 0, eris.Wrap(err, "no port can be had")
		}
		port := l.Addr().(*net.TCPAddr).AddrPort().Port()
		l.Close()
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at.Addr(), port)))
		if err == nil {
			u.Close()
			return port, nil
		}
	}
	return 0, eris.Errorf("no port at %s was free for TCP and UDP", at.Addr())
}

// newHost prepares host n; the contacts are reached over their links.
func (d *deployment) newHost(n int, contacts []string) (*host, error) {
	at := func(port uint16) netip.AddrPort { return loopback(netHosts+byte(n/250), byte(n%250+1), port) }
	h := &host{
		name: fmt.Sprintf("host-%d", n), zone: d.zones[n%len(d.zones)],
		data: at(d.ports.data), ready: at(d.ports.ready), control: at(d.ports.control),
	}
	var err error
	if h.store, err = newTCPLink("127.0.0.1:0", d.store); err != nil {
		return nil, err
	}
	settings := dsrworld.HostSettings{
		Name: h.name, Zone: h.zone, Zones: d.zones, Data: h.data, Ready: h.ready, Control: h.control,
		Contacts: contacts, Store: h.store.addr(), StopTimeout: stopWithin, ApplyTimeout: d.applyWithin,
	}
	h.good, err = settings.Encode()
	if err != nil {
		return nil, eris.Wrap(err, "settings can't be encoded")
	}
	h.settings = filepath.Join(d.dir, h.name+".json")
	if err := h.writeSettings(h.good); err != nil {
		return nil, err
	}
	h.process, err = newProcess(h.name, filepath.Join(d.dir, h.name+".log"), filepath.Join(d.programs, "mimosad-dsr"), nil,
		"--settings", h.settings, "--metrics-port", fmt.Sprint(d.ports.metrics))
	return h, err
}

func (h *host) writeSettings(b []byte) error {
	return eris.Wrap(os.WriteFile(h.settings, b, 0o600), "settings can't be written")
}

func loopback(third, fourth byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, third, fourth}), port)
}
