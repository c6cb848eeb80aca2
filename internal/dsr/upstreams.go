package dsr

import (
	"time"

	"mimosashore.example/mimosashore/internal/directory"
)

const (
	// removalHold is how long a registration that lapsed keeps its upstream:
	// the platform brings back those of live upstreams within two seconds of the store's return.
	removalHold = 2200 * time.Millisecond
	// goneKeep is how long the token of a gone upstream is remembered: the longest life of a flow.
	goneKeep = 60 * time.Second
	// doubtMin and doubtMax bound how long an upstream is avoided after a failed handshake.
	doubtMin = 500 * time.Millisecond
	doubtMax = 4 * time.Second
	// lifeKeep is how long a sign of life goes before a lapsed registration.
	lifeKeep = time.Second
	// latencyWeight is the weight of a new sample of the latency.
	latencyWeight = 0.2
	// latencyHalfLife is the time in which old samples lose half of their weight against the service's.
	latencyHalfLife = 2 * time.Second
)

// upstream is one incarnation of an upstream.
type upstream struct {
	directory.Upstream
	token Token
	zone  *zone
	// shared is set while another known upstream has the same token.
	shared bool
	// unusable is set while the registration can't be read.
	unusable bool
	// removeAt is when a lapsed registration counts as gone; zero is never.
	removeAt time.Duration
	gone     bool
	goneAt   time.Duration
	// coldUntil is the end of the slow start.
	coldUntil time.Duration

	opening, busy, flows int
	// lifeAt is the last sign of life, reachedAt when the last packet was sent that the upstream answered.
	lifeAt, reachedAt time.Duration
	doubt             doubt
	// silentAt is when it was last found that nothing comes back; zero if something did since.
	silentAt time.Duration
	// latency is the mean time from request to answer, in seconds; zero is unknown.
	latency   float64
	latencyAt time.Duration
	window    window
}

// doubt is the suspicion that something doesn't answer.
type doubt struct {
	// until is the end of the avoidance, step the wait after the next failure; zero is no doubt.
	until, step time.Duration
	// since is when the packet was sent that got no answer.
	since time.Duration
}

// raise extends the avoidance after a packet that got no answer.
func (d *doubt) raise(now, sent time.Duration) {
	d.step = min(max(2*d.step, doubtMin), doubtMax)
	d.until = now + d.step
	d.since = sent
}

// clear ends the doubt if the answered packet was sent no earlier than the one
// without an answer, and reports whether it did.
func (d *doubt) clear(sent time.Duration) bool {
	if d.step == 0 || sent < d.since {
		return false
	}
	*d = doubt{}
	return true
}

// zone is an availability zone as seen by its upstreams.
type zone struct {
	name    string
	opening int
	doubt   doubt
	// reachedAt is when the last packet was sent that any of its upstreams answered.
	reachedAt time.Duration
	// suspect is the upstream whose handshake failed since then.
	suspect *upstream
}

// service is what is known of the upstreams of a service.
type service struct {
	upstreams []*upstream
	latency   float64
	// objective is the shortest latency that callers of its routes want, lowest the priority of its least urgent route.
	objective time.Duration
	lowest    int
}

// usable reports whether new flows may go to the upstream at all.
func (u *upstream) usable() bool {
	return !u.gone && !u.Draining && !u.shared && !u.unusable
}

// isSilent reports whether a request found of late that nothing comes back.
func (u *upstream) isSilent(now time.Duration) bool {
	return u.silentAt != 0 && now-u.silentAt < silentKeep
}

// doubtful reports whether the upstream is better avoided.
func (u *upstream) doubtful(now time.Duration) bool {
	if u.removeAt != 0 || now < u.doubt.until || now < u.zone.doubt.until {
		return true
	}
	// After a failure one flow at a time tries again.
	return u.doubt.step != 0 && u.opening > 0 || u.zone.doubt.step != 0 && u.zone.opening > 0
}

// factor is how much slower than its service the upstream is, 1 or more.
func (u *upstream) factor(now time.Duration, s *service) float64 {
	f := 1.0
	if now < u.coldUntil {
		f = coldFactor
	}
	if u.latency == 0 || s.latency == 0 {
		return f
	}
	age := float64(now-u.latencyAt) / float64(latencyHalfLife)
	ratio := u.latency / s.latency
	if age < maxLatencyAge && ratio > 1 {
		f = max(f, 1+(ratio-1)*halved(age))
	}
	return f
}

// halved is 0.5 to the power of x by linear pieces.
func halved(x float64) float64 {
	f := 1.0
	for x >= 1 {
		f /= 2
		x--
	}
	return f * (1 - x/2)
}

// alive notes the answer to a packet that this host sent at the given time.
// Answers go to callers directly: one to an older packet doesn't show that
// packets of this host still arrive.
func (c *Core) alive(now, sent time.Duration, u *upstream) {
	u.lifeAt, u.reachedAt = now, max(u.reachedAt, sent)
	if u.silentAt != 0 {
		u.silentAt = 0
		c.note(Record{Event: "upstream is no longer silent", Upstream: u.Key, Service: u.Service})
	}
	z := u.zone
	z.reachedAt = max(z.reachedAt, sent)
	z.suspect = nil
	if z.doubt.clear(sent) {
		c.note(Record{Event: "availability zone answers again", Detail: z.name})
	}
	if u.doubt.clear(sent) {
		c.note(Record{Event: "upstream answers again", Upstream: u.Key, Service: u.Service})
	}
}

// unanswered notes a handshake that was not completed, unless the upstream
// showed life since then and the loss concerned one packet.
func (c *Core) unanswered(now time.Duration, f *flow) {
	u := f.upstream
	c.samples = append(c.samples, Sample{SampleHandshakeTimeout, now - f.openedAt})
	if u.Zone == c.zone {
		c.strain.failed(now, u)
	}
	if u.reachedAt > f.openedAt || now < u.doubt.until {
		return
	}
	u.doubt.raise(now, f.openedAt)
	c.note(Record{Event: "upstream does not answer", Caller: f.key.caller, Upstream: u.Key, Service: u.Service, Detail: "handshake not completed", Age: now - u.lifeAt, HoldsFor: u.doubt.until - now})
	z := u.zone
	if z.reachedAt > f.openedAt || now < z.doubt.until || c.strain.high(now) {
		return
	}
	if z.suspect == nil {
		z.suspect = u
		return
	}
	if z.suspect != u {
		z.doubt.raise(now, f.openedAt)
		c.note(Record{Event: "availability zone does not answer", Detail: z.name, Age: now - z.reachedAt, HoldsFor: z.doubt.until - now})
	}
}
