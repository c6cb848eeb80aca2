// Package spreadrun runs configuration cores over an in-memory network and
// store in virtual time, with cuts, outages and pauses, and measures them.
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
	linkDelayMin = 500 * time.Microsecond
	linkDelayVar = 2 * time.Millisecond
	storeDelay   = 5 * time.Millisecond
	// failDelay is the time after which a call of a store that is down fails.
	failDelay = 2 * time.Second
	// silence is the time after which a cut link counts as ended.
	silence = 5 * time.Second
	redial  = time.Second
	// frameOverhead is the size of the headers of one message on a link, in bytes.
	frameOverhead = 60
	// linkQueue is the number of messages that wait for a paused host; further ones are lost.
	linkQueue = 64
)

// Node is one host of a world.
type Node struct {
	Name string
	Zone string
	ID   ids.HostID
	Core *spread.Core
	// Snapshot is what is in force; InForce holds since when each revision is.
	Snapshot *config.Snapshot
	InForce  map[spread.Item]time.Duration
	Paused   bool
	// Bytes counts what the host sent and received on its links, and StoreBytes
	// what it read from the store.
	Bytes, StoreBytes int
	// Busy is the processor time that the core took.
	Busy    time.Duration
	highest map[string]uint64
	// queued is the number of messages that wait for the end of a pause.
	queued  int
	waiting []func()
	run     int
	started bool
}

// World is a set of hosts, their links and the store.
type World struct {
	Queue virtualtime.Queue
	Store *Store
	Nodes []*Node
	// Cut reports whether two hosts can't reach each other.
	Cut func(a, b *Node) bool
	// Trace is called for each line of the transcript, if it is set.
	Trace func(line string)
	// Reverts counts the times that a host put a lower revision into force than
	// it had before.
	Reverts int
	// MeasureBusy takes the processor time of the cores.
	MeasureBusy bool
	links       map[[2]ids.HostID]*link
	byID        map[ids.HostID]*Node
	rng         *rand.Rand
	seed        uint64
}

type link struct {
	a, b    *Node
	up      bool
	cutFrom time.Duration
	cut     bool
}

