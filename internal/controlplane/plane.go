// Package controlplane is the host's side of configuration and membership: one
// loop runs the cores of packages member and spread, and the duties round it
// carry their messages, read the platform's store and its list of hosts.
package controlplane

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/peer"
	"mimosashore.example/mimosashore/internal/spread"
	"mimosashore.example/mimosashore/internal/store"
)

// tickInterval is the time between two ticks of both cores.
const tickInterval = min(member.TickInterval, spread.TickInterval)

// commandQueue is the number of calls of the data path that may wait.
const commandQueue = 16

// Settings say who the host is and where it finds the platform.
type Settings struct {
	Name string
	Zone string
	// Data and Control are the host's addresses. Control is listened on for
	// TCP and UDP.
	Data        netip.AddrPort
	Control     netip.AddrPort
	Incarnation ids.Incarnation
	// Store is the platform's store.
	Store store.Store
	// HostsURL is the address of the platform's list of hosts; empty is none.
	HostsURL string
	// Contacts are control addresses where other hosts may be found.
	Contacts []netip.AddrPort
	// RequireIncarnation is called if a later run of this host is known. The host
	// must then call SetIncarnation with at least this value.
	RequireIncarnation func(least ids.Incarnation)
	Logger          *zap.Logger
}

// Publish puts a configuration and a view into force. The configuration is nil
// until the host has a whole one and knows the other hosts.
type Publish func(*config.Snapshot, *member.View)

// Plane is the control plane of one host.
type Plane struct {
	settings  Settings
	self      ids.HostID
	log       logging.Part
	logSpread logging.Part
	transport *peer.Transport
	started   time.Time
	member    *member.Core
	spread    *spread.Core
	commands  chan func(now time.Duration)
	calls     chan spread.StoreCall
	results   chan storeResult
	hosts     chan []netip.AddrPort
	set       *metrics.Set
	ended     chan struct{}

	// The loop's own state.
	publish  Publish
	view     *member.View
	snap     *config.Snapshot
	planned  []netip.AddrPort
	platform []netip.AddrPort
	dial     []ids.HostID
	dirty    bool
	pacer    pacer
	// documents is rebuilt when the core tells of a change.
	documents []spread.DocumentState

	status atomic.Pointer[status]
}

// status is what other goroutines may ask for.
type status struct {
	ready     bool
	why       string
	alone     bool
	watcher   bool
	documents []spread.DocumentState
	counters  spread.Counters
	behind    int
	states    [member.StateDead + 1]int
}

// New opens the host's control address.
func New(s Settings) (*Plane, error) {
	transport, err := peer.Listen(ids.HostIDOf(s.Name), s.Control, s.Logger)
	if err != nil {
		return nil, err
	}
	if s.Control.Port() == 0 {
		s.Control = transport.Addr()
	}
	p := &Plane{
		settings:  s,
		self:      ids.HostIDOf(s.Name),
		log:       logging.ForPart(s.Logger, "member"),
		logSpread: logging.ForPart(s.Logger, "spread"),
		transport: transport,
		started:   time.Now(),
		commands:  make(chan func(time.Duration), commandQueue),
		calls:     make(chan spread.StoreCall, 1),
		results:   make(chan storeResult, 1),
		hosts:     make(chan []netip.AddrPort, 1),
		set:       metrics.NewSet(),
		ended:     make(chan struct{}),
	}
	p.spread = spread.New(spread.Settings{Self: p.self, Zone: s.Zone, Seed: uint64(s.Incarnation)})
	p.member = member.New(0, member.Settings{
		Self: member.Member{
			Instance: ids.Instance{Host: p.self, Incarnation: s.Incarnation},
			Name:     s.Name, Zone: s.Zone, Data: s.Data, Control: s.Control,
		},
		Contacts: s.Contacts,
		Seed:     uint64(s.Incarnation),
	})
	p.status.Store(&status{why: "the control plane has not started"})
	p.registerMetrics()
	return p, nil
}

// Addr returns the control address.
func (p *Plane) Addr() netip.AddrPort { return p.transport.Addr() }

// Close closes the sockets of a control plane that doesn't run.
func (p *Plane) Close() { p.transport.Close() }

// Run calls publish with each change until the context ends. It runs once.
func (p *Plane) Run(ctx context.Context, publish func(*config.Snapshot, *member.View)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.publish = publish
	var duties sync.WaitGroup
	duties.Go(func() { p.readStore(ctx) })
	duties.Go(func() { p.readHosts(ctx) })
	duties.Go(func() { p.loop(ctx) })
	err := p.transport.Run(ctx)
	cancel()
	duties.Wait()
	close(p.ended)
	return err
}

