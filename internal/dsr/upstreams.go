package dsr

import (
	"time"

	"mimosashore.example/mimosashore/internal/capacity"
	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/list"
	"mimosashore.example/mimosashore/internal/loadcontrol"
	"mimosashore.example/mimosashore/internal/schedule"
)

const (
	// lapseGrace is how long an upstream is kept after its registration lapsed: the platform
	// restores the registrations of live upstreams within two seconds of the return of the store.
	lapseGrace = 2200 * time.Millisecond
	// settleTime is how long after the return of the store, or the start of the host, nothing
	// follows from a missing registration.
	settleTime = directory.RewriteTime
	// goneRetention is how long the token of an upstream that is gone is kept: the longest lifetime
	// of a flow.
	goneRetention = 60 * time.Second
	// backoffMin and backoffMax bound how long an upstream or zone is avoided after a failure.
	backoffMin = 500 * time.Millisecond
	backoffMax = 4 * time.Second
	// latencyWeight is the weight of a new sample in a mean latency.
	latencyWeight = 0.2
	// latencyHalfLife is the time in which the excess of an upstream's mean latency over that of
	// its service loses half of its weight. Samples older than maxLatencyHalfLives of it are ignored.
	latencyHalfLife     = 2 * time.Second
	maxLatencyHalfLives = 8
)

// upstream is one incarnation of an upstream.
type upstream struct {
	directory.Upstream
	token   Token
	zone    *zone
	service *service
	// zoneIndex is the place of the upstream in zone.upstreams.
	zoneIndex int
	// tokenShared is set while another known upstream has the same token.
	tokenShared bool
	// unreadable is set while the registration cannot be decoded or names an unknown service.
	unreadable bool
	// unknownService is the registration that names an unknown service; nil if there is none.
	unknownService *directory.Upstream
	// evacuated is set while the zone of the upstream is evacuated.
	evacuated bool
	// removeAt is when an upstream with a lapsed registration becomes gone; zero is never.
	removeAt time.Duration
	// lost is set while the registration is missing only because the store was restored.
	lost bool
	// gone is set when the registration is known to be missing or another one has replaced it. The
	// upstream gets no new flows. It may still serve its open ones.
	gone bool
	// replacedBy is the incarnation, or the other entry, that has its key since.
	replacedBy     *upstream
	goneAt         time.Duration
	goneBy         Evidence
	slowStartUntil time.Duration
	// cold is nil if the upstream is not cold.
	cold *coldStart

	// opening is the number of flows of this host whose handshake is not completed, busy the number
	// of those with a request in progress, flows the number of all open ones including busy.
	opening, busy, flows int
	// lastAnswerAt is when the upstream was last seen to have answered, reachedAt when the last
	// packet was sent that it is known to have answered.
	lastAnswerAt, reachedAt time.Duration
	backoff                 backoff
	// silentAt is when the last check began, if it found that the upstream does not answer, silentBy its
	// evidence; zero if not, or if it has answered since. recheckDelay is the time to the next check.
	silentAt     time.Duration
	silentBy     Evidence
	recheckDelay time.Duration
	// checkID is the check that is wanted or under way; zero is none. The next one may begin at nextCheckAt.
	checkID     uint64
	nextCheckAt time.Duration
	// latency is the mean time from request to answer, in seconds; zero is unknown.
	latency   float64
	latencyAt time.Duration
	pacer     loadcontrol.Pacer
	// learned is what the answers to this host say of the capacity of the upstream; nil without samples. judged is the
	// last judgement that was logged.
	learned      *capacity.Estimate
	learnedLinks list.Links[upstream]
	judged       judgement
	// line holds the requests on open flows that wait for the upstream, busySince is when it was last
	// idle.
	line      schedule.Line[*waitingRequest]
	busySince time.Duration
	// lender counts the slots that are lent to other hosts, credits those that other hosts lent to this one.
	lender, credits loadcontrol.Lender
	// rank orders the upstreams of a service in the same way on all hosts.
	rank uint64
	// share is the part of the upstream that this host is responsible for.
	share float64
}

// backoff is the time for which an upstream or zone is avoided after failures. It doubles with each
// failure.
type backoff struct {
	// until is the end of the backoff, delay its length. A delay of zero means that there was no
	// failure since the last answer.
	until, delay time.Duration
	// sentAt is when the packet was sent that got no answer.
	sentAt time.Duration
}

// extend starts or doubles the backoff after a packet that got no answer.
func (b *backoff) extend(now, sent time.Duration) {
	b.delay = min(max(2*b.delay, backoffMin), backoffMax)
	b.until = now + b.delay
	b.sentAt = sent
}

// clear ends the backoff if the answered packet was sent no earlier than the unanswered one, and
// reports whether it did.
func (b *backoff) clear(sent time.Duration) bool {
	if b.delay == 0 || sent < b.sentAt {
		return false
	}
	*b = backoff{}
	return true
}

// zone is the state of an availability zone, inferred from its upstreams.
type zone struct {
	name      string
	upstreams []*upstream
	opening   int
	backoff   backoff
	// reachedAt is when the last packet was sent that any of its upstreams is known to have
	// answered.
	reachedAt time.Duration
	// transit is the usual duration of a handshake with an upstream of the zone; zero is unknown.
	transit time.Duration
	// firstTimedOut is the first upstream with a handshake timeout since the last answer of the
	// zone. A timeout at a second upstream puts the zone into backoff.
	firstTimedOut *upstream
}

