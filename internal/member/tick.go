package member

import (
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// Tick does what is due by time alone.
func (c *Core) Tick(now time.Duration, out *Effects) {
	if now-c.lastTick > PauseLimit {
		c.afterPause(now, out)
	}
	c.lastTick = now
	c.dropRelays(now)
	c.beat(now, out)
	c.goOnProbing(now, out)
	if now >= c.nextProbe {
		c.nextProbe = now + ProbePeriod
		c.startProbe(now, out)
		c.pingSuspects(out)
	}
	c.judgeSuspects(now, out)
	if now >= c.nextList {
		c.nextList = now + listInterval
		c.listNext(out)
	}
	if now >= c.nextRound {
		c.nextRound = now + gossipInterval
		c.spreadUpdates(out)
	}
	if now >= c.nextRetry {
		c.nextRetry = now + recontactInterval
		c.recontact(out)
	}
	c.publish(out)
}

// afterPause gives every suspicion a new start: what this host missed says
// nothing about the others.
func (c *Core) afterPause(now time.Duration, out *Effects) {
	out.Paused = true
	out.Records = append(out.Records, Record{Event: "paused", Host: c.self.Name, Reason: "time jumped by " + (now - c.lastTick).String()})
	c.probes = nil
	for _, id := range c.order {
		c.peers[id].since = now
		c.peers[id].heardAt = now
	}
}

func (c *Core) dropRelays(now time.Duration) {
	for sequence, r := range c.relays {
		if now >= r.expires {
			delete(c.relays, sequence)
		}
	}
}

// startProbe pings the next host of the round, or contacts while none is known.
func (c *Core) startProbe(now time.Duration, out *Effects) {
	id, ok := c.nextTarget()
	if !ok {
		c.join(out)
		return
	}
	c.probe(now, c.peers[id], probeAttempts, attemptInterval, out)
}

// probe makes the first attempt to get an ack from a host.
func (c *Core) probe(now time.Duration, p *peer, limit int, interval time.Duration, out *Effects) {
	pr := probe{
		target:   p.id,
		sequence: c.nextSequence(),
		attempts: 1,
		limit:    limit,
		interval: interval,
		next:     now + interval,
	}
	c.probes = append(c.probes, pr)
	c.ping(p, pr.sequence, out)
}

func (c *Core) ping(p *peer, sequence uint64, out *Effects) {
	m := &Message{Kind: KindPing, Sequence: sequence}
	c.send(out, p.Control, c.withVerdict(p.Update, m))
}

// pingSuspects tells the hosts that this host suspects, so that they can refute
// also where the spreading of changes is slow.
func (c *Core) pingSuspects(out *Effects) {
	for _, id := range c.unwell {
		if p := c.peers[id]; p.suspectedHere && p.State == StateSuspect {
			c.ping(p, c.nextSequence(), out)
		}
	}
}

// nextTarget returns the next host of the round that isn't dead.
func (c *Core) nextTarget() (ids.HostID, bool) {
	for range 2 {
		for len(c.round) > 0 {
			id := c.round[0]
			c.round = c.round[1:]
			if p := c.peers[id]; p != nil && p.State != StateDead {
				return id, true
			}
		}
		c.round = slices.Clone(c.order)
		c.rng.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
	}
	return 0, false
}

// goOnProbing makes the next attempts of the probes and suspects the hosts
// from which no attempt brought an ack.
func (c *Core) goOnProbing(now time.Duration, out *Effects) {
	open := c.probes[:0]
	for _, pr := range c.probes {
		p := c.peers[pr.target]
		if now < pr.next {
			open = append(open, pr)
			continue
		}
		if p == nil || p.State != StateLive {
			continue
		}
		if pr.attempts == pr.limit {
			c.suspect(now, p, out)
			continue
		}
		pr.attempts++
		pr.next = now + pr.interval
		open = append(open, pr)
		c.ping(p, pr.sequence, out)
		for _, helper := range c.pick(indirectProbes, p.id) {
			c.send(out, helper.Control, &Message{Kind: KindPingRequest, Sequence: pr.sequence, Target: p.Control})
		}
	}
	c.probes = open
}

// suspect raises a suspicion. A host that announced its end is taken for dead
// at once, which spares the fleet one change.
func (c *Core) suspect(now time.Duration, p *peer, out *Effects) {
	u := p.Update
	if u.Leaving {
		u.State = StateDead
		c.change(now, p, u, "leaving, and no ack of a probe", out)
		return
	}
	u.State = StateSuspect
	c.change(now, p, u, "no ack of a probe", out)
	p.suspectedHere = true
	c.tellOfSuspicion(out)
}

// judgeSuspects declares suspects dead that didn't refute in time and forgets
// hosts that have been dead for long.
func (c *Core) judgeSuspects(now time.Duration, out *Effects) {
	limit := c.suspicionTime()
	for _, id := range slices.Clone(c.unwell) {
		p := c.peers[id]
		switch {
		case p.State == StateSuspect && now-p.since >= limit:
			u := p.Update
			u.State = StateDead
			c.change(now, p, u, "suspicion not refuted", out)
		case p.State == StateDead && now-p.since >= DeadKeep:
			c.forget(id)
		}
	}
}

func (c *Core) forget(id ids.HostID) {
	delete(c.peers, id)
	c.unwell = slices.DeleteFunc(c.unwell, func(other ids.HostID) bool { return other == id })
	if at, found := slices.BinarySearch(c.order, id); found {
		c.order = slices.Delete(c.order, at, at+1)
	}
	c.changed = true
}

// spreadUpdates sends pending updates ahead of the messages that carry them anyway.
func (c *Core) spreadUpdates(out *Effects) {
	for _, p := range c.pick(gossipTargets, 0) {
		if len(c.gossip.pending) == 0 {
			return
		}
		c.send(out, p.Control, &Message{Kind: KindGossip})
	}
}

// listNext asks a random host for the next page of its list, so that what the
// spreading of changes missed is repaired.
func (c *Core) listNext(out *Effects) {
	if !c.listedAll {
		c.cursor = 0
	}
	for _, p := range c.pick(1, 0) {
		c.askPage(p.Control, out)
	}
}

// recontact pings one contact or dead host, so that a cut that ended is noticed.
func (c *Core) recontact(out *Effects) {
	live := make(map[netip.AddrPort]bool, len(c.order))
	live[c.self.Control] = true
	var candidates []netip.AddrPort
	for _, id := range c.order {
		p := c.peers[id]
		live[p.Control] = p.State != StateDead
		if p.State == StateDead {
			candidates = append(candidates, p.Control)
		}
	}
	for _, contact := range c.contacts {
		if _, known := live[contact]; !known {
			candidates = append(candidates, contact)
		}
	}
	if len(candidates) == 0 {
		return
	}
	to := candidates[c.rng.IntN(len(candidates))]
	m := &Message{Kind: KindPing, Sequence: c.nextSequence()}
	if p := c.deadAt(to); p != nil {
		c.withVerdict(p.Update, m)
	}
	c.send(out, to, m)
}

func (c *Core) deadAt(control netip.AddrPort) *peer {
	for _, id := range c.unwell {
		if p := c.peers[id]; p.Control == control && p.State == StateDead {
			return p
		}
	}
	return nil
}

// join pings some contacts.
func (c *Core) join(out *Effects) {
	if len(c.contacts) == 0 {
		return
	}
	start := c.rng.IntN(len(c.contacts))
	for i := range min(joinContacts, len(c.contacts)) {
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
	// A few draws more than needed make up for hosts that can't be taken.
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
