// Package settings reads the start-up settings of a host: its name, addresses
// and availability zone, where the platform is, and how it reads datagrams and
// writes logs. The accepted configuration is apart from them and comes from
// the platform's store.
package settings

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/inifile"
)

// Settings are fixed for the life of a host process.
type Settings struct {
	Host     Host
	Platform Platform
	Fabric   Fabric
	Data     Data
	Load     Load
	Log      Log
}

// Host is the identity of the host.
type Host struct {
	Name string
	Zone string
	// Data is the address of the datagram sockets, Control of the listener for
	// other hosts and Admin of metrics, health and state.
	Data    netip.AddrPort
	Control netip.AddrPort
	Admin   netip.AddrPort
	// Contacts are control addresses of other hosts, for a start without the platform.
	Contacts []netip.AddrPort
	// RequestRate is the number of requests a second that the host can own.
	RequestRate float64
	// Grace is the longest time that a planned stop waits for running work.
	Grace time.Duration
	// PauseLimit is the jump of the clock after which the host takes itself for
	// paused and begins a new incarnation.
	PauseLimit time.Duration
}

// Platform says where the platform's services are.
type Platform struct {
	// Store is the base URL of the configuration store.
	Store string
	// Hosts is the URL of the list of hosts.
	Hosts string
}

// Fabric says whose envelopes are accepted.
type Fabric struct {
	Sources []netip.Addr
}

// Data says how datagrams are read.
type Data struct {
	Readers int
	// Batch is the number of datagrams of one call; one uses the plain calls.
	Batch     int
	ReusePort bool
	// Ring is the number of datagrams that may wait for the core or the writer.
	Ring int
}

// Load says how the load endpoints of upstreams are asked.
type Load struct {
	Interval time.Duration
	Timeout  time.Duration
}

// Log says which lines are written and how.
type Log struct {
	Level  string
	Format string
	// SampleFirst lines of one text are written each second, then one of
	// SampleThen; zero SampleFirst writes all.
	SampleFirst int
	SampleThen  int
}

// The formats of the log.
const (
	FormatConsole = "console"
	FormatJSON    = "json"
)

// The number of requests a second that one host may own.
const (
	defaultRequestRate = 20_000
	maxRequestRate     = 1_000_000
)

// maxRing is the largest ring, in datagrams.
const maxRing = 1 << 20

// LoadFile reads the settings from a file. The error lists all problems.
func LoadFile(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings can't be read")
	}
	s, problems := Parse(path, data)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse reads the settings from the text of a file. The name is used in
// problems only.
func Parse(name string, data []byte) (*Settings, inifile.Problems) {
	file, problems := inifile.Parse(name, data)
	r := &reader{file: file, problems: problems}
	s := &Settings{
		Host:     r.host(),
		Platform: r.platform(),
		Fabric:   r.fabric(),
		Data:     r.data(),
		Load:     r.load(),
		Log:      r.log(),
	}
	r.unknownSections()
	r.problems.Sort()
	return s, r.problems
}

// reader reads the sections of a file and remembers their names.
type reader struct {
	file     *inifile.File
	problems inifile.Problems
	known    []string
}

func (r *reader) fields(name string) *inifile.Fields {
	r.known = append(r.known, name)
	section := r.file.Section(name)
	if section == nil {
		section = r.file.EmptySection(name)
	}
	return inifile.NewFields(&r.problems, section)
}

func (r *reader) unknownSections() {
	for _, s := range r.file.Sections {
		if !slices.Contains(r.known, s.Name) {
			r.problems.Add(s.Problem("", "is not known; "+inifile.Suggest(s.Name, r.known)))
		}
	}
}

func (r *reader) host() Host {
	f := r.fields("host")
	defer f.ReportUnknown()
	return Host{
		Name:        inifile.Require(f, "name", inifile.Name()),
		Zone:        inifile.Require(f, "zone", inifile.Name()),
		Data:        inifile.Require(f, "data", inifile.Address()),
		Control:     inifile.Require(f, "control", inifile.Address()),
		Admin:       inifile.Require(f, "admin", inifile.Address()),
		Contacts:    inifile.Get(f, "contacts", inifile.List(inifile.Address()), nil),
		RequestRate: inifile.Get(f, "request-rate", inifile.Float(1, maxRequestRate), defaultRequestRate),
		Grace:       inifile.Get(f, "grace", inifile.Duration(0, time.Hour), 20*time.Second),
		PauseLimit:  inifile.Get(f, "pause-limit", inifile.Duration(100*time.Millisecond, time.Minute), 2*time.Second),
	}
}

func (r *reader) platform() Platform {
	f := r.fields("platform")
	defer f.ReportUnknown()
	return Platform{
		Store: inifile.Require(f, "store", baseURL()),
		Hosts: inifile.Require(f, "hosts", baseURL()),
	}
}

func (r *reader) fabric() Fabric {
	f := r.fields("fabric")
	defer f.ReportUnknown()
	return Fabric{Sources: inifile.Require(f, "sources", inifile.List(ipNumber()))}
}

func (r *reader) data() Data {
	f := r.fields("data")
	defer f.ReportUnknown()
	return Data{
		Readers:   inifile.Get(f, "readers", inifile.Int(1, 64), 2),
		Batch:     inifile.Get(f, "batch", inifile.Int(1, 1024), 32),
		ReusePort: inifile.Get(f, "reuse-port", inifile.Bool(), true),
		Ring:      inifile.Get(f, "ring", inifile.Int(16, maxRing), 4096),
	}
}

func (r *reader) load() Load {
	f := r.fields("load")
	defer f.ReportUnknown()
	return Load{
		Interval: inifile.Get(f, "interval", inifile.Duration(50*time.Millisecond, time.Minute), time.Second),
		Timeout:  inifile.Get(f, "timeout", inifile.Duration(10*time.Millisecond, time.Minute), 500*time.Millisecond),
	}
}

func (r *reader) log() Log {
	f := r.fields("log")
	defer f.ReportUnknown()
	return Log{
		Level:       inifile.Get(f, "level", inifile.OneOf("debug", "info", "warn", "error"), "info"),
		Format:      inifile.Get(f, "format", inifile.OneOf(FormatConsole, FormatJSON), FormatConsole),
		SampleFirst: inifile.Get(f, "sample-first", inifile.Int(0, 1_000_000), 0),
		SampleThen:  inifile.Get(f, "sample-then", inifile.Int(1, 1_000_000), 100),
	}
}
