// Package controlplane runs the control plane of a host: membership and
// configuration distribution. One event loop drives the cores of packages member
// and spread. Goroutines around it exchange messages with other hosts, read the
// platform's store and poll the platform's host list.
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

// tickInterval is the interval at which both cores are ticked: the shorter of their
// two tick intervals.
const tickInterval = min(member.TickInterval, spread.TickInterval)

// commandQueueSize is the capacity of the queue of calls from the data path.
const commandQueueSize = 16

// Settings holds the host's identity, its addresses and the location of the
// platform.
type Settings struct {
	Name string
	Zone string
	// Data is the address for data packets that is announced to other hosts.
	// Control is the address on which the control plane listens, for TCP and UDP.
	Data        netip.AddrPort
	Control     netip.AddrPort
	Incarnation ids.Incarnation
	// Store is the platform's store.
	Store store.Store
	// HostsURL is the URL of the platform's host list. If it is empty, no list
	// is polled.
	HostsURL string
	// Contacts are control addresses of other hosts, used to join the fleet.
	Contacts []netip.AddrPort
	// RequireIncarnation is called if other hosts know this host under a later
	// incarnation than its own. The host must then call SetIncarnation with at least
	// the given minimum.
	RequireIncarnation func(minimum ids.Incarnation)
	Logger             *zap.Logger
}

// Publish applies a configuration and a membership view. The configuration is nil
// until the host has a complete one and the member list of the other hosts.
type Publish func(*config.Snapshot, *member.View)

// Plane is the control plane of one host. Its methods other than Run and Close may
// be called from any goroutine.
type Plane struct {
	settings     Settings
	self         ids.HostID
	memberLog    logging.Logger
	spreadLog    logging.Logger
	transport    *peer.Transport
	started      time.Time
	member       *member.Core
	spread       *spread.Core
	commands     chan func(now time.Duration)
	storeCalls   chan spread.StoreCall
	storeResults chan storeResult
	// lost passes documents that the store lost from the event loop to writeBackLost.
	lost      chan []*config.Document
	hostLists chan []netip.AddrPort
	metricSet *metrics.Set
	done      chan struct{}

	// Used by the event loop only.
	publish          Publish
	view             *member.View
	snap             *config.Snapshot
	planContacts     []netip.AddrPort
	platformContacts []netip.AddrPort
	dialHosts        []ids.HostID
	// dirty is set if the configuration, the view or the readiness has changed since
	// the last publication.
	dirty bool
	pacer pacer
	// documents is rebuilt when the spread core logs a decision, which it does for
	// each change of a document.
	documents []spread.DocumentState

	status atomic.Pointer[status]
}

// status is an immutable copy of the loop's state for other goroutines.
type status struct {
	ready  bool
	reason string
	// alone is set while no other host is known.
	alone bool
	// watcher is set if this host is one of its availability zone's watchers of the
	// store.
	watcher   bool
	documents []spread.DocumentState
	counters  spread.Counters
	// storeBehind is the number of documents that the store lacks or holds at a lower
	// revision than this host.
	storeBehind  int
	memberCounts [member.StateDead + 1]int
}

// New creates a control plane and binds its control address.
func New(s Settings) (*Plane, error) {
	transport, err := peer.Listen(ids.HostIDOf(s.Name), s.Control, s.Logger)
	if err != nil {
		return nil, err
	}
	if s.Control.Port() == 0 {
		s.Control = transport.Addr()
	}
	p := &Plane{
		settings:     s,
		self:         ids.HostIDOf(s.Name),
		memberLog:    logging.ForComponent(s.Logger, "member"),
		spreadLog:    logging.ForComponent(s.Logger, "spread"),
		transport:    transport,
		started:      time.Now(),
		commands:     make(chan func(time.Duration), commandQueueSize),
		storeCalls:   make(chan spread.StoreCall, 1),
		storeResults: make(chan storeResult, 1),
		lost:         make(chan []*config.Document, 1),
		hostLists:    make(chan []netip.AddrPort, 1),
		metricSet:    metrics.NewSet(),
		done:         make(chan struct{}),
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
	p.status.Store(&status{reason: "control plane not started"})
	p.registerMetrics()
	return p, nil
}

// Addr returns the bound control address.
func (p *Plane) Addr() netip.AddrPort { return p.transport.Addr() }

// Close closes the sockets of a Plane whose Run was never called.
func (p *Plane) Close() { p.transport.Close() }

// Run runs the control plane and calls publish with each change until the context
// is canceled. It must be called at most once.
func (p *Plane) Run(ctx context.Context, publish func(*config.Snapshot, *member.View)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.publish = publish
	var tasks sync.WaitGroup
	tasks.Go(func() { p.runStoreCalls(ctx) })
	tasks.Go(func() { p.writeBackLost(ctx) })
	tasks.Go(func() { p.pollHostList(ctx) })
	tasks.Go(func() { p.loop(ctx) })
	err := p.transport.Run(ctx)
	cancel()
	tasks.Wait()
	close(p.done)
	return err
}

func (p *Plane) now() time.Duration { return time.Since(p.started) }

// loop is the event loop, the only goroutine that accesses the cores.
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
			p.handleEvent(p.now(), e)
		case r := <-p.storeResults:
			p.handleStoreResult(p.now(), r)
		case contacts := <-p.hostLists:
			p.platformContacts = contacts
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

func (p *Plane) handleEvent(now time.Duration, e peer.Event) {
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
		p.logSpread(&out.Records[i])
	}
	if len(out.Records) > 0 {
		p.documents = p.spread.Documents()
	}
	if out.Call != nil {
		p.storeCalls <- *out.Call
	}
	if len(out.Lost) > 0 {
		p.queueLost(out.Lost)
	}
	if out.DialChanged {
		p.dialHosts = out.Dial
		p.setTargets()
	}
	if out.Snapshot != nil {
		p.snap, p.dirty = out.Snapshot, true
		p.planContacts = contactsOf(out.Snapshot)
		p.updateContacts()
	}
}

// setTargets resolves the hosts to dial to their control addresses and passes them
// to the transport.
func (p *Plane) setTargets() {
	if p.view == nil {
		return
	}
	var targets []peer.Target
	for _, id := range p.dialHosts {
		if m := p.view.Find(id); m != nil {
			targets = append(targets, peer.Target{Host: id, Control: m.Control})
		}
	}
	p.transport.SetTargets(targets)
}

func contactsOf(snap *config.Snapshot) []netip.AddrPort {
	contacts := make([]netip.AddrPort, 0, len(snap.Hosts))
	for i := range snap.Hosts {
		contacts = append(contacts, snap.Hosts[i].Control)
	}
	return contacts
}

// updateContacts merges the contacts from the settings, the plan and the
// platform's host list.
func (p *Plane) updateContacts() {
	contacts := slices.Concat(p.settings.Contacts, p.planContacts, p.platformContacts)
	slices.SortFunc(contacts, netip.AddrPort.Compare)
	p.member.SetContacts(slices.Compact(contacts))
}

// publishChanges updates the status and publishes pending changes. The
// configuration is withheld until the host has joined: without the member list it
// would act as the only host and own all flows.
func (p *Plane) publishChanges(now time.Duration) {
	joined := p.member.Joined(now)
	st := p.newStatus(joined)
	previous := p.status.Swap(st)
	if !previous.ready && st.ready {
		p.spreadLog.Info("ready", zap.Int("documents", len(st.documents)), zap.Bool("alone", st.alone))
	}
	p.dirty = p.dirty || previous.ready != st.ready
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
