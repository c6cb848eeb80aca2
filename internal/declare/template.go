package declare

import (
	"slices"
	"strings"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/inifile"
)

// Section types. The type is the first word of a section name; the words after it
// name the object.
const (
	sectionAccount   = "account"
	sectionService   = "service"
	sectionKind      = "kind"
	sectionUpstreams = "upstreams"
	sectionUpstream  = "upstream"
	sectionHosts     = "hosts"
	sectionHost      = "host"
	sectionKeys      = "keys"
)

// Maximum and minimum values of parameters. Rates are per second.
const (
	maxRate        = 1e6
	maxBodyBytes   = 64 << 20
	maxQueueLimit  = 100_000
	maxSlots       = 10_000
	maxConnections = 1_000_000
	maxSlowStart   = time.Hour
	minKeepKeys    = 2
	maxKeepKeys    = 16
	maxPort        = 1<<16 - 1
)

// Default values of parameters that no section sets.
const (
	defaultMaxBody      = 64 << 10
	defaultQueueLimit   = 128
	defaultRetryPercent = 10
	defaultSlowStart    = 30 * time.Second
	defaultConnections  = 2000
	defaultKeepKeys     = 3
)

// template is the parsed template, with an empty section in place of each missing
// one.
type template struct {
	file    *inifile.File
	account *inifile.Section
	service *inifile.Section
	host    *inifile.Section
	// kinds holds the names of the [kind <name>] sections.
	kinds []string
}

// serviceParams are the parameters of a service or of a kind of service.
type serviceParams struct {
	config   config.Service
	upstream upstreamParams
}

// upstreamParams are the parameters of an upstream. Slots and ports are zero if no
// section sets them.
type upstreamParams struct {
	slots, connections   int
	dataPort, healthPort int
}

func (r *reader) readTemplate(files []File) {
	at := slices.IndexFunc(files, func(f File) bool { return f.Path == TemplatePath })
	if at < 0 {
		r.problems.Add(inifile.Problem{File: TemplatePath, Text: "file is missing"})
		files, at = []File{{Path: TemplatePath}}, 0
	}
	f := r.parse(files[at])
	r.template = &template{
		file:    f,
		account: sectionOrEmpty(f, sectionAccount),
		service: sectionOrEmpty(f, sectionService),
		host:    sectionOrEmpty(f, sectionHost),
	}
	for _, s := range f.Sections {
		r.readTemplateSection(s)
	}
	keys := inifile.NewFields(&r.problems, sectionOrEmpty(f, sectionKeys))
	r.set.KeepKeys = inifile.Get(keys, "keep", inifile.Int(minKeepKeys, maxKeepKeys), defaultKeepKeys)
	keys.ReportUnknown()
}

// readTemplateSection validates a section of the template and records the name of
// a kind. Sections are validated separately, so that errors are reported even if
// no account uses the section.
func (r *reader) readTemplateSection(s *inifile.Section) {
	first, name, _ := strings.Cut(s.Name, " ")
	fields := inifile.NewFields(&r.problems, s)
	switch {
	case s.Name == sectionAccount:
		readAccountLimits(fields, &config.Account{})
		fields.ReportUnknown()
	case s.Name == sectionService:
		readServiceParams(fields)
		// Has marks the key as known. The kind is validated with each service that has it.
		fields.Has("kind")
		fields.ReportUnknown()
	case s.Name == sectionHost:
		readHostPorts(fields)
		fields.ReportUnknown()
	case first == sectionKind && inifile.ValidName(name):
		r.template.kinds = append(r.template.kinds, name)
		readServiceParams(fields)
		fields.ReportUnknown()
	case s.Name != sectionKeys:
		r.reportUnknownSection(s, sectionAccount, sectionService, sectionHost, sectionKeys, sectionKind+" <name>")
	}
}

func readAccountLimits(f *inifile.Fields, a *config.Account) {
	rate := inifile.Float(0, maxRate)
	a.RequestRate = inifile.Get(f, "request-rate", rate, 0)
	a.FlowRate = inifile.Get(f, "flow-rate", rate, 0)
}

// readServiceParams reads the parameters of a service, with defaults for missing
// ones.
func readServiceParams(f *inifile.Fields) serviceParams {
	p := serviceParams{}
	p.config.Priority = readPriority(f)
	p.config.MaxBody = uint32(inifile.Get(f, "max-body", inifile.Size(1, maxBodyBytes), defaultMaxBody))
	p.config.QueueLimit = inifile.Get(f, "queue-limit", inifile.Int(0, maxQueueLimit), defaultQueueLimit)
	p.config.RequestRate = inifile.Get(f, "request-rate", inifile.Float(0, maxRate), 0)
	p.config.RetryPercent = inifile.Get(f, "retry-percent", inifile.Int(0, 100), defaultRetryPercent)
	p.config.SlowStart = inifile.Get(f, "slow-start", inifile.Duration(0, maxSlowStart), defaultSlowStart)
	p.upstream = readUpstreamParams(f)
	return p
}

func readUpstreamParams(f *inifile.Fields) upstreamParams {
	port := inifile.Int(1, maxPort)
	return upstreamParams{
		slots:       inifile.Get(f, "slots", inifile.Int(1, maxSlots), 0),
		connections: inifile.Get(f, "connections", inifile.Int(1, maxConnections), defaultConnections),
		dataPort:    inifile.Get(f, "data-port", port, 0),
		healthPort:  inifile.Get(f, "health-port", port, 0),
	}
}

func readPriority(f *inifile.Fields) config.Priority {
	var words []string
	for p := range config.PriorityCount {
		words = append(words, p.String())
	}
	word := inifile.Get(f, "priority", inifile.OneOf(words...), config.PriorityNormal.String())
	return config.Priority(slices.Index(words, word))
}
