package dsr

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/list"
	"mimosashore.example/mimosashore/internal/loadcontrol"
	"mimosashore.example/mimosashore/internal/schedule"
)

const (
	// maxWaiting and maxWaitingBytes bound what waits at a host, in requests and in bytes of packets. Hosts
	// have 104 MB or more.
	maxWaiting      = 4096
	maxWaitingBytes = 4 << 20
	// packetOverhead is the size in bytes of the header of a packet and of what the shell keeps with it.
	packetOverhead = 64
	// maxWaitingPackets is the number of packets of one flow that wait, which is a caller's window.
	maxWaitingPackets = 16
	// attemptReserve is the part of an attempt that is left for the handshake when a waiting SYN is
	// rejected.
	attemptReserve = 100 * time.Millisecond
	// copyIsRecent is the time before the end of a wait in which a copy of the packet shows that the caller has not given
	// up: it may be sent at the deadline that the route declares.
	copyIsRecent = 20 * time.Millisecond
	// copyMargin is how late a copy of a SYN may come.
	copyMargin = 50 * time.Millisecond
	// waitingInterval is how often the core is called while requests wait: for limits below one request,
	// deadlines, and upstreams that stop answering.
	waitingInterval = 5 * time.Millisecond
	// eventRefused and eventNotServed are the messages of log lines.
	eventRefused   = "flow refused"
	eventNotServed = "request not served"
	// causeNoSpace is the cause of a refusal, or of the end of a wait, because of the bounds on all that waits.
	causeNoSpace = "too much waits"
)

// HoldID identifies a packet that waits at the host.
type HoldID uint64

// Release is a decision on a packet that waited.
type Release struct {
	Hold   HoldID
	Header Packet
	Effect Effect
}

// waitingRequest is a request that waits for a slot: the SYN of a new flow, or the first packet of a
// request on an open flow and the packets behind it.
type waitingRequest struct {
	entry   schedule.Entry[*waitingRequest]
	key     flowKey
	service *service
	// upstream is that of the open flow; nil for a SYN.
	upstream *upstream
	class    loadcontrol.Class
	since    time.Duration
	// copyAt is when a copy of a packet that waits last came; zero is never.
	copyAt time.Duration
	// copies is the number of the last copy of a waiting SYN.
	copies  uint32
	links   list.Links[waitingRequest]
	rank    int
	packets []waitingPacket
	bytes   int
}

// waitingPacket is a packet whose bytes the shell keeps.
type waitingPacket struct {
	id     HoldID
	header Packet
}

// waiting holds the requests that wait at the host.
type waiting struct {
	byKey map[flowKey]*waitingRequest
	bytes int
	last  HoldID
	// services holds those with waiting requests, in the order in which the first one began to wait.
	services []*service
	// rejectable holds the SYNs that can be rejected in the order of their arrival: those that are not
	// urgent, and the urgent ones.
	rejectable [2]list.List[waitingRequest]
	releases   []Release
	free       []*waitingRequest
	// draining is set while waiting requests are released, so that their packets are not held again.
	draining bool
	// stopped is set once the host stops: nothing is held any more.
	stopped bool
	// target is the upstream whose free slot a released SYN takes; nil if any may take it.
	target *upstream
}

func newWaiting() waiting {
	links := func(w *waitingRequest) *list.Links[waitingRequest] { return &w.links }
	return waiting{
		byKey:      make(map[flowKey]*waitingRequest),
		rejectable: [2]list.List[waitingRequest]{list.New(links), list.New(links)},
	}
}

// schedules reports whether requests of the service wait at the host: the host holds requests, and the routes of
// the service declare when an answer is in time and when callers give up.
func (s *service) schedules() bool {
	return !s.queuesAtUpstreams && !s.undeclared && s.latencyObjective > 0 && s.deadline > 0
}

// QueueAtUpstreams makes requests go to their upstreams at once, which queue them, instead of waiting at this host
// for a slot. It is called before the first change of the directory.
func (c *Core) QueueAtUpstreams() { c.queuesAtUpstreams = true }

