package sim

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/placement"
)

// send starts a new attempt at the caller.
func (r *Run) send(req *Request) {
	req.attempt++
	attempt := req.attempt
	req.Deadline = r.Now() + req.Service.Spec.AttemptTimeout
	req.Tries = 0
	req.upstream = nil
	req.Hops = 0
	r.tickets++
	req.Ticket = r.tickets
	r.After(req.Service.Spec.AttemptTimeout+2*r.Setup.Delays.Caller, func() { r.expire(req, attempt) })
	r.After(r.Setup.Delays.Caller, func() { r.arrive(req, attempt) })
}

// arrive delivers an attempt to a host chosen by the fabric.
func (r *Run) arrive(req *Request, attempt int) {
	if req.closed || req.attempt != attempt {
		return
	}
	arrival := r.randomHost()
	if r.hosts[arrival].dead {
		r.After(resendAfter, func() { r.arrive(req, attempt) })
		return
	}
	r.enqueue(arrival, r.firstCost(req), func(ok bool) {
		if !ok {
			r.drop(req, attempt)
			return
		}
		r.relay(req, arrival, r.policy.Owner(r.Now(), req, arrival))
	})
}

// firstCost returns the processing time at a host of the datagrams that arrive
// before the owner can refuse the request.
func (r *Run) firstCost(req *Request) time.Duration {
	return r.Setup.DatagramCost * time.Duration(min(max(req.Service.Spec.BodyDatagrams, 1), datagramsBeforeRefusal))
}

// restCost returns the processing time at the owner of the remaining datagrams of an
// accepted request.
func (r *Run) restCost(req *Request) time.Duration {
	return r.Setup.DatagramCost * time.Duration(max(req.Service.Spec.BodyDatagrams-datagramsBeforeRefusal, 0))
}

// relay forwards an attempt from one host to its owner.
func (r *Run) relay(req *Request, from, owner int) {
	attempt := req.attempt
	req.Owner = owner
	delay := time.Duration(0)
	if from != owner {
		delay = r.delay(r.Setup.Hosts[from].Zone, r.Setup.Hosts[owner].Zone)
	}
	r.After(delay, func() {
		if r.hosts[owner].dead {
			return
		}
		r.enqueue(owner, r.firstCost(req), func(ok bool) {
			if !ok {
				r.drop(req, attempt)
				return
			}
			if req.closed || req.attempt != attempt {
				return
			}
			req.Arrived = r.Now()
			r.policy.Offer(r.Now(), req)
		})
	})
}

// HandOff makes another host the owner of the request and forwards it there.
func (r *Run) HandOff(req *Request, to int) {
	req.Hops++
	r.relay(req, req.Owner, to)
}

// enqueue puts work into a host's queue and calls then(true) once it is done. If the
// work would wait longer than Setup.MaxHostWait, it calls then(false) at once.
func (r *Run) enqueue(host int, cost time.Duration, then func(ok bool)) {
	if cost == 0 {
		then(true)
		return
	}
	h := &r.hosts[host]
	start := max(h.busyUntil, r.Now())
	lag := start - r.Now()
	if r.OnHostWait != nil {
		r.OnHostWait(host, lag)
	}
	if lag > r.Setup.MaxHostWait {
		then(false)
		return
	}
	h.busyUntil = start + cost
	r.After(h.busyUntil-r.Now(), func() { then(true) })
}

// drop counts a dropped attempt and schedules its retransmission.
func (r *Run) drop(req *Request, attempt int) {
	if req.counted {
		req.Service.Counts.Dropped++
	}
	r.After(resendAfter, func() { r.arrive(req, attempt) })
}

// Forward sends an attempt from its owner to the upstream.
func (r *Run) Forward(req *Request, id ids.UpstreamID) {
	u := req.Service.upstreamByID(uint32(id))
	req.upstream = u
	attempt := req.attempt
	r.hosts[req.Owner].busyUntil = max(r.hosts[req.Owner].busyUntil, r.Now()) + r.restCost(req)
	delay := r.delay(r.Setup.Hosts[req.Owner].Zone, u.Config.Zone)
	r.After(delay, func() { r.execute(req, attempt, u, delay) })
}

