package member

import (
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// Tick performs all actions that are due. It must be called every TickInterval.
func (c *Core) Tick(now time.Duration, out *Effects) {
	if now-c.lastTick > PauseThreshold {
		c.handlePause(now, out)
	}
	c.lastTick = now
	c.expireRelays(now)
	c.runHeartbeats(now, out)
	c.continueProbes(now, out)
	if now >= c.nextProbe {
		c.nextProbe = now + ProbePeriod
		c.probeNext(now, out)
		c.pingSuspects(out)
	}
	c.expireHosts(now, out)
	if now >= c.nextList {
		c.nextList = now + listInterval
		c.requestNextPage(out)
	}
	if now >= c.nextGossip {
		c.nextGossip = now + gossipInterval
		c.sendGossip(out)
	}
	if now >= c.nextRecontact {
		c.nextRecontact = now + recontactInterval
		c.recontact(out)
	}
	c.publish(out)
}

// handlePause restarts all suspicion and heartbeat timers and drops the pending
// probes, because the lack of messages during a pause says nothing about the other
// hosts.
func (c *Core) handlePause(now time.Duration, out *Effects) {
	out.Paused = true
	out.Records = append(out.Records, Record{Event: "paused", Host: c.self.Name, Reason: "time jumped by " + (now - c.lastTick).String()})
	c.probes = nil
	for _, id := range c.order {
		c.peers[id].since = now
		c.peers[id].lastReceived = now
	}
}

func (c *Core) expireRelays(now time.Duration) {
	for sequence, r := range c.relays {
		if now >= r.expires {
			delete(c.relays, sequence)
		}
	}
}

// probeNext probes the next host of the round, or pings contacts if no other host
// is known.
func (c *Core) probeNext(now time.Duration, out *Effects) {
	id, ok := c.nextTarget()
	if !ok {
		c.join(out)
		return
	}
	c.startProbe(now, c.peers[id], probeAttempts, attemptInterval, out)
}

// startProbe starts a probe with its first ping.
func (c *Core) startProbe(now time.Duration, p *peer, maxAttempts int, interval time.Duration, out *Effects) {
	pr := probe{
		target:      p.id,
		sequence:    c.nextSequence(),
		attempts:    1,
		maxAttempts: maxAttempts,
		interval:    interval,
		nextAttempt: now + interval,
	}
	c.probes = append(c.probes, pr)
	c.ping(p, pr.sequence, out)
}

func (c *Core) ping(p *peer, sequence uint64, out *Effects) {
	m := &Message{Kind: KindPing, Sequence: sequence}
	c.send(out, p.Control, c.withReceiverState(p.Update, m))
}

// pingSuspects pings the hosts that this host suspects, so that they can refute
// the suspicion even if gossip is slow.
func (c *Core) pingSuspects(out *Effects) {
	for _, id := range c.notLive {
		if p := c.peers[id]; p.suspectedLocally && p.State == StateSuspect {
			c.ping(p, c.nextSequence(), out)
		}
	}
}

// nextTarget returns the next host of the round that is not dead. An exhausted
// round is refilled in a new random order.
func (c *Core) nextTarget() (ids.HostID, bool) {
	for range 2 {
		for len(c.probeOrder) > 0 {
			id := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			if p := c.peers[id]; p != nil && p.State != StateDead {
				return id, true
			}
		}
		c.probeOrder = slices.Clone(c.order)
		c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	}
	return 0, false
}

// continueProbes starts the attempts that are due and raises a suspicion of each
// host whose last attempt timed out.
func (c *Core) continueProbes(now time.Duration, out *Effects) {
	pending := c.probes[:0]
	for _, pr := range c.probes {
		p := c.peers[pr.target]
		if now < pr.nextAttempt {
			pending = append(pending, pr)
			continue
		}
		if p == nil || p.State != StateLive {
			continue
		}
		if pr.attempts == pr.maxAttempts {
			c.suspect(now, p, out)
			continue
		}
		pr.attempts++
		pr.nextAttempt = now + pr.interval
		pending = append(pending, pr)
		c.ping(p, pr.sequence, out)
		for _, helper := range c.pick(indirectProbes, p.id) {
			c.send(out, helper.Control, &Message{Kind: KindPingRequest, Sequence: pr.sequence, Target: p.Control})
		}
	}
	c.probes = pending
}

// suspect raises a suspicion. A host that announced a planned stop is declared
// dead immediately, which saves the fleet one state change.
func (c *Core) suspect(now time.Duration, p *peer, out *Effects) {
	u := p.Update
	if u.Leaving {
		u.State = StateDead
		c.setState(now, p, u, "leaving, and no ack of a probe", out)
		return
	}
	u.State = StateSuspect
	c.setState(now, p, u, "no ack of a probe", out)
	p.suspectedLocally = true
	c.gossipSuspicion(out)
}

// expireHosts declares suspects dead after the suspicion timeout and removes
// hosts that have been dead for DeadRetention.
func (c *Core) expireHosts(now time.Duration, out *Effects) {
	limit := c.suspicionTimeout()
	for _, id := range slices.Clone(c.notLive) {
		p := c.peers[id]
		switch {
		case p.State == StateSuspect && now-p.since >= limit:
			u := p.Update
			u.State = StateDead
			c.setState(now, p, u, "suspicion not refuted", out)
		case p.State == StateDead && now-p.since >= DeadRetention:
			c.removePeer(id)
		}
	}
}

func (c *Core) removePeer(id ids.HostID) {
	delete(c.peers, id)
	c.notLive = slices.DeleteFunc(c.notLive, func(other ids.HostID) bool { return other == id })
	if at, found := slices.BinarySearch(c.order, id); found {
		c.order = slices.Delete(c.order, at, at+1)
	}
	c.changed = true
}

// sendGossip sends pending updates in dedicated gossip messages, without
// waiting for messages to piggyback them on.
func (c *Core) sendGossip(out *Effects) {
	for _, p := range c.pick(gossipTargets, 0) {
		if len(c.gossip.pending) == 0 {
			return
		}
		c.send(out, p.Control, &Message{Kind: KindGossip})
	}
}

// requestNextPage requests the next page of the member list from a random host, so
// that updates missed by gossip are repaired.
func (c *Core) requestNextPage(out *Effects) {
	if !c.listComplete {
		c.cursor = 0
	}
	for _, p := range c.pick(1, 0) {
		c.requestPage(p.Control, out)
	}
}

// recontact pings a random dead host or contact that is not a member, so that the
// end of a network partition is detected.
func (c *Core) recontact(out *Effects) {
	memberAddrs := make(map[netip.AddrPort]bool, len(c.order))
	memberAddrs[c.self.Control] = true
	var candidates []netip.AddrPort
	for _, id := range c.order {
		p := c.peers[id]
		memberAddrs[p.Control] = p.State != StateDead
		if p.State == StateDead {
			candidates = append(candidates, p.Control)
		}
	}
	for _, contact := range c.contacts {
		if _, known := memberAddrs[contact]; !known {
			candidates = append(candidates, contact)
		}
	}
	if len(candidates) == 0 {
		return
	}
	to := candidates[c.rng.IntN(len(candidates))]
	m := &Message{Kind: KindPing, Sequence: c.nextSequence()}
	if p := c.deadPeerAt(to); p != nil {
		c.withReceiverState(p.Update, m)
	}
	c.send(out, to, m)
}

func (c *Core) deadPeerAt(control netip.AddrPort) *peer {
	for _, id := range c.notLive {
		if p := c.peers[id]; p.Control == control && p.State == StateDead {
			return p
		}
	}
	return nil
}

// join pings a few contacts, starting at a random one.
func (c *Core) join(out *Effects) {
	if len(c.contacts) == 0 {
		return
	}
	start := c.rng.IntN(len(c.contacts))
	for i := range min(maxJoinContacts, len(c.contacts)) {
		to := c.contacts[(start+i)%len(c.contacts)]
		if to != c.self.Control {
			c.send(out, to, &Message{Kind: KindPing, Sequence: c.nextSequence()})
		}
	}
}

// pick returns up to n random live hosts other than the excluded one.
func (c *Core) pick(n int, exclude ids.HostID) []*peer {
	var picked []*peer
	if len(c.order) == 0 {
		return nil
	}
	// Draws more often than needed, because a draw may hit a host that is not live,
	// excluded or already picked.
	for range 4 * n {
		p := c.peers[c.order[c.rng.IntN(len(c.order))]]
		if p.State == StateLive && p.id != exclude && !slices.Contains(picked, p) {
			picked = append(picked, p)
		}
		if len(picked) == n {
			break
		}
	}
	return picked
}
