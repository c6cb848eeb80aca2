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
	// maxBuffered is the maximum number of datagrams buffered for a frozen host.
	maxBuffered = 512
	// pauseLimit is the shortest pause after which a host takes a new incarnation.
	pauseLimit = time.Second
	// announceTime is the mean time until a planned stop is known to another host.
	announceTime = 50 * time.Millisecond
)

// Host is a simulated host: the routing of package forward and the stateful core of
// package hostcore.
type Host struct {
	sim      *Simulation
	spec     HostSpec
	address  netip.AddrPort
	instance ids.Instance
	core     *hostcore.Core
	table    *table.Table
	// snap is the configuration in force; version is its number, as in Simulation.
	snap    *config.Snapshot
	version int
	// started is the virtual time of the process start, the zero of the core's time.
	started     time.Duration
	state       member.State
	frozen      bool
	frozenSince time.Duration
	buffer      [][]byte
	out         hostcore.Effects
	// drops counts the datagrams that routing dropped, by reason.
	drops [forward.ReasonCount]int
}

func (sim *Simulation) addHost(spec HostSpec, i int) {
	h := &Host{
		sim:     sim,
		spec:    spec,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7400),
		state:   member.StateDead,
		snap:    sim.snapshot,
	}
	sim.hosts = append(sim.hosts, h)
	sim.endpoints[h.address] = h
}

func (h *Host) name() string { return h.spec.Name }
func (h *Host) zone() string { return h.spec.Zone }

// Drops returns the number of datagrams that routing dropped for the reason.
func (h *Host) Drops(r forward.Reason) int { return h.drops[r] }

// Core returns the stateful core of the current or last process.
func (h *Host) Core() *hostcore.Core { return h.core }

// Running reports whether the process of the host runs. A frozen process does.
func (h *Host) Running() bool { return h.state != member.StateDead }

func (h *Host) start(incarnation ids.Incarnation) {
	sim := h.sim
	h.instance = ids.Instance{Host: ids.HostIDOf(h.spec.Name), Incarnation: incarnation}
	h.core = hostcore.New(hostcore.Settings{
		Self: h.instance, Name: h.spec.Name, Zone: h.spec.Zone, Seed: sim.settings.Seed,
	})
	h.started = sim.Now()
	h.state = member.StateLive
	h.frozen = false
	h.buffer = nil
	h.snap, h.version = sim.snapshot, sim.version
	sim.transcript.nameHost(h)
	instance := h.instance
	sim.every(hostcore.TickInterval, func() bool { return h.tick(instance.Incarnation) })
	sim.every(reportInterval, func() bool { return h.pollUpstreams(instance.Incarnation) })
}

// coreTime returns the time to pass to the core: the time since the process start.
func (h *Host) coreTime() time.Duration { return h.sim.Now() - h.started }

// isSameProcess reports whether the process that started with the incarnation still
// runs. Incarnations that a process takes later stay below the next multiple of
// processIncarnations.
func (h *Host) isSameProcess(first ids.Incarnation) bool {
	return h.Running() && h.instance.Incarnation/processIncarnations == first/processIncarnations
}

// processIncarnations is the size of the range of incarnations of one process.
const processIncarnations = 1000

func (h *Host) tick(first ids.Incarnation) bool {
	if !h.isSameProcess(first) {
		return false
	}
	if !h.frozen {
		h.core.Tick(h.coreTime(), &h.out)
		h.applyEffects()
	}
	return true
}

func (h *Host) pollUpstreams(first ids.Incarnation) bool {
	if !h.isSameProcess(first) {
		return false
	}
	if h.frozen {
		return true
	}
	for _, u := range h.sim.upstreams {
		if !u.running || h.sim.partitioned(h.zone(), u.zone()) {
			continue
		}
		load := u.core.Load()
		h.core.HandleReport(h.coreTime(), u.service, placement.Report{
			Upstream:    u.id,
			Healthy:     load.Healthy,
			Leaving:     u.Leaving,
			Running:     load.Running,
			Connections: load.Connections,
			Incarnation: load.Incarnation,
		}, &h.out)
	}
	h.applyEffects()
	return true
}

// receive handles a datagram in the same way as the receive loop of a host.
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
	if !ok || wire.Check(rest) != wire.StatusOK {
		h.drops[forward.ReasonMalformed]++
		return
	}
	p := wire.Packet(rest)
	d := forward.Route(h.table, env, p)
	switch d.Action {
	case forward.ActionDrop:
		h.drops[d.Reason]++
		h.sim.transcript.line(h.sim, "%s drops %s: %s", h.name(), p.Kind(), d.Reason)
	case forward.ActionSend:
		h.sim.send(h, d.To, p)
	case forward.ActionRelay:
		h.relay(d.To, env, p)
	case forward.ActionCore:
		h.core.HandlePacket(h.coreTime(), env, p, &h.out)
	}
	h.notifyOwner(d, env, p)
	h.applyEffects()
}

func (h *Host) relay(to netip.AddrPort, env wire.Envelope, p wire.Packet) {
	env.Origin = wire.OriginRelay
	env.Relays++
	h.sim.send(h, to, wrap(env, p))
}

