package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Host is an entry of the list of hosts.
type Host struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Data and Control are the host's data and control addresses.
	Data    string `json:"data"`
	Control string `json:"control"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// hostList keeps the changes of the list of hosts, so that it can be served with a
// lag. The real platform knows its machines; here, the program that starts and
// stops hosts updates the list through the administrative API.
type hostList struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []hostChange
}

type hostChange struct {
	at      time.Time
	host    Host
	removed bool
}

func newHostList(lag time.Duration) *hostList {
	return &hostList{lag: lag}
}

// PutHost adds a host to the list or changes it.
func (p *Platform) PutHost(h Host) {
	p.hosts.add(hostChange{at: time.Now(), host: h})
}

// RemoveHost removes a host from the list.
func (p *Platform) RemoveHost(name string) {
	p.hosts.add(hostChange{at: time.Now(), host: Host{Name: name}, removed: true})
}

// SetHostLag sets the age of the list served by GET /hosts.
func (p *Platform) SetHostLag(lag time.Duration) {
	p.hosts.mu.Lock()
	defer p.hosts.mu.Unlock()
	p.hosts.lag = lag
}

func (l *hostList) add(c hostChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, c)
}

// snapshot returns the list as of the lag before now, sorted by name.
func (l *hostList) snapshot(now time.Time) []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := now.Add(-l.lag)
	byName := make(map[string]Host)
	for _, c := range l.changes {
		if c.at.After(until) {
			break
		}
		if c.removed {
			delete(byName, c.host.Name)
			continue
		}
		byName[c.host.Name] = c.host
	}
	hosts := make([]Host, 0, len(byName))
	for _, h := range byName {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.hosts.snapshot(time.Now()))
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}
