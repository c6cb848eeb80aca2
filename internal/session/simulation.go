// Package session simulates sessions for tests and measurements. It connects the
// state machines of hosts (package hostcore), callers (callercore) and upstreams
// (standin/upstream) by an in-memory network in virtual time. The script, a series
// of calls and scheduled steps, injects packet loss, duplication, delay, reordering
// and partitions, and makes hosts and upstreams freeze, crash, stop and restart. The
// same script and seed give the same transcript.
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

// Faults are the faults of the network. They apply to each datagram
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

// Settings configure a simulation.
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
	// Faults are the faults in effect. The script may change them.
	Faults Faults

	settings  Settings
	clock     virtualtime.Queue
	random    *rand.Rand
	hosts     []*Host
	upstreams []*Upstream
	callers   []*Caller
	endpoints map[netip.AddrPort]endpoint
	// fabric holds the hosts to which the fabric delivers datagrams.
	fabric     []*Host
	partitions map[[2]string]bool
	// snapshot is the latest configuration; version is the number of those published.
	snapshot *config.Snapshot
	version  int
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
	sim := &Simulation{
		Faults:     s.Faults,
		settings:   s,
		random:     rand.New(rand.NewPCG(s.Seed, 1)),
		endpoints:  make(map[netip.AddrPort]endpoint),
		partitions: make(map[[2]string]bool),
		snapshot:   s.Snapshot,
		labels:     make(map[requestKey]string),
	}
	sim.transcript.enabled = s.Transcript
	for i, spec := range s.Hosts {
		sim.addHost(spec, i)
	}
	sim.addUpstreams(s.Snapshot)
	sim.fabric = append(sim.fabric, sim.hosts...)
	for _, h := range sim.hosts {
		h.start(1)
	}
	for _, h := range sim.hosts {
		h.refreshTable()
	}
	return sim
}

// Now returns the current virtual time.
func (sim *Simulation) Now() time.Duration { return sim.clock.Now() }

// At schedules a step of the script.
func (sim *Simulation) At(at time.Duration, do func()) { sim.clock.At(at, do) }

func (sim *Simulation) after(d time.Duration, do func()) { sim.clock.After(d, do) }

// Run advances the simulation to the given time.
func (sim *Simulation) Run(until time.Duration) { sim.clock.RunUntil(until) }

// every repeats a step at an interval until it returns false.
func (sim *Simulation) every(d time.Duration, do func() bool) { sim.clock.While(d, do) }

// randomDuration returns a random duration in [low, high), or low if the interval is
// empty.
func (sim *Simulation) randomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(sim.random.Int64N(int64(high-low)))
}

func (sim *Simulation) chance(p float64) bool { return p > 0 && sim.random.Float64() < p }

// send sends a datagram to an address, subject to partitions and the faults in effect.
func (sim *Simulation) send(from endpoint, to netip.AddrPort, data []byte) {
	target := sim.endpoints[to]
	if target == nil {
		sim.transcript.packet(sim, from, "nobody", data, "no such address")
		return
	}
	if sim.partitioned(from.zone(), target.zone()) {
		sim.transcript.packet(sim, from, target.name(), data, "cut off")
		return
	}
	if sim.chance(sim.Faults.Loss) {
		sim.transcript.packet(sim, from, target.name(), data, "lost")
		return
	}
	sim.transcript.packet(sim, from, target.name(), data, "")
	sim.deliver(from, target, data, 0)
	if sim.chance(sim.Faults.Duplicate) {
		sim.deliver(from, target, data, sim.randomDuration(0, sim.Faults.DuplicateDelay))
	}
}

func (sim *Simulation) deliver(from, target endpoint, data []byte, extra time.Duration) {
	delay := delayInside
	if from.zone() == "" || target.zone() == "" {
		delay = delayCaller
	}
	copied := append([]byte(nil), data...)
	sim.after(delay+extra+sim.randomDuration(0, sim.Faults.Jitter), func() { target.receive(copied) })
}

// sendViaFabric delivers a datagram to a random host, as the fabric does.
func (sim *Simulation) sendViaFabric(from endpoint, source netip.AddrPort, p wire.Packet) {
	if len(sim.fabric) == 0 {
		return
	}
	h := sim.fabric[sim.random.IntN(len(sim.fabric))]
	env := wire.Envelope{Origin: wire.OriginFabric, Source: source}
	sim.send(from, h.address, wrap(env, p))
}

func wrap(env wire.Envelope, p wire.Packet) []byte {
	data := make([]byte, wire.EnvelopeSize+len(p))
	env.Put(data)
	copy(data[wire.EnvelopeSize:], p)
	return data
}

// Partition partitions two availability zones from each other. Callers still reach both
// through the fabric.
func (sim *Simulation) Partition(a, b string) {
	sim.transcript.line(sim, "zones %s and %s are cut off from each other", a, b)
	sim.partitions[[2]string{a, b}] = true
	sim.partitions[[2]string{b, a}] = true
	sim.scheduleRefresh(sim.settings.DetectionDelay)
}

// Heal removes all partitions.
func (sim *Simulation) Heal() {
	sim.transcript.line(sim, "all zones are joined again")
	clear(sim.partitions)
	sim.scheduleRefresh(sim.settings.DetectionDelay)
}

func (sim *Simulation) partitioned(a, b string) bool { return sim.partitions[[2]string{a, b}] }

// Publish distributes a configuration: each host applies it after a random delay of
// at most spread. Upstreams that are new in it start immediately.
func (sim *Simulation) Publish(snap *config.Snapshot, spread time.Duration) {
	sim.snapshot = snap
	sim.version++
	version := sim.version
	sim.addUpstreams(snap)
	for _, h := range sim.hosts {
		sim.after(sim.randomDuration(0, spread), func() { h.setSnapshot(version, snap) })
	}
}

// Host returns the host with the given name, or nil.
func (sim *Simulation) Host(name string) *Host {
	for _, h := range sim.hosts {
		if h.spec.Name == name {
			return h
		}
	}
	return nil
}

// Hosts returns all hosts.
func (sim *Simulation) Hosts() []*Host { return sim.hosts }

// Upstream returns the upstream with the given id, or nil.
func (sim *Simulation) Upstream(id ids.UpstreamID) *Upstream {
	for _, u := range sim.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// Upstreams returns all upstreams, including those removed from the configuration.
func (sim *Simulation) Upstreams() []*Upstream { return sim.upstreams }
