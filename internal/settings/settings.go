// Package settings reads the start-up settings of a host from an INI file: its
// name, addresses and availability zone, the URLs of the platform, and the
// options for datagram input, load polling and logging. The accepted
// configuration is not part of the settings; it comes from the platform's store.
package settings

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/inifile"
)

// Settings are the start-up settings of a host. They do not change while the
// process runs.
type Settings struct {
	Host     Host
	Platform Platform
	Fabric   Fabric
	Data     Data
	Load     Load
	Log      Log
}

// Host identifies the host and sets its limits.
type Host struct {
	Name string
	Zone string
	// Data is the address of the datagram sockets, Control that of the listener
	// for other hosts, and Admin that of metrics, health and state.
	Data    netip.AddrPort
	Control netip.AddrPort
	Admin   netip.AddrPort
	// Contacts are control addresses of other hosts. They let the host join when
	// it starts while the platform is unavailable.
	Contacts []netip.AddrPort
	// RequestRate is the number of requests per second that the host can handle as
	// the owner of their flows.
	RequestRate float64
	// Grace is the maximum time that a planned stop waits for running work.
	Grace time.Duration
	// PauseLimit is the shortest process pause after which the host starts a new
	// incarnation. A pause is detected as a jump of the clock.
	PauseLimit time.Duration
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	// Store is the base URL of the configuration store.
	Store string
	// Hosts is the URL of the list of hosts.
	Hosts string
}

// Fabric configures the platform's fabric, which delivers datagrams to an arbitrary
// host, each in an envelope with its original source.
type Fabric struct {
	// Sources are the source addresses of the fabric. Only from them is an envelope
	// of the fabric accepted.
	Sources []netip.Addr
}

// Data configures the reading of datagrams.
type Data struct {
	// Readers is the number of concurrent readers.
	Readers int
	// Batch is the maximum number of datagrams per system call. A batch of one
	// uses the calls for single datagrams.
	Batch int
	// ReusePort opens one socket per reader with SO_REUSEPORT; otherwise all
	// readers share one socket.
	ReusePort bool
	// Ring is the capacity, in datagrams, of the queues to the core and the writer.
	Ring int
}

// Load configures the polling of the upstreams' load endpoints.
type Load struct {
	// Interval is the shortest time between two polls of the same endpoint. Timeout
	// limits each poll.
	Interval time.Duration
	Timeout  time.Duration
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is FormatConsole or FormatJSON.
	Format string
	// SampleFirst is the number of lines with the same message that are written
	// per second; after that, one in SampleThen is written. Zero SampleFirst
	// disables sampling.
	SampleFirst int
	SampleThen  int
}

// Log formats.
const (
	FormatConsole = "console"
	FormatJSON    = "json"
)

// The default and the maximum of Host.RequestRate, in requests per second.
const (
	defaultRequestRate = 20_000
	maxRequestRate     = 1_000_000
)

// maxRing is the maximum of Data.Ring, in datagrams.
const maxRing = 1 << 20

// LoadFile reads the settings from a file. If the settings are invalid, the error
// is an inifile.Problems with all problems of the file.
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

// Parse parses the settings from the contents of a file. The name is used only in
// problems. If there are any, the settings must not be used.
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
	r.reportUnknownSections()
	r.problems.Sort()
	return s, r.problems
}

// reader reads the sections of a file.
type reader struct {
	file     *inifile.File
	problems inifile.Problems
	// known holds the names of the sections read so far.
	known []string
}

func (r *reader) fields(name string) *inifile.Fields {
	r.known = append(r.known, name)
	section := r.file.Section(name)
	if section == nil {
		section = r.file.EmptySection(name)
	}
	return inifile.NewFields(&r.problems, section)
}

func (r *reader) reportUnknownSections() {
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
		Store: inifile.Require(f, "store", httpURL()),
		Hosts: inifile.Require(f, "hosts", httpURL()),
	}
}

func (r *reader) fabric() Fabric {
	f := r.fields("fabric")
	defer f.ReportUnknown()
	return Fabric{Sources: inifile.Require(f, "sources", inifile.List(ipAddress()))}
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
