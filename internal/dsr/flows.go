package dsr

import (
	"net/netip"
	"time"
)

const (
	// maxFlows bounds the cache of flows. The target size has 8,000 flows a host; 32,768 take about 5 MB.
	maxFlows = 32768
	// flowIdle is how long the cache keeps a flow without packets: the longest life of a flow on the platform.
	flowIdle = 60 * time.Second
	// windowBytes is what a caller sends at most without an acknowledgement: 16 packets of 1,200 bytes.
	windowBytes = 16 * 1200
)

// phase is how far a flow is, as its packets tell.
type phase uint8

const (
	phaseOpening phase = iota
	// phaseOverdue is an opening whose handshake was not completed in time.
	phaseOverdue
	phaseIdle
	// phaseBusy means that the caller waits for an answer.
	phaseBusy
	phaseClosed
)

// flowKey names a flow.
type flowKey struct {
	caller, service netip.AddrPort
}

// flow is what a host remembers of a flow.
type flow struct {
	key      flowKey
	upstream *upstream
	route    *route
	phase    phase
	// openedAt is when the first packet went to the upstream.
	openedAt time.Duration
	// busyAt is when the request under way was first seen.
	busyAt time.Duration
	// progressAt is when the upstream last showed that it works for the flow.
	progressAt time.Duration
	seenAt     time.Duration
	// end is the sequence number after the last byte seen, answered the last acknowledgement seen.
	end, answered uint32
	// taken is a sequence number up to which the upstream has the data.
	taken uint32
	// copies counts copies of the first packet.
	copies int
	// repeats counts repeated packets since the last progress or sign of strain;
	// judgedAt is when the count began anew after strain.
	repeats  int
	judgedAt time.Duration
	// pending is set while a request has no answer, also when it no longer counts as work under way.
	pending bool

	recent, waiting links
}

// links are the neighbours of a flow in a list.
type links struct {
	prev, next *flow
	listed     bool
}

// list is a list of flows in the order of a time, threaded through the flows.
type list struct {
	of         func(*flow) *links
	head, tail *flow
	length     int
}

func (l *list) push(f *flow) {
	n := l.of(f)
	*n = links{prev: l.tail, listed: true}
	if l.tail != nil {
		l.of(l.tail).next = f
	} else {
		l.head = f
	}
	l.tail = f
	l.length++
}

func (l *list) remove(f *flow) {
	n := l.of(f)
	if !n.listed {
		return
	}
	if n.prev != nil {
		l.of(n.prev).next = n.next
	} else {
		l.head = n.next
	}
	if n.next != nil {
		l.of(n.next).prev = n.prev
	} else {
		l.tail = n.prev
	}
	*n = links{}
	l.length--
}

func byUse(f *flow) *links  { return &f.recent }
func byWait(f *flow) *links { return &f.waiting }

// flowCache holds the flows seen of late.
type flowCache struct {
	flows map[flowKey]*flow
	// used is in the order of the last packet, opening in that of the first
	// packet, busy in that of the request.
	used, opening, busy list
	free                *flow
}

func newFlowCache() flowCache {
	return flowCache{
		flows:   make(map[flowKey]*flow),
		used:    list{of: byUse},
		opening: list{of: byWait},
		busy:    list{of: byWait},
	}
}

// add returns a new flow under the key, which must be free.
func (c *flowCache) add(now time.Duration, key flowKey) *flow {
	if len(c.flows) >= maxFlows {
		c.drop(c.used.head)
	}
	f := c.free
	if f != nil {
		c.free = f.recent.next
	} else {
		f = new(flow)
	}
	*f = flow{key: key, seenAt: now, progressAt: now}
	c.flows[key] = f
	c.used.push(f)
	return f
}

// touch moves the flow to the end of the order of use.
func (c *flowCache) touch(now time.Duration, f *flow) {
	f.seenAt = now
	c.used.remove(f)
	c.used.push(f)
}

// enter moves a flow into a phase and keeps the counts of its upstream.
func (c *flowCache) enter(now time.Duration, f *flow, to phase) {
	u := f.upstream
	switch f.phase {
	case phaseOpening:
		if f.waiting.listed {
			c.opening.remove(f)
			u.opening--
			u.zone.opening--
		}
	case phaseBusy:
		c.busy.remove(f)
		u.busy--
		u.flows--
	case phaseIdle:
		u.flows--
	}
	f.phase = to
	switch to {
	case phaseOpening:
		f.openedAt = now
		c.opening.push(f)
		u.opening++
		u.zone.opening++
	case phaseBusy:
		f.busyAt = now
		c.busy.push(f)
		u.busy++
		u.flows++
	case phaseIdle:
		u.flows++
	}
}

// drop forgets a flow.
func (c *flowCache) drop(f *flow) {
	c.enter(f.seenAt, f, phaseClosed)
	c.used.remove(f)
	delete(c.flows, f.key)
	*f = flow{}
	f.recent.next = c.free
	c.free = f
}

// expire forgets flows without packets for flowIdle.
func (c *flowCache) expire(now time.Duration) {
	for f := c.used.head; f != nil && now-f.seenAt > flowIdle; f = c.used.head {
		c.drop(f)
	}
}
