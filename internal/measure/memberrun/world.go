// Package memberrun runs membership cores over an in-memory network in virtual
// time, with loss, cuts, pauses and kills, and measures them.
package memberrun

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/virtualtime"
)

// One-way delays of the network.
const (
	delayMin = 300 * time.Microsecond
	delayVar = 700 * time.Microsecond
)

// datagramOverhead is the size of the IP and UDP headers, in bytes.
const datagramOverhead = 28

// contactCount is the number of contacts that each host starts with.
const contactCount = 5

// Node is one host of a world.
type Node struct {
	Name   string
	Self   member.Member
	Core   *member.Core
	View   *member.View
	Paused bool
	Dead   bool
	// Bytes and Messages count what the host sent.
	Bytes    int
	Messages int
	// Pauses counts the times that the core reported a pause.
	Pauses  int
	Records []member.Record
	waiting []func()
	run     int
}

// World is a set of hosts and their network.
type World struct {
	Queue virtualtime.Queue
	Nodes []*Node
	// Loss is the share of datagrams that are lost.
	Loss float64
	// Trace is called for each decision of a host, if it is set.
	Trace func(now time.Duration, host string, r *member.Record)
	// Cut reports whether datagrams from one host to another are lost.
	Cut  func(from, to *Node) bool
	seed uint64
	size int
	rng  *rand.Rand
	addr map[netip.AddrPort]*Node
}

// New returns a world of n hosts in the given number of availability zones.
func New(n, zones int, seed uint64) *World {
	w := &World{seed: seed, size: n, rng: rand.New(rand.NewPCG(seed, 0)), addr: make(map[netip.AddrPort]*Node)}
	for i := range n {
		name := fmt.Sprintf("host-%03d", i)
		control := w.contactAddr(i)
		node := &Node{Name: name, Self: member.Member{
			Instance: ids.Instance{Host: ids.HostIDOf(name), Incarnation: 1},
			Name:     name, Zone: fmt.Sprintf("zone-%d", i%zones), Data: control, Control: control,
		}}
		w.Nodes = append(w.Nodes, node)
		w.addr[control] = node
		w.Start(node)
	}
	return w
}

// contactAddr is the control address of the host with the given number.
func (w *World) contactAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// Start begins a run of a host with its present incarnation.
func (w *World) Start(n *Node) {
	n.Dead, n.Paused, n.waiting = false, false, nil
	n.run++
	var contacts []netip.AddrPort
	for range contactCount {
		contacts = append(contacts, w.contactAddr(w.rng.IntN(w.size)))
	}
	n.Core = member.New(w.Queue.Now(), member.Settings{Self: n.Self, Contacts: contacts, Seed: w.seed})
	first := time.Duration(w.rng.Int64N(int64(member.TickInterval)))
	w.tick(n, first, n.run)
}

// Restart ends the run of a host and begins one with a later incarnation.
func (w *World) Restart(n *Node) {
	n.Self.Instance.Incarnation++
	w.Start(n)
}

func (w *World) tick(n *Node, delay time.Duration, run int) {
	w.Queue.After(delay, func() {
		if n.Dead || n.run != run {
			return
		}
		w.Do(n, func(out *member.Effects) { n.Core.Tick(w.Queue.Now(), out) })
		w.tick(n, member.TickInterval, run)
	})
}

// Do calls the core of a host, or keeps the call while the host is paused.
func (w *World) Do(n *Node, call func(out *member.Effects)) {
	if n.Paused {
		n.waiting = append(n.waiting, func() { w.Do(n, call) })
		return
	}
	var out member.Effects
	call(&out)
	w.apply(n, &out)
}

// Resume ends a pause; the calls that waited run at once.
func (w *World) Resume(n *Node) {
	n.Paused = false
	waiting := n.waiting
	n.waiting = nil
	for _, call := range waiting {
		call()
	}
}

func (w *World) apply(n *Node, out *member.Effects) {
	n.Records = append(n.Records, out.Records...)
	for i := range out.Records {
		if w.Trace != nil {
			w.Trace(w.Queue.Now(), n.Name, &out.Records[i])
		}
	}
	if out.View != nil {
		n.View = out.View
	}
	if out.Paused {
		n.Pauses++
	}
	for _, s := range out.Sends {
		w.deliver(n, s)
	}
	if out.MinIncarnation > 0 {
		n.Self.Instance.Incarnation = out.MinIncarnation
		n.Core.SetIncarnation(w.Queue.Now(), out.MinIncarnation)
	}
}

func (w *World) deliver(from *Node, s member.Send) {
	b, err := s.Message.Encode()
	if err != nil {
		panic(err)
	}
	from.Bytes += len(b) + datagramOverhead
	from.Messages++
	to := w.addr[s.To]
	if to == nil || w.rng.Float64() < w.Loss || (w.Cut != nil && w.Cut(from, to)) {
		return
	}
	delay := delayMin + time.Duration(w.rng.Int64N(int64(delayVar)))
	w.Queue.After(delay, func() {
		if to.Dead {
			return
		}
		m, err := member.DecodeMessage(b)
		if err != nil {
			panic(err)
		}
		w.Do(to, func(out *member.Effects) { to.Core.Receive(w.Queue.Now(), from.Self.Control, m, out) })
	})
}

// Run lets the virtual time pass.
func (w *World) Run(d time.Duration) { w.Queue.RunUntil(w.Queue.Now() + d) }

// StateOf returns the state of a host in the view of another.
func (n *Node) StateOf(other *Node) (member.State, bool) {
	if n.View == nil {
		return 0, false
	}
	at, found := slices.BinarySearchFunc(n.View.Members, other.Self.Instance.Host, func(m member.Member, id ids.HostID) int {
		return cmp.Compare(m.Instance.Host, id)
	})
	if !found {
		return 0, false
	}
	return n.View.Members[at].State, true
}

// ViewShows reports whether the view of a host shows another one in the state and
// in its present incarnation.
func (n *Node) ViewShows(other *Node, state member.State) bool {
	shown, known := n.StateOf(other)
	return known && shown == state && n.View.Find(other.Self.Instance.Host).Instance == other.Self.Instance
}

// AllViewsShow reports whether all running hosts show the host in the state.
func (w *World) AllViewsShow(other *Node, state member.State) bool {
	for _, n := range w.Nodes {
		if n != other && !n.Dead && !n.ViewShows(other, state) {
			return false
		}
	}
	return true
}

// Converged reports whether every running host sees every other one live.
func (w *World) Converged() bool {
	for _, n := range w.Nodes {
		if !n.Dead && !w.AllViewsShow(n, member.StateLive) {
			return false
		}
	}
	return true
}