// noteHandshake records the duration of a handshake with an upstream of the zone.
func (z *zone) noteHandshake(took time.Duration) {
	if z.transit == 0 || took < z.transit {
		z.transit = took
		return
	}
	z.transit += time.Duration(baselineWeight * float64(took-z.transit))
}

func (z *zone) add(u *upstream) {
	u.zoneIndex = len(z.upstreams)
	z.upstreams = append(z.upstreams, u)
}

// remove removes an upstream, whose place the last one takes.
func (z *zone) remove(u *upstream) {
	if u.zoneIndex >= len(z.upstreams) || z.upstreams[u.zoneIndex] != u {
		return
	}
	last := len(z.upstreams) - 1
	z.upstreams[u.zoneIndex] = z.upstreams[last]
	z.upstreams[u.zoneIndex].zoneIndex = u.zoneIndex
	z.upstreams[last] = nil
	z.upstreams = z.upstreams[:last]
}

// usable reports whether new flows may be assigned to the upstream.
func (u *upstream) usable() bool {
	return !u.gone && !u.Draining && !u.tokenShared && !u.unreadable && !u.evacuated
}

// hasFreeSlot reports whether another request is expected to run at once, as far as this host knows.
func (u *upstream) hasFreeSlot() bool {
	share := u.share
	if len(u.service.own) == 0 {
		share = 1
	}
	return float64(u.busy) < share*float64(u.Slots)
}

// hasSameEndpoint reports whether packets to the other incarnation reach this one. It has the flows
// that were opened by the registration of the other one after it started, and resets those that it
// does not have.
func (u *upstream) hasSameEndpoint(other *upstream) bool {
	return u.ID == other.ID && u.Addr == other.Addr && u.Service == other.Service
}

// suspect reports whether the upstream may not answer and is to be avoided.
func (u *upstream) suspect(now time.Duration) bool {
	if u.silentAt != 0 || u.removeAt != 0 && !u.lost || now < u.backoff.until || now < u.zone.backoff.until {
		return true
	}
	// After the backoff, one flow at a time tries the upstream or zone again.
	return u.backoff.delay != 0 && u.opening > 0 || u.zone.backoff.delay != 0 && u.zone.opening > 0
}

// slowdown returns how many times slower than its service the upstream is, at least 1. It is used where requests
// queue at upstreams: the time to an answer includes the queue there, which new flows are to avoid as well.
func (u *upstream) slowdown(now time.Duration, s *service) float64 {
	f := u.slowStart(now)
	if u.latency == 0 || s.latency == 0 {
		return f
	}
	age := float64(now-u.latencyAt) / float64(latencyHalfLife)
	ratio := u.latency / s.latency
	if age < maxLatencyHalfLives && ratio > 1 {
		f = max(f, 1+(ratio-1)*decay(age))
	}
	return f
}

// decay approximates 0.5 to the power of x, which must not be negative, by linear pieces.
func decay(x float64) float64 {
	f := 1.0
	for x >= 1 {
		f /= 2
		x--
	}
	return f * (1 - x/2)
}

// onAnswer records the answer to a packet that this host sent at the given time. Upstreams answer
// callers directly, so the answer to an older packet does not show that packets from this host
// still arrive.
func (c *Core) onAnswer(now, sent time.Duration, u *upstream) {
	u.lastAnswerAt, u.reachedAt = now, max(u.reachedAt, sent)
	c.endSilence(u)
	z := u.zone
	z.reachedAt = max(z.reachedAt, sent)
	z.firstTimedOut = nil
	if z.backoff.clear(sent) {
		c.emit(Record{Event: "availability zone answers again", Detail: z.name})
	}
	if u.backoff.clear(sent) {
		c.emit(Record{Event: "upstream answers again", Upstream: u.Key, Service: u.Service})
	}
}

// onHandshakeTimeout records a handshake that timed out. It does not count against the upstream if
// a later packet was answered, since then only one packet was lost.
func (c *Core) onHandshakeTimeout(now time.Duration, f *flow) {
	u := f.upstream
	c.samples = append(c.samples, Sample{SampleHandshakeTimeout, now - f.openedAt})
	if u.Zone == c.zone {
		c.linkMonitor.handshakeTimedOut(now, u)
	}
	if u.reachedAt > f.openedAt {
		return
	}
	if now < u.backoff.until {
		return
	}
	u.backoff.extend(now, f.openedAt)
	c.emit(Record{Event: "upstream does not answer", Caller: f.key.caller, Upstream: u.Key, Service: u.Service, Detail: "handshake not completed", Age: now - u.lastAnswerAt, HoldsFor: u.backoff.until - now})
	z := u.zone
	if z.reachedAt > f.openedAt || now < z.backoff.until || c.linkMonitor.suspected(now) {
		return
	}
	if z.firstTimedOut == nil {
		z.firstTimedOut = u
		return
	}
	if z.firstTimedOut != u {
		z.backoff.extend(now, f.openedAt)
		c.emit(Record{Event: "availability zone does not answer", Detail: z.name, Age: now - z.reachedAt, HoldsFor: z.backoff.until - now})
	}
}
