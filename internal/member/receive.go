package member

import (
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// Receive handles a message from another host.
func (c *Core) Receive(now time.Duration, from netip.AddrPort, m *Message, out *Effects) {
	if m.From.Name == c.self.Name && m.From.Incarnation == c.self.Incarnation {
		return
	}
	c.heard(now, m, out)
	if m.Kind == KindHeartbeat {
		return
	}
	c.learn(now, m.From, out)
	for i := range m.Updates {
		c.learn(now, m.Updates[i], out)
	}
	switch m.Kind {
	case KindPing:
		c.send(out, from, c.withVerdict(m.From, &Message{Kind: KindAck, Sequence: m.Sequence}))
	case KindAck:
		c.acked(m, out)
	case KindPingRequest:
		c.relayPing(now, from, m, out)
	case KindList:
		c.sendPage(now, from, m, out)
	case KindPage:
		c.paged(m, out)
	}
}

// withVerdict adds what is held against the receiver, so that it can refute.
func (c *Core) withVerdict(to Update, m *Message) *Message {
	p := c.peers[ids.HostIDOf(to.Name)]
	if p != nil && p.State != StateLive {
		m.Updates = append(c.gossip.take(piggybacked, c.transmissions()), p.Update)
	}
	return m
}

// acked ends the probe in course, or passes the ack on to the host that asked for it.
func (c *Core) acked(m *Message, out *Effects) {
	if r, ok := c.relays[m.Sequence]; ok {
		delete(c.relays, m.Sequence)
		c.send(out, r.to, &Message{Kind: KindAck, Sequence: r.sequence})
		return
	}
	c.probes = slices.DeleteFunc(c.probes, func(p probe) bool { return p.sequence == m.Sequence })
	if !c.listedAll && c.cursor == 0 {
		c.askPage(m.From.Control, out)
	}
}

func (c *Core) relayPing(now time.Duration, from netip.AddrPort, m *Message, out *Effects) {
	sequence := c.nextSequence()
	c.relays[sequence] = relay{to: from, sequence: m.Sequence, expires: now + relayKeep}
	c.send(out, m.Target, &Message{Kind: KindPing, Sequence: sequence})
}

func (c *Core) sendPage(now time.Duration, to netip.AddrPort, m *Message, out *Effects) {
	updates, next := c.page(m.After)
	c.send(out, to, &Message{
		Kind: KindPage, Sequence: m.Sequence, After: m.After, Next: next, Whole: c.Joined(now), Updates: updates,
	})
}

// page returns the members after a host id and where the page ends.
func (c *Core) page(after ids.HostID) ([]Update, ids.HostID) {
	start, found := slices.BinarySearch(c.order, after)
	if found {
		start++
	}
	end := min(start+pageUpdates, len(c.order))
	updates := make([]Update, 0, end-start)
	for _, id := range c.order[start:end] {
		updates = append(updates, c.peers[id].Update)
	}
	if end == len(c.order) {
		return updates, 0
	}
	return updates, c.order[end-1]
}

// paged goes on with the next page at once while the host joins, and at the
// pace of the ticks after that.
func (c *Core) paged(m *Message, out *Effects) {
	if m.After != c.cursor {
		return
	}
	c.cursor = m.Next
	if m.Next == 0 {
		c.listedAll = c.listedAll || m.Whole
		return
	}
	if !c.listedAll {
		c.askPage(m.From.Control, out)
	}
}

func (c *Core) askPage(to netip.AddrPort, out *Effects) {
	c.send(out, to, &Message{Kind: KindList, Sequence: c.nextSequence(), After: c.cursor})
}

// learn takes in what another host says of a host.
func (c *Core) learn(now time.Duration, u Update, out *Effects) {
	id := ids.HostIDOf(u.Name)
	if id == c.selfID {
		c.learnSelf(u, out)
		return
	}
	p := c.peers[id]
	if p == nil {
		if u.State == StateDead {
			// A host that was never known live need not be known as dead.
			return
		}
		c.addPeer(now, id, u, out)
		return
	}
	if u.State == StateDead && !u.Leaving && !c.acceptsDeath(now, p, &u) {
		u.State = StateSuspect
	}
	if !u.outranks(&p.Update) {
		return
	}
	c.change(now, p, u, "told by another host", out)
}

// acceptsDeath reports whether a verdict of others agrees with what this host
// saw. A verdict on a host that isn't long suspect here may come from beyond a
// cut; it raises a suspicion, which the host can refute.
func (c *Core) acceptsDeath(now time.Duration, p *peer, u *Update) bool {
	same := u.Incarnation == p.Incarnation && u.Counter == p.Counter
	return same && p.State == StateSuspect && now-p.since >= c.suspicionTime()/2
}

// learnSelf refutes what others hold against this host.
func (c *Core) learnSelf(u Update, out *Effects) {
	if u.Incarnation > c.self.Incarnation {
		out.MinIncarnation = max(out.MinIncarnation, u.Incarnation+1)
		return
	}
	if u.Incarnation < c.self.Incarnation || u.Counter < c.self.Counter || u.State == StateLive {
		return
	}
	c.self.Counter = u.Counter + 1
	c.announceSelf()
	out.Records = append(out.Records, Record{Event: "refuted", Host: c.self.Name, State: u.State, Reason: "this host runs"})
}

func (c *Core) addPeer(now time.Duration, id ids.HostID, u Update, out *Effects) {
	p := &peer{Update: u, id: id, since: now}
	c.peers[id] = p
	c.noteHealth(p)
	at, _ := slices.BinarySearch(c.order, id)
	c.order = slices.Insert(c.order, at, id)
	// A new host comes up at a random place of the round that runs.
	place := c.rng.IntN(len(c.round) + 1)
	c.round = slices.Insert(c.round, place, id)
	c.gossip.add(u)
	c.changed = true
	out.Records = append(out.Records, Record{Event: "host known", Host: u.Name, State: p.shown(), Reason: "told by another host"})
}

func (c *Core) change(now time.Duration, p *peer, u Update, why string, out *Effects) {
	before := p.shown()
	p.Update, p.since, p.suspectedHere = u, now, false
	c.noteHealth(p)
	c.gossip.add(u)
	c.changed = true
	event := "host changed"
	if before == StateDead && p.shown() != StateDead {
		event = "host returned"
	}
	out.Records = append(out.Records, Record{Event: event, Host: u.Name, State: p.shown(), Reason: why})
}

// noteHealth keeps the list of peers that are suspect or dead.
func (c *Core) noteHealth(p *peer) {
	at, found := slices.BinarySearch(c.unwell, p.id)
	switch {
	case p.State == StateLive && found:
		c.unwell = slices.Delete(c.unwell, at, at+1)
	case p.State != StateLive && !found:
		c.unwell = slices.Insert(c.unwell, at, p.id)
	}
}