// New returns a world of n hosts that haven't started, in the given number of
// availability zones.
func New(n, zones int, seed uint64) *World {
	w := &World{
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

// Start begins a new run of the hosts with nothing in memory, and tells all
// running hosts of them.
func (w *World) Start(nodes ...*Node) {
	for _, n := range nodes {
		n.Core = spread.New(spread.Settings{Self: n.ID, Zone: n.Zone, Seed: w.seed})
		n.InForce = make(map[spread.Item]time.Duration)
		n.highest = make(map[string]uint64)
		n.Snapshot, n.Paused, n.waiting, n.started = nil, false, nil, true
		n.run++
		w.dropLinks(n)
		w.trace("%s starts in %s", n.Name, n.Zone)
	}
	w.UpdateViews()
	for _, n := range nodes {
		w.tick(n, time.Duration(w.rng.Int64N(int64(spread.TickInterval))), n.run)
	}
}

// Stop ends the run of a host.
func (w *World) Stop(n *Node) {
	n.started = false
	n.run++
	w.dropLinks(n)
	w.trace("%s ends", n.Name)
	w.UpdateViews()
}

// StartAll starts every host.
func (w *World) StartAll() { w.Start(w.Nodes...) }

// UpdateViews gives each running host the list of those that it can reach.
func (w *World) UpdateViews() {
	for _, n := range w.Nodes {
		if !n.started {
			continue
		}
		view := w.viewOf(n)
		w.Do(n, func(out *spread.Effects) { n.Core.SetView(w.Queue.Now(), view, out) })
	}
}

func (w *World) viewOf(n *Node) *member.View {
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

func (w *World) tick(n *Node, delay time.Duration, run int) {
	w.Queue.After(delay, func() {
		if n.run != run {
			return
		}
		w.Do(n, func(out *spread.Effects) { n.Core.Tick(w.Queue.Now(), out) })
		w.tick(n, spread.TickInterval, run)
	})
}

// Do calls the core of a host, or keeps the call while the host is paused.
func (w *World) Do(n *Node, call func(out *spread.Effects)) {
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

// Resume ends a pause; the calls that waited run at once.
func (w *World) Resume(n *Node) {
	n.Paused, n.queued = false, 0
	waiting := n.waiting
	n.waiting = nil
	for _, call := range waiting {
		call()
	}
}

func (w *World) apply(n *Node, out *spread.Effects) {
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
		w.noteInForce(n, out.Changed)
	}
	if out.Call != nil {
		w.callStore(n, *out.Call)
	}
}

func (w *World) checkReverts(n *Node) {
	for i := range n.Snapshot.Accounts {
		a := &n.Snapshot.Accounts[i]
		if a.Revision < n.highest[a.Name] {
			w.Reverts++
		}
		n.highest[a.Name] = max(n.highest[a.Name], a.Revision)
	}
}

func (w *World) noteInForce(n *Node, changed []string) {
	for _, name := range changed {
		item := spread.Item{Name: name, Revision: n.Core.Revision(name)}
		n.InForce[item] = w.Queue.Now()
		w.trace("%s has %s revision %d in force", n.Name, name, item.Revision)
	}
}

func (w *World) callStore(n *Node, call spread.StoreCall) {
	run := n.run
	finish := func(do func(out *spread.Effects)) {
		if n.run == run {
			w.Do(n, do)
		}
	}
	unreachable := w.Store.Down || (w.Store.Reachable != nil && !w.Store.Reachable(n))
	if unreachable {
		failure := &store.Error{Op: "call", Fault: store.FaultUnavailable}
		w.Queue.After(failDelay, func() { finish(func(out *spread.Effects) { w.fail(n, call, failure, out) }) })
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

func (w *World) fail(n *Node, call spread.StoreCall, failure error, out *spread.Effects) {
	if call.Kind == spread.CallList {
		n.Core.HandleList(w.Queue.Now(), store.Page{}, failure, out)
		return
	}
	n.Core.HandleWatch(w.Queue.Now(), nil, call.Revision, failure, out)
}

func (w *World) watch(n *Node, call spread.StoreCall, finish func(func(out *spread.Effects))) {
	w.Store.Watches++
	pending := &watch{node: n, call: call}
	pending.done = func(events []store.Event, next store.Revision, err error) {
		for _, e := range events {
			n.StoreBytes += len(e.Entry.Value)
		}
		w.Queue.After(storeDelay+w.Store.Delay, func() {
			finish(func(out *spread.Effects) { n.Core.HandleWatch(w.Queue.Now(), events, next, err, out) })
		})
	}
	if w.Store.HungWatch {
		failure := &store.Error{Op: "watch", Fault: store.FaultUnavailable}
		w.Queue.After(call.Wait+failDelay, func() { pending.done(nil, call.Revision, failure) })
		return
	}
	if w.Store.behind(pending) || call.Wait == 0 || call.Revision > w.Store.revision {
		w.Store.answer(pending)
		return
	}
	w.Store.waiting = append(w.Store.waiting, pending)
	w.Queue.After(call.Wait, func() { w.Store.endWait(pending) })
}

func (s *Store) endWait(w *watch) {
	s.waiting = slices.DeleteFunc(s.waiting, func(other *watch) bool { return other == w })
	s.answer(w)
}

// Run lets the virtual time pass.
func (w *World) Run(d time.Duration) { w.Queue.RunUntil(w.Queue.Now() + d) }

// Account returns a document of an account with the given content mark.
func Account(name string, revision uint64, mark string) *config.Document {
	return &config.Document{
		Name: config.AccountPrefix + name, Revision: revision, ChangeID: mark,
		Account: &config.Account{ID: 1, Name: name},
	}
}

// AllHold reports whether every running host has the revision in force.
func (w *World) AllHold(name string, revision uint64) bool {
	for _, n := range w.Nodes {
		if n.started && !n.Paused && !n.Holds(name, revision) {
			return false
		}
	}
	return true
}

// Holds reports whether the host has the revision in force.
func (n *Node) Holds(name string, revision uint64) bool {
	_, ever := n.InForce[spread.Item{Name: name, Revision: revision}]
	return ever && n.Core.Revision(name) == revision
}
