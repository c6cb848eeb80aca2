package declare

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/inifile"
)

// accountReader reads the file of one client account.
type accountReader struct {
	*reader
	file    *inifile.File
	account config.Account
	zones   []string
	// services holds the declared services, sections and parameters side by side.
	services []*declaredService
	names    []namedPlace
}

// declaredService is a service with the sections that its values come from.
type declaredService struct {
	section *inifile.Section
	kind    *inifile.Section
	params  serviceParams
}

func (r *reader) readAccount(name string, f *inifile.File) {
	a := &accountReader{reader: r, file: f, account: config.Account{Name: name}}
	a.readLimits()
	for _, s := range f.Sections {
		a.readServiceSection(s)
	}
	for _, s := range f.Sections {
		a.readUpstreamsSection(s)
	}
	for _, s := range f.Sections {
		a.readOtherSection(s)
	}
	if len(a.services) == 0 {
		r.problems.Add(inifile.Problem{File: f.Name, Text: "account has no service; allowed: one or more [service <name>]"})
	}
	r.set.Accounts = append(r.set.Accounts, a.expand())
}

func (a *accountReader) readLimits() {
	fields := inifile.NewFields(&a.problems, section(a.file, sectionAccount), a.template.account)
	readAccountLimits(fields, &a.account)
	a.zones = inifile.Require(fields, "zones", inifile.List(inifile.Name()))
	fields.ReportUnknown()
	for _, zone := range a.zones {
		if !slices.ContainsFunc(a.set.Zones, func(z config.ZonePlan) bool { return z.Zone == zone }) {
			fields.Report("zones", fmt.Sprintf("availability zone %q has no file; %s", zone, inifile.Suggest(zone, a.zoneNames())))
		}
	}
}

func (r *reader) zoneNames() []string {
	var names []string
	for _, z := range r.set.Zones {
		names = append(names, z.Zone)
	}
	return names
}

func (a *accountReader) readServiceSection(s *inifile.Section) {
	name, ok := strings.CutPrefix(s.Name, sectionService+" ")
	if !ok {
		return
	}
	if !inifile.ValidName(name) {
		a.badName(s, name)
		return
	}
	d := &declaredService{section: s}
	chosen := inifile.NewFields(&a.problems, s, a.template.service)
	if kind := inifile.Get(chosen, "kind", inifile.OneOf(a.template.kinds...), ""); kind != "" {
		d.kind = a.template.file.Section(sectionKind + " " + kind)
	}
	fields := inifile.NewFields(&a.problems, s, d.kind, a.template.service)
	d.params = readOptionalService(fields)
	d.params.config.Name = name
	d.params.config.Address = inifile.Require(fields, "address", inifile.Address())
	fields.Has("kind")
	fields.ReportUnknown()
	a.services = append(a.services, d)
	a.use(s, "address", d.params.config.Address, "service "+a.account.Name+"/"+name)
}

func (a *accountReader) badName(s *inifile.Section, name string) {
	text := fmt.Sprintf("name %q is not allowed; allowed: %s", name, inifile.Name().Allowed)
	a.problems.Add(inifile.Problem{File: s.File, Line: s.Line, Section: s.Name, Text: text})
}

func (a *accountReader) service(name string) *declaredService {
	for _, d := range a.services {
		if d.params.config.Name == name {
			return d
		}
	}
	return nil
}

// readUpstreamsSection reads [upstreams <service> <zone>], whose keys are the
// names of upstreams and whose values are their IP numbers.
func (a *accountReader) readUpstreamsSection(s *inifile.Section) {
	words := strings.Fields(s.Name)
	if words[0] != sectionUpstreams || len(words) != 3 {
		return
	}
	d := a.service(words[1])
	if d == nil {
		a.unknownSection(s, a.upstreamSections()...)
		return
	}
	if !slices.Contains(a.zones, words[2]) {
		text := fmt.Sprintf("availability zone %q is not in [account] zones; %s", words[2], inifile.Suggest(words[2], a.zones))
		a.problems.Add(inifile.Problem{File: s.File, Line: s.Line, Section: s.Name, Text: text})
	}
	for _, v := range s.Values {
		a.readUpstream(d, s, v, words[2])
	}
}

func (a *accountReader) upstreamSections() []string {
	var names []string
	for _, d := range a.services {
		for _, zone := range a.zones {
			names = append(names, sectionUpstreams+" "+d.params.config.Name+" "+zone)
		}
	}
	return names
}

