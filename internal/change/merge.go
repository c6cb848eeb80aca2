package change

import (
	"fmt"
	"slices"
	"strings"

	"mimosashore.example/mimosashore/internal/config"
)

// Conflict is a field that both changes set to different values.
type Conflict struct {
	Path   string `json:"path"`
	Base   string `json:"base"`
	Ours   string `json:"ours"`
	Theirs string `json:"theirs"`
}

// String returns the clash as one line.
func (c Conflict) String() string {
	return fmt.Sprintf("%s: was %s, ours %s, theirs %s", c.Path, c.Base, c.Ours, c.Theirs)
}

const absent = "absent"

// merger collects the clashes of a merge.
type merger struct {
	clashes []Conflict
}

// MergeAccounts joins two changes of an account that started from base. All
// three are as Declared returns them. Fields that only one side changed are
// taken from it; an upstream is one field. The result is of use only when
// there are no clashes.
func MergeAccounts(base, ours, theirs *config.Account) (*config.Account, []Conflict) {
	m := &merger{}
	merged := &config.Account{Name: ours.Name}
	merged.RequestRate = pick(m, "request-rate", base.RequestRate, ours.RequestRate, theirs.RequestRate, rate)
	merged.FlowRate = pick(m, "flow-rate", base.FlowRate, ours.FlowRate, theirs.FlowRate, rate)
	name := func(s *config.Service) string { return s.Name }
	for _, n := range unionOfNames(name, base.Services, ours.Services, theirs.Services) {
		s := m.service(n, find(name, base.Services, n), find(name, ours.Services, n), find(name, theirs.Services, n))
		if s != nil {
			merged.Services = append(merged.Services, *s)
		}
	}
	return merged, m.clashes
}

// MergeZones joins two changes of a plan; a host is one field.
func MergeZones(base, ours, theirs *config.ZonePlan) (*config.ZonePlan, []Conflict) {
	m := &merger{}
	name := func(h *config.Host) string { return h.Name }
	show := func(h *config.Host) string { return join(zoneFields(&config.ZonePlan{Hosts: []config.Host{*h}})) }
	merged := &config.ZonePlan{Zone: ours.Zone}
	merged.Hosts = units(m, "host ", name, show, base.Hosts, ours.Hosts, theirs.Hosts)
	return merged, m.clashes
}

// pick returns the value of the side that changed it.
func pick[T comparable](m *merger, path string, base, ours, theirs T, show func(T) string) T {
	switch {
	case ours == theirs || theirs == base:
		return ours
	case ours == base:
		return theirs
	}
	m.clashes = append(m.clashes, Conflict{Path: path, Base: show(base), Ours: show(ours), Theirs: show(theirs)})
	return ours
}

// service merges one service; nil means that it isn't there.
func (m *merger) service(name string, base, ours, theirs *config.Service) *config.Service {
	path := "service " + name
	switch {
	case equalServices(ours, theirs) || equalServices(theirs, base):
		return ours
	case equalServices(ours, base):
		return theirs
	case ours == nil || theirs == nil || base == nil:
		m.clashes = append(m.clashes, Conflict{Path: path, Base: presence(base), Ours: presence(ours), Theirs: presence(theirs)})
		return ours
	}
	merged := &config.Service{Name: name}
	m.serviceFields(path+"/", merged, base, ours, theirs)
	upstreamName := func(u *config.Upstream) string { return u.Name }
	show := func(u *config.Upstream) string { return join(upstreamFields(u)) }
	merged.Upstreams = units(m, path+"/upstream ", upstreamName, show, base.Upstreams, ours.Upstreams, theirs.Upstreams)
	return merged
}

func (m *merger) serviceFields(path string, merged, base, ours, theirs *config.Service) {
	b, o, t := serviceFields(base), serviceFields(ours), serviceFields(theirs)
	*merged = *ours
	merged.Upstreams = nil
	for i := range o {
		value := pick(m, path+o[i].Path, b[i].Value, o[i].Value, t[i].Value, func(s string) string { return s })
		if value != o[i].Value {
			copyServiceField(merged, theirs, o[i].Path)
		}
	}
}

// copyServiceField copies the field with the given name.
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

func presence(s *config.Service) string {
	if s == nil {
		return absent
	}
	return fmt.Sprintf("%s with %d upstreams", join(serviceFields(s)), len(s.Upstreams))
}

func equalServices(a, b *config.Service) bool {
	if a == nil || b == nil {
		return a == b
	}
	return slices.Equal(serviceFields(a), serviceFields(b)) && slices.Equal(a.Upstreams, b.Upstreams)
}

// units merges lists of objects that are each one field.
func units[T comparable](m *merger, path string, name func(*T) string, show func(*T) string, base, ours, theirs []T) []T {
	var merged []T
	for _, n := range unionOfNames(name, base, ours, theirs) {
		b, o, t := find(name, base, n), find(name, ours, n), find(name, theirs, n)
		switch {
		case equal(o, t) || equal(t, b):
		case equal(o, b):
			o = t
		default:
			m.clashes = append(m.clashes, Conflict{Path: path + n, Base: shown(show, b), Ours: shown(show, o), Theirs: shown(show, t)})
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

func shown[T any](show func(*T) string, v *T) string {
	if v == nil {
		return absent
	}
	return show(v)
}

func find[T any](name func(*T) string, all []T, wanted string) *T {
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

func join(fields []Field) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = f.Path + "=" + f.Value
	}
	return strings.Join(parts, " ")
}
