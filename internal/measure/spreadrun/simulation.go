// Package spreadrun simulates the distribution of configuration in virtual time
// over an in-memory network and store, with network partitions, store outages and
// paused hosts, and measures the time until a change is in force everywhere.
package spreadrun

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/spread"
	"mimosashore.example/mimosashore/internal/store"
	"mimosashore.example/mimosashore/internal/virtualtime"
)

// Delays and sizes of the network and the store.
const (
	linkDelayMin    = 500 * time.Microsecond
	linkDelayJitter = 2 * time.Millisecond
	storeDelay      = 5 * time.Millisecond
	// storeFailureDelay is the time after which a call to an unreachable store fails.
	storeFailureDelay = 2 * time.Second
	// cutTimeout is the time after which a cut link is closed.
	cutTimeout     = 5 * time.Second
	redialInterval = time.Second
	// frameOverhead is the size of the headers of a message on a link, in bytes.
	frameOverhead = 60
	// linkQueueLimit is the number of messages queued for a paused host; further
	// ones are lost.
	linkQueueLimit = 64
)

// Node is one simulated host.
type Node struct {
	Name string
	Zone string
	ID   ids.HostID
	Core *spread.Core
	// Snapshot is the configuration in force. InForce holds the time at which
	// each revision of a document came into force.
	Snapshot *config.Snapshot
	InForce  map[spread.Item]time.Duration
	Paused   bool
	// Bytes counts the traffic sent and received on the links of the host,
	// StoreBytes the values read from the store.
	Bytes, StoreBytes int
	// Busy is the processor time spent in the core, if Simulation.MeasureBusy is set.
	Busy time.Duration
	// highest holds the highest revision that was in force for each account.
	highest map[string]uint64
	// queued is the number of messages received during the current pause.
	queued int
	// waiting holds the calls deferred while the host is paused.
	waiting []func()
	// run counts the starts and stops of the host.
	run     int
	started bool
}

// Simulation is a simulated fleet with its links and the store.
type Simulation struct {
	Queue virtualtime.Queue
	Store *Store
	Nodes []*Node
	// Cut, if set, reports whether the network path between two hosts is cut.
	Cut func(a, b *Node) bool
	// Trace, if set, is called with each line of the transcript.
	Trace func(line string)
	// Reverts counts the times that a host replaced the revision of an account
	// in force by a lower one.
	Reverts int
	// MeasureBusy enables the measurement of Node.Busy.
	MeasureBusy bool
	links       map[[2]ids.HostID]*link
	byID        map[ids.HostID]*Node
	rng         *rand.Rand
	seed        uint64
}

// link is the connection between two hosts.
type link struct {
	a, b *Node
	up   bool
	// cutFrom is when a message was first lost to a network partition; cut is set
	// from then until the link is closed.
	cutFrom time.Duration
	cut     bool
}

// New returns a simulation of n hosts in the given number of availability zones.
// The hosts are not started yet.
func New(n, zones int, seed uint64) *Simulation {
	w := &Simulation{
		Store: newStore(), seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
		links: make(map[[2]ids.HostID]*link), byID: make(map[ids.HostID]*Node),
	}
	for i := range n {
		name := fmt.Sprintf("host-%03d", i)
		node := &Node{Name: name, Zone: fmt.Sprintf("zone-%d", i%zones), ID: ids.HostIDOf(name)}
		w.Nodes = append(w.Nodes, node)
		w.byID[node.ID] = node
	}
	return w
}

// Start starts hosts with empty state and updates the views of all running hosts.
func (w *Simulation) Start(nodes ...*Node) {
	for _, n := range nodes {
		n.Core = spread.New(spread.Settings{Self: n.ID, Zone: n.Zone, Seed: w.seed})
		n.InForce = make(map[spread.Item]time.Duration)
		n.highest = make(map[string]uint64)
		n.Snapshot, n.Paused, n.waiting, n.started = nil, false, nil, true
		n.run++
		w.resetLinks(n)
		w.trace("%s starts in %s", n.Name, n.Zone)
	}
	w.UpdateViews()
	for _, n := range nodes {
		w.tick(n, time.Duration(w.rng.Int64N(int64(spread.TickInterval))), n.run)
	}
}

// Stop stops a host and updates the views of the others.
func (w *Simulation) Stop(n *Node) {
	n.started = false
	n.run++
	w.resetLinks(n)
	w.trace("%s ends", n.Name)
	w.UpdateViews()
}

// StartAll starts every host.
func (w *Simulation) StartAll() { w.Start(w.Nodes...) }

// UpdateViews gives each running host a membership view of the running hosts
// that it can reach.
func (w *Simulation) UpdateViews() {
	for _, n := range w.Nodes {
		if !n.started {
			continue
		}
		view := w.viewOf(n)
		w.Do(n, func(out *spread.Effects) { n.Core.SetView(w.Queue.Now(), view, out) })
	}
}

func (w *Simulation) viewOf(n *Node) *member.View {
	view := &member.View{}
	for _, other := range w.Nodes {
		if !other.started || (w.Cut != nil && w.Cut(n, other)) {
			continue
		}
		view.Members = append(view.Members, member.Member{
			Instance: ids.Instance{Host: other.ID, Incarnation: ids.Incarnation(other.run)},
			Name:     other.Name, Zone: other.Zone, Control: netip.AddrPort{},
		})
	}
	slices.SortFunc(view.Members, func(a, b member.Member) int { return cmp.Compare(a.Instance.Host, b.Instance.Host) })
	return view
}

func (w *Simulation) tick(n *Node, delay time.Duration, run int) {
	w.Queue.After(delay, func() {
		if n.run != run {
			return
		}
		w.Do(n, func(out *spread.Effects) { n.Core.Tick(w.Queue.Now(), out) })
		w.tick(n, spread.TickInterval, run)
	})
}

