package dsr

import (
	"time"

	"mimosashore.example/mimosashore/internal/list"
	"mimosashore.example/mimosashore/internal/loadcontrol"
)

const (
	// waitTime is how long a caller waits for its last retransmission of a SYN, with a margin.
	waitTime = 650 * time.Millisecond
	// maxWaiters bounds the table of waiting callers.
	maxWaiters = 4096
)

// waiter is a caller whose SYN was dropped because the upstreams were at their limits.
type waiter struct {
	key     flowKey
	service *service
	class   loadcontrol.Class
	since   time.Duration
	links   list.Links[waiter]
}

// waiters holds the callers that wait for their next retransmission.
type waiters struct {
	byKey map[flowKey]*waiter
	// order is ordered by since.
	order list.List[waiter]
}

func newWaiters() waiters {
	return waiters{byKey: make(map[flowKey]*waiter), order: list.New(func(w *waiter) *list.Links[waiter] { return &w.links })}
}

// add adds a caller unless it waits already. If the table is full, the caller that has waited longest
// is no longer counted.
func (t *waiters) add(now time.Duration, key flowKey, s *service, class loadcontrol.Class) {
	if t.byKey[key] != nil {
		return
	}
	if len(t.byKey) >= maxWaiters {
		t.remove(t.order.First().key)
	}
	w := &waiter{key: key, service: s, class: class, since: now}
	t.byKey[key] = w
	t.order.Push(w)
	s.waiting++
}

// remove removes a caller if it waits.
func (t *waiters) remove(key flowKey) {
	if w := t.byKey[key]; w != nil {
		delete(t.byKey, key)
		t.order.Remove(w)
		w.service.waiting--
	}
}

// expire removes callers that have retransmitted for the last time, and counts them as demand. Those
// that were placed count with their requests.
func (t *waiters) expire(now time.Duration) {
	for w := t.order.First(); w != nil && now-w.since > waitTime; w = t.order.First() {
		w.service.asked(now, w.class)
		t.remove(w.key)
	}
}
