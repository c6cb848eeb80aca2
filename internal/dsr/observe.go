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
	// Where requests wait for slots, it is scheduledBusyFactor times the work of the upstream, at least
	// scheduledBusyMin: few take longer if the work varies by half of its mean. One answer in ten is
	// not acknowledged, since it has one packet, and must not keep a slot from those who wait.
	scheduledBusyMin    = 50 * time.Millisecond
	scheduledBusyFactor = 4
	// busySearchSize is the number of requests in progress that are looked at for the timeout.
	busySearchSize = 32
	// minWork is the least time that a request takes a slot, after the transit is subtracted.
	minWork = time.Millisecond
)

// expireBusy stops counting requests as work in progress whose answers were not acknowledged. Those behind many with
// a longer timeout expire with these.
func (c *Core) expireBusy(now time.Duration) {
	next := c.cache.busy.First()
	for range busySearchSize {
		f := next
		if f == nil {
			return
		}
		next = f.phaseLinks.Next()
		if now-f.busyAt > f.upstream.busyTimeout(now) {
			c.cache.setPhase(now, f, phaseIdle)
		}
	}
}

// busyTimeout returns when an unanswered request at the upstream stops counting as work in progress. Where
// requests wait for it, an answer that is not acknowledged keeps them waiting.
func (u *upstream) busyTimeout(now time.Duration) time.Duration {
	if !u.service.schedules() {
		return u.service.busyTimeout()
	}
	work := max(u.learnedWork(now), u.service.work.Mean())
	if work == 0 {
		return u.service.busyTimeout()
	}
	return min(max(scheduledBusyMin, scheduledBusyFactor*work), busyTimeoutMax)
}

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
		u.zone.noteHandshake(f.handshake)
		c.samples = append(c.samples, Sample{SampleHandshake, f.handshake})
		c.onAnswer(now, f.openedAt, u)
		f.progressAt = now
		if f.expected = u.service.schedules(); f.expected {
			// The first request follows at once. Its slot is kept meanwhile.
			c.cache.setPhase(now, f, phaseBusy)
		} else {
			c.cache.setPhase(now, f, phaseIdle)
		}
	}
	if p.RST || p.FIN {
		defer c.flowClosed(f)
	}
	if p.RST {
		c.cache.setPhase(now, f, phaseClosed)
		return
	}
	if p.HasAck && int32(p.Ack-f.lastAck) > 0 {
		f.lastAck = p.Ack
		c.onAnswer(now, f.progressAt, u)
		f.progressAt, f.pending = now, false
		if f.resetAt != 0 {
			f.resetAt = 0
			c.cache.setPhase(now, f, phaseIdle)
		}
		if f.phase == phaseBusy && !f.expected {
			f.answered, f.waitTimedOut = true, false
			c.addLatencySample(now, f, now-f.busyAt)
			c.learnAnswer(now, f, p.Length > 0)
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

// observeData handles a packet with data up to the given sequence number.
func (c *Core) observeData(now time.Duration, f *flow, nextSeq uint32) {
	if int32(nextSeq-f.nextSeq) <= 0 {
		c.observeRetransmit(now, f)
		return
	}
	f.nextSeq, f.pending = nextSeq, true
	if f.phase == phaseIdle || f.expected {
		f.expected = false
		c.observeRequest(now, f)
		c.cache.setPhase(now, f, phaseBusy)
		f.progressAt = now
	}
	// A caller sends beyond its window only after an acknowledgement.
	if int32(nextSeq-f.receivedSeq) > callerWindowBytes {
		f.receivedSeq = nextSeq - callerWindowBytes
		c.onAnswer(now, f.progressAt, f.upstream)
		f.progressAt = now
	}
}

// observeRequest records a new request on a flow. Only requests at upstreams that this host is
// responsible for count as demand, unless there are none: it knows the others in part.
func (c *Core) observeRequest(now time.Duration, f *flow) {
	s := f.upstream.service
	if f.answered {
		s.repeats.Asked(now)
	}
	if f.countedAsked {
		// The request waited and was counted when it arrived.
		f.countedAsked = false
		return
	}
	if f.upstream.share > 0 || len(s.own) == 0 {
		s.asked(now, loadcontrol.Class{Urgent: f.route != nil && f.route.Priority < s.lowestPriority})
	}
}

// observeRetransmit handles a retransmitted packet. It proves nothing about the upstream, since links lose
// packets and a queue delays answers, but if a reset can help the caller the upstream is checked.
func (c *Core) observeRetransmit(now time.Duration, f *flow) {
	u := f.upstream
	f.resentAt = now
	if f.pending && (u.gone || f.route != nil && f.route.Idempotent) {
		c.checkUpstream(now, u)
	}
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
	switch {
	case u.share != 0:
	case s.schedules():
		s.spill.AddDelay(now, max(d-f.handshake, minWork), s.work.Mean())
	default:
		s.spill.AddLatency(now, d, s.work.Mean(), s.latencyObjective)
	}
	if f.unqueued && !u.learned.Slow(now) && !c.linkMonitor.recentlyDegraded(now) {
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