// holdRequest decides whether a packet on an open flow waits, and returns the effect if it does. Copies of
// packets that wait are dropped, since the packet itself is sent later.
func (c *Core) holdRequest(now time.Duration, f *flow, p *Packet) (Effect, bool) {
	w := c.waiting.byKey[f.key]
	if w != nil && w.upstream == nil {
		// The packet of an open flow shows that another host forwarded the SYN.
		c.dropWaiting(w)
		w = nil
	}
	switch {
	case w != nil && (p.RST || p.FIN):
		c.dropWaiting(w)
		return Effect{}, false
	case w != nil && p.Length > 0:
		return c.holdBehind(now, w, p), true
	case w != nil || p.Length == 0 || c.waiting.draining || c.waiting.stopped:
		return Effect{}, false
	}
	u := f.upstream
	s := u.service
	// The first request of a flow takes the slot that was kept for it when the flow was opened.
	isRequest := f.phase == phaseIdle && f.answered && !f.pending && int32(p.Seq+uint32(p.Length)-f.nextSeq) > 0
	if !isRequest || !s.schedules() || u.gone || f.route == nil || f.waitTimedOut {
		return Effect{}, false
	}
	if u.line.Len() == 0 && c.hasRoomOnFlow(now, s, u) || u.stalled(now) {
		return Effect{}, false
	}
	w = c.newWaiting(now, p, s, f.route, u)
	return c.hold(now, w, p, ReasonWaiting), true
}

// holdBehind makes a packet wait with others of its flow, in order.
func (c *Core) holdBehind(now time.Duration, w *waitingRequest, p *Packet) Effect {
	first, last := &w.packets[0].header, &w.packets[len(w.packets)-1].header
	earlier := int32(p.Seq+uint32(p.Length)-first.Seq) <= 0
	switch {
	case !earlier && int32(p.Seq-(last.Seq+uint32(last.Length))) < 0:
		w.copyAt = now
		return Effect{Action: Drop, Reason: ReasonWaitingCopy}
	case len(w.packets) >= maxWaitingPackets || c.waiting.bytes+p.Length+packetOverhead > maxWaitingBytes:
		// The caller sends it again.
		return Effect{Action: Drop, Reason: ReasonWaitingCopy}
	}
	e := c.keepPacket(w, p, ReasonWaiting)
	if earlier {
		// A later packet overtook it.
		w.packets = slices.Insert(w.packets[:len(w.packets)-1], 0, w.packets[len(w.packets)-1])
	}
	return e
}

// newWaiting returns a request that waits for an upstream, or for any if it is nil.
func (c *Core) newWaiting(now time.Duration, p *Packet, s *service, r *route, u *upstream) *waitingRequest {
	var w *waitingRequest
	if n := len(c.waiting.free); n > 0 {
		w, c.waiting.free = c.waiting.free[n-1], c.waiting.free[:n-1]
	} else {
		w = new(waitingRequest)
	}
	*w = waitingRequest{key: flowKey{p.Caller, p.Service}, service: s, upstream: u, since: now, packets: w.packets[:0], class: loadcontrol.Class{Urgent: r.Priority < s.lowestPriority}}
	w.entry = schedule.Entry[*waitingRequest]{Value: w, Request: c.waitingRequestOf(now, p, r, u == nil)}
	return w
}

// waitingRequestOf returns what the queue knows of a request whose first packet is given.
func (c *Core) waitingRequestOf(now time.Duration, p *Packet, r *route, opening bool) schedule.Request {
	q := schedule.Request{Caller: p.Caller.Addr(), Priority: r.Priority, ObjectiveAt: now + r.LatencyObjective, DeadlineAt: now + r.Timeout}
	if opening {
		elapsed := synCopyAge(p.SYNRetransmits)
		q.Rejectable = p.SYNRetransmits == 0
		q.ObjectiveAt -= elapsed
		q.DeadlineAt = min(q.DeadlineAt, now+attemptTime-attemptReserve) - elapsed
	}
	return q
}

