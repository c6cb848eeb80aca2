package hostcore

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/list"
	"mimosashore.example/mimosashore/internal/verdict"
)

// stopLinger is the time for which a host without work still answers callers
// that ask again, so that a lost refusal doesn't end as may have run.
const stopLinger = 2 * time.Second

// Stop begins a planned stop: nothing new is owned, running work finishes, the
// rest is handed back as not run.
func (c *Core) Stop(now time.Duration, out *Effects) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.lingerEnd = now + stopLinger
	c.refuseUnsent(now, verdict.ReasonStopping, out)
}

// Resume ends a planned stop that was taken back. The flows that callers have
// not renewed elsewhere are owned on.
func (c *Core) Resume() { c.stopping = false }

// refuseUnsent refuses each request that was not forwarded.
func (c *Core) refuseUnsent(now time.Duration, reason verdict.Reason, out *Effects) {
	c.each(func(r *request) {
		if r.state != stateForwarded {
			c.cancelRequest(now, r, reason, out)
		}
	})
}

// finishStop tells when a planned stop has no work left.
func (c *Core) finishStop(now time.Duration, out *Effects) {
	if !c.stopping {
		return
	}
	if c.requests.Len() > 0 {
		c.lingerEnd = now + stopLinger
		return
	}
	out.Stopped = now >= c.lingerEnd
}

// Reincarnate begins a new incarnation after a pause in which other hosts may
// have given this one up. What the old one owned takes no new request; what
// waits is refused as not run, and what was forwarded runs to its end.
func (c *Core) Reincarnate(now time.Duration, self ids.Instance, out *Effects) {
	if self == c.self {
		return
	}
	c.past = append(c.past, c.self.Incarnation)
	c.self = self
	for _, q := range [...]*list.List[flow]{&c.flows.unused, &c.flows.active} {
		for f := q.First(); f != nil; f = f.inQueue.Next() {
			f.retired = true
		}
	}
	c.refuseUnsent(now, verdict.ReasonOwnerGone, out)
}
