// Package session joins the decision cores of hosts, callers and upstreams by
// an in-memory network in virtual time. A script makes the network lose,
// duplicate, delay, reorder and cut, and hosts and upstreams freeze, die, stop
// and restart. The same script and seed give the same transcript. It is support
// for tests.
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

// Faults of the network, as probabilities and times for each datagram.
type Faults struct {
	Loss      float64
	Duplicate float64
	// DuplicateDelay is the largest extra delay of a second copy.
	DuplicateDelay time.Duration
	// Jitter is the largest extra delay of each datagram; it reorders.
	Jitter time.Duration
}

// Settings are fixed for the life of a world.
type Settings struct {
	Seed uint64
	// Hosts holds names and availability zones of the hosts.
	Hosts []HostSpec
	// Snapshot is the configuration at the start.
	Snapshot *config.Snapshot
	// Detect is the time until a host's death or return is seen; each host sees
	// it after half to one and a half of it.
	Detect time.Duration
	// ServiceTime is the time that an upstream takes for a request.
	ServiceTime time.Duration
	// AnswerSize is the size of an answer, in bytes.
	AnswerSize int
	// Feed is the time between two stream messages; zero is no feed.
	Feed time.Duration
	// Faults are in force from the start.
	Faults Faults
	// Transcript turns the transcript on.
	Transcript bool
}

// HostSpec names a host.
type HostSpec struct {
	Name string
	Zone string
}

// Delays of a datagram between two places.
const (
	delayInside = 500 * time.Microsecond
	delayCaller = 3 * time.Millisecond
)

// reportInterval is the time between two load reports of an upstream.
const reportInterval = time.Second

// Simulation is a session. It is not safe for concurrent use.
type Simulation struct {
	// Faults may be changed by the script.
	Faults Faults

	settings  Settings
	clock     virtualtime.Queue
	random    *rand.Rand
	hosts     []*Host
	upstreams []*Upstream
	callers   []*Caller
	places    map[netip.AddrPort]place
	fabric    []*Host
	cuts      map[[2]string]bool
	snapshot  *config.Snapshot
	version   int
	// labels maps the requests that callers sent to their labels.
	labels     map[requestKey]string
	orders     []*Order
	transcript transcript
}

// place is something that takes datagrams at an address.
type place interface {
	name() string
	zone() string
	receive(data []byte)
}

// New returns a world whose hosts and upstreams run.
func New(s Settings) *Simulation {
	w := &Simulation{
		Faults:   s.Faults,
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		places:   make(map[netip.AddrPort]place),
		cuts:     make(map[[2]string]bool),
		snapshot: s.Snapshot,
		labels:   make(map[requestKey]string),
	}
	w.transcript.on = s.Transcript
	for i, spec := range s.Hosts {
		w.addHost(spec, i)
	}
	w.addUpstreams(s.Snapshot)
	w.fabric = append(w.fabric, w.hosts...)
	for _, h := range w.hosts {
		h.start(1)
	}
	for _, h := range w.hosts {
		h.refresh()
	}
	return w
}

// Now returns the virtual time.
func (w *Simulation) Now() time.Duration { return w.clock.Now() }

// At plans a step of the script.
func (w *Simulation) At(at time.Duration, do func()) { w.clock.At(at, do) }

func (w *Simulation) after(d time.Duration, do func()) { w.clock.After(d, do) }

// Run plays the session up to the given time.
func (w *Simulation) Run(until time.Duration) { w.clock.RunUntil(until) }

// every repeats a step for as long as it returns true.
func (w *Simulation) every(d time.Duration, do func() bool) { w.clock.While(d, do) }

// between returns a random time in the interval.
func (w *Simulation) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *Simulation) chance(p float64) bool { return p > 0 && w.random.Float64() < p }

// send carries a datagram from one place to another under the faults in force.
func (w *Simulation) send(from place, to netip.AddrPort, data []byte) {
	target := w.places[to]
	if target == nil {
		w.transcript.packet(w, from, "nobody", data, "no such address")
		return
	}
	if w.cut(from.zone(), target.zone()) {
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
		w.deliver(from, target, data, w.between(0, w.Faults.DuplicateDelay))
	}
}

func (w *Simulation) deliver(from, target place, data []byte, extra time.Duration) {
	delay := delayInside
	if from.zone() == "" || target.zone() == "" {
		delay = delayCaller
	}
	copied := append([]byte(nil), data...)
	w.after(delay+extra+w.between(0, w.Faults.Jitter), func() { target.receive(copied) })
}

// spray hands a datagram to any host, as the fabric does.
func (w *Simulation) spray(from place, source netip.AddrPort, p wire.Packet) {
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

// Partition separates two availability zones; callers reach both through the fabric.
func (w *Simulation) Partition(a, b string) {
	w.transcript.line(w, "zones %s and %s are cut off from each other", a, b)
	w.cuts[[2]string{a, b}] = true
	w.cuts[[2]string{b, a}] = true
	w.refreshLater(w.settings.Detect)
}

// Heal joins all availability zones again.
func (w *Simulation) Heal() {
	w.transcript.line(w, "all zones are joined again")
	clear(w.cuts)
	w.refreshLater(w.settings.Detect)
}

func (w *Simulation) cut(a, b string) bool { return w.cuts[[2]string{a, b}] }

// Publish puts a configuration into force on each host after a random time up
// to the spread.
func (w *Simulation) Publish(snap *config.Snapshot, spread time.Duration) {
	w.snapshot = snap
	w.version++
	version := w.version
	w.addUpstreams(snap)
	for _, h := range w.hosts {
		w.after(w.between(0, spread), func() { h.setSnapshot(version, snap) })
	}
}

// Host returns the host with the given name.
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

// Upstream returns the upstream with the given id.
func (w *Simulation) Upstream(id ids.UpstreamID) *Upstream {
	for _, u := range w.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// Upstreams returns all upstreams.
func (w *Simulation) Upstreams() []*Upstream { return w.upstreams }