// Do runs a call on the core of a host and applies its effects. While the host
// is paused, the call is deferred until Resume.
func (w *Simulation) Do(n *Node, call func(out *spread.Effects)) {
	if n.Paused {
		n.waiting = append(n.waiting, func() { w.Do(n, call) })
		return
	}
	var out spread.Effects
	began := time.Time{}
	if w.MeasureBusy {
		began = time.Now()
	}
	call(&out)
	if w.MeasureBusy {
		n.Busy += time.Since(began)
	}
	w.apply(n, &out)
}

// Resume ends a pause and runs the deferred calls.
func (w *Simulation) Resume(n *Node) {
	n.Paused, n.queued = false, 0
	waiting := n.waiting
	n.waiting = nil
	for _, call := range waiting {
		call()
	}
}

func (w *Simulation) apply(n *Node, out *spread.Effects) {
	for _, r := range out.Records {
		w.traceRecord(n, &r)
	}
	if out.DialChanged {
		for _, host := range out.Dial {
			w.connect(n, w.byID[host])
		}
	}
	for _, s := range out.Sends {
		w.deliver(n, s)
	}
	if out.Snapshot != nil {
		n.Snapshot = out.Snapshot
		w.checkReverts(n)
		w.recordInForce(n, out.Changed)
	}
	if out.Call != nil {
		w.callStore(n, *out.Call)
	}
}

func (w *Simulation) checkReverts(n *Node) {
	for i := range n.Snapshot.Accounts {
		a := &n.Snapshot.Accounts[i]
		if a.Revision < n.highest[a.Name] {
			w.Reverts++
		}
		n.highest[a.Name] = max(n.highest[a.Name], a.Revision)
	}
}

func (w *Simulation) recordInForce(n *Node, changed []string) {
	for _, name := range changed {
		item := spread.Item{Name: name, Revision: n.Core.Revision(name)}
		n.InForce[item] = w.Queue.Now()
		w.trace("%s has %s revision %d in force", n.Name, name, item.Revision)
	}
}

func (w *Simulation) callStore(n *Node, call spread.StoreCall) {
	run := n.run
	finish := func(do func(out *spread.Effects)) {
		if n.run == run {
			w.Do(n, do)
		}
	}
	unreachable := w.Store.Down || (w.Store.Reachable != nil && !w.Store.Reachable(n))
	if unreachable {
		failure := &store.Error{Op: "call", Fault: store.FaultUnavailable}
		w.Queue.After(storeFailureDelay, func() { finish(func(out *spread.Effects) { w.failCall(n, call, failure, out) }) })
		return
	}
	w.Queue.After(storeDelay+w.Store.Delay, func() {
		if call.Kind == spread.CallList {
			w.Store.Reads++
			page := w.Store.list(call)
			for _, e := range page.Entries {
				n.StoreBytes += len(e.Value)
			}
			finish(func(out *spread.Effects) { n.Core.HandleList(w.Queue.Now(), page, nil, out) })
			return
		}
		w.watch(n, call, finish)
	})
}

func (w *Simulation) failCall(n *Node, call spread.StoreCall, failure error, out *spread.Effects) {
	if call.Kind == spread.CallList {
		n.Core.HandleList(w.Queue.Now(), store.Page{}, failure, out)
		return
	}
	n.Core.HandleWatch(w.Queue.Now(), nil, call.Position, failure, out)
}

func (w *Simulation) watch(n *Node, call spread.StoreCall, finish func(func(out *spread.Effects))) {
	w.Store.Watches++
	pending := &watch{node: n, call: call}
	pending.done = func(events []store.Event, next store.Position, err error) {
		for _, e := range events {
			n.StoreBytes += len(e.Entry.Value)
		}
		w.Queue.After(storeDelay+w.Store.Delay, func() {
			finish(func(out *spread.Effects) { n.Core.HandleWatch(w.Queue.Now(), events, next, err, out) })
		})
	}
	if w.Store.HungWatch {
		failure := &store.Error{Op: "watch", Fault: store.FaultUnavailable}
		w.Queue.After(call.Wait+storeFailureDelay, func() { pending.done(nil, call.Position, failure) })
		return
	}
	if w.Store.hasEventsFor(pending) || call.Wait == 0 || call.Position.Revision > w.Store.revision || call.Position.Era != w.Store.Era {
		w.Store.answerWatch(pending)
		return
	}
	w.Store.waiting = append(w.Store.waiting, pending)
	w.Queue.After(call.Wait, func() { w.Store.endWait(pending) })
}

func (s *Store) endWait(w *watch) {
	s.waiting = slices.DeleteFunc(s.waiting, func(other *watch) bool { return other == w })
	s.answerWatch(w)
}

// Run advances the virtual time by d.
func (w *Simulation) Run(d time.Duration) { w.Queue.RunUntil(w.Queue.Now() + d) }

// Account returns a document of a client account without services.
func Account(name string, revision uint64, changeID string) *config.Document {
	return &config.Document{
		Name: config.AccountPrefix + name, Revision: revision, ChangeID: changeID,
		Account: &config.Account{ID: 1, Name: name},
	}
}

// AllHaveInForce reports whether every started host that is not paused has the revision
// of the document in force.
func (w *Simulation) AllHaveInForce(name string, revision uint64) bool {
	for _, n := range w.Nodes {
		if n.started && !n.Paused && !n.HasInForce(name, revision) {
			return false
		}
	}
	return true
}

// HasInForce reports whether the host has the revision of the document in force.
func (n *Node) HasInForce(name string, revision uint64) bool {
	_, ever := n.InForce[spread.Item{Name: name, Revision: revision}]
	return ever && n.Core.Revision(name) == revision
}