func (a *accountReader) readUpstream(d *declaredService, s *inifile.Section, v inifile.Value, zone string) {
	place := s.Problem(v.Key, "")
	a.names = a.declareName(a.names, v.Key, place)
	fields := inifile.NewFields(&a.problems, s)
	ip := inifile.Require(fields, v.Key, inifile.IP())
	own := section(a.file, sectionUpstream+" "+v.Key)
	params, state := a.readOverrides(d, own)
	u := config.Upstream{
		Name:        v.Key,
		Zone:        zone,
		Address:     netip.AddrPortFrom(ip, uint16(params.dataPort)),
		Health:      netip.AddrPortFrom(ip, uint16(params.healthPort)),
		Slots:       params.slots,
		Connections: params.connections,
		State:       state,
	}
	d.params.config.Upstreams = append(d.params.config.Upstreams, u)
	a.use(s, v.Key, u.Address, "upstream "+a.account.Name+"/"+v.Key)
	a.use(s, v.Key, u.Health, "health of upstream "+a.account.Name+"/"+v.Key)
}

// readOverrides reads [upstream <name>] over the values of the service.
func (a *accountReader) readOverrides(d *declaredService, own *inifile.Section) (upstreamParams, config.UpstreamState) {
	fallback := []*inifile.Section{d.section, d.kind, a.template.service}
	fields := inifile.NewFields(&a.problems, own, fallback...)
	params := readOptionalUpstream(fields)
	required := inifile.NewFields(&a.problems, d.section, append([]*inifile.Section{own}, fallback...)...)
	needed(required, "slots", inifile.Int(1, maxSlots))
	needed(required, "data-port", inifile.Int(1, maxPort))
	needed(required, "health-port", inifile.Int(1, maxPort))
	state := config.UpstreamActive
	active, draining := config.UpstreamActive.String(), config.UpstreamDraining.String()
	stateOnly := inifile.NewFields(&a.problems, own)
	if inifile.Get(stateOnly, "state", inifile.OneOf(active, draining), active) == draining {
		state = config.UpstreamDraining
	}
	fields.Has("state")
	fields.ReportOwnUnknown()
	return params, state
}

// needed reports a key that neither the section nor a fallback holds.
func needed(f *inifile.Fields, key string, rule inifile.Rule[int]) {
	if !f.Has(key) {
		inifile.Require(f, key, rule)
	}
}

// readOtherSection reports the sections that belong to nothing.
func (a *accountReader) readOtherSection(s *inifile.Section) {
	words := strings.Fields(s.Name)
	switch {
	case s.Name == sectionAccount:
	case words[0] == sectionService && len(words) == 2:
	case words[0] == sectionUpstreams && len(words) == 3:
	case words[0] == sectionUpstream && len(words) == 2:
		if !slices.ContainsFunc(a.names, func(n namedPlace) bool { return n.name == words[1] }) {
			a.unknownSection(s, a.overrideSections()...)
		}
	default:
		a.unknownSection(s, sectionAccount, sectionService+" <name>", sectionUpstreams+" <service> <zone>", sectionUpstream+" <name>")
	}
}

func (a *accountReader) overrideSections() []string {
	var names []string
	for _, n := range a.names {
		names = append(names, sectionUpstream+" "+n.name)
	}
	return names
}

// declareName checks a name and that it is new, and adds it to the list.
func (r *reader) declareName(names []namedPlace, name string, place inifile.Problem) []namedPlace {
	if !inifile.ValidName(name) {
		place.Text = "name is not allowed; allowed: " + inifile.Name().Allowed
		r.problems.Add(place)
		return names
	}
	for _, n := range names {
		if n.name == name {
			place.Text = fmt.Sprintf("name stands already at %s:%d; allowed: once", n.place.File, n.place.Line)
			r.problems.Add(place)
			return names
		}
	}
	return append(names, namedPlace{name: name, place: place})
}

// expand returns the account with services and upstreams in the order of their names.
func (a *accountReader) expand() config.Account {
	account := a.account
	for _, d := range a.services {
		account.Services = append(account.Services, d.params.config)
	}
	slices.SortFunc(account.Services, func(x, y config.Service) int { return strings.Compare(x.Name, y.Name) })
	for i := range account.Services {
		slices.SortFunc(account.Services[i].Upstreams, func(x, y config.Upstream) int { return strings.Compare(x.Name, y.Name) })
	}
	return account
}
