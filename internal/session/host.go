package session

import (
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/forward"
	"mimosashore.example/mimosashore/internal/hostcore"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

const (
	// maxBuffered is the number of datagrams that wait at a frozen host.
	maxBuffered = 512
	// pauseLimit is the pause after which a host takes a new incarnation.
	pauseLimit = time.Second
	// announceTime is the time in which a planned stop is known to all hosts.
	announceTime = 50 * time.Millisecond
)

// Host is one host: the routing of package forward and a decision core.
type Host struct {
	world    *Simulation
	spec     HostSpec
	address  netip.AddrPort
	instance ids.Instance
	core     *hostcore.Core
	table    *table.Table
	snap     *config.Snapshot
	version  int
	// started is the time of the start, which the core's time counts from.
	started time.Duration
	state   member.State
	frozen  bool
	frozeAt time.Duration
	buffer  [][]byte
	out     hostcore.Effects
	// drops counts datagrams that routing dropped.
	drops [forward.ReasonCount]int
}

func (w *Simulation) addHost(spec HostSpec, i int) {
	h := &Host{
		world:   w,
		spec:    spec,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7400),
		state:   member.StateDead,
		snap:    w.snapshot,
	}
	w.hosts = append(w.hosts, h)
	w.places[h.address] = h
}

func (h *Host) name() string { return h.spec.Name }
func (h *Host) zone() string { return h.spec.Zone }

// Drops returns the number of datagrams that routing dropped for the reason.
func (h *Host) Drops(r forward.Reason) int { return h.drops[r] }

// Core returns the decision core.
func (h *Host) Core() *hostcore.Core { return h.core }

// Running tells whether the process of the host runs.
func (h *Host) Running() bool { return h.state != member.StateDead }

func (h *Host) start(incarnation ids.Incarnation) {
	w := h.world
	h.instance = ids.Instance{Host: ids.HostIDOf(h.spec.Name), Incarnation: incarnation}
	h.core = hostcore.New(hostcore.Settings{
		Self: h.instance, Name: h.spec.Name, Zone: h.spec.Zone, Seed: w.settings.Seed,
	})
	h.started = w.Now()
	h.state = member.StateLive
	h.frozen = false
	h.buffer = nil
	h.snap, h.version = w.snapshot, w.version
	w.transcript.nameHost(h)
	instance := h.instance
	w.every(hostcore.TickInterval, func() bool { return h.tick(instance.Incarnation) })
	w.every(reportInterval, func() bool { return h.pollUpstreams(instance.Incarnation) })
}

// time returns the core's time.
func (h *Host) time() time.Duration { return h.world.Now() - h.started }

// same tells whether the process that began with the incarnation still runs. A
// process keeps its first incarnation number as its lower bound.
func (h *Host) same(first ids.Incarnation) bool {
	return h.Running() && h.instance.Incarnation/processIncarnations == first/processIncarnations
}

// processIncarnations is the number of incarnations that one process can take.
const processIncarnations = 1000

func (h *Host) tick(first ids.Incarnation) bool {
	if !h.same(first) {
		return false
	}
	if !h.frozen {
		h.core.Tick(h.time(), &h.out)
		h.carryOut()
	}
	return true
}

func (h *Host) pollUpstreams(first ids.Incarnation) bool {
	if !h.same(first) {
		return false
	}
	if h.frozen {
		return true
	}
	for _, u := range h.world.upstreams {
		if !u.running || h.world.cut(h.zone(), u.zone()) {
			continue
		}
		load := u.core.Load()
		h.core.Report(h.time(), u.service, placement.Report{
			Upstream:    u.id,
			Healthy:     load.Healthy,
			Leaving:     u.Leaving,
			Running:     load.Running,
			Connections: load.Connections,
			Incarnation: load.Incarnation,
		}, &h.out)
	}
	h.carryOut()
	return true
}

// receive takes in a datagram as the shell of a host does.
func (h *Host) receive(data []byte) {
	switch {
	case !h.Running():
		return
	case h.frozen:
		if len(h.buffer) < maxBuffered {
			h.buffer = append(h.buffer, data)
		}
		return
	}
	env, rest, ok := wire.ParseEnvelope(data)
	if !ok || wire.Check(rest) != wire.OK {
		h.drops[forward.ReasonMalformed]++
		return
	}
	p := wire.Packet(rest)
	d := forward.Route(h.table, env, p)
	switch d.Action {
	case forward.ActionDrop:
		h.drops[d.Reason]++
		h.world.transcript.line(h.world, "%s drops %s: %s", h.name(), p.Kind(), d.Reason)
	case forward.ActionSend:
		h.world.send(h, d.To, p)
	case forward.ActionRelay:
		h.relay(d.To, env, p)
	case forward.ActionCore:
		h.core.Packet(h.time(), env, p, &h.out)
	}
	h.tellOwner(d, env, p)
	h.carryOut()
}

func (h *Host) relay(to netip.AddrPort, env wire.Envelope, p wire.Packet) {
	env.Origin = wire.OriginRelay
	env.Relays++
	h.world.send(h, to, wrap(env, p))
}