// synCopyAge returns the time since the first SYN of an attempt when its nth copy is sent.
func synCopyAge(n uint32) time.Duration {
	switch n {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

// hold makes a request wait, whose first packet is given.
func (c *Core) hold(now time.Duration, w *waitingRequest, p *Packet, reason Reason) Effect {
	if !c.makeSpace(now, w, p) {
		return c.declineWait(now, w)
	}
	var line *schedule.Line[*waitingRequest]
	if w.upstream != nil {
		line = &w.upstream.line
		if line.Len() == 0 && !slices.Contains(w.service.lined, w.upstream) {
			w.service.lined = append(w.service.lined, w.upstream)
		}
	}
	w.service.asked(now, w.class)
	w.service.queue.Add(now, &w.entry, line)
	w.service.urgentWaiting += classIndex(w.class.Urgent)
	c.waiting.byKey[w.key] = w
	if w.entry.Rejectable {
		c.waiting.rejectable[classIndex(w.class.Urgent)].Push(w)
	}
	if !slices.Contains(c.waiting.services, w.service) {
		c.waiting.services = append(c.waiting.services, w.service)
	}
	return c.keepPacket(w, p, reason)
}

// makeSpace keeps the bounds of what waits: the request of the lowest rank gives way. It reports false if that is
// the new one.
func (c *Core) makeSpace(now time.Duration, w *waitingRequest, p *Packet) bool {
	for len(c.waiting.byKey) >= maxWaiting || c.waiting.bytes+p.Length+packetOverhead > maxWaitingBytes {
		var lowest *waitingRequest
		for _, s := range c.waiting.services {
			if e := s.queue.Lowest(); e != nil && (lowest == nil || e.Priority > lowest.entry.Priority) {
				lowest = e.Value
			}
		}
		if lowest == nil || lowest.entry.Priority < w.entry.Priority {
			return false
		}
		c.endWait(now, lowest, lowest.entry.Rejectable && c.takesSpace(now, lowest), causeNoSpace)
	}
	return true
}

// takesSpace reports whether the service of a request is why there is no space: it is overloaded, or most of
// what waits is its own, which needs no known work. The callers of other services are not told that they are refused.
func (c *Core) takesSpace(now time.Duration, w *waitingRequest) bool {
	return c.overloaded(now, w.service, w.class) || w.service.queue.Len() > maxWaiting/2
}

// declineWait returns the effect of a request for which there is no space.
func (c *Core) declineWait(now time.Duration, w *waitingRequest) Effect {
	e, event := Effect{Action: Drop, Reason: ReasonWaitEnded}, eventNotServed
	if w.entry.Rejectable && c.takesSpace(now, w) {
		e, event = Effect{Action: Reset, Reason: ReasonOverloaded}, eventRefused
		w.service.refused(now, w.class)
	}
	c.emit(c.waitRecord(now, w, event, e.Action, causeNoSpace))
	c.recycle(w)
	return e
}

// waitRecord returns the record of a request that waited, or would have to, and is not served.
func (c *Core) waitRecord(now time.Duration, w *waitingRequest, event string, a Action, cause string) Record {
	s := w.service
	return Record{
		Event: event, Action: a, Caller: w.key.caller, Address: w.key.service, Service: s.name, Detail: cause, Version: c.version, Rank: w.rank,
		Waiting: s.waiting + s.queue.Len(), Waited: now - w.since, Demand: s.demand.Rate(now), Slots: c.answeringSlots(now, s), Work: s.work.Mean(),
	}
}

func (c *Core) keepPacket(w *waitingRequest, p *Packet, reason Reason) Effect {
	c.waiting.last++
	w.packets = append(w.packets, waitingPacket{c.waiting.last, *p})
	size := p.Length + packetOverhead
	w.bytes += size
	c.waiting.bytes += size
	return Effect{Action: Hold, Reason: reason, Hold: c.waiting.last}
}

// forget removes a request from all that waits. Its packets are still to be released.
func (c *Core) forget(w *waitingRequest) {
	w.service.queue.Remove(&w.entry)
	w.service.urgentWaiting -= classIndex(w.class.Urgent)
	c.waiting.rejectable[classIndex(w.class.Urgent)].Remove(w)
	delete(c.waiting.byKey, w.key)
	c.waiting.bytes -= w.bytes
}

func (c *Core) recycle(w *waitingRequest) {
	if len(c.waiting.free) < maxWaiting {
		c.waiting.free = append(c.waiting.free, w)
	}
}

// dropWaiting drops a request whose caller does not need it any more.
func (c *Core) dropWaiting(w *waitingRequest) {
	c.forget(w)
	for i := range w.packets {
		c.release(w, i, Effect{Action: Drop, Reason: ReasonWaitEnded})
	}
	c.recycle(w)
}

func (c *Core) release(w *waitingRequest, i int, e Effect) {
	p := &w.packets[i]
	c.waiting.releases = append(c.waiting.releases, Release{Hold: p.id, Header: p.header, Effect: e})
}

// endWait ends the wait of a request that is not served. If it is rejected, its caller learns at once that it did
// not run. Otherwise its packets are dropped; the caller sends them again if it still waits for an answer.
func (c *Core) endWait(now time.Duration, w *waitingRequest, rejected bool, cause string) {
	s := w.service
	rejected = rejected && !w.lacksCopies(now)
	e, event := Effect{Action: Drop, Reason: ReasonWaitEnded}, eventNotServed
	if rejected {
		e, event = Effect{Action: Reset, Reason: ReasonOverloaded}, eventRefused
	}
	c.emit(c.waitRecord(now, w, event, e.Action, cause))
	if rejected {
		s.rejected(now, w.class)
	}
	c.samples = append(c.samples, Sample{SampleWait, now - w.since})
	c.forget(w)
	for i := range w.packets {
		c.release(w, i, e)
	}
	if f := c.cache.flows[w.key]; f != nil && w.upstream != nil {
		f.waitTimedOut = true
	}
	c.recycle(w)
}

// lacksCopies reports whether copies of a waiting SYN did not come when they were due. They may have reached
// another host, which may have forwarded them.
func (w *waitingRequest) lacksCopies(now time.Duration) bool {
	for n := uint32(1); n <= 2; n++ {
		if now-w.since > synCopyAge(n)+copyMargin && w.copies < n {
			return true
		}
	}
	return false
}

// outlook returns the outlook of a SYN for which no upstream has room, and whether it is rejected because it
// would not be served.
func (c *Core) outlook(now time.Duration, p *Packet, r *route, ch choice) (a schedule.Assessment, rejected bool) {
	s := ch.state
	q := c.waitingRequestOf(now, p, r, true)
	supply := schedule.Supply{Work: s.work.Mean(), Lasting: c.overloaded(now, s, ch.class)}
	if supply.Work > 0 {
		supply.Rate = c.answeringSlots(now, s) / supply.Work.Seconds()
	}
	a = s.queue.Assess(now, q, nil, supply)
	return a, q.Rejectable && supply.Rate > 0 && !a.Served
}

// waitOrReject decides on a SYN for which no upstream has room. It is rejected at once if it would not be
// served, and waits otherwise.
func (c *Core) waitOrReject(now time.Duration, p *Packet, r *route, ch choice) Effect {
	s := ch.state
	a, rejected := c.outlook(now, p, r, ch)
	if rejected {
		s.refused(now, ch.class)
		c.emitOpening(eventRefused, now, p, r, ch, ReasonOverloaded)
		return Effect{Action: Reset, Reason: ReasonOverloaded}
	}
	w := c.newWaiting(now, p, s, r, nil)
	w.rank = a.Rank
	return c.hold(now, w, p, ReasonWaiting)
}

// Advance handles what is due at the given time. The shell calls it at NextEvent.
func (c *Core) Advance(now time.Duration) {
	c.advance(now)
	c.serveWaiting(now)
}

// NextEvent returns when Advance is to be called, and false if no request waits.
func (c *Core) NextEvent(now time.Duration) (time.Duration, bool) {
	if len(c.waiting.byKey) == 0 {
		return 0, false
	}
	return now + waitingInterval, true
}

// Waiting returns the number of requests that wait, and the bytes of their packets.
func (c *Core) Waiting() (requests, bytes int) { return len(c.waiting.byKey), c.waiting.bytes }

// TakeReleases returns the decisions on packets that waited since the last call of TakeReleases, in the
// order in which they are to be carried out. They are valid until the next call of a method of the core.
func (c *Core) TakeReleases() []Release {
	r := c.waiting.releases
	c.waiting.releases = c.waiting.releases[:0]
	return r
}

// StopWaiting ends all waits before the host stops: requests on open flows are sent on. SYNs that no upstream has
// room for are rejected if the service is overloaded, and dropped otherwise: their copies reach other hosts.
func (c *Core) StopWaiting(now time.Duration) {
	c.waiting.stopped = true
	c.serveWaiting(now)
	left := slices.SortedFunc(maps.Values(c.waiting.byKey), func(a, b *waitingRequest) int {
		return cmp.Compare(a.packets[0].id, b.packets[0].id)
	})
	for _, w := range left {
		if w.upstream != nil {
			c.serve(now, w)
			continue
		}
		c.endWait(now, w, w.entry.Rejectable && c.overloaded(now, w.service, loadcontrol.Class{}), "the host stops")
	}
}
