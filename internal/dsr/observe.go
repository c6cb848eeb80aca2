package dsr

import (
	"time"

	"mimosashore.example/mimosashore/internal/loadcontrol"
)

const (
	// An unanswered request stops counting as work in progress after busyTimeoutFactor times the
	// mean time to an answer, within these bounds: callers acknowledge only every second packet, so
	// a short answer may stay unacknowledged.
	busyTimeoutMin    = 500 * time.Millisecond
	busyTimeoutMax    = 4 * time.Second
	busyTimeoutFactor = 4
	// minWork is the least time that a request takes a slot, after the transit is subtracted.
	minWork = time.Millisecond
	// silenceTimeout is how long an upstream must not have answered before a flow is reset: one with
	// an idempotent request, or any flow if the upstream has no registration. Callers retransmit
	// after 200 and 400 ms. The first retransmission proves nothing, since upstreams acknowledge a
	// request of one packet with its answer.
	silenceTimeout = 550 * time.Millisecond
	// silenceRetransmits is the number of retransmissions that must have been seen as well.
	silenceRetransmits = 2
	// resetMaxAge is the maximum time since the last packet of a flow for resetWaitingFlows to
	// reset it: the longest deadline of requests on streams.
	resetMaxAge = 4 * time.Second
	// silenceHold is how long a silent upstream counts as silent for other flows: half of the time
	// after which the platform treats a failure as over.
	silenceHold = 2 * time.Second
)

// observe updates the state of the flow and its upstream from a packet other than a SYN.
func (c *Core) observe(now time.Duration, f *flow, p *Packet) {
	u := f.upstream
	switch f.phase {
	case phaseOpening, phaseOverdue:
		// This packet completes the handshake: the caller has the answer of the upstream.
		if u.Zone == c.zone && f.synRetransmits == 0 {
			c.linkMonitor.handshakeCompleted(now, f.openedAt)
		}
		f.lastAck, f.receivedSeq = p.Ack, p.Seq
		f.handshake = now - f.openedAt
		c.samples = append(c.samples, Sample{SampleHandshake, f.handshake})
		c.onAnswer(now, f.openedAt, u)
		f.progressAt, f.retransmits = now, 0
		c.cache.setPhase(now, f, phaseIdle)
	}
	if p.RST {
		c.cache.setPhase(now, f, phaseClosed)
		return
	}
	if p.HasAck && int32(p.Ack-f.lastAck) > 0 {
		f.lastAck = p.Ack
		c.onAnswer(now, f.progressAt, u)
		f.progressAt, f.retransmits, f.pending = now, 0, false
		if f.phase == phaseBusy {
			f.answered = true
			c.addLatencySample(now, f, now-f.busyAt)
			c.cache.setPhase(now, f, phaseIdle)
		}
	}
	nextSeq := p.Seq + uint32(p.Length)
	if p.Length > 0 {
		c.observeData(now, f, nextSeq)
	}
	if p.FIN && f.phase != phaseClosed {
		c.cache.setPhase(now, f, phaseClosed)
	}
}

// unansweredFor returns how long the upstream has answered neither the flow's packets nor later ones of
// other flows, if the given packet repeats data; zero if not.
func (f *flow) unansweredFor(now time.Duration, p *Packet) time.Duration {
	repeats := p.Length > 0 && int32(p.Seq+uint32(p.Length)-f.nextSeq) <= 0
	if !f.pending || !repeats {
		return 0
	}
	return now - max(f.progressAt, f.countedFrom, f.upstream.reachedAt)
}

// observeData handles a packet with data up to the given sequence number.
func (c *Core) observeData(now time.Duration, f *flow, nextSeq uint32) {
	if int32(nextSeq-f.nextSeq) <= 0 {
		c.observeRetransmit(now, f)
		return
	}
	f.nextSeq, f.pending = nextSeq, true
	if f.phase == phaseIdle {
		c.observeRequest(now, f)
		c.cache.setPhase(now, f, phaseBusy)
		f.progressAt, f.retransmits = now, 0
	}
	// A caller sends beyond its window only after an acknowledgement.
	if int32(nextSeq-f.receivedSeq) > callerWindowBytes {
		f.receivedSeq = nextSeq - callerWindowBytes
		c.onAnswer(now, f.progressAt, f.upstream)
		f.progressAt, f.retransmits = now, 0
	}
}

