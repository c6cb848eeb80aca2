package member

import (
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// Receive handles a message from the control address of another host.
func (c *Core) Receive(now time.Duration, from netip.AddrPort, m *Message, out *Effects) {
	if m.From.Name == c.self.Name && m.From.Incarnation == c.self.Incarnation {
		return
	}
	c.noteReceived(now, m, out)
	if m.Kind == KindHeartbeat {
		return
	}
	c.applyUpdate(now, m.From, out)
	for i := range m.Updates {
		c.applyUpdate(now, m.Updates[i], out)
	}
	switch m.Kind {
	case KindPing:
		c.send(out, from, c.withReceiverState(m.From, &Message{Kind: KindAck, Sequence: m.Sequence}))
	case KindAck:
		c.handleAck(m, out)
	case KindPingRequest:
		c.relayPing(now, from, m, out)
	case KindList:
		c.sendPage(now, from, m, out)
	case KindPage:
		c.handlePage(m, out)
	}
}

// withReceiverState adds the recorded state of the receiver to a message if it is
// suspect or dead, so that the receiver can refute it.
func (c *Core) withReceiverState(to Update, m *Message) *Message {
	p := c.peers[ids.HostIDOf(to.Name)]
	if p != nil && p.State != StateLive {
		m.Updates = append(c.gossip.take(maxPiggybacked, c.transmissions()), p.Update)
	}
	return m
}

// handleAck relays the ack of a relayed ping, or ends the probe that it answers.
// It requests the first page of the member list while none has been received.
func (c *Core) handleAck(m *Message, out *Effects) {
	if r, ok := c.relays[m.Sequence]; ok {
		delete(c.relays, m.Sequence)
		c.send(out, r.to, &Message{Kind: KindAck, Sequence: r.sequence})
		return
	}
	c.probes = slices.DeleteFunc(c.probes, func(p probe) bool { return p.sequence == m.Sequence })
	if !c.listComplete && c.cursor == 0 {
		c.requestPage(m.From.Control, out)
	}
}

func (c *Core) relayPing(now time.Duration, from netip.AddrPort, m *Message, out *Effects) {
	sequence := c.nextSequence()
	c.relays[sequence] = relay{to: from, sequence: m.Sequence, expires: now + relayTTL}
	c.send(out, m.Target, &Message{Kind: KindPing, Sequence: sequence})
}

func (c *Core) sendPage(now time.Duration, to netip.AddrPort, m *Message, out *Effects) {
	updates, next := c.page(m.After)
	c.send(out, to, &Message{
		Kind: KindPage, Sequence: m.Sequence, After: m.After, Next: next, Complete: c.Joined(now), Updates: updates,
	})
}

// page returns the members whose host id is greater than after, and the last host
// id of the page or zero at the end of the list.
func (c *Core) page(after ids.HostID) ([]Update, ids.HostID) {
	start, found := slices.BinarySearch(c.order, after)
	if found {
		start++
	}
	end := min(start+maxPageUpdates, len(c.order))
	updates := make([]Update, 0, end-start)
	for _, id := range c.order[start:end] {
		updates = append(updates, c.peers[id].Update)
	}
	if end == len(c.order) {
		return updates, 0
	}
	return updates, c.order[end-1]
}

// handlePage records the end of a page. Until the member list is complete it
// requests the next page immediately; after that, pages are requested at
// listInterval.
func (c *Core) handlePage(m *Message, out *Effects) {
	if m.After != c.cursor {
		return
	}
	c.cursor = m.Next
	if m.Next == 0 {
		c.listComplete = c.listComplete || m.Complete
		return
	}
	if !c.listComplete {
		c.requestPage(m.From.Control, out)
	}
}

func (c *Core) requestPage(to netip.AddrPort, out *Effects) {
	c.send(out, to, &Message{Kind: KindList, Sequence: c.nextSequence(), After: c.cursor})
}

// applyUpdate applies an update received from another host.
func (c *Core) applyUpdate(now time.Duration, u Update, out *Effects) {
	id := ids.HostIDOf(u.Name)
	if id == c.selfID {
		c.refute(u, out)
		return
	}
	p := c.peers[id]
	if p == nil {
		if u.State == StateDead {
			// An unknown host that is already dead needs no entry.
			return
		}
		c.addPeer(now, id, u, out)
		return
	}
	if u.State == StateDead && !u.Leaving && !c.confirmsDeath(now, p, &u) {
		u.State = StateSuspect
	}
	if !u.outranks(&p.Update) {
		return
	}
	c.setState(now, p, u, "told by another host", out)
}

// confirmsDeath reports whether an update that declares a host dead is consistent
// with local observations. An update about a host that has not been suspect here
// for at least half of the suspicion timeout may come from the other side of a
// network partition. It is taken as a suspicion, which the host can refute.
func (c *Core) confirmsDeath(now time.Duration, p *peer, u *Update) bool {
	same := u.Incarnation == p.Incarnation && u.Counter == p.Counter
	return same && p.State == StateSuspect && now-p.since >= c.suspicionTimeout()/2
}

// refute raises the counter of this host if an update declares it suspect or dead.
// An update with a later incarnation requires this host to take a new one.
func (c *Core) refute(u Update, out *Effects) {
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
	c.trackNotLive(p)
	at, _ := slices.BinarySearch(c.order, id)
	c.order = slices.Insert(c.order, at, id)
	// A new host joins the current probe round at a random position.
	place := c.rng.IntN(len(c.probeOrder) + 1)
	c.probeOrder = slices.Insert(c.probeOrder, place, id)
	c.gossip.add(u)
	c.changed = true
	out.Records = append(out.Records, Record{Event: "host known", Host: u.Name, State: p.viewState(), Reason: "told by another host"})
}

func (c *Core) setState(now time.Duration, p *peer, u Update, reason string, out *Effects) {
	before := p.viewState()
	p.Update, p.since, p.suspectedLocally = u, now, false
	c.trackNotLive(p)
	c.gossip.add(u)
	c.changed = true
	event := "host changed"
	if before == StateDead && p.viewState() != StateDead {
		event = "host returned"
	}
	out.Records = append(out.Records, Record{Event: event, Host: u.Name, State: p.viewState(), Reason: reason})
}

// trackNotLive adds a peer to the list of suspect or dead peers, or removes it.
func (c *Core) trackNotLive(p *peer) {
	at, found := slices.BinarySearch(c.notLive, p.id)
	switch {
	case p.State == StateLive && found:
		c.notLive = slices.Delete(c.notLive, at, at+1)
	case p.State != StateLive && !found:
		c.notLive = slices.Insert(c.notLive, at, p.id)
	}
}
