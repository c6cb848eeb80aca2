package change

import (
	"fmt"
	"slices"
	"strings"

	"mimosashore.example/mimosashore/internal/config"
)

// Conflict is a merge conflict: a field that both changes set to different values.
type Conflict struct {
	Path   string `json:"path"`
	Base   string `json:"base"`
	Ours   string `json:"ours"`
	Theirs string `json:"theirs"`
}

// String formats the conflict as one line.
func (c Conflict) String() string {
	return fmt.Sprintf("%s: was %s, ours %s, theirs %s", c.Path, c.Base, c.Ours, c.Theirs)
}

// absent is the formatted value of an object that does not exist.
const absent = "absent"

// merger collects the conflicts of a merge.
type merger struct {
	conflicts []Conflict
}

// MergeAccounts performs a three-way merge of two changes of an account. All
// three accounts are in the form that Declared returns. A field that only one
// side changed takes that side's value; an upstream counts as one field. The
// merged account is valid only if there are no conflicts.
func MergeAccounts(base, ours, theirs *config.Account) (*config.Account, []Conflict) {
	m := &merger{}
	merged := &config.Account{Name: ours.Name}
	merged.RequestRate = mergeValue(m, "request-rate", base.RequestRate, ours.RequestRate, theirs.RequestRate, formatRate)
	merged.FlowRate = mergeValue(m, "flow-rate", base.FlowRate, ours.FlowRate, theirs.FlowRate, formatRate)
	name := func(s *config.Service) string { return s.Name }
	for _, n := range unionOfNames(name, base.Services, ours.Services, theirs.Services) {
		s := m.mergeService(n, findByName(name, base.Services, n), findByName(name, ours.Services, n), findByName(name, theirs.Services, n))
		if s != nil {
			merged.Services = append(merged.Services, *s)
		}
	}
	return merged, m.conflicts
}

// MergeZones performs a three-way merge of two changes of a zone plan, in the
// form that DeclaredZone returns. A host counts as one field. The merged plan is
// valid only if there are no conflicts.
func MergeZones(base, ours, theirs *config.ZonePlan) (*config.ZonePlan, []Conflict) {
	m := &merger{}
	name := func(h *config.Host) string { return h.Name }
	format := func(h *config.Host) string { return joinFields(zoneFields(&config.ZonePlan{Hosts: []config.Host{*h}})) }
	merged := &config.ZonePlan{Zone: ours.Zone}
	merged.Hosts = mergeNamed(m, "host ", name, format, base.Hosts, ours.Hosts, theirs.Hosts)
	return merged, m.conflicts
}

// mergeValue returns the value of the side that changed it. If both sides set
// different values, it records a conflict and returns ours.
func mergeValue[T comparable](m *merger, path string, base, ours, theirs T, format func(T) string) T {
	switch {
	case ours == theirs || theirs == base:
		return ours
	case ours == base:
		return theirs
	}
	m.conflicts = append(m.conflicts, Conflict{Path: path, Base: format(base), Ours: format(ours), Theirs: format(theirs)})
	return ours
}

// mergeService merges one service field by field. Nil stands for a service that does
// not exist; it is a conflict if one side deleted and the other changed it, or if both
// added it differently.
func (m *merger) mergeService(name string, base, ours, theirs *config.Service) *config.Service {
	path := "service " + name
	switch {
	case equalServices(ours, theirs) || equalServices(theirs, base):
		return ours
	case equalServices(ours, base):
		return theirs
	case ours == nil || theirs == nil || base == nil:
		m.conflicts = append(m.conflicts, Conflict{Path: path, Base: formatService(base), Ours: formatService(ours), Theirs: formatService(theirs)})
		return ours
	}
	merged := &config.Service{Name: name}
	m.mergeServiceFields(path+"/", merged, base, ours, theirs)
	upstreamName := func(u *config.Upstream) string { return u.Name }
	format := func(u *config.Upstream) string { return joinFields(upstreamFields(u)) }
	merged.Upstreams = mergeNamed(m, path+"/upstream ", upstreamName, format, base.Upstreams, ours.Upstreams, theirs.Upstreams)
	return merged
}

// mergeServiceFields sets all fields of merged except the upstreams.
func (m *merger) mergeServiceFields(path string, merged, base, ours, theirs *config.Service) {
	b, o, t := serviceFields(base), serviceFields(ours), serviceFields(theirs)
	*merged = *ours
	merged.Upstreams = nil
	for i := range o {
		value := mergeValue(m, path+o[i].Path, b[i].Value, o[i].Value, t[i].Value, func(s string) string { return s })
		if value != o[i].Value {
			copyServiceField(merged, theirs, o[i].Path)
		}
	}
}

// copyServiceField copies one field, given by its path in serviceFields.
func copyServiceField(to, from *config.Service, field string) {
	switch field {
	case "address":
		to.Address = from.Address
	case "priority":
		to.Priority = from.Priority
	case "max-body":
		to.MaxBody = from.MaxBody
	case "queue-limit":
		to.QueueLimit = from.QueueLimit
	case "request-rate":
		to.RequestRate = from.RequestRate
	case "retry-percent":
		to.RetryPercent = from.RetryPercent
	case "slow-start":
		to.SlowStart = from.SlowStart
	}
}

func formatService(s *config.Service) string {
	if s == nil {
		return absent
	}
	return fmt.Sprintf("%s with %d upstreams", joinFields(serviceFields(s)), len(s.Upstreams))
}

func equalServices(a, b *config.Service) bool {
	if a == nil || b == nil {
		return a == b
	}
	return slices.Equal(serviceFields(a), serviceFields(b)) && slices.Equal(a.Upstreams, b.Upstreams)
}

// mergeNamed merges lists of named objects, each of which counts as one field.
func mergeNamed[T comparable](m *merger, path string, name func(*T) string, format func(*T) string, base, ours, theirs []T) []T {
	var merged []T
	for _, n := range unionOfNames(name, base, ours, theirs) {
		b, o, t := findByName(name, base, n), findByName(name, ours, n), findByName(name, theirs, n)
		switch {
		case equal(o, t) || equal(t, b):
		case equal(o, b):
			o = t
		default:
			m.conflicts = append(m.conflicts, Conflict{Path: path + n, Base: formatOrAbsent(format, b), Ours: formatOrAbsent(format, o), Theirs: formatOrAbsent(format, t)})
		}
		if o != nil {
			merged = append(merged, *o)
		}
	}
	return merged
}

func equal[T comparable](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func formatOrAbsent[T any](format func(*T) string, v *T) string {
	if v == nil {
		return absent
	}
	return format(v)
}

func findByName[T any](name func(*T) string, all []T, wanted string) *T {
	for i := range all {
		if name(&all[i]) == wanted {
			return &all[i]
		}
	}
	return nil
}

func unionOfNames[T any](name func(*T) string, lists ...[]T) []string {
	var names []string
	for _, list := range lists {
		for i := range list {
			names = append(names, name(&list[i]))
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func joinFields(fields []Field) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = f.Path + "=" + f.Value
	}
	return strings.Join(parts, " ")
}
