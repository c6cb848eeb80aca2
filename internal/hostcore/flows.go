package hostcore

import (
	"time"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/list"
)

const (
	// flowIdleTime is the time after which the state of an idle flow is dropped.
	flowIdleTime = 10 * time.Minute
	// defaultMaxFlows bounds the flows that a core keeps state of.
	defaultMaxFlows = 1 << 18
	// evictionsPerTick bounds the work of one tick.
	evictionsPerTick = 4096
)

// flowKey names a generation of a flow. Service ids are unique over all client accounts.
type flowKey struct {
	nonce      ids.Nonce
	service    ids.ServiceID
	generation uint32
}

// flow is the state that the owner keeps for one generation of a flow.
type flow struct {
	window
	key      flowKey
	service  *service
	account  ids.AccountID
	upstream ids.UpstreamID
	serial   uint32
	// counted flows count for a connection at their upstream.
	counted bool
	// closed flows and those of an earlier incarnation take no new request.
	closed  bool
	retired bool
	// live is the list of requests under way, linked by nextInFlow.
	live     *request
	lastUsed time.Duration
	// inQueue links the flow in its queue, which is ordered by last use.
	inQueue list.Links[flow]
	queue   *list.List[flow]
}

// open tells whether the flow takes new requests.
func (f *flow) open() bool { return !f.closed && !f.retired }

// used tells whether a request id of the flow was ever seen.
func (f *flow) used() bool { return f.seen != 0 }

// flowTable holds the flows that this host owns, bounded in number.
type flowTable struct {
	max   int
	byKey map[flowKey]*flow
	// unused flows have seen no request: to drop one loses no knowledge.
	unused list.List[flow]
	active list.List[flow]
	// lossUntil is the time until which a flow without state may have had
	// requests, because one was dropped before it was idle for flowIdleTime.
	lossUntil time.Duration
	serial    uint32
}

func newFlowTable(limit int) flowTable {
	if limit <= 0 {
		limit = defaultMaxFlows
	}
	linksOf := func(f *flow) *list.Links[flow] { return &f.inQueue }
	return flowTable{
		max:    limit,
		byKey:  make(map[flowKey]*flow),
		unused: list.New(linksOf),
		active: list.New(linksOf),
	}
}

// find returns the state that belongs to exactly this identifier.
func (t *flowTable) find(id *flowid.Flow) *flow {
	f := t.byKey[flowKey{nonce: id.Nonce, service: id.Service, generation: id.Generation}]
	if f == nil || f.serial != id.Serial || f.account != id.Account {
		return nil
	}
	return f
}

// add keeps a new flow and drops the least recently used ones beyond the limit.
func (t *flowTable) add(now time.Duration, f *flow) {
	const serialBits = 24
	t.serial = (t.serial + 1) % (1 << serialBits)
	f.serial = t.serial
	f.lastUsed = now
	t.byKey[f.key] = f
	t.enqueue(&t.unused, f)
}

// enqueue adds a flow to a queue as the last one used.
func (t *flowTable) enqueue(q *list.List[flow], f *flow) {
	f.queue = q
	q.Push(f)
}

// touch notes that the flow was used.
func (t *flowTable) touch(now time.Duration, f *flow) {
	f.lastUsed = now
	f.queue.Remove(f)
	if f.used() {
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

// victim returns a flow to drop when the table is full, or nil. An idle flow
// without requests goes first; one with requests under way never goes.
func (t *flowTable) victim() *flow {
	if t.unused.First() != nil {
		return t.unused.First()
	}
	for f := t.active.First(); f != nil; f = f.inQueue.Next() {
		if f.live == nil {
			return f
		}
	}
	return nil
}

// idle returns the next flow that was idle for long enough, or nil.
func (t *flowTable) idle(now time.Duration) *flow {
	for _, f := range [...]*flow{t.unused.First(), t.active.First()} {
		if f != nil && f.live == nil && now-f.lastUsed >= flowIdleTime {
			return f
		}
	}
	return nil
}

// length returns the number of flows with state.
func (t *flowTable) length() int { return t.unused.Len() + t.active.Len() }

// evictIdle drops flows that were idle for flowIdleTime.
func (c *Core) evictIdle(now time.Duration) {
	for range evictionsPerTick {
		f := c.flows.idle(now)
		if f == nil {
			return
		}
		c.dropFlow(now, f)
	}
}

// makeRoom drops a flow if the table is full. It reports false if none can go.
func (c *Core) makeRoom(now time.Duration) bool {
	if c.flows.length() < c.flows.max {
		return true
	}
	f := c.flows.victim()
	if f == nil {
		return false
	}
	if f.used() {
		c.flows.lossUntil = now + flowIdleTime
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

// releaseFlow gives back the connection that the flow counts for at its upstream.
func (c *Core) releaseFlow(now time.Duration, f *flow) {
	if !f.counted {
		return
	}
	f.counted = false
	f.service.placer.CloseFlow(now, f.upstream)
}
