package operator

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"mimosashore.example/mimosashore/internal/accept"
	"mimosashore.example/mimosashore/internal/change"
	"mimosashore.example/mimosashore/internal/config"
)

// documentStatus summarizes on how many hosts a document is in force.
type documentStatus struct {
	Name       string `json:"name"`
	Revision   uint64 `json:"revision"`
	Deleted    bool   `json:"deleted,omitempty"`
	ChangeID   string `json:"change_id"`
	Author     string `json:"author"`
	AcceptedAt string `json:"accepted_at"`
	// InForce, Behind and Ahead are the numbers of hosts with the same, a lower and
	// a higher revision. Hosts that did not answer are not counted.
	InForce int `json:"in_force"`
	Behind  int `json:"behind"`
	Ahead   int `json:"ahead"`
	// SinceSeconds is the shortest time, in seconds, that the revision has been in
	// force on any of the hosts that have it.
	SinceSeconds float64 `json:"since_seconds"`
}

// hostStatus is the state of a planned host.
type hostStatus struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Planned is the state of the host in its zone plan.
	Planned string `json:"planned"`
	Ready   bool   `json:"ready"`
	Error   string `json:"error,omitempty"`
	// Differs lists the documents whose revision on the host is not the accepted one.
	Differs []revisionDifference `json:"differs,omitempty"`
}

type revisionDifference struct {
	Document string `json:"document"`
	InForce  uint64 `json:"in_force"`
	Accepted uint64 `json:"accepted"`
}

// statusReport is the result of the command status.
type statusReport struct {
	Store     string           `json:"store"`
	Documents []documentStatus `json:"documents"`
	Hosts     []hostStatus     `json:"hosts"`
	// all is set to print every host, not only those that differ.
	all bool
}

func (s *session) status(ctx context.Context, a *statusArgs) (report, error) {
	documents, hosts, storeState, err := s.documentsAndHosts(ctx, a.Dir)
	if err != nil {
		return nil, err
	}
	answers := s.fetchHostStates(ctx, hosts, a.AdminPort)
	if storeState != storeUp {
		documents = newestOnHosts(answers)
	}
	r := statusReport{Store: storeState, all: a.AllHosts}
	for _, d := range documents {
		r.Documents = append(r.Documents, documentStatusOf(d, answers))
	}
	for _, answer := range answers {
		r.Hosts = append(r.Hosts, hostStatusOf(answer, documents))
	}
	return r, nil
}

// States of the store in a statusReport.
const (
	storeUp   = "up"
	storeDown = "down: the revisions are the newest that a host has"
)

// documentsAndHosts returns the accepted documents, the planned hosts and the state
// of the store. If the store is unavailable, it returns no documents and takes the
// hosts from the declarations in dir.
func (s *session) documentsAndHosts(ctx context.Context, dir string) ([]*config.Document, []config.Host, string, error) {
	documents, err := accept.Documents(ctx, s.store)
	if err == nil {
		return documents, plannedHosts(documents), storeUp, nil
	}
	if dir == "" {
		return nil, nil, "", err
	}
	d, dirErr := readDirectory(dir)
	if dirErr != nil {
		return nil, nil, "", dirErr
	}
	var hosts []config.Host
	for _, z := range d.set.Zones {
		hosts = append(hosts, z.Hosts...)
	}
	return nil, hosts, storeDown, nil
}

// newestOnHosts returns the highest revision of each document found on any host.
func newestOnHosts(answers []hostAnswer) []*config.Document {
	var documents []*config.Document
	byName := make(map[string]*config.Document)
	for _, a := range answers {
		if a.state == nil {
			continue
		}
		for _, have := range a.state.Documents {
			d := byName[have.Name]
			if d == nil {
				d = &config.Document{Name: have.Name}
				byName[have.Name] = d
				documents = append(documents, d)
			}
			d.Revision = max(d.Revision, have.Revision)
		}
	}
	return documents
}

// inForce returns the revision of a document on a host and for how many seconds it
// has been in force. Both are zero if the host does not have the document.
func inForce(a hostAnswer, name string) (revision uint64, seconds float64) {
	for _, d := range a.state.Documents {
		if d.Name == name {
			return d.Revision, d.InForceSeconds
		}
	}
	return 0, 0
}

func documentStatusOf(d *config.Document, answers []hostAnswer) documentStatus {
	status := documentStatus{
		Name: d.Name, Revision: d.Revision, Deleted: d.Deleted,
		ChangeID: d.ChangeID, Author: d.Author, AcceptedAt: formatTime(d.AcceptedAt),
	}
	for _, a := range answers {
		if a.state == nil {
			continue
		}
		revision, seconds := inForce(a, d.Name)
		switch {
		case revision < d.Revision:
			status.Behind++
		case revision > d.Revision:
			status.Ahead++
		default:
			if status.InForce == 0 || seconds < status.SinceSeconds {
				status.SinceSeconds = seconds
			}
			status.InForce++
		}
	}
	return status
}

func hostStatusOf(a hostAnswer, documents []*config.Document) hostStatus {
	status := hostStatus{Host: a.host.Name, Zone: a.host.Zone, Planned: change.FormatHostState(a.host.State)}
	if a.err != nil {
		status.Error = a.err.Error()
		return status
	}
	status.Ready = a.state.Ready
	for _, d := range documents {
		if revision, _ := inForce(a, d.Name); revision != d.Revision {
			status.Differs = append(status.Differs, revisionDifference{d.Name, revision, d.Revision})
		}
	}
	return status
}

func (r statusReport) print(w io.Writer) {
	fmt.Fprintf(w, "store %s\n", r.Store)
	t := newTable(w, "DOCUMENT", "REVISION", "IN FORCE", "BEHIND", "AHEAD", "FOR", "AUTHOR", "CHANGE")
	for _, d := range r.Documents {
		name := d.Name
		if d.Deleted {
			name += " (deleted)"
		}
		since := formatAge(time.Duration(d.SinceSeconds * float64(time.Second)))
		t.row(name, strconv.FormatUint(d.Revision, 10), strconv.Itoa(d.InForce), strconv.Itoa(d.Behind), strconv.Itoa(d.Ahead), since, d.Author, d.ChangeID)
	}
	t.flush()
	fmt.Fprintln(w)
	hosts := newTable(w, "HOST", "ZONE", "PLANNED", "STATE")
	for _, h := range r.Hosts {
		if text := h.stateText(); r.all || text != hostUpToDate {
			hosts.row(h.Host, h.Zone, h.Planned, text)
		}
	}
	hosts.flush()
	fmt.Fprintf(w, "%d of %d hosts are ready with every accepted revision\n", r.upToDateHosts(), len(r.Hosts))
}

// hostUpToDate is the state of a ready host that has every accepted revision.
const hostUpToDate = "up to date"

// stateText describes the state of a host in one table cell.
func (h hostStatus) stateText() string {
	var parts []string
	switch {
	case h.Error != "":
		parts = append(parts, h.Error)
	case !h.Ready:
		parts = append(parts, "not ready")
	}
	for _, d := range h.Differs {
		parts = append(parts, fmt.Sprintf("%s at %d, accepted %d", d.Document, d.InForce, d.Accepted))
	}
	if len(parts) == 0 {
		return hostUpToDate
	}
	return strings.Join(parts, "; ")
}

// upToDateHosts counts the ready hosts that have every accepted revision.
func (r statusReport) upToDateHosts() int {
	n := 0
	for _, h := range r.Hosts {
		if h.stateText() == hostUpToDate {
			n++
		}
	}
	return n
}