// tellOwner tells the owner of the end of an answer or of a flow.
func (h *Host) tellOwner(d forward.Decision, env wire.Envelope, p wire.Packet) {
	if !d.NotifyOwner.IsValid() && !d.NotifyCore {
		return
	}
	head := wire.Packet(slices.Clone(p[:wire.HeaderSize]))
	kind := p.Kind()
	if kind == wire.KindAnswer {
		kind = wire.KindDone
	}
	head.Init(kind, 0)
	if d.NotifyCore {
		h.core.Packet(h.time(), env, head, &h.out)
		return
	}
	h.relay(d.NotifyOwner, env, head)
}

// carryOut does what the core wants done.
func (h *Host) carryOut() {
	for _, r := range h.out.Records {
		h.world.transcript.record(h.world, h, r)
	}
	for _, s := range h.out.Sends {
		if s.Relay {
			env := wire.Envelope{Origin: wire.OriginRelay, Relays: s.Relays, Source: s.Source}
			h.world.send(h, s.To, wrap(env, s.Packet))
			continue
		}
		h.world.send(h, s.To, s.Packet)
	}
	stopped := h.out.Stopped
	h.out.Reset()
	if stopped && h.Running() {
		h.world.transcript.line(h.world, "%s has stopped", h.name())
		h.end()
	}
}

func (h *Host) end() {
	h.state = member.StateDead
	h.world.refreshLater(h.world.settings.Detect)
}

// Kill ends the process at once.
func (h *Host) Kill() {
	if h.Running() {
		h.world.transcript.line(h.world, "%s is killed", h.name())
		h.end()
	}
}

// Stop begins a planned stop.
func (h *Host) Stop() {
	if !h.Running() || h.frozen || h.state == member.StateLeaving {
		return
	}
	h.world.transcript.line(h.world, "%s begins a planned stop", h.name())
	h.state = member.StateLeaving
	h.world.refreshLater(announceTime)
	h.core.Stop(h.time(), &h.out)
	h.carryOut()
	h.refresh()
}

// Start runs a new process at the same address.
func (h *Host) Start() {
	if h.Running() {
		return
	}
	h.world.transcript.line(h.world, "%s starts", h.name())
	h.start((h.instance.Incarnation/processIncarnations + 1) * processIncarnations)
	h.refresh()
	h.world.refreshLater(h.world.settings.Detect)
}

// Freeze pauses the process.
func (h *Host) Freeze() {
	if h.Running() && !h.frozen {
		h.world.transcript.line(h.world, "%s is frozen", h.name())
		h.frozen, h.frozeAt = true, h.world.Now()
		h.world.refreshLater(h.world.settings.Detect)
	}
}

// Unfreeze ends the pause. With late set, the host handles the datagrams that
// waited before it notices the pause.
func (h *Host) Unfreeze(late bool) {
	if !h.Running() || !h.frozen {
		return
	}
	h.world.transcript.line(h.world, "%s wakes up", h.name())
	h.frozen = false
	if !late {
		h.noticePause()
	}
	waiting := h.buffer
	h.buffer = nil
	for _, data := range waiting {
		h.receive(data)
	}
	if late {
		h.noticePause()
	}
	h.world.refreshLater(h.world.settings.Detect)
}

func (h *Host) noticePause() {
	if h.world.Now()-h.frozeAt < pauseLimit {
		return
	}
	h.instance.Incarnation++
	h.world.transcript.nameHost(h)
	h.core.Reincarnate(h.time(), h.instance, &h.out)
	h.carryOut()
	h.refresh()
}

// setSnapshot puts a configuration into force unless a later one is.
func (h *Host) setSnapshot(version int, snap *config.Snapshot) {
	if version < h.version {
		return
	}
	h.snap, h.version = snap, version
	h.refresh()
}

// refresh gives the host a table of what it can know now.
func (h *Host) refresh() {
	if !h.Running() || h.frozen {
		return
	}
	h.table = table.Next(h.table, h.instance, h.snap, h.view())
	h.core.SetTable(h.time(), h.table, &h.out)
	h.carryOut()
}

// view returns the hosts as this one sees them.
func (h *Host) view() *member.View {
	w := h.world
	v := &member.View{}
	for _, other := range w.hosts {
		if other.instance.IsZero() {
			continue
		}
		m := member.Member{
			Instance: other.instance, Name: other.spec.Name, Zone: other.spec.Zone,
			Data: other.address, State: other.state,
		}
		if other != h && (other.frozen || w.cut(h.zone(), other.zone())) {
			m.State = member.StateDead
		}
		v.Members = append(v.Members, m)
	}
	slices.SortFunc(v.Members, func(a, b member.Member) int {
		if a.Instance.Host < b.Instance.Host {
			return -1
		}
		return 1
	})
	return v
}

// refreshLater lets each host see the present state of the others after half
// to one and a half of the time, and the fabric too.
func (w *Simulation) refreshLater(d time.Duration) {
	for _, h := range w.hosts {
		w.after(w.between(d/2, d*3/2), h.refresh)
	}
	w.after(w.between(d/2, d*3/2), func() {
		w.fabric = w.fabric[:0]
		for _, h := range w.hosts {
			if h.Running() && !h.frozen {
				w.fabric = append(w.fabric, h)
			}
		}
	})
}
