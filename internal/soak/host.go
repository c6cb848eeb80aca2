package soak

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// host is a host process of the platform path, with the links on which faults
// are injected.
type host struct {
	*process
	name          string
	zone          string
	settingsPath  string
	validSettings []byte
	data          netip.AddrPort
	// ready is the address that the platform polls for the host's readiness.
	ready   netip.AddrPort
	control netip.AddrPort
	// store carries the host's requests to the store; contact carries the
	// connections of other hosts to this one as their contact, or is nil.
	store, contact *tcpLink
	// busy serializes the faults that stop, pause, start or reload the process.
	busy sync.Mutex
}

// key identifies the host in the record's disruptions.
func (h *host) key() string { return "host " + h.data.String() }

// deployment holds the settings that all hosts share.
type deployment struct {
	network *network
	store   string
	zones   []string
	// applyWithin is the time within which hosts apply a configuration.
	applyWithin time.Duration
	// paced bounds evacuations and new flows to cold upstreams in the settings.
	paced    bool
	programs string
	logDir   string
}

// newHost writes the settings of host n and opens its link to the store. The
// contacts are addresses of the links to the contact hosts.
func (d *deployment) newHost(n int, contacts []string) (*host, error) {
	at := func(port uint16) netip.AddrPort { return d.network.addr(hostsOctet+byte(n/250), byte(n%250+1), port) }
	h := &host{
		name: fmt.Sprintf("host-%d", n), zone: d.zones[n%len(d.zones)],
		data: at(hostDataPort), ready: at(hostReadyPort), control: at(hostControlPort),
	}
	var err error
	if h.store, err = newTCPLink("127.0.0.1:0", d.store); err != nil {
		return nil, err
	}
	settings := dsrworld.HostSettings{
		Name: h.name, Zone: h.zone, Zones: d.zones, Data: h.data, Ready: h.ready, Control: h.control,
		Contacts: contacts, Store: h.store.addr(), StopTimeout: stopTimeout, ApplyTimeout: d.applyWithin,
	}
	if d.paced {
		settings.EvacuateTimeout, settings.ColdOver, settings.ColdSlack = evacuateWithin, coldOver, coldSlack
	}
	h.validSettings, err = settings.Encode()
	if err != nil {
		return nil, eris.Wrapf(err, "settings of %s can't be encoded", h.name)
	}
	h.settingsPath = filepath.Join(d.logDir, h.name+".json")
	if err := h.writeSettings(h.validSettings); err != nil {
		return nil, err
	}
	h.process, err = newProcess(h.name, filepath.Join(d.logDir, h.name+".log"), filepath.Join(d.programs, "mimosad-dsr"), d.network.held,
		"--settings", h.settingsPath, "--metrics-port", fmt.Sprint(hostAdminPort))
	return h, err
}

// stateURL returns the URL of the host's state.
func (h *host) stateURL() string {
	return "http://" + netip.AddrPortFrom(h.data.Addr(), hostAdminPort).String() + "/state"
}

// lacks returns what the host says that it has not received yet.
func (h *host) lacks(ctx context.Context) string {
	var state struct{ Lacks []string }
	switch err := get(ctx, h.stateURL(), &state); {
	case err != nil:
		return "its state is not known: " + err.Error()
	case len(state.Lacks) == 0:
		return "it lacks nothing"
	}
	return "it lacks " + strings.Join(state.Lacks, ", ")
}

func (h *host) writeSettings(b []byte) error {
	return eris.Wrap(os.WriteFile(h.settingsPath, b, 0o600), "settings can't be written")
}
