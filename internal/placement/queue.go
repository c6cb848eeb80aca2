package placement

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/verdict"
)

const (
	// maxWaitShare is the share of the time to its deadline that a request may
	// wait for a slot.
	maxWaitShare = 0.5
	// queueScanDepth is the number of waiting requests tried for a free slot,
	// so that a request that excludes the free upstream doesn't block those
	// behind it.
	queueScanDepth = 8
)

// queue holds the waiting requests in order of arrival.
type queue struct {
	requests []Request
}

func (q *queue) len() int {
	return len(q.requests)
}

func (q *queue) push(req Request) {
	q.requests = append(q.requests, req)
}

func (q *queue) removeAt(i int) {
	q.requests = slices.Delete(q.requests, i, i+1)
}

func (q *queue) remove(ticket Ticket) bool {
	for i := range q.requests {
		if q.requests[i].Ticket == ticket {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Withdraw removes a waiting ticket from the queue. It reports false if the
// ticket is not waiting.
func (p *Placer) Withdraw(now time.Duration, ticket Ticket) bool {
	return p.queue.remove(ticket)
}

// enqueue queues the request if its deadline can be met, and refuses it
// otherwise.
func (p *Placer) enqueue(now time.Duration, req Request) Decision {
	slots := p.capacity(now)
	if slots == 0 {
		return p.refuse(now, req.Ticket, verdict.ReasonNoUpstream)
	}
	if p.onlyExcluded(now, req) {
		return p.refuse(now, req.Ticket, verdict.ReasonShed)
	}
	if p.queue.len() >= p.service.QueueLimit {
		return p.refuse(now, req.Ticket, verdict.ReasonOverload)
	}
	if !p.canWait(now, req, p.queue.len()+1, slots) {
		return p.refuse(now, req.Ticket, verdict.ReasonOverload)
	}
	p.queue.push(req)
	return Decision{Ticket: req.Ticket, Action: ActionWait, Considered: len(p.upstreams)}
}

// canWait reports whether a request at the given queue position, counted from
// one, is likely to be answered before its deadline.
func (p *Placer) canWait(now time.Duration, req Request, position, slots int) bool {
	if !p.serviceTimes.known() {
		return true
	}
	remaining := req.Deadline - now
	wait := p.serviceTimes.mean * time.Duration(position) / time.Duration(slots)
	budget := min(time.Duration(maxWaitShare*float64(remaining)), remaining-p.serviceTimes.upperEstimate())
	return wait <= budget
}

// onlyExcluded reports whether the excluded upstream is the only one that could
// take the request.
func (p *Placer) onlyExcluded(now time.Duration, req Request) bool {
	if req.Exclude == 0 {
		return false
	}
	for _, u := range p.upstreams {
		if u.id != req.Exclude && p.usable(u) && p.tierOf(now, u) != tierNone {
			return false
		}
	}
	return true
}

// dispatchQueue refuses the waiting requests that can no longer meet their
// deadline and starts others while slots are free.
func (p *Placer) dispatchQueue(now time.Duration) []Decision {
	if p.queue.len() == 0 {
		return nil
	}
	decisions := p.refuseExpired(now)
	for i := 0; i < min(p.queue.len(), queueScanDepth); {
		d, ok := p.tryStart(now, p.queue.requests[i])
		if !ok {
			if p.queue.requests[i].Exclude == 0 {
				break
			}
			i++
			continue
		}
		p.queue.removeAt(i)
		decisions = append(decisions, d)
	}
	return decisions
}

func (p *Placer) refuseExpired(now time.Duration) []Decision {
	var decisions []Decision
	kept := p.queue.requests[:0]
	for _, req := range p.queue.requests {
		if now+p.serviceTimes.upperEstimate() > req.Deadline || now >= req.Deadline {
			decisions = append(decisions, p.refuse(now, req.Ticket, verdict.ReasonDeadline))
			continue
		}
		kept = append(kept, req)
	}
	p.queue.requests = kept
	return decisions
}
