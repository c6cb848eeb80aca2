package dsr

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/loadcontrol"
	"mimosashore.example/mimosashore/internal/schedule"
)

// lateSearchSize is the number of waiting SYNs, in the order of their arrival, that are looked at in a search for those
// that can't be in time.
const lateSearchSize = 64

// serve releases a request that takes a slot. It is routed anew, since the directory or the flow may
// have changed meanwhile.
func (c *Core) serve(now time.Duration, w *waitingRequest) {
	c.forget(w)
	c.waiting.draining = true
	var e Effect
	for i := range w.packets {
		p := &w.packets[i].header
		if p.SYN {
			e = c.handleSYN(now, p)
		} else {
			if f := c.cache.flows[w.key]; f != nil && i == 0 {
				f.countedAsked = true
			}
			e = c.routePacket(now, p)
		}
		c.release(w, i, e)
	}
	c.waiting.draining = false
	if f := c.cache.flows[w.key]; f != nil && w.upstream == nil {
		f.countedAsked = true
	}
	rec := Record{
		Event: "request waited", Action: e.Action, Caller: w.key.caller, Address: w.key.service, Service: w.service.name, Detail: e.Reason.String(),
		Token: e.Token, To: e.To, Rank: w.rank, Waiting: w.service.queue.Len(), Waited: now - w.since,
	}
	if u := c.tokens[e.Token]; u != nil {
		rec.Upstream = u.Key
	}
	c.emit(rec)
	c.samples = append(c.samples, Sample{SampleWait, now - w.since})
	c.recycle(w)
}

// serveAt releases a request that takes a slot of the given upstream.
func (c *Core) serveAt(now time.Duration, w *waitingRequest, u *upstream) {
	c.waiting.target = u
	c.serve(now, w)
	c.waiting.target = nil
}

// serveWaiting gives free slots to waiting requests, and ends the wait of those that will not be served.
func (c *Core) serveWaiting(now time.Duration) {
	if len(c.waiting.byKey) == 0 {
		return
	}
	for _, s := range c.waiting.services {
		c.serveService(now, s)
	}
	c.waiting.services = slices.DeleteFunc(c.waiting.services, func(s *service) bool { return s.queue.Len() == 0 })
}

func (c *Core) serveService(now time.Duration, s *service) {
	for e := s.queue.Expired(now); e != nil; e = s.queue.Expired(now) {
		if w := e.Value; w.upstream != nil && w.copyAt != 0 && now-w.copyAt <= copyIsRecent {
			// The caller waits for longer than its route declares.
			c.serve(now, w)
			continue
		}
		// The caller ends its attempt by itself, unless the service is overloaded and it can be told so.
		c.endWait(now, e.Value, e.Rejectable && c.overloaded(now, s, loadcontrol.Class{}), "the caller gives up")
	}
	if s.sharesStale {
		c.computeShares(s)
	}
	c.serveLines(now, s)
	for s.evacuated && s.queue.FreeLen() > 0 {
		c.serve(now, s.queue.Next(now, nil, 0).Value)
	}
	c.rejectLate(now, s)
	for served := true; served && s.queue.Len() > 0; {
		served = false
		for _, u := range s.own {
			if u.suspect(now) || !c.hasRoomOnFlow(now, s, u) {
				continue
			}
			var e *schedule.Entry[*waitingRequest]
			if s.queue.FreeLen() > 0 && c.hasRoom(now, s, u) && c.isWorthwhile(now, s, u, loadcontrol.Class{}) && c.admitsCold(now, u) {
				e = s.queue.Next(now, &u.line, u.learnedWork(now))
			} else {
				e = s.queue.NextInLine(now, &u.line)
			}
			if e != nil {
				c.serveAt(now, e.Value, u)
				served = true
			}
		}
	}
	c.serveCold(now, s)
	c.useCredits(now, s)
	c.askForCredits(now, s)
	for !c.hasOwn(now, s) && s.queue.FreeLen() > 0 && s.spill.Admits(now, s.spilled, loadcontrol.Class{}) && c.hasForeign(now, s) {
		e := s.queue.Next(now, nil, s.work.Mean())
		if e == nil {
			break
		}
		c.serve(now, e.Value)
	}
}

