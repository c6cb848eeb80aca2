package spreadrun

import (
	"fmt"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/spread"
)

func (w *Simulation) connect(a, b *Node) {
	if b.ID < a.ID {
		a, b = b, a
	}
	key := [2]ids.HostID{a.ID, b.ID}
	if w.links[key] != nil {
		return
	}
	l := &link{a: a, b: b}
	w.links[key] = l
	w.dial(l)
}

// dial retries opening a link until it is up or resetLinks has removed it.
func (w *Simulation) dial(l *link) {
	w.Queue.After(w.linkDelay(), func() {
		if w.links[[2]ids.HostID{l.a.ID, l.b.ID}] != l || l.up {
			return
		}
		if w.isCut(l) || !l.a.started || !l.b.started {
			w.Queue.After(redialInterval, func() { w.dial(l) })
			return
		}
		l.up, l.cut = true, false
		w.Do(l.a, func(out *spread.Effects) { l.a.Core.LinkUp(w.Queue.Now(), l.b.ID, out) })
		w.Do(l.b, func(out *spread.Effects) { l.b.Core.LinkUp(w.Queue.Now(), l.a.ID, out) })
	})
}

func (w *Simulation) isCut(l *link) bool { return w.Cut != nil && w.Cut(l.a, l.b) }

func (w *Simulation) linkDelay() time.Duration {
	return linkDelayMin + time.Duration(w.rng.Int64N(int64(linkDelayJitter)))
}

func (w *Simulation) deliver(from *Node, s spread.Send) {
	to := w.byID[s.To]
	a, b := from, to
	if b.ID < a.ID {
		a, b = b, a
	}
	l := w.links[[2]ids.HostID{a.ID, b.ID}]
	if l == nil || !l.up {
		return
	}
	raw, err := s.Message.Encode()
	if err != nil {
		panic(err)
	}
	if w.isCut(l) {
		w.handleCut(l)
		return
	}
	from.Bytes += len(raw) + frameOverhead
	to.Bytes += len(raw) + frameOverhead
	w.traceSend(from, to, s.Message)
	run := to.run
	w.Queue.After(linkDelayMin+linkDelayJitter/2, func() {
		if to.run != run || !to.tryQueue() {
			return
		}
		m, err := spread.DecodeMessage(raw)
		if err != nil {
			panic(err)
		}
		w.Do(to, func(out *spread.Effects) { to.Core.Receive(w.Queue.Now(), from.ID, m, out) })
	})
}

// tryQueue reports whether the host takes a message, and counts the messages
// queued during a pause. It returns false if the queue of a paused host is full.
func (n *Node) tryQueue() bool {
	if !n.Paused {
		return true
	}
	n.queued++
	return n.queued <= linkQueueLimit
}

// handleCut is called for a message on a cut link. It closes the link once it
// has been cut for cutTimeout and dials it again.
func (w *Simulation) handleCut(l *link) {
	if !l.cut {
		l.cut, l.cutFrom = true, w.Queue.Now()
		return
	}
	if w.Queue.Now()-l.cutFrom < cutTimeout {
		return
	}
	w.closeLink(l)
	w.Queue.After(redialInterval, func() { w.dial(l) })
}

func (w *Simulation) closeLink(l *link) {
	if !l.up {
		return
	}
	l.up, l.cut = false, false
	for _, pair := range [][2]*Node{{l.a, l.b}, {l.b, l.a}} {
		n, other := pair[0], pair[1]
		if n.started {
			w.Do(n, func(*spread.Effects) { n.Core.LinkDown(w.Queue.Now(), other.ID) })
		}
	}
}

// resetLinks closes all links of a host that starts or stops, and dials those
// to running hosts again if it started.
func (w *Simulation) resetLinks(n *Node) {
	for _, other := range w.Nodes {
		a, b := n, other
		if b.ID < a.ID {
			a, b = b, a
		}
		key := [2]ids.HostID{a.ID, b.ID}
		if l := w.links[key]; l != nil {
			w.closeLink(l)
			delete(w.links, key)
			if n.started && other.started && other != n {
				w.connect(n, other)
			}
		}
	}
}

func (w *Simulation) trace(format string, args ...any) {
	if w.Trace == nil {
		return
	}
	w.Trace(fmt.Sprintf("%8.3f  ", w.Queue.Now().Seconds()) + fmt.Sprintf(format, args...))
}

func (w *Simulation) traceRecord(n *Node, r *spread.Record) {
	if w.Trace == nil {
		return
	}
	source := "the store"
	if r.Source != 0 {
		source = w.byID[r.Source].Name
	}
	line := n.Name + " spread: " + r.Event
	if r.Document != "" {
		line += fmt.Sprintf(" (%s revision %d from %s, held %d)", r.Document, r.Revision, source, r.Held)
	}
	if r.Reason != "" {
		line += ": " + r.Reason
	}
	w.trace("%s", line)
}

func (w *Simulation) traceSend(from, to *Node, m *spread.Message) {
	if w.Trace == nil || m.Kind == spread.KindHello {
		return
	}
	switch m.Kind {
	case spread.KindWant:
		w.trace("%s -> %s %s %v", from.Name, to.Name, m.Kind, m.Names)
	case spread.KindDocuments:
		w.trace("%s -> %s %s %d", from.Name, to.Name, m.Kind, len(m.Documents))
	case spread.KindDigest:
		w.trace("%s -> %s %s", from.Name, to.Name, m.Kind)
	default:
		line := fmt.Sprintf("%s -> %s %s", from.Name, to.Name, m.Kind)
		for _, item := range m.Items {
			line += fmt.Sprintf(" %s@%d", item.Name, item.Revision)
		}
		w.trace("%s", line)
	}
}
