// Package memberrun simulates the membership protocol of a fleet in virtual time
// over an in-memory network, with datagram loss, network partitions, paused and
// killed hosts, and measures detection times, false suspicions and traffic.
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

// The one-way network delay is delayMin plus a random part below delayJitter.
const (
	delayMin    = 300 * time.Microsecond
	delayJitter = 700 * time.Microsecond
)

// datagramOverhead is the size of the IP and UDP headers, in bytes.
const datagramOverhead = 28

// contactCount is the number of contact addresses that each host starts with.
const contactCount = 5

// Node is one simulated host.
type Node struct {
	Name string
	Self member.Member
	Core *member.Core
	View *member.View
	// Paused defers the calls of the host until Resume.
	Paused bool
	// Dead drops the datagrams and ticks of the host until it is started again.
	Dead bool
	// Bytes and Messages count the traffic sent by the host, Bytes with the IP
	// and UDP headers.
	Bytes    int
	Messages int
	// Pauses counts the pauses of the process that the core reported.
	Pauses  int
	Records []member.Record
	// waiting holds the calls deferred while the host is paused.
	waiting []func()
	// run counts the starts of the host.
	run int
}

// Simulation is a simulated fleet and its network.
type Simulation struct {
	Queue virtualtime.Queue
	Nodes []*Node
	// Loss is the share of datagrams lost, from 0 to 1.
	Loss float64
	// Trace, if set, is called for each membership record of a host.
	Trace func(now time.Duration, host string, r *member.Record)
	// Cut, if set, reports whether the network path from one host to another is cut.
	Cut    func(from, to *Node) bool
	seed   uint64
	size   int
	rng    *rand.Rand
	byAddr map[netip.AddrPort]*Node
}

// New returns a simulation of n started hosts in the given number of availability
// zones.
func New(n, zones int, seed uint64) *Simulation {
	w := &Simulation{seed: seed, size: n, rng: rand.New(rand.NewPCG(seed, 0)), byAddr: make(map[netip.AddrPort]*Node)}
	for i := range n {
		name := fmt.Sprintf("host-%03d", i)
		control := w.controlAddr(i)
		node := &Node{Name: name, Self: member.Member{
			Instance: ids.Instance{Host: ids.HostIDOf(name), Incarnation: 1},
			Name:     name, Zone: fmt.Sprintf("zone-%d", i%zones), Data: control, Control: control,
		}}
		w.Nodes = append(w.Nodes, node)
		w.byAddr[control] = node
		w.Start(node)
	}
	return w
}

// controlAddr returns the control address of the host with index i.
func (w *Simulation) controlAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// Start starts a host in its current incarnation, with empty state.
func (w *Simulation) Start(n *Node) {
	n.Dead, n.Paused, n.waiting = false, false, nil
	n.run++
	var contacts []netip.AddrPort
	for range contactCount {
		contacts = append(contacts, w.controlAddr(w.rng.IntN(w.size)))
	}
	n.Core = member.New(w.Queue.Now(), member.Settings{Self: n.Self, Contacts: contacts, Seed: w.seed})
	first := time.Duration(w.rng.Int64N(int64(member.TickInterval)))
	w.tick(n, first, n.run)
}

// Restart starts a host again in its next incarnation.
func (w *Simulation) Restart(n *Node) {
	n.Self.Instance.Incarnation++
	w.Start(n)
}

func (w *Simulation) tick(n *Node, delay time.Duration, run int) {
	w.Queue.After(delay, func() {
		if n.Dead || n.run != run {
			return
		}
		w.Do(n, func(out *member.Effects) { n.Core.Tick(w.Queue.Now(), out) })
		w.tick(n, member.TickInterval, run)
	})
}

// Do runs a call on the core of a host and applies its effects. While the host
// is paused, the call is deferred until Resume.
func (w *Simulation) Do(n *Node, call func(out *member.Effects)) {
	if n.Paused {
		n.waiting = append(n.waiting, func() { w.Do(n, call) })
		return
	}
	var out member.Effects
	call(&out)
	w.apply(n, &out)
}

// Resume ends a pause and runs the deferred calls.
func (w *Simulation) Resume(n *Node) {
	n.Paused = false
	waiting := n.waiting
	n.waiting = nil
	for _, call := range waiting {
		call()
	}
}

func (w *Simulation) apply(n *Node, out *member.Effects) {
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

func (w *Simulation) deliver(from *Node, s member.Send) {
	b, err := s.Message.Encode()
	if err != nil {
		panic(err)
	}
	from.Bytes += len(b) + datagramOverhead
	from.Messages++
	to := w.byAddr[s.To]
	if to == nil || w.rng.Float64() < w.Loss || (w.Cut != nil && w.Cut(from, to)) {
		return
	}
	delay := delayMin + time.Duration(w.rng.Int64N(int64(delayJitter)))
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

// Run advances the virtual time by d.
func (w *Simulation) Run(d time.Duration) { w.Queue.RunUntil(w.Queue.Now() + d) }

// StateOf returns the state of other in the view of n. It returns false if the
// view does not contain it.
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

// ViewShows reports whether other has the given state, in its current incarnation, in
// the view of n.
func (n *Node) ViewShows(other *Node, state member.State) bool {
	shown, known := n.StateOf(other)
	return known && shown == state && n.View.Find(other.Self.Instance.Host).Instance == other.Self.Instance
}

// AllViewsShow reports whether other has the given state in the views of all other
// running hosts.
func (w *Simulation) AllViewsShow(other *Node, state member.State) bool {
	for _, n := range w.Nodes {
		if n != other && !n.Dead && !n.ViewShows(other, state) {
			return false
		}
	}
	return true
}

// Converged reports whether every running host is live in the views of all others.
func (w *Simulation) Converged() bool {
	for _, n := range w.Nodes {
		if !n.Dead && !w.AllViewsShow(n, member.StateLive) {
			return false
		}
	}
	return true
}
