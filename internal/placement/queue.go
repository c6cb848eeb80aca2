package placement

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/verdict"
)

const (
	// waitShare is the part of the remaining time that a request may wait for a slot.
	waitShare = 0.5
	// scanDepth is the number of waiting requests that are tried for a free
	// slot before the rest has to wait, so that one request that excludes the
	// free upstream doesn't hold up the others.
	scanDepth = 8
)

// queue holds the waiting requests in the order of arrival.
type queue struct {
	items []Request
}

func (q *queue) len() int {
	return len(q.items)
}

func (q *queue) push(item Request) {
	q.items = append(q.items, item)
}

func (q *queue) removeAt(i int) {
	q.items = slices.Delete(q.items, i, i+1)
}

func (q *queue) remove(ticket Ticket) bool {
	for i := range q.items {
		if q.items[i].Ticket == ticket {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Withdraw takes a waiting ticket out of the queue. It reports false if the
// ticket doesn't wait.
func (p *Placer) Withdraw(now time.Duration, ticket Ticket) bool {
	return p.queue.remove(ticket)
}

// enqueue lets the item wait if its deadline can be met, and refuses it otherwise.
func (p *Placer) enqueue(now time.Duration, item Request) Decision {
	slots := p.capacity(now)
	if slots == 0 {
		return p.refuse(now, item.Ticket, verdict.ReasonNoUpstream)
	}
	if p.onlyExcluded(now, item) {
		return p.refuse(now, item.Ticket, verdict.ReasonShed)
	}
	if p.queue.len() >= p.service.QueueLimit {
		return p.refuse(now, item.Ticket, verdict.ReasonOverload)
	}
	if !p.canWait(now, item, p.queue.len()+1, slots) {
		return p.refuse(now, item.Ticket, verdict.ReasonOverload)
	}
	p.queue.push(item)
	return Decision{Ticket: item.Ticket, Action: ActionWait, Considered: len(p.upstreams)}
}

// canWait reports whether a request at the given position, from one, is likely
// to get a slot and an answer before its deadline.
func (p *Placer) canWait(now time.Duration, item Request, position, slots int) bool {
	if !p.times.known() {
		return true
	}
	remaining := item.Deadline - now
	wait := p.times.mean * time.Duration(position) / time.Duration(slots)
	budget := min(time.Duration(waitShare*float64(remaining)), remaining-p.times.likely())
	return wait <= budget
}

// onlyExcluded reports whether no usable upstream but the excluded one is left.
func (p *Placer) onlyExcluded(now time.Duration, item Request) bool {
	if item.Exclude == 0 {
		return false
	}
	for _, u := range p.upstreams {
		if u.id != item.Exclude && p.usable(u) && p.tierOf(now, u) != tierNone {
			return false
		}
	}
	return true
}

// drain refuses the waiting requests that can't be answered in time any more
// and starts others as far as slots are free.
func (p *Placer) drain(now time.Duration) []Decision {
	if p.queue.len() == 0 {
		return nil
	}
	decisions := p.expire(now)
	for i := 0; i < min(p.queue.len(), scanDepth); {
		d, ok := p.tryStart(now, p.queue.items[i])
		if !ok {
			if p.queue.items[i].Exclude == 0 {
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

func (p *Placer) expire(now time.Duration) []Decision {
	var decisions []Decision
	kept := p.queue.items[:0]
	for _, item := range p.queue.items {
		if now+p.times.likely() > item.Deadline || now >= item.Deadline {
			decisions = append(decisions, p.refuse(now, item.Ticket, verdict.ReasonDeadline))
			continue
		}
		kept = append(kept, item)
	}
	p.queue.items = kept
	return decisions
}