// notifyOwner notifies the owner of a flow that the answer or the flow has ended, if the
// routing decision asks for it.
func (h *Host) notifyOwner(d forward.Decision, env wire.Envelope, p wire.Packet) {
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
		h.core.HandlePacket(h.coreTime(), env, head, &h.out)
		return
	}
	h.relay(d.NotifyOwner, env, head)
}

// applyEffects performs the effects of the core and resets them.
func (h *Host) applyEffects() {
	for _, r := range h.out.Records {
		h.sim.transcript.record(h.sim, h, r)
	}
	for _, s := range h.out.Sends {
		if s.Relay {
			env := wire.Envelope{Origin: wire.OriginRelay, Relays: s.Relays, Source: s.Source}
			h.sim.send(h, s.To, wrap(env, s.Packet))
			continue
		}
		h.sim.send(h, s.To, s.Packet)
	}
	stopped := h.out.Stopped
	h.out.Reset()
	if stopped && h.Running() {
		h.sim.transcript.line(h.sim, "%s has stopped", h.name())
		h.end()
	}
}

func (h *Host) end() {
	h.state = member.StateDead
	h.sim.scheduleRefresh(h.sim.settings.DetectionDelay)
}

// Kill ends the process immediately, without a planned stop.
func (h *Host) Kill() {
	if h.Running() {
		h.sim.transcript.line(h.sim, "%s is killed", h.name())
		h.end()
	}
}

// Stop begins a planned stop.
func (h *Host) Stop() {
	if !h.Running() || h.frozen || h.state == member.StateLeaving {
		return
	}
	h.sim.transcript.line(h.sim, "%s begins a planned stop", h.name())
	h.state = member.StateLeaving
	h.sim.scheduleRefresh(announceTime)
	h.core.Stop(h.coreTime(), &h.out)
	h.applyEffects()
	h.refreshTable()
}

// Start starts a new process at the same address.
func (h *Host) Start() {
	if h.Running() {
		return
	}
	h.sim.transcript.line(h.sim, "%s starts", h.name())
	h.start((h.instance.Incarnation/processIncarnations + 1) * processIncarnations)
	h.refreshTable()
	h.sim.scheduleRefresh(h.sim.settings.DetectionDelay)
}

// Freeze pauses the process. Datagrams that arrive during the pause are buffered.
func (h *Host) Freeze() {
	if h.Running() && !h.frozen {
		h.sim.transcript.line(h.sim, "%s is frozen", h.name())
		h.frozen, h.frozenSince = true, h.sim.Now()
		h.sim.scheduleRefresh(h.sim.settings.DetectionDelay)
	}
}

// Unfreeze ends the pause. The host notices the pause before it handles the buffered
// datagrams, or after that if noticeLate is set.
func (h *Host) Unfreeze(noticeLate bool) {
	if !h.Running() || !h.frozen {
		return
	}
	h.sim.transcript.line(h.sim, "%s wakes up", h.name())
	h.frozen = false
	if !noticeLate {
		h.noticePause()
	}
	waiting := h.buffer
	h.buffer = nil
	for _, data := range waiting {
		h.receive(data)
	}
	if noticeLate {
		h.noticePause()
	}
	h.sim.scheduleRefresh(h.sim.settings.DetectionDelay)
}

// noticePause takes a new incarnation if the pause was not shorter than pauseLimit.
func (h *Host) noticePause() {
	if h.sim.Now()-h.frozenSince < pauseLimit {
		return
	}
	h.instance.Incarnation++
	h.sim.transcript.nameHost(h)
	h.core.Reincarnate(h.coreTime(), h.instance, &h.out)
	h.applyEffects()
	h.refreshTable()
}

// setSnapshot applies a configuration unless a later version is already in force.
func (h *Host) setSnapshot(version int, snap *config.Snapshot) {
	if version < h.version {
		return
	}
	h.snap, h.version = snap, version
	h.refreshTable()
}

// refreshTable builds the routing table from the configuration and the hosts that this
// host can see now.
func (h *Host) refreshTable() {
	if !h.Running() || h.frozen {
		return
	}
	h.table = table.Next(h.table, h.instance, h.snap, h.view())
	h.core.SetTable(h.coreTime(), h.table, &h.out)
	h.applyEffects()
}

// view returns the membership as seen by this host. Hosts that are frozen or on the
// other side of a partition appear as dead.
func (h *Host) view() *member.View {
	sim := h.sim
	v := &member.View{}
	for _, other := range sim.hosts {
		if other.instance.IsZero() {
			continue
		}
		m := member.Member{
			Instance: other.instance, Name: other.spec.Name, Zone: other.spec.Zone,
			Data: other.address, State: other.state,
		}
		if other != h && (other.frozen || sim.partitioned(h.zone(), other.zone())) {
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

// scheduleRefresh makes each host and the fabric update their view of the hosts after a
// random delay between 0.5 d and 1.5 d.
func (sim *Simulation) scheduleRefresh(d time.Duration) {
	for _, h := range sim.hosts {
		sim.after(sim.randomDuration(d/2, d*3/2), h.refreshTable)
	}
	sim.after(sim.randomDuration(d/2, d*3/2), func() {
		sim.fabric = sim.fabric[:0]
		for _, h := range sim.hosts {
			if h.Running() && !h.frozen {
				sim.fabric = append(sim.fabric, h)
			}
		}
	})
}
