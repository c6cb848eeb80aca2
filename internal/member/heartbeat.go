package member

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

const (
	// heartbeatInterval is the interval of the heartbeats to the watchers.
	heartbeatInterval = 200 * time.Millisecond
	// heartbeatTimeout is the time without a message after which a watched host is
	// probed.
	heartbeatTimeout = 500 * time.Millisecond
	// watchersPerHost is the number of hosts that watch each host: its successors in
	// the order of host ids, which expect its heartbeats. Host ids are hashes, so the
	// watchers of the hosts of one availability zone are spread over all zones.
	watchersPerHost = 2
	// silentProbeAttempts and silentProbeInterval are the number of attempts and the
	// time between two of them in the probe of a watched host that went silent.
	silentProbeAttempts = 3
	silentProbeInterval = 100 * time.Millisecond
	// suspicionTargets is the number of hosts that are sent a newly raised suspicion
	// immediately.
	suspicionTargets = 6
)

// runHeartbeats sends the heartbeats that are due and probes watched hosts that
// went silent.
func (c *Core) runHeartbeats(now time.Duration, out *Effects) {
	if now >= c.nextHeartbeat {
		c.nextHeartbeat = now + heartbeatInterval
		for _, p := range c.neighbours(1) {
			c.sendHeartbeat(p, out)
		}
	}
	c.probeSilent(now, out)
}

// sendHeartbeat sends a heartbeat to a watcher. If updates are pending, a gossip
// message replaces it, since any message counts as a heartbeat.
func (c *Core) sendHeartbeat(p *peer, out *Effects) {
	if len(c.gossip.pending) > 0 {
		c.send(out, p.Control, &Message{Kind: KindGossip})
		return
	}
	from := Update{Name: c.self.Name, Incarnation: c.self.Incarnation, Counter: c.self.Counter}
	out.Sends = append(out.Sends, Send{To: p.Control, Message: &Message{Kind: KindHeartbeat, From: from}})
}

// probeSilent starts a probe of each watched host that has been silent for longer
// than heartbeatTimeout.
func (c *Core) probeSilent(now time.Duration, out *Effects) {
	watched := c.neighbours(-1)
	for _, p := range watched {
		if !slices.Contains(c.watched, p.id) {
			p.lastReceived = now
		}
		if p.State == StateLive && now-p.lastReceived > heartbeatTimeout && !c.probing(p.id) {
			c.startProbe(now, p, silentProbeAttempts, silentProbeInterval, out)
		}
	}
	c.watched = c.watched[:0]
	for _, p := range watched {
		c.watched = append(c.watched, p.id)
	}
}

// neighbours returns up to watchersPerHost hosts that follow this one in the
// order of host ids or, with step -1, that precede it. Dead hosts are skipped.
func (c *Core) neighbours(step int) []*peer {
	n := len(c.order)
	at, _ := slices.BinarySearch(c.order, c.selfID)
	if step < 0 {
		at--
	}
	var found []*peer
	for i := 0; i < n && len(found) < watchersPerHost; i++ {
		p := c.peers[c.order[((at+i*step)%n+n)%n]]
		if p.State != StateDead {
			found = append(found, p)
		}
	}
	return found
}

func (c *Core) probing(id ids.HostID) bool {
	return slices.ContainsFunc(c.probes, func(p probe) bool { return p.target == id })
}

// noteReceived records the time of a message from a host. If a heartbeat comes from
// a host that is not recorded as live with the heartbeat's incarnation and counter,
// one of the two hosts has outdated state. The sender is then pinged, because pings
// and acks carry the full states.
func (c *Core) noteReceived(now time.Duration, m *Message, out *Effects) {
	p := c.peers[ids.HostIDOf(m.From.Name)]
	if p == nil {
		return
	}
	if p.Incarnation == m.From.Incarnation {
		p.lastReceived = now
	}
	if m.Kind == KindHeartbeat && (p.State != StateLive || p.Incarnation != m.From.Incarnation || p.Counter != m.From.Counter) {
		c.ping(p, c.nextSequence(), out)
	}
}

// gossipSuspicion sends a newly raised suspicion without waiting for the next
// gossip round.
func (c *Core) gossipSuspicion(out *Effects) {
	for _, p := range c.pick(suspicionTargets, 0) {
		c.send(out, p.Control, &Message{Kind: KindGossip})
	}
}