// observeRequest records a new request on a flow. Only requests at upstreams that this host is
// responsible for count as demand, unless there are none: it knows the others in part.
func (c *Core) observeRequest(now time.Duration, f *flow) {
	s := f.upstream.service
	if f.answered {
		s.repeats.Asked(now)
	}
	if f.upstream.share > 0 || len(s.own) == 0 {
		s.asked(now, loadcontrol.Class{Urgent: f.route != nil && f.route.Priority < s.lowestPriority})
	}
}

// observeRetransmit counts a retransmitted packet. Packets that may have been lost on a degraded
// link of this host do not count against the upstream.
func (c *Core) observeRetransmit(now time.Duration, f *flow) {
	if c.linkMonitor.recentlyDegraded(now) {
		f.retransmits, f.countedFrom = 0, now
		return
	}
	if c.linkMonitor.degradedAt > f.countedFrom && c.linkMonitor.degradedAt > f.progressAt {
		f.retransmits, f.countedFrom = 0, now
	}
	f.retransmits++
	f.upstream.addUnanswered(now, f.progressAt, f.key.caller.Addr())
}

// addLatencySample records the time from a request to its answer.
func (c *Core) addLatencySample(now time.Duration, f *flow, d time.Duration) {
	u := f.upstream
	c.samples = append(c.samples, Sample{SampleAnswer, d})
	seconds := d.Seconds()
	u.latency = ewma(u.latency, seconds)
	u.latencyAt = now
	s := u.service
	// The mean of a service covers more samples than that of one upstream.
	s.latency = ewma(s.latency, seconds)
	if u.share == 0 {
		s.spill.AddLatency(now, d, s.work.Mean(), s.latencyObjective)
	}
	if f.unqueued && !c.linkMonitor.recentlyDegraded(now) {
		s.work.Add(max(d-f.handshake, minWork))
	}
}

// ewma adds a sample to an exponentially weighted moving average; zero is an average without
// samples.
func ewma(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}

// checkSilence reports whether the flow must be reset so that its caller repeats the request
// elsewhere: the request is idempotent, and the upstream does not answer this caller and another
// one while others answer this host. A result for one flow applies to the other flows of the upstream for silenceHold.
func (c *Core) checkSilence(now time.Duration, f *flow) bool {
	u := f.upstream
	if f.route == nil || !f.route.Idempotent || !f.pending || f.phase == phaseClosed || c.linkMonitor.suspected(now) {
		return false
	}
	if f.retransmits >= silenceRetransmits && now-max(f.progressAt, f.countedFrom) >= silenceTimeout && now-u.reachedAt >= silenceTimeout {
		if !u.isSilent(now) {
			if !u.leavesOthersUnanswered(f.progressAt, f.key.caller.Addr()) {
				return false
			}
			u.backoff.extend(now, f.progressAt)
			c.emit(Record{Event: "upstream is silent", Caller: f.key.caller, Upstream: u.Key, Service: u.Service, Age: now - u.reachedAt})
			c.resetWaitingFlows(now, f)
		}
		u.silentAt = now
		return true
	}
	return u.isSilent(now)
}

// resetWaitingFlows resets the other flows of a silent upstream whose idempotent requests have
// waited for at least silenceTimeout. If the upstream acknowledged a request before it failed, the
// caller does not retransmit, so no packet of that flow would lead to a reset. The caller of
// resetWaitingFlows resets the flow that detected the silence.
func (c *Core) resetWaitingFlows(now time.Duration, detectedBy *flow) {
	u := detectedBy.upstream
	var next *flow
	for f := c.cache.lru.First(); f != nil; f = next {
		next = f.lruLinks.Next()
		if f == detectedBy || f.upstream != u || !f.pending || f.phase == phaseClosed || now-max(f.progressAt, f.countedFrom) < silenceTimeout {
			continue
		}
		if f.route == nil || !f.route.Idempotent || now-f.seenAt > resetMaxAge {
			continue
		}
		p := Packet{Caller: f.key.caller, Service: f.key.service, Ack: f.lastAck, Token: u.token}
		c.emitReset(now, &p, u, ReasonUpstreamSilent, u.silence(), now-f.progressAt)
		c.resets = append(c.resets, p)
		c.cache.remove(f)
	}
}
