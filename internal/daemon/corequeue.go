package daemon

import (
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ring"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

// coreQueue holds the datagrams that wait for the core, in a ring for each
// priority, so that a flood of one class doesn't displace another.
type coreQueue struct {
	rings [config.PriorityCount]*ring.Ring[handover]
}

// newCoreQueue returns a queue with room for size datagrams of each class.
func newCoreQueue(size int) *coreQueue {
	q := &coreQueue{}
	for i := range q.rings {
		q.rings[i] = ring.New[handover](size)
	}
	return q
}

// get returns a free element of a class, or nil if its ring is full.
func (q *coreQueue) get(p config.Priority) *handover {
	h := q.rings[p].Get()
	if h != nil {
		h.priority = p
	}
	return h
}

func (q *coreQueue) put(h *handover) { q.rings[h.priority].Put(h) }

func (q *coreQueue) release(h *handover) { q.rings[h.priority].Release(h) }

// take returns the next element, the most urgent class first, or nil.
func (q *coreQueue) take() *handover {
	for _, r := range q.rings {
		select {
		case h := <-r.Queued():
			return h
		default:
		}
	}
	return nil
}

// priorityOf returns the class in which a datagram waits for the core: that of
// its service. What upstreams report frees slots, and is urgent.
func priorityOf(t *table.Table, p wire.Packet) config.Priority {
	switch p.Kind() {
	case wire.KindDone, wire.KindReceived, wire.KindShed:
		return config.PriorityUrgent
	}
	if t == nil {
		return config.PriorityNormal
	}
	service := t.Service(flowid.ParseUnverified(p.Flow()).Service)
	if service == nil {
		return config.PriorityBulk
	}
	return service.Service.Priority
}
