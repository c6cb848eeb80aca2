package hostcore

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/list"
	"mimosashore.example/mimosashore/internal/verdict"
)

// stopLinger is the time for which a stopping host without work still answers
// repeated requests. Otherwise a request whose refusal was lost would end as may
// have run.
const stopLinger = 2 * time.Second

// Stop begins a planned stop. The host takes no new flows or requests. Requests
// already forwarded run to completion. All others are refused as not run, unless
// an earlier attempt may have run.
func (c *Core) Stop(now time.Duration, out *Effects) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.lingerEnd = now + stopLinger
	c.refuseUnsent(now, verdict.ReasonStopping, out)
}

// Resume cancels a planned stop. The host keeps serving the flows that callers
// have not yet renewed elsewhere.
func (c *Core) Resume() { c.stopping = false }

// refuseUnsent refuses all requests that were not forwarded.
func (c *Core) refuseUnsent(now time.Duration, reason verdict.Reason, out *Effects) {
	c.forEachRequest(func(r *request) {
		if r.state != stateForwarded {
			c.cancelRequest(now, r, reason, out)
		}
	})
}

// finishStop sets out.Stopped once a planned stop has had no work for stopLinger.
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

// Reincarnate switches to a new incarnation after a pause of the process in which
// other hosts may have declared this one dead. Flows of the old incarnation take
// no new requests. Requests already forwarded run to completion. All others are
// refused as not run, unless an earlier attempt may have run.
func (c *Core) Reincarnate(now time.Duration, self ids.Instance, out *Effects) {
	if self == c.self {
		return
	}
	c.pastIncarnations = append(c.pastIncarnations, c.self.Incarnation)
	c.self = self
	for _, q := range [...]*list.List[flow]{&c.flows.unused, &c.flows.active} {
		for f := q.First(); f != nil; f = f.queueLinks.Next() {
			f.retired = true
		}
	}
	c.refuseUnsent(now, verdict.ReasonOwnerGone, out)
}
