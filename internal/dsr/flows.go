package dsr

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/list"
)

const (
	// maxFlows bounds the flow cache. At the target size a host has 8,000 flows; 32,768 take 13 MB.
	maxFlows = 32768
	// flowIdleTimeout is how long a flow without packets is kept: the longest lifetime of a flow on
	// the platform.
	flowIdleTimeout = 60 * time.Second
	// maxSequenceGap bounds, in bytes, how far a packet of a flow is from the last one that this host
	// has seen: the packets in between may have come through other hosts.
	maxSequenceGap = 1 << 17
	// callerWindowBytes is the most that a caller sends without an acknowledgement: 16 packets of
	// 1,200 bytes.
	callerWindowBytes = 16 * 1200
)

// phase is the state of a flow, inferred from the packets of its caller.
type phase uint8

const (
	// phaseOpening is a flow whose handshake is not completed.
	phaseOpening phase = iota
	// phaseOverdue is a flow whose handshake has timed out.
	phaseOverdue
	// phaseIdle is an open flow whose caller waits for no answer, or has waited for longer than
	// the timeout of its service.
	phaseIdle
	// phaseBusy is a flow whose caller waits for an answer.
	phaseBusy
	// phaseClosed is a flow that ended, or that is not counted at its upstream yet.
	phaseClosed
)

// flowKey identifies a flow.
type flowKey struct {
	caller, service netip.AddrPort
}

// flow is the cached state of a flow.
type flow struct {
	key      flowKey
	upstream *upstream
	route    *route
	phase    phase
	// openedAt is when the flow was assigned to the upstream and its SYN forwarded; zero if another
	// host did that. synSeq is the sequence number of the SYN.
	openedAt time.Duration
	synSeq   uint32
	// handshake is the time from the last SYN to the completed handshake; zero is unknown.
	handshake time.Duration
	// busyAt is when the request in progress was first seen.
	busyAt time.Duration
	// progressAt is when the upstream last showed progress on the flow.
	progressAt time.Duration
	seenAt     time.Duration
	// nextSeq is the sequence number after the last byte seen, lastAck the last acknowledgement
	// seen.
	nextSeq, lastAck uint32
	// receivedSeq is a sequence number up to which the upstream is known to have the data.
	receivedSeq    uint32
	synRetransmits int
	// spilled is set while the request is counted in the spilled ones of the service.
	spilled bool
	// waitTimedOut is set if a request waited until its deadline. If its caller sends it again, it goes on
	// at once.
	waitTimedOut bool
	// countedAsked is set if the next request is counted as demand already.
	countedAsked bool
	// expected is set from the handshake to the first request, which has its slot already.
	expected bool
	// answered is set once a request on the flow was answered.
	answered bool
	// unqueued is set if the upstream had a free slot when the request in progress was seen.
	unqueued bool
	// inProgress is the number of requests in progress at the upstream when the request in progress was seen, with it;
	// zero is unknown. resentAt is when a packet of it was last sent again, counted how long it was unanswered when that
	// was taken as evidence; zero is never.
	inProgress        int
	resentAt, counted time.Duration
	// pending is set while a request has no answer, also after phaseBusy.
	pending bool
	// resetAt is when the flow was reset without a packet of its own; zero is never. It no longer counts at its
	// upstream then.
	resetAt time.Duration

	lruLinks, phaseLinks list.Links[flow]
	// nextFree is the next flow of the free list.
	nextFree *flow
}

// continuedBy reports whether the sequence numbers of a packet continue the open flow. If two upstreams
// answered the SYN, packets of the flow may have the token of the other one: that of the answer that
// the caller received last. The flow is open at the upstream whose sequence numbers it acknowledges.
func (f *flow) continuedBy(p *Packet) bool {
	if !f.isOpen() || !p.HasAck {
		return false
	}
	sent, acked := int32(p.Seq-f.nextSeq), int32(p.Ack-f.lastAck)
	return sent >= -maxSequenceGap && sent <= maxSequenceGap && acked >= 0 && acked <= maxSequenceGap
}

// flowCache holds recently seen flows.
type flowCache struct {
	flows map[flowKey]*flow
	// lru is ordered by the last packet, opening by the time of the SYN, busy by the time of the
	// request.
	lru, opening, busy list.List[flow]
	free               *flow
}

func newFlowCache() flowCache {
	phaseLinks := func(f *flow) *list.Links[flow] { return &f.phaseLinks }
	return flowCache{
		flows:   make(map[flowKey]*flow),
		lru:     list.New(func(f *flow) *list.Links[flow] { return &f.lruLinks }),
		opening: list.New(phaseLinks),
		busy:    list.New(phaseLinks),
	}
}

// add returns a new flow with the key, which must not be in the cache. If the cache is full, the
// least recently used flow is evicted.
func (c *flowCache) add(now time.Duration, key flowKey) *flow {
	if len(c.flows) >= maxFlows {
		c.remove(c.lru.First())
	}
	f := c.free
	if f != nil {
		c.free = f.nextFree
	} else {
		f = new(flow)
	}
	*f = flow{key: key, seenAt: now, progressAt: now}
	c.flows[key] = f
	c.lru.Push(f)
	return f
}

// touch marks a flow as the most recently used.
func (c *flowCache) touch(now time.Duration, f *flow) {
	f.seenAt = now
	c.lru.Remove(f)
	c.lru.Push(f)
}

// setPhase changes the phase of a flow and updates the counters of its upstream and zone.
func (c *flowCache) setPhase(now time.Duration, f *flow, to phase) {
	u := f.upstream
	if f.spilled {
		f.spilled = false
		u.service.spilled--
	}
	switch f.phase {
	case phaseOpening:
		if f.phaseLinks.Listed() {
			c.opening.Remove(f)
			u.opening--
			u.zone.opening--
		}
	case phaseBusy:
		c.busy.Remove(f)
		u.busy--
		u.flows--
		u.service.flows--
	case phaseIdle:
		u.flows--
		u.service.flows--
	}
	f.phase = to
	f.expected = f.expected && to == phaseBusy
	if (to == phaseOpening || to == phaseBusy) && u.busy+u.opening == 0 {
		u.busySince = now
	}
	switch to {
	case phaseOpening:
		f.openedAt = now
		c.opening.Push(f)
		f.spilled = u.share == 0
		u.opening++
		u.zone.opening++
	case phaseBusy:
		f.busyAt = now
		c.busy.Push(f)
		f.spilled = u.share == 0
		f.unqueued = u.hasFreeSlot()
		f.inProgress, f.resentAt, f.counted = u.inProgress(), 0, 0
		u.busy++
		u.flows++
		u.service.flows++
	case phaseIdle:
		u.flows++
		u.service.flows++
	}
	if f.spilled {
		u.service.spilled++
	}
}

// remove deletes a flow and puts it on the free list.
func (c *flowCache) remove(f *flow) {
	c.setPhase(f.seenAt, f, phaseClosed)
	c.lru.Remove(f)
	delete(c.flows, f.key)
	*f = flow{}
	f.nextFree = c.free
	c.free = f
}

// expire removes flows without packets for flowIdleTimeout.
func (c *flowCache) expire(now time.Duration) {
	for f := c.lru.First(); f != nil && now-f.seenAt > flowIdleTimeout; f = c.lru.First() {
		c.remove(f)
	}
}