// serveLines serves requests on open flows that can't wait for a slot of their upstream, or whose upstream other
// hosts are responsible for.
func (c *Core) serveLines(now time.Duration, s *service) {
	for _, u := range s.lined {
		if u.stalled(now) || u.gone {
			c.releaseLine(now, s, u)
		}
		for u.share == 0 && u.line.Len() > 0 && c.hasRoomOnFlow(now, s, u) {
			c.serve(now, s.queue.NextInLine(now, &u.line).Value)
		}
	}
	s.lined = slices.DeleteFunc(s.lined, func(u *upstream) bool { return u.line.Len() == 0 })
}

// serveCold opens flows to the cold upstreams that only this host may send them to. It need not be one of those
// that are responsible for them otherwise.
func (c *Core) serveCold(now time.Duration, s *service) {
	s.coldUpstreams = slices.DeleteFunc(s.coldUpstreams, func(u *upstream) bool { return u.gone || c.coldLeft(now, u) == 0 })
	for _, u := range s.coldUpstreams {
		for s.queue.FreeLen() > 0 && u.usable() && !u.suspect(now) && c.admitsCold(now, u) && c.hasRoom(now, s, u) {
			e := s.queue.Next(now, nil, u.learnedWork(now))
			if e == nil {
				return
			}
			c.serveAt(now, e.Value, u)
		}
	}
}

// rejectLate rejects SYNs that can't be in time any more while the service is overloaded: requests that
// can be in time take all slots. Where only upstreams of other hosts are left, urgent requests don't go first,
// since nobody knows when these have room.
func (c *Core) rejectLate(now time.Duration, s *service) {
	borrows := !c.hasOwn(now, s)
	for _, urgent := range []bool{false, true} {
		class := loadcontrol.Class{Urgent: urgent && !borrows}
		next := c.waiting.rejectable[classIndex(urgent)].First()
		// Each rejection lowers the demand and the number of those that wait.
		for w, seen := next, 0; w != nil && seen < lateSearchSize && c.overloaded(now, s, class); w, seen = next, seen+1 {
			next = w.links.Next()
			if w.service != s {
				continue
			}
			if !s.queue.Late(now, &w.entry) {
				continue
			}
			c.endWait(now, w, true, "overloaded")
		}
	}
}

// classIndex returns the index of the list of waiting requests of a class.
func classIndex(urgent bool) int {
	if urgent {
		return 1
	}
	return 0
}

// hasOwn reports whether an upstream that this host is responsible for can take flows and is not slower than
// its peers.
func (c *Core) hasOwn(now time.Duration, s *service) bool {
	for _, u := range s.own {
		if !u.suspect(now) && !u.learned.Slow(now) && c.coldLeft(now, u) == 0 {
			return true
		}
	}
	return false
}

// hasForeign reports whether an upstream that other hosts are responsible for can take a flow.
func (c *Core) hasForeign(now time.Duration, s *service) bool {
	for _, u := range s.upstreams {
		if u.share == 0 && u.usable() && !u.suspect(now) && c.coldLeft(now, u) == 0 && float64(u.busy+u.opening) < u.learnedLimit(now) {
			return true
		}
	}
	return false
}

// releaseLine sends on all requests that wait for an upstream. Their flows can't be moved, and the upstream
// must be asked whether it still serves them.
func (c *Core) releaseLine(now time.Duration, s *service, u *upstream) {
	for u.line.Len() > 0 {
		e := s.queue.NextInLine(now, &u.line)
		if e == nil {
			return
		}
		c.serve(now, e.Value)
	}
}
