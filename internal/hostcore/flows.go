package hostcore

import (
	"time"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/list"
)

const (
	// flowIdleTime is the time after which the state of an idle flow is evicted.
	flowIdleTime = 10 * time.Minute
	// defaultMaxFlows is the default capacity of the flow table.
	defaultMaxFlows = 1 << 18
	// evictionsPerTick bounds the evictions, and so the duration, of one tick.
	evictionsPerTick = 4096
)

// flowKey identifies one generation of a flow. Service ids are unique across
// client accounts.
type flowKey struct {
	nonce      ids.Nonce
	service    ids.ServiceID
	generation uint32
}

// flow is the owner's state of one generation of a flow.
type flow struct {
	window
	key      flowKey
	service  *service
	account  ids.AccountID
	upstream ids.UpstreamID
	// serial distinguishes flows that were added under the same key one after another.
	serial uint32
	// holdsConnection is set while placement counts the flow as a connection of its
	// upstream.
	holdsConnection bool
	// closed is set once the caller closed the flow. It takes no new requests.
	closed bool
	// retired is set if an earlier incarnation of this process owned the flow. It
	// takes no new requests.
	retired bool
	// inFlight is the list of requests in flight, linked by nextInFlow.
	inFlight *request
	lastUsed time.Duration
	// queueLinks links the flow in queue, which is ordered by last use.
	queueLinks list.Links[flow]
	queue      *list.List[flow]
}

// open reports whether the flow takes new requests.
func (f *flow) open() bool { return !f.closed && !f.retired }

// hasSeenRequest reports whether any request id of the flow was seen.
func (f *flow) hasSeenRequest() bool { return f.seen != 0 }

// flowTable holds the flows owned by this host, up to a maximum number.
type flowTable struct {
	max   int
	byKey map[flowKey]*flow
	// unused holds flows that have seen no request, so that evicting one loses no
	// verdict.
	unused list.List[flow]
	active list.List[flow]
	// uncertainUntil is the time until which a request of a flow without state may
	// have run, because a flow with requests was evicted before it had been idle for
	// flowIdleTime.
	uncertainUntil time.Duration
	serial         uint32
}

func newFlowTable(limit int) flowTable {
	if limit <= 0 {
		limit = defaultMaxFlows
	}
	linksOf := func(f *flow) *list.Links[flow] { return &f.queueLinks }
	return flowTable{
		max:    limit,
		byKey:  make(map[flowKey]*flow),
		unused: list.New(linksOf),
		active: list.New(linksOf),
	}
}

// find returns the flow to which exactly this identifier was issued, or nil.
func (t *flowTable) find(id *flowid.Flow) *flow {
	f := t.byKey[flowKey{nonce: id.Nonce, service: id.Service, generation: id.Generation}]
	if f == nil || f.serial != id.Serial || f.account != id.Account {
		return nil
	}
	return f
}

// add inserts a new flow under the next serial number. The caller ensures that
// the table has capacity.
func (t *flowTable) add(now time.Duration, f *flow) {
	const serialBits = 24
	t.serial = (t.serial + 1) % (1 << serialBits)
	f.serial = t.serial
	f.lastUsed = now
	t.byKey[f.key] = f
	t.enqueue(&t.unused, f)
}

// enqueue appends a flow to a queue as the most recently used one.
func (t *flowTable) enqueue(q *list.List[flow], f *flow) {
	f.queue = q
	q.Push(f)
}

// touch marks the flow as used now.
func (t *flowTable) touch(now time.Duration, f *flow) {
	f.lastUsed = now
	f.queue.Remove(f)
	if f.hasSeenRequest() {
		t.enqueue(&t.active, f)
	} else {
		t.enqueue(&t.unused, f)
	}
}

func (t *flowTable) remove(f *flow) {
	f.queue.Remove(f)
	if t.byKey[f.key] == f {
		delete(t.byKey, f.key)
	}
}

// victim returns the flow to evict when the table is full, or nil. It prefers the
// least recently used flow that has seen no request, and never returns a flow
// with requests in flight.
func (t *flowTable) victim() *flow {
	if t.unused.First() != nil {
		return t.unused.First()
	}
	for f := t.active.First(); f != nil; f = f.queueLinks.Next() {
		if f.inFlight == nil {
			return f
		}
	}
	return nil
}

// nextIdle returns a flow that was idle for flowIdleTime, or nil.
func (t *flowTable) nextIdle(now time.Duration) *flow {
	for _, f := range [...]*flow{t.unused.First(), t.active.First()} {
		if f != nil && f.inFlight == nil && now-f.lastUsed >= flowIdleTime {
			return f
		}
	}
	return nil
}

// length returns the number of flows in the table.
func (t *flowTable) length() int { return t.unused.Len() + t.active.Len() }

// evictIdle evicts flows that were idle for flowIdleTime.
func (c *Core) evictIdle(now time.Duration) {
	for range evictionsPerTick {
		f := c.flows.nextIdle(now)
		if f == nil {
			return
		}
		c.dropFlow(now, f)
	}
}

// ensureFlowCapacity evicts a flow if the table is full. It reports false if no
// flow can be evicted.
func (c *Core) ensureFlowCapacity(now time.Duration) bool {
	if c.flows.length() < c.flows.max {
		return true
	}
	f := c.flows.victim()
	if f == nil {
		return false
	}
	if f.hasSeenRequest() {
		c.flows.uncertainUntil = now + flowIdleTime
	}
	c.counters.FlowsEvicted++
	c.dropFlow(now, f)
	return true
}

func (c *Core) dropFlow(now time.Duration, f *flow) {
	c.flows.remove(f)
	f.service.flows--
	c.releaseFlow(now, f)
}

// releaseFlow releases the connection counted for the flow at its upstream.
func (c *Core) releaseFlow(now time.Duration, f *flow) {
	if !f.holdsConnection {
		return
	}
	f.holdsConnection = false
	f.service.placer.CloseFlow(now, f.upstream)
}
