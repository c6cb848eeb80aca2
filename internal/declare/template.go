package declare

import (
	"slices"
	"strings"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/inifile"
)

// Section names. The words after the first one name the object.
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

// Limits of the values in declarations.
const (
	maxRate        = 1e6
	maxBodyBytes   = 64 << 20
	maxQueue       = 100_000
	maxSlots       = 10_000
	maxConnections = 1_000_000
	maxSlowStart   = time.Hour
	minKeepKeys    = 2
	maxKeepKeys    = 16
	maxPort        = 1<<16 - 1
)

// Defaults where the template gives no value.
const (
	defaultMaxBody      = 64 << 10
	defaultQueueLimit   = 128
	defaultRetryPercent = 10
	defaultSlowStart    = 30 * time.Second
	defaultConnections  = 2000
	defaultKeepKeys     = 3
)

// template is the shared template.
type template struct {
	file    *inifile.File
	account *inifile.Section
	service *inifile.Section
	host    *inifile.Section
	kinds   []string
}

// serviceParams are the checked parameters of a service or of a kind of service.
type serviceParams struct {
	config   config.Service
	upstream upstreamParams
}

// upstreamParams are the checked parameters of an upstream.
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
		account: section(f, sectionAccount),
		service: section(f, sectionService),
		host:    section(f, sectionHost),
	}
	for _, s := range f.Sections {
		r.templateSection(s)
	}
	keys := inifile.NewFields(&r.problems, section(f, sectionKeys))
	r.set.KeepKeys = inifile.Get(keys, "keep", inifile.Int(minKeepKeys, maxKeepKeys), defaultKeepKeys)
	keys.ReportUnknown()
}

// templateSection checks a section of the template on its own, so that errors
// show also where no account uses it.
func (r *reader) templateSection(s *inifile.Section) {
	first, rest, _ := strings.Cut(s.Name, " ")
	fields := inifile.NewFields(&r.problems, s)
	switch {
	case s.Name == sectionAccount:
		readAccountLimits(fields, &config.Account{})
		fields.ReportUnknown()
	case s.Name == sectionService:
		readOptionalService(fields)
		fields.Has("kind")
		fields.ReportUnknown()
	case s.Name == sectionHost:
		readHostPorts(fields)
		fields.ReportUnknown()
	case first == sectionKind && inifile.ValidName(rest):
		r.template.kinds = append(r.template.kinds, rest)
		readOptionalService(fields)
		fields.ReportUnknown()
	case s.Name != sectionKeys:
		r.unknownSection(s, sectionAccount, sectionService, sectionHost, sectionKeys, sectionKind+" <name>")
	}
}

func readAccountLimits(f *inifile.Fields, a *config.Account) {
	rate := inifile.Float(0, maxRate)
	a.RequestRate = inifile.Get(f, "request-rate", rate, 0)
	a.FlowRate = inifile.Get(f, "flow-rate", rate, 0)
}

// readOptionalService reads the parameters that have a default.
func readOptionalService(f *inifile.Fields) serviceParams {
	p := serviceParams{}
	p.config.Priority = readPriority(f)
	p.config.MaxBody = uint32(inifile.Get(f, "max-body", inifile.Size(1, maxBodyBytes), defaultMaxBody))
	p.config.QueueLimit = inifile.Get(f, "queue-limit", inifile.Int(0, maxQueue), defaultQueueLimit)
	p.config.RequestRate = inifile.Get(f, "request-rate", inifile.Float(0, maxRate), 0)
	p.config.RetryPercent = inifile.Get(f, "retry-percent", inifile.Int(0, 100), defaultRetryPercent)
	p.config.SlowStart = inifile.Get(f, "slow-start", inifile.Duration(0, maxSlowStart), defaultSlowStart)
	p.upstream = readOptionalUpstream(f)
	return p
}

func readOptionalUpstream(f *inifile.Fields) upstreamParams {
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
