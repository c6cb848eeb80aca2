// Package session simulates sessions for tests and measurements. It connects the
// decision cores of hosts, callers and upstreams by an in-memory network in virtual
// time. A script injects packet loss, duplication, delay, reordering and partitions,
// and makes hosts and upstreams freeze, crash, stop and restart. The same script and
// seed give the same transcript.
package session

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/virtualtime"
	"mimosashore.example/mimosashore/internal/wire"
)

// Faults configures the faults of the network. They apply to each datagram
// independently.
type Faults struct {
	// Loss is the probability that a datagram is lost.
	Loss float64
	// Duplicate is the probability that a second copy of a datagram is delivered.
	Duplicate float64
	// DuplicateDelay is the maximum additional delay of the second copy.
	DuplicateDelay time.Duration
	// Jitter is the maximum additional delay of a datagram. It causes reordering.
	Jitter time.Duration
}

// Settings configures a simulation.
type Settings struct {
	Seed uint64
	// Hosts lists the hosts.
	Hosts []HostSpec
	// Snapshot is the initial configuration.
	Snapshot *config.Snapshot
	// DetectionDelay is the mean time until the other hosts and the fabric detect that
	// a host failed or returned. Each detects it after 0.5 to 1.5 times the mean.
	DetectionDelay time.Duration
	// ServiceTime is the time that an upstream takes to run a request.
	ServiceTime time.Duration
	// AnswerSize is the size of each answer, in bytes.
	AnswerSize int
	// FeedInterval is the interval between two stream messages; zero disables them.
	FeedInterval time.Duration
	// Faults are the initial faults of the network.
	Faults Faults
	// Transcript enables recording of the transcript.
	Transcript bool
}

// HostSpec is the name and availability zone of a host.
type HostSpec struct {
	Name string
	Zone string
}

// Minimum one-way delays of a datagram.
const (
	// delayInside applies between hosts and upstreams.
	delayInside = 500 * time.Microsecond
	// delayCaller applies from and to callers.
	delayCaller = 3 * time.Millisecond
)

// reportInterval is the interval between two load reports of an upstream.
const reportInterval = time.Second

// Simulation is one simulation of hosts, upstreams, callers and the network between them.
// It is not safe for concurrent use.
type Simulation struct {
	// Faults are the present faults of the network. The script may change them.
	Faults Faults

	settings   Settings
	clock      virtualtime.Queue
	random     *rand.Rand
	hosts      []*Host
	upstreams  []*Upstream
	callers    []*Caller
	endpoints  map[netip.AddrPort]endpoint
	fabric     []*Host
	partitions map[[2]string]bool
	snapshot   *config.Snapshot
	version    int
	// labels holds the label of each request that a caller sent.
	labels     map[requestKey]string
	requests   []*Request
	transcript transcript
}

// endpoint is a receiver of datagrams: a host, an upstream or a caller.
type endpoint interface {
	name() string
	zone() string
	receive(data []byte)
}

// New returns a simulation at time zero with all hosts and upstreams running.
func New(s Settings) *Simulation {
	w := &Simulation{
		Faults:     s.Faults,
		settings:   s,
		random:     rand.New(rand.NewPCG(s.Seed, 1)),
		endpoints:  make(map[netip.AddrPort]endpoint),
		partitions: make(map[[2]string]bool),
		snapshot:   s.Snapshot,
		labels:     make(map[requestKey]string),
	}
	w.transcript.enabled = s.Transcript
	for i, spec := range s.Hosts {
		w.addHost(spec, i)
	}
	w.addUpstreams(s.Snapshot)
	w.fabric = append(w.fabric, w.hosts...)
	for _, h := range w.hosts {
		h.start(1)
	}
	for _, h := range w.hosts {
		h.refreshTable()
	}
	return w
}

// Now returns the current virtual time.
func (w *Simulation) Now() time.Duration { return w.clock.Now() }

// At schedules a step of the script.
func (w *Simulation) At(at time.Duration, do func()) { w.clock.At(at, do) }

func (w *Simulation) after(d time.Duration, do func()) { w.clock.After(d, do) }

