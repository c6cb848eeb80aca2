package dsr

import "time"

const (
	// busyLimit is when a request no longer counts as work under way: callers
	// acknowledge every second packet, so a short answer may go unseen.
	busyLimit = 500 * time.Millisecond
	// silentFor is how long an upstream must have shown no life before an
	// idempotent request is handed back: repeats come after 200 and 400 ms.
	silentFor = 550 * time.Millisecond
	// silentRepeats is the number of repeats that this takes.
	silentRepeats = 2
	// stuckFor is how long ago a request may have been sent to be handed back: the longest deadline of the users' streams.
	stuckFor = 4 * time.Second
	// silentKeep is how long the verdict holds for the requests of other flows: half of the time
	// after which the platform takes a trouble for past.
	silentKeep = 2 * time.Second
)

// observe learns from a packet after the first.
func (c *Core) observe(now time.Duration, f *flow, p *Packet) {
	u := f.upstream
	switch f.phase {
	case phaseOpening, phaseOverdue:
		// The caller has the upstream's answer.
		if u.Zone == c.zone && f.copies == 0 {
			c.strain.completed(now, f.openedAt)
		}
		f.answered, f.taken = p.Ack, p.Seq
		c.samples = append(c.samples, Sample{SampleHandshake, now - f.openedAt})
		c.alive(now, f.openedAt, u)
		f.progressAt, f.repeats = now, 0
		c.cache.enter(now, f, phaseIdle)
	}
	if p.RST {
		c.cache.enter(now, f, phaseClosed)
		return
	}
	if p.HasAck && int32(p.Ack-f.answered) > 0 {
		f.answered = p.Ack
		c.alive(now, f.progressAt, u)
		f.progressAt, f.repeats, f.pending = now, 0, false
		if f.phase == phaseBusy {
			c.sample(now, u, now-f.busyAt)
			c.cache.enter(now, f, phaseIdle)
		}
	}
	end := p.Seq + uint32(p.Length)
	if p.Length > 0 {
		c.observeData(now, f, end)
	}
	if p.FIN && f.phase != phaseClosed {
		c.cache.enter(now, f, phaseClosed)
	}
}

// observeData learns from a packet with data up to the given sequence number.
func (c *Core) observeData(now time.Duration, f *flow, end uint32) {
	if int32(end-f.end) <= 0 {
		c.observeRepeat(now, f)
		return
	}
	f.end, f.pending = end, true
	if f.phase == phaseIdle {
		c.cache.enter(now, f, phaseBusy)
		f.progressAt, f.repeats = now, 0
	}
	// The caller sends beyond its window only after an acknowledgement.
	if int32(end-f.taken) > windowBytes {
		f.taken = end - windowBytes
		c.alive(now, f.progressAt, f.upstream)
		f.progressAt, f.repeats = now, 0
	}
}

// observeRepeat counts a repeated packet. What may have been lost on a full link
// of this host says nothing of the upstream.
func (c *Core) observeRepeat(now time.Duration, f *flow) {
	if c.strain.recent(now) {
		f.repeats, f.judgedAt = 0, now
		return
	}
	if c.strain.strainedAt > f.judgedAt && c.strain.strainedAt > f.progressAt {
		f.repeats, f.judgedAt = 0, now
	}
	f.repeats++
}

// sample notes the time from a request to its answer.
func (c *Core) sample(now time.Duration, u *upstream, d time.Duration) {
	c.samples = append(c.samples, Sample{SampleAnswer, d})
	seconds := d.Seconds()
	u.latency = mean(u.latency, seconds)
	u.latencyAt = now
	if s := c.services[u.Service]; s != nil {
		// The mean of a service covers more samples than that of one upstream.
		s.latency = mean(s.latency, seconds)
		u.window.sample(now, d, s.objective)
	}
}

func mean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}

// silent reports whether the flow's request is better repeated elsewhere: it
// may be, and nothing came back from the upstream, while others answer this
// host. What one flow found out holds for the requests of others.
func (c *Core) silent(now time.Duration, f *flow) bool {
	u := f.upstream
	if f.route == nil || !f.route.Idempotent || !f.pending || f.phase == phaseClosed || c.strain.high(now) {
		return false
	}
	if f.repeats >= silentRepeats && now-max(f.progressAt, f.judgedAt) >= silentFor && now-u.reachedAt >= silentFor {
		if !u.isSilent(now) {
			u.doubt.raise(now, f.progressAt)
			c.note(Record{Event: "upstream is silent", Caller: f.key.caller, Upstream: u.Key, Service: u.Service, Age: now - u.reachedAt})
			c.handBack(now, f)
		}
		u.silentAt = now
		return true
	}
	return u.isSilent(now)
}

// handBack resets the other flows whose idempotent requests have waited at the
// silent upstream of a flow for as long as the verdict takes. If the upstream
// acknowledged a request before it died, the caller sends no repeat on which the host could act.
func (c *Core) handBack(now time.Duration, found *flow) {
	u := found.upstream
	var next *flow
	for f := c.cache.used.First(); f != nil; f = next {
		next = f.recent.Next()
		if f == found || f.upstream != u || !f.pending || f.phase == phaseClosed || now-max(f.progressAt, f.judgedAt) < silentFor {
			continue
		}
		if f.route == nil || !f.route.Idempotent || now-f.seenAt > stuckFor {
			continue
		}
		p := Packet{Caller: f.key.caller, Service: f.key.service, Ack: f.answered, Token: u.token}
		c.noteReset(now, &p, u, ReasonUpstreamSilent)
		c.resets = append(c.resets, p)
		c.cache.drop(f)
	}
}