// execute runs an attempt on an upstream, or sheds it if no slot is free. The owner
// is notified of a shed after returnDelay.
func (r *Run) execute(req *Request, attempt int, u *Upstream, returnDelay time.Duration) {
	if req.closed || req.attempt != attempt {
		return
	}
	if u.running+u.Fault.OccupiedSlots >= u.Config.Slots {
		if req.counted {
			req.Service.Counts.Sheds++
		}
		req.upstream = nil
		r.endUnanswered(req, u, placement.OutcomeShed, returnDelay)
		return
	}
	u.setRunning(r.Now(), u.running+1)
	req.holdsSlot = true
	if req.counted {
		record(req.Service.Counts.Wait, r.Now()-req.Arrived)
	}
	ticket, owner := req.Ticket, req.Owner
	if u.Fault.Dead {
		return
	}
	r.After(req.Service.serviceTime()*time.Duration(max(u.Fault.SlowFactor, 1)), func() {
		if req.closed || req.attempt != attempt {
			return
		}
		u.setRunning(r.Now(), u.running-1)
		req.closed = true
		r.answer(req, u, ticket, owner)
	})
}

// answer returns an answer to the caller through a random host, which also
// notifies the owner that the slot is free.
func (r *Run) answer(req *Request, u *Upstream, ticket placement.Ticket, owner int) {
	host := r.randomHost()
	if r.hosts[host].dead {
		r.After(resendAfter, func() { r.answer(req, u, ticket, owner) })
		return
	}
	via := r.Setup.Hosts[host].Zone
	toHost := r.delay(u.Config.Zone, via)
	toOwner := toHost + r.delay(via, r.Setup.Hosts[owner].Zone)
	r.After(toHost+r.Setup.Delays.Caller, func() { r.recordServed(req) })
	r.After(toOwner, func() {
		if !r.hosts[owner].dead {
			r.policy.Ended(r.Now(), req, u.Config.ID, placement.OutcomeAnswered)
		}
	})
}

func (r *Run) recordServed(req *Request) {
	countSecond(&req.Service.Counts.AnsweredBySecond, r.Now())
	countSecond(&req.Service.Counts.ServedBySecond, req.Created)
	if !req.counted {
		return
	}
	req.Service.Counts.Served++
	record(req.Service.Counts.Latency, r.Now()-req.Created)
}

// endUnanswered notifies the owner, after returnDelay, that an attempt ended at the
// upstream without an answer.
func (r *Run) endUnanswered(req *Request, u *Upstream, outcome placement.Outcome, returnDelay time.Duration) {
	owner := req.Owner
	r.After(returnDelay, func() {
		if r.hosts[owner].dead {
			return
		}
		r.policy.Ended(r.Now(), req, u.Config.ID, outcome)
	})
}

// Refuse ends an attempt that was not run. The caller retries after the refusal's
// RetryAfter if a further attempt fits into its RequestTimeout; otherwise the
// request fails with the verdict not run.
func (r *Run) Refuse(req *Request, refusal Refusal) {
	if req.closed {
		return
	}
	if req.counted {
		req.Service.Counts.Refusals++
	}
	req.attempt++
	attempt := req.attempt
	r.After(r.Setup.Delays.Caller+refusal.RetryAfter, func() {
		if req.closed || req.attempt != attempt {
			return
		}
		if r.Now()-req.Created+req.Service.Spec.AttemptTimeout > req.Service.Spec.RequestTimeout {
			r.giveUp(req, &req.Service.Counts.NotRun)
			return
		}
		r.send(req)
	})
}

// expire fails a request with the verdict may have run when its attempt times out.
func (r *Run) expire(req *Request, attempt int) {
	if req.closed || req.attempt != attempt {
		return
	}
	u := req.upstream
	r.giveUp(req, &req.Service.Counts.MayHaveRun)
	if req.holdsSlot {
		u.setRunning(r.Now(), u.running-1)
	}
	if !r.hosts[req.Owner].dead {
		id := ids.UpstreamID(0)
		if u != nil {
			id = u.Config.ID
		}
		r.policy.Ended(r.Now(), req, id, placement.OutcomeTimeout)
	}
}

func (r *Run) giveUp(req *Request, count *int) {
	req.closed = true
	if req.counted {
		*count++
	}
}
