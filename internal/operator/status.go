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

// documentStatus says where a document is in force.
type documentStatus struct {
	Name       string `json:"name"`
	Revision   uint64 `json:"revision"`
	Deleted    bool   `json:"deleted,omitempty"`
	ChangeID   string `json:"change_id"`
	Author     string `json:"author"`
	AcceptedAt string `json:"accepted_at"`
	// InForce, Behind and Ahead count the hosts that answered.
	InForce int `json:"in_force"`
	Behind  int `json:"behind"`
	Ahead   int `json:"ahead"`
	// SinceSeconds is how long the revision is in force on every host that has it.
	SinceSeconds float64 `json:"since_seconds"`
}

// hostStatus says what a host has in force.
type hostStatus struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Planned string `json:"planned"`
	Ready   bool   `json:"ready"`
	Error   string `json:"error,omitempty"`
	// Differs lists the documents whose revision isn't the store's.
	Differs []revisionDifference `json:"differs,omitempty"`
}

type revisionDifference struct {
	Document string `json:"document"`
	InForce  uint64 `json:"in_force"`
	Accepted uint64 `json:"accepted"`
}

// statusReport is the result of status.
type statusReport struct {
	Store     string           `json:"store"`
	Documents []documentStatus `json:"documents"`
	Hosts     []hostStatus     `json:"hosts"`
	all       bool
}

func (s *session) status(ctx context.Context, a *statusArgs) (report, error) {
	documents, hosts, storeState, err := s.known(ctx, a.Dir)
	if err != nil {
		return nil, err
	}
	answers := s.askHosts(ctx, hosts, a.AdminPort)
	if storeState != storeUp {
		documents = newestOnHosts(answers)
	}
	r := statusReport{Store: storeState, all: a.AllHosts}
	for _, d := range documents {
		r.Documents = append(r.Documents, statusOf(d, answers))
	}
	for _, answer := range answers {
		r.Hosts = append(r.Hosts, hostStatusOf(answer, documents))
	}
	return r, nil
}

const (
	storeUp   = "up"
	storeDown = "down: the revisions are the newest that a host has"
)

// known returns the accepted documents and the planned hosts. Without the
// store the hosts come from the declarations.
func (s *session) known(ctx context.Context, dir string) ([]*config.Document, []config.Host, string, error) {
	documents, err := accept.Documents(ctx, s.store)
	if err == nil {
		return documents, plannedHosts(documents), storeUp, nil
	}
	if dir == "" {
		return nil, nil, "", err
	}
	d, badDir := readDirectory(dir)
	if badDir != nil {
		return nil, nil, "", badDir
	}
	var hosts []config.Host
	for _, z := range d.set.Zones {
		hosts = append(hosts, z.Hosts...)
	}
	return nil, hosts, storeDown, nil
}

// newestOnHosts returns the newest revision of each document that a host has.
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

// inForce returns the revision of a document on a host, zero for none.
func inForce(a hostAnswer, name string) (revision uint64, seconds float64) {
	for _, d := range a.state.Documents {
		if d.Name == name {
			return d.Revision, d.InForceSeconds
		}
	}
	return 0, 0
}

func statusOf(d *config.Document, answers []hostAnswer) documentStatus {
	status := documentStatus{
		Name: d.Name, Revision: d.Revision, Deleted: d.Deleted,
		ChangeID: d.ChangeID, Author: d.Author, AcceptedAt: at(d.AcceptedAt),
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
		since := ago(time.Duration(d.SinceSeconds * float64(time.Second)))
		t.row(name, strconv.FormatUint(d.Revision, 10), strconv.Itoa(d.InForce), strconv.Itoa(d.Behind), strconv.Itoa(d.Ahead), since, d.Author, d.ChangeID)
	}
	t.flush()
	fmt.Fprintln(w)
	hosts := newTable(w, "HOST", "ZONE", "PLANNED", "STATE")
	for _, h := range r.Hosts {
		if text := h.text(); r.all || text != hostInStep {
			hosts.row(h.Host, h.Zone, h.Planned, text)
		}
	}
	hosts.flush()
	fmt.Fprintf(w, "%d of %d hosts are ready with every accepted revision\n", r.inStep(), len(r.Hosts))
}

const hostInStep = "in step"

// text says in one cell how a host stands.
func (h hostStatus) text() string {
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
		return hostInStep
	}
	return strings.Join(parts, "; ")
}

func (r statusReport) inStep() int {
	n := 0
	for _, h := range r.Hosts {
		if h.text() == hostInStep {
			n++
		}
	}
	return n
}
