package daemon

import (
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ring"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

// coreQueue holds the datagrams queued for the core. Each priority class has its own
// ring, so that a flood of one class does not displace datagrams of another.
type coreQueue struct {
	rings [config.PriorityCount]*ring.Ring[coreDatagram]
}

// newCoreQueue returns a queue with a capacity of size datagrams per class.
func newCoreQueue(size int) *coreQueue {
	q := &coreQueue{}
	for i := range q.rings {
		q.rings[i] = ring.New[coreDatagram](size)
	}
	return q
}

// get returns a free element of a class, or nil if its ring is full.
func (q *coreQueue) get(p config.Priority) *coreDatagram {
	h := q.rings[p].Get()
	if h != nil {
		h.priority = p
	}
	return h
}

// put queues an element returned by get.
func (q *coreQueue) put(h *coreDatagram) { q.rings[h.priority].Put(h) }

// release returns a dequeued element to the free elements of its ring.
func (q *coreQueue) release(h *coreDatagram) { q.rings[h.priority].Release(h) }

// take returns the next datagram of the most urgent class that has one, or nil if
// all rings are empty.
func (q *coreQueue) take() *coreDatagram {
	for _, r := range q.rings {
		select {
		case h := <-r.Queued():
			return h
		default:
		}
	}
	return nil
}

// priorityOf returns the class in which a datagram is queued for the core: that of
// its service, PriorityBulk if the service is unknown, or PriorityNormal while there
// is no routing table. KindDone, KindReceived and KindShed are always urgent: they
// let forwarded requests proceed or end, and thereby free slots.
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
