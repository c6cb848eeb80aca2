package dsr

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/list"
)

const (
	// maxFlows bounds the cache of flows. The target size has 8,000 flows a host; 32,768 take 13 MB.
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

	recent, waiting list.Links[flow]
	// spare is the next unused flow.
	spare *flow
}

// flowCache holds the flows seen of late.
type flowCache struct {
	flows map[flowKey]*flow
	// used is in the order of the last packet, opening in that of the first
	// packet, busy in that of the request.
	used, opening, busy list.List[flow]
	free                *flow
}

func newFlowCache() flowCache {
	waiting := func(f *flow) *list.Links[flow] { return &f.waiting }
	return flowCache{
		flows:   make(map[flowKey]*flow),
		used:    list.New(func(f *flow) *list.Links[flow] { return &f.recent }),
		opening: list.New(waiting),
		busy:    list.New(waiting),
	}
}

// add returns a new flow under the key, which must be free.
func (c *flowCache) add(now time.Duration, key flowKey) *flow {
	if len(c.flows) >= maxFlows {
		c.drop(c.used.First())
	}
	f := c.free
	if f != nil {
		c.free = f.spare
	} else {
		f = new(flow)
	}
	*f = flow{key: key, seenAt: now, progressAt: now}
	c.flows[key] = f
	c.used.Push(f)
	return f
}

// touch moves the flow to the end of the order of use.
func (c *flowCache) touch(now time.Duration, f *flow) {
	f.seenAt = now
	c.used.Remove(f)
	c.used.Push(f)
}

// enter moves a flow into a phase and keeps the counts of its upstream.
func (c *flowCache) enter(now time.Duration, f *flow, to phase) {
	u := f.upstream
	switch f.phase {
	case phaseOpening:
		if f.waiting.Listed() {
			c.opening.Remove(f)
			u.opening--
			u.zone.opening--
		}
	case phaseBusy:
		c.busy.Remove(f)
		u.busy--
		u.flows--
	case phaseIdle:
		u.flows--
	}
	f.phase = to
	switch to {
	case phaseOpening:
		f.openedAt = now
		c.opening.Push(f)
		u.opening++
		u.zone.opening++
	case phaseBusy:
		f.busyAt = now
		c.busy.Push(f)
		u.busy++
		u.flows++
	case phaseIdle:
		u.flows++
	}
}

// drop forgets a flow.
func (c *flowCache) drop(f *flow) {
	c.enter(f.seenAt, f, phaseClosed)
	c.used.Remove(f)
	delete(c.flows, f.key)
	*f = flow{}
	f.spare = c.free
	c.free = f
}

// expire forgets flows without packets for flowIdle.
func (c *flowCache) expire(now time.Duration) {
	for f := c.used.First(); f != nil && now-f.seenAt > flowIdle; f = c.used.First() {
		c.drop(f)
	}
}
