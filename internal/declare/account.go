package declare

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/inifile"
)

// accountReader parses the file of one client account.
type accountReader struct {
	*reader
	file    *inifile.File
	account config.Account
	zones   []string
	// services holds the declared services in the order of the file.
	services      []*declaredService
	upstreamNames []declaredName
}

// declaredService is a service with its own section and its kind: a [kind <name>]
// section of the template with parameters that several services share. The kind is nil
// if the service has none.
type declaredService struct {
	section *inifile.Section
	kind    *inifile.Section
	params  serviceParams
}

func (r *reader) readAccount(name string, f *inifile.File) {
	a := &accountReader{reader: r, file: f, account: config.Account{Name: name}}
	a.readAccountSection()
	for _, s := range f.Sections {
		a.readServiceSection(s)
	}
	for _, s := range f.Sections {
		a.readUpstreamsSection(s)
	}
	for _, s := range f.Sections {
		a.checkSection(s)
	}
	if len(a.services) == 0 {
		r.problems.Add(inifile.Problem{File: f.Name, Text: "account has no service; allowed: one or more [service <name>]"})
	}
	r.set.Accounts = append(r.set.Accounts, a.sortedAccount())
}

func (a *accountReader) readAccountSection() {
	fields := inifile.NewFields(&a.problems, sectionOrEmpty(a.file, sectionAccount), a.template.account)
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
		a.reportInvalidName(s, name)
		return
	}
	d := &declaredService{section: s}
	kindFields := inifile.NewFields(&a.problems, s, a.template.service)
	if kind := inifile.Get(kindFields, "kind", inifile.OneOf(a.template.kinds...), ""); kind != "" {
		d.kind = a.template.file.Section(sectionKind + " " + kind)
	}
	fields := inifile.NewFields(&a.problems, s, d.kind, a.template.service)
	d.params = readServiceParams(fields)
	d.params.config.Name = name
	d.params.config.Address = inifile.Require(fields, "address", inifile.Address())
	// Has marks the key, which is read above, as known.
	fields.Has("kind")
	fields.ReportUnknown()
	a.services = append(a.services, d)
	a.recordAddress(s, "address", d.params.config.Address, "service "+a.account.Name+"/"+name)
}

func (a *accountReader) reportInvalidName(s *inifile.Section, name string) {
	text := fmt.Sprintf("name %q is not allowed; allowed: %s", name, inifile.Name().Allowed)
	a.problems.Add(inifile.Problem{File: s.File, Line: s.Line, Section: s.Name, Text: text})
}

func (a *accountReader) findService(name string) *declaredService {
	for _, d := range a.services {
		if d.params.config.Name == name {
			return d
		}
	}
	return nil
}

// readUpstreamsSection reads [upstreams <service> <zone>]. Its keys are the names
// of upstreams, its values their IP addresses.
func (a *accountReader) readUpstreamsSection(s *inifile.Section) {
	words := strings.Fields(s.Name)
	if words[0] != sectionUpstreams || len(words) != 3 {
		return
	}
	d := a.findService(words[1])
	if d == nil {
		a.reportUnknownSection(s, a.upstreamsSectionNames()...)
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

func (a *accountReader) upstreamsSectionNames() []string {
	var names []string
	for _, d := range a.services {
		for _, zone := range a.zones {
			names = append(names, sectionUpstreams+" "+d.params.config.Name+" "+zone)
		}
	}
	return names
}

func (a *accountReader) readUpstream(d *declaredService, s *inifile.Section, v inifile.Value, zone string) {
	position := s.Problem(v.Key, "")
	a.upstreamNames = a.addName(a.upstreamNames, v.Key, position)
	fields := inifile.NewFields(&a.problems, s)
	ip := inifile.Require(fields, v.Key, inifile.IP())
	overrides := sectionOrEmpty(a.file, sectionUpstream+" "+v.Key)
	params, state := a.readOverrides(d, overrides)
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
	a.recordAddress(s, v.Key, u.Address, "upstream "+a.account.Name+"/"+v.Key)
	a.recordAddress(s, v.Key, u.Health, "health of upstream "+a.account.Name+"/"+v.Key)
}

// readOverrides returns the parameters and state of one upstream. The values of
// [upstream <name>] take precedence over those of the service, its kind and the
// template.
func (a *accountReader) readOverrides(d *declaredService, overrides *inifile.Section) (upstreamParams, config.UpstreamState) {
	fallback := []*inifile.Section{d.section, d.kind, a.template.service}
	fields := inifile.NewFields(&a.problems, overrides, fallback...)
	params := readUpstreamParams(fields)
	// A missing value is reported for the section of the service.
	required := inifile.NewFields(&a.problems, d.section, append([]*inifile.Section{overrides}, fallback...)...)
	requireInt(required, "slots", inifile.Int(1, maxSlots))
	requireInt(required, "data-port", inifile.Int(1, maxPort))
	requireInt(required, "health-port", inifile.Int(1, maxPort))
	state := config.UpstreamActive
	active, draining := config.UpstreamActive.String(), config.UpstreamDraining.String()
	stateOnly := inifile.NewFields(&a.problems, overrides)
	if inifile.Get(stateOnly, "state", inifile.OneOf(active, draining), active) == draining {
		state = config.UpstreamDraining
	}
	// Has marks the key, which has no fallback and is read above, as known.
	fields.Has("state")
	fields.ReportOwnUnknown()
	return params, state
}

// requireInt reports a key that is in neither the section nor its fallbacks.
func requireInt(f *inifile.Fields, key string, rule inifile.Rule[int]) {
	if !f.Has(key) {
		inifile.Require(f, key, rule)
	}
}

// checkSection reports a section with an unknown name or an [upstream <name>]
// section of an undeclared upstream.
func (a *accountReader) checkSection(s *inifile.Section) {
	words := strings.Fields(s.Name)
	switch {
	case s.Name == sectionAccount:
	case words[0] == sectionService && len(words) == 2:
	case words[0] == sectionUpstreams && len(words) == 3:
	case words[0] == sectionUpstream && len(words) == 2:
		if !slices.ContainsFunc(a.upstreamNames, func(n declaredName) bool { return n.name == words[1] }) {
			a.reportUnknownSection(s, a.overrideSectionNames()...)
		}
	default:
		a.reportUnknownSection(s, sectionAccount, sectionService+" <name>", sectionUpstreams+" <service> <zone>", sectionUpstream+" <name>")
	}
}

func (a *accountReader) overrideSectionNames() []string {
	var names []string
	for _, n := range a.upstreamNames {
		names = append(names, sectionUpstream+" "+n.name)
	}
	return names
}

// addName returns the list with the name appended. It reports a name that is
// invalid or already in the list and returns the list unchanged then.
func (r *reader) addName(names []declaredName, name string, position inifile.Problem) []declaredName {
	if !inifile.ValidName(name) {
		position.Text = "name is not allowed; allowed: " + inifile.Name().Allowed
		r.problems.Add(position)
		return names
	}
	for _, n := range names {
		if n.name == name {
			position.Text = fmt.Sprintf("name is already declared at %s:%d; allowed: once", n.position.File, n.position.Line)
			r.problems.Add(position)
			return names
		}
	}
	return append(names, declaredName{name: name, position: position})
}

// sortedAccount returns the account with its services and upstreams sorted by
// name.
func (a *accountReader) sortedAccount() config.Account {
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