// Run advances the simulation to the given time.
func (w *Simulation) Run(until time.Duration) { w.clock.RunUntil(until) }

// every repeats a step at an interval until it returns false.
func (w *Simulation) every(d time.Duration, do func() bool) { w.clock.While(d, do) }

// randomDuration returns a random duration in [low, high), or low if the interval is
// empty.
func (w *Simulation) randomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *Simulation) chance(p float64) bool { return p > 0 && w.random.Float64() < p }

// send sends a datagram to an address, subject to partitions and the present faults.
func (w *Simulation) send(from endpoint, to netip.AddrPort, data []byte) {
	target := w.endpoints[to]
	if target == nil {
		w.transcript.packet(w, from, "nobody", data, "no such address")
		return
	}
	if w.partitioned(from.zone(), target.zone()) {
		w.transcript.packet(w, from, target.name(), data, "cut off")
		return
	}
	if w.chance(w.Faults.Loss) {
		w.transcript.packet(w, from, target.name(), data, "lost")
		return
	}
	w.transcript.packet(w, from, target.name(), data, "")
	w.deliver(from, target, data, 0)
	if w.chance(w.Faults.Duplicate) {
		w.deliver(from, target, data, w.randomDuration(0, w.Faults.DuplicateDelay))
	}
}

func (w *Simulation) deliver(from, target endpoint, data []byte, extra time.Duration) {
	delay := delayInside
	if from.zone() == "" || target.zone() == "" {
		delay = delayCaller
	}
	copied := append([]byte(nil), data...)
	w.after(delay+extra+w.randomDuration(0, w.Faults.Jitter), func() { target.receive(copied) })
}

// sendViaFabric delivers a datagram to a random host, as the fabric does.
func (w *Simulation) sendViaFabric(from endpoint, source netip.AddrPort, p wire.Packet) {
	if len(w.fabric) == 0 {
		return
	}
	h := w.fabric[w.random.IntN(len(w.fabric))]
	env := wire.Envelope{Origin: wire.OriginFabric, Source: source}
	w.send(from, h.address, wrap(env, p))
}

func wrap(env wire.Envelope, p wire.Packet) []byte {
	data := make([]byte, wire.EnvelopeSize+len(p))
	env.Put(data)
	copy(data[wire.EnvelopeSize:], p)
	return data
}

// Partition partitions two availability zones from each other. Callers still reach both
// through the fabric.
func (w *Simulation) Partition(a, b string) {
	w.transcript.line(w, "zones %s and %s are cut off from each other", a, b)
	w.partitions[[2]string{a, b}] = true
	w.partitions[[2]string{b, a}] = true
	w.scheduleRefresh(w.settings.DetectionDelay)
}

// Heal removes all partitions.
func (w *Simulation) Heal() {
	w.transcript.line(w, "all zones are joined again")
	clear(w.partitions)
	w.scheduleRefresh(w.settings.DetectionDelay)
}

func (w *Simulation) partitioned(a, b string) bool { return w.partitions[[2]string{a, b}] }

// Publish distributes a configuration: each host applies it after a random delay of
// at most spread. Upstreams that are new in it start immediately.
func (w *Simulation) Publish(snap *config.Snapshot, spread time.Duration) {
	w.snapshot = snap
	w.version++
	version := w.version
	w.addUpstreams(snap)
	for _, h := range w.hosts {
		w.after(w.randomDuration(0, spread), func() { h.setSnapshot(version, snap) })
	}
}

// Host returns the host with the given name, or nil.
func (w *Simulation) Host(name string) *Host {
	for _, h := range w.hosts {
		if h.spec.Name == name {
			return h
		}
	}
	return nil
}

// Hosts returns all hosts.
func (w *Simulation) Hosts() []*Host { return w.hosts }

// Upstream returns the upstream with the given id, or nil.
func (w *Simulation) Upstream(id ids.UpstreamID) *Upstream {
	for _, u := range w.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// Upstreams returns all upstreams, including those removed from the configuration.
func (w *Simulation) Upstreams() []*Upstream { return w.upstreams }
