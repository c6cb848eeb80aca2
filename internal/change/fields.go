// Package change compares and merges configurations. It formats the differences
// between two revisions of a document and performs the three-way merge of two
// concurrent changes with a common base revision. Numeric ids and revisions are
// ignored.
package change

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"mimosashore.example/mimosashore/internal/config"
)

// Field is one formatted value of a configuration with its path, such as
// "service pedidos/upstream pedidos-01/slots".
type Field struct {
	Path  string
	Value string
}

// Difference is a field whose value differs between two documents. Old is empty
// for an added field, New for a removed one.
type Difference struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// String formats the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return "+ " + d.Path + " = " + d.New
	case d.New == "":
		return "- " + d.Path + " = " + d.Old
	default:
		return "~ " + d.Path + ": " + d.Old + " -> " + d.New
	}
}

// Declared returns a copy of a document's account as it was declared: without
// ids and revision, and with the upstreams in d.Drained, which operators drained by
// command, set to active. It returns nil if the document holds no account.
func Declared(d *config.Document) *config.Account {
	if d == nil || d.Account == nil {
		return nil
	}
	account := CloneAccount(d.Account)
	clearIDs(account)
	for i := range account.Services {
		upstreams := account.Services[i].Upstreams
		for j := range upstreams {
			if slices.Contains(d.Drained, upstreams[j].Name) {
				upstreams[j].State = config.UpstreamActive
			}
		}
	}
	return account
}

// DeclaredZone returns a copy of a document's zone plan as it was declared: with the
// hosts in d.Drained, which operators drained by command, set to active. It returns
// nil if the document holds no zone plan.
func DeclaredZone(d *config.Document) *config.ZonePlan {
	if d == nil || d.Zone == nil {
		return nil
	}
	plan := &config.ZonePlan{Zone: d.Zone.Zone, Hosts: slices.Clone(d.Zone.Hosts)}
	for i := range plan.Hosts {
		if slices.Contains(d.Drained, plan.Hosts[i].Name) {
			plan.Hosts[i].State = config.HostActive
		}
	}
	return plan
}

// CloneAccount returns a deep copy of the account.
func CloneAccount(a *config.Account) *config.Account {
	c := *a
	c.Services = slices.Clone(a.Services)
	for i := range c.Services {
		c.Services[i].Upstreams = slices.Clone(c.Services[i].Upstreams)
	}
	return &c
}

func clearIDs(a *config.Account) {
	a.ID, a.Revision = 0, 0
	for i := range a.Services {
		a.Services[i].ID = 0
		for j := range a.Services[i].Upstreams {
			a.Services[i].Upstreams[j].ID = 0
		}
	}
}

// Fields returns the fields of a document's content, sorted by path. The result
// is empty for a nil or deleted document.
func Fields(d *config.Document) []Field {
	var fields []Field
	switch {
	case d == nil || d.Deleted:
	case d.Account != nil:
		fields = accountFields(d.Account)
	case d.Zone != nil:
		fields = zoneFields(d.Zone)
	case d.Keys != nil:
		fields = keyFields(d.Keys)
	}
	slices.SortFunc(fields, func(a, b Field) int { return strings.Compare(a.Path, b.Path) })
	return fields
}

func accountFields(a *config.Account) []Field {
	fields := []Field{
		{"request-rate", formatRate(a.RequestRate)},
		{"flow-rate", formatRate(a.FlowRate)},
	}
	for i := range a.Services {
		s := &a.Services[i]
		path := "service " + s.Name + "/"
		for _, f := range serviceFields(s) {
			fields = append(fields, Field{path + f.Path, f.Value})
		}
		for j := range s.Upstreams {
			for _, f := range upstreamFields(&s.Upstreams[j]) {
				fields = append(fields, Field{path + "upstream " + s.Upstreams[j].Name + "/" + f.Path, f.Value})
			}
		}
	}
	return fields
}

func serviceFields(s *config.Service) []Field {
	return []Field{
		{"address", s.Address.String()},
		{"priority", s.Priority.String()},
		{"max-body", fmt.Sprintf("%d B", s.MaxBody)},
		{"queue-limit", strconv.Itoa(s.QueueLimit)},
		{"request-rate", formatRate(s.RequestRate)},
		{"retry-percent", strconv.Itoa(s.RetryPercent)},
		{"slow-start", s.SlowStart.String()},
	}
}

func upstreamFields(u *config.Upstream) []Field {
	return []Field{
		{"zone", u.Zone},
		{"address", u.Address.String()},
		{"health", u.Health.String()},
		{"slots", strconv.Itoa(u.Slots)},
		{"connections", strconv.Itoa(u.Connections)},
		{"state", u.State.String()},
	}
}

func zoneFields(z *config.ZonePlan) []Field {
	var fields []Field
	for _, h := range z.Hosts {
		path := "host " + h.Name + "/"
		fields = append(fields,
			Field{path + "data", h.Data.String()},
			Field{path + "control", h.Control.String()},
			Field{path + "state", FormatHostState(h.State)})
	}
	return fields
}

// keyFields lists the keys with their roles. It never includes the secrets.
func keyFields(k *config.KeyRing) []Field {
	var fields []Field
	for i, key := range k.Keys {
		role := "checks"
		if i == 0 {
			role = "seals"
		}
		fields = append(fields, Field{fmt.Sprintf("key %03d", key.ID), role})
	}
	return fields
}

// FormatHostState formats the state of a host as it is written in declarations.
func FormatHostState(s config.HostState) string {
	if s == config.HostStopping {
		return "stopping"
	}
	return "active"
}

// formatRate formats a limit per second; zero means no limit.
func formatRate(r float64) string {
	if r == 0 {
		return "none"
	}
	return strconv.FormatFloat(r, 'f', -1, 64) + "/s"
}

// Diff returns the differences between the contents of two documents, sorted by
// path.
func Diff(old, new *config.Document) []Difference {
	before, after := Fields(old), Fields(new)
	var all []Difference
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].Path < after[0].Path:
			all = append(all, Difference{Path: before[0].Path, Old: before[0].Value})
			before = before[1:]
		case len(before) == 0 || after[0].Path < before[0].Path:
			all = append(all, Difference{Path: after[0].Path, New: after[0].Value})
			after = after[1:]
		default:
			if before[0].Value != after[0].Value {
				all = append(all, Difference{before[0].Path, before[0].Value, after[0].Value})
			}
			before, after = before[1:], after[1:]
		}
	}
	return all
}