func (p *Plane) now() time.Duration { return time.Since(p.started) }

// loop owns both cores.
func (p *Plane) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	p.tick(p.now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick(p.now())
		case e := <-p.transport.Events():
			p.handle(p.now(), e)
		case r := <-p.results:
			p.storeAnswered(p.now(), r)
		case contacts := <-p.hosts:
			p.platform = contacts
			p.updateContacts()
		case command := <-p.commands:
			command(p.now())
		}
		p.publishChanges(p.now())
	}
}

func (p *Plane) tick(now time.Duration) {
	var m member.Effects
	p.member.Tick(now, &m)
	p.applyMember(now, &m)
	var s spread.Effects
	p.spread.Tick(now, &s)
	p.applySpread(&s)
}

func (p *Plane) handle(now time.Duration, e peer.Event) {
	var s spread.Effects
	switch e.Kind {
	case peer.EventDatagram:
		var m member.Effects
		p.member.Receive(now, e.From, e.Datagram, &m)
		p.applyMember(now, &m)
		return
	case peer.EventLinkUp:
		p.spread.LinkUp(now, e.Host, &s)
	case peer.EventLinkDown:
		p.spread.LinkDown(now, e.Host)
	case peer.EventMessage:
		p.spread.Receive(now, e.Host, e.Message, &s)
	}
	p.applySpread(&s)
}

func (p *Plane) applyMember(now time.Duration, out *member.Effects) {
	for _, s := range out.Sends {
		p.transport.SendDatagram(s)
	}
	for i := range out.Records {
		p.logMember(&out.Records[i])
	}
	if out.MinIncarnation > 0 && p.settings.RequireIncarnation != nil {
		p.settings.RequireIncarnation(out.MinIncarnation)
	}
	if out.View == nil {
		return
	}
	p.view, p.dirty = out.View, true
	var s spread.Effects
	p.spread.SetView(now, out.View, &s)
	p.applySpread(&s)
	p.setTargets()
}

func (p *Plane) applySpread(out *spread.Effects) {
	for _, s := range out.Sends {
		p.transport.Send(s)
	}
	for i := range out.Records {
		p.logDocument(&out.Records[i])
	}
	if len(out.Records) > 0 {
		p.documents = p.spread.Documents()
	}
	if out.Call != nil {
		p.calls <- *out.Call
	}
	if out.DialChanged {
		p.dial = out.Dial
		p.setTargets()
	}
	if out.Snapshot != nil {
		p.snap, p.dirty = out.Snapshot, true
		p.planned = plannedContacts(out.Snapshot)
		p.updateContacts()
	}
}

// setTargets tells the transport where the hosts to dial are.
func (p *Plane) setTargets() {
	if p.view == nil {
		return
	}
	var targets []peer.Target
	for _, id := range p.dial {
		if m := p.view.Find(id); m != nil {
			targets = append(targets, peer.Target{Host: id, Control: m.Control})
		}
	}
	p.transport.SetTargets(targets)
}

func plannedContacts(snap *config.Snapshot) []netip.AddrPort {
	contacts := make([]netip.AddrPort, 0, len(snap.Hosts))
	for i := range snap.Hosts {
		contacts = append(contacts, snap.Hosts[i].Control)
	}
	return contacts
}

// updateContacts joins the contacts of the settings, the plan and the platform.
func (p *Plane) updateContacts() {
	contacts := slices.Concat(p.settings.Contacts, p.planned, p.platform)
	slices.SortFunc(contacts, netip.AddrPort.Compare)
	p.member.SetContacts(slices.Compact(contacts))
}

// publishChanges puts what changed into force. A host that doesn't know the
// others yet would take all work for its own, so its configuration waits.
func (p *Plane) publishChanges(now time.Duration) {
	joined := p.member.Joined(now)
	st := p.newStatus(joined)
	before := p.status.Swap(st)
	if !before.ready && st.ready {
		p.logSpread.Info("ready", zap.Int("documents", len(st.documents)), zap.Bool("alone", st.alone))
	}
	p.dirty = p.dirty || before.ready != st.ready
	if !p.dirty || !p.pacer.allow(now, p.hostCount()) {
		return
	}
	p.dirty = false
	snap := p.snap
	if !joined {
		snap = nil
	}
	p.publish(snap, p.view)
}

func (p *Plane) hostCount() int {
	if p.view == nil {
		return 0
	}
	return len(p.view.Members)
}
