package dsr

import (
	"encoding/binary"
	"math"
	"time"

	"mimosashore.example/mimosashore/internal/capacity"
	"mimosashore.example/mimosashore/internal/list"
)

const (
	// maxEstimates bounds the upstreams that a host learns the capacity of, about 1 KB each. The one without
	// samples for longest is forgotten.
	maxEstimates = 2048
	// pendingFactor is the multiple of the work of the peers after which an unanswered request is evidence,
	// pendingInterval the time between two searches for such requests.
	pendingFactor   = 3
	pendingInterval = 20 * time.Millisecond
	// quickFactor is the part of the work of the peers below which an answer may be a rejection. returnTime is the
	// time in which the caller comes back then, with a margin for the way.
	quickFactor = 0.125
	returnTime  = 15 * time.Millisecond
	// maxQuickShare is the part of the answers to single requests above which quick answers are usual for the
	// service, and no rejections. quickWeight is the weight of one of them.
	maxQuickShare = 0.02
	quickWeight   = 0.01
	// eventJudgement is the message of the log line.
	eventJudgement = "judgement of the upstream's capacity changed"
	// maxQuick bounds the quick answers that are kept for returnTime.
	maxQuick = 64
)

// learner holds what the core needs to learn the capacity of its upstreams.
type learner struct {
	// recent is ordered by the last sample, spare holds estimates that are not in use.
	recent list.List[upstream]
	spare  []*capacity.Estimate
	// quick holds answers that may be rejections, oldest first.
	quick         []quickAnswer
	nextPendingAt time.Duration
	counts        LearnedCounts
}

// LearnedCounts counts judgements of the capacity of upstreams.
type LearnedCounts struct {
	// Slow is the number of upstreams that are judged slower than their peers, Limited that of those with a
	// limit below their slots.
	Slow, Limited int
	// Changes counts changes of judgements, Sheds rejections.
	Changes, Sheds uint64
}

// quickAnswer is an answer that came so early that it may be a rejection.
type quickAnswer struct {
	upstream *upstream
	sample   capacity.Sample
	key      flowKey
	// closed is set if the caller ended the flow with it.
	closed bool
}

// judgement is what has been learned of an upstream.
type judgement struct {
	limit float64
	// slots is the number of slots at that time.
	slots int
	slow  bool
}

func (j judgement) limited() bool { return j.limit < float64(j.slots) }

// equals reports whether two judgements are the same but for the declared slots.
func (j judgement) equals(other judgement) bool {
	return j.slow == other.slow && j.limited() == other.limited() && (!j.limited() || j.limit == other.limit)
}

func newLearner() learner {
	return learner{
		recent: list.New(func(u *upstream) *list.Links[upstream] { return &u.learnedLinks }),
		quick:  make([]quickAnswer, 0, maxQuick),
	}
}

// LearnedCounts returns the counts of judgements.
func (c *Core) LearnedCounts() LearnedCounts { return c.learner.counts }

func (u *upstream) judgement(now time.Duration) judgement {
	return judgement{limit: u.learnedKnee(now), slots: u.Slots, slow: u.learned.Slow(now)}
}

// estimate returns the estimate of an upstream for a new sample.
func (c *Core) estimate(u *upstream) *capacity.Estimate {
	l := &c.learner
	if u.learned != nil {
		l.recent.Remove(u)
		l.recent.Push(u)
		return u.learned
	}
	if l.recent.Len() >= maxEstimates {
		c.forgetCapacity(l.recent.First())
	}
	if n := len(l.spare); n > 0 {
		u.learned = l.spare[n-1]
		l.spare = l.spare[:n-1]
	} else {
		u.learned = new(capacity.Estimate)
	}
	l.recent.Push(u)
	return u.learned
}

// forgetCapacity drops the estimate of an upstream.
func (c *Core) forgetCapacity(u *upstream) {
	if u.learned == nil {
		return
	}
	c.learner.count(judgement{}, u.judged)
	u.judged = judgement{}
	c.learner.recent.Remove(u)
	u.learned.Reset(&u.service.peers)
	c.learner.spare = append(c.learner.spare, u.learned)
	u.learned = nil
}

// forgetStale drops the estimates of upstreams that had no samples for long.
func (c *Core) forgetStale(now time.Duration) {
	for u := c.learner.recent.First(); u != nil && now-u.learned.UpdatedAt() > capacity.StaleTime; u = c.learner.recent.First() {
		from := u.judged
		samples, _ := u.learned.Samples()
		age := now - u.learned.UpdatedAt()
		c.forgetCapacity(u)
		if to := u.judgement(now); !to.equals(from) {
			c.learner.counts.Changes++
			c.emit(Record{
				Event: eventJudgement, Upstream: u.Key, Service: u.Service, Detail: to.name(), FromJudgement: from.name(), Limit: to.limit, FromLimit: from.limit,
				LearnedWork: u.learnedWork(now), PeerWork: u.service.peers.Reference(), Samples: samples, Evidence: "no samples for long", Source: SourceFlows, Age: age,
			})
		}
	}
}

// learnAnswer learns from the answer to the request in progress on a flow. If the packet that acknowledged it has
// data, the answer may have come earlier.
func (c *Core) learnAnswer(now time.Duration, f *flow, early bool) {
	u := f.upstream
	if u.gone || !u.service.schedules() || c.linkMonitor.degradedAt >= f.busyAt {
		return
	}
	// A single handshake may have been delayed.
	s := capacity.Sample{
		Start: f.busyAt, End: now, Transit: u.zone.transit, InProgress: f.inProgress, Retransmitted: f.resentAt != 0, ResentAt: f.resentAt,
		AtMost: early, Counted: f.counted, Caller: callerID(f.key),
	}
	if quick := quickFactor * float64(u.service.peers.Reference()); float64(now-f.busyAt-u.zone.transit) >= quick {
		if f.inProgress == 1 {
			u.service.quickShare -= quickWeight * u.service.quickShare
		}
		c.addSample(now, u, s)
		return
	}
	if f.inProgress == 1 {
		u.service.quickShare += quickWeight * (1 - u.service.quickShare)
	}
	if len(c.learner.quick) == maxQuick {
		c.resolveQuick(now, 1)
	}
	c.learner.quick = append(c.learner.quick, quickAnswer{upstream: u, sample: s, key: f.key})
}

// addSample adds a sample to the estimate of an upstream.
func (c *Core) addSample(now time.Duration, u *upstream, s capacity.Sample) {
	c.estimate(u).Add(now, &u.service.peers, u.Slots, s)
	c.noteJudgement(now, u, s.Start)
}

// flowClosed records that a caller ended a flow, which makes an early answer on it likelier to be a rejection.
func (c *Core) flowClosed(f *flow) {
	for i := range c.learner.quick {
		if c.learner.quick[i].key == f.key {
			c.learner.quick[i].closed = true
		}
	}
}

// callerReturned records the first SYN of a flow. If the caller has just ended another one with a quick answer, that
// was a rejection.
func (c *Core) callerReturned(now time.Duration, p *Packet) {
	l := &c.learner
	id := callerID(flowKey{caller: p.Caller})
	for i := range l.quick {
		q := &l.quick[i]
		u := q.upstream
		if !q.closed || q.sample.Caller != id || u.gone || u.service.quickShare > maxQuickShare {
			continue
		}
		c.estimate(u).Shed(now, &u.service.peers, u.Slots, q.sample.InProgress)
		l.counts.Sheds++
		c.noteJudgement(now, u, q.sample.Start)
		l.quick = append(l.quick[:i], l.quick[i+1:]...)
		return
	}
}

// resolveQuick adds the first count quick answers as samples. One of several requests at a time may be a rejection
// all the same, since callers mostly come back through other hosts, and is left out.
func (c *Core) resolveQuick(now time.Duration, count int) {
	for _, q := range c.learner.quick[:count] {
		if !q.upstream.gone && (q.sample.InProgress <= 1 || !q.closed) {
			c.addSample(now, q.upstream, q.sample)
		}
	}
	c.learner.quick = append(c.learner.quick[:0], c.learner.quick[count:]...)
}

// advanceLearning learns from requests that are unanswered for long, and from quick answers whose callers did not
// come back.
func (c *Core) advanceLearning(now time.Duration) {
	count := 0
	for count < len(c.learner.quick) && now-c.learner.quick[count].sample.End > returnTime {
		count++
	}
	if count > 0 {
		c.resolveQuick(now, count)
	}
	if now < c.learner.nextPendingAt {
		return
	}
	c.learner.nextPendingAt = now + pendingInterval
	c.forgetStale(now)
	for f := c.cache.busy.First(); f != nil && now-f.busyAt > pendingInterval; f = f.phaseLinks.Next() {
		u := f.upstream
		waited := now - f.busyAt - u.zone.transit
		reference := u.service.peers.Reference()
		if f.counted != 0 || f.resentAt != 0 || reference == 0 || waited < pendingFactor*reference || u.gone || !u.service.schedules() || c.linkMonitor.degradedAt >= f.busyAt {
			continue
		}
		f.counted = now - f.busyAt
		c.estimate(u).Pending(now, &u.service.peers, u.Slots, f.busyAt, u.zone.transit, f.inProgress)
		c.noteJudgement(now, u, f.busyAt)
	}
}

// noteJudgement records a changed judgement of an upstream. The request that decided was sent at the given time.
func (c *Core) noteJudgement(now time.Duration, u *upstream, sent time.Duration) {
	to, from := u.judgement(now), u.judged
	u.judged = to
	if to.equals(from) {
		return
	}
	if from.slots == 0 {
		from.limit, from.slots = float64(u.Slots), u.Slots
	}
	c.learner.count(to, from)
	c.learner.counts.Changes++
	samples, evidence := u.learned.Samples()
	g := &u.service.peers
	c.emit(Record{
		Event: eventJudgement, Upstream: u.Key, Service: u.Service, Detail: to.name(), FromJudgement: from.name(),
		Limit: to.limit, FromLimit: from.limit, LearnedWork: u.learned.Work(now, g), PeerWork: g.Reference(), Samples: samples,
		Evidence: evidence.String(), Source: SourceFlows, Age: now - sent, Open: u.busy + u.opening,
	})
}

// count counts the change of a judgement in the gauges.
func (l *learner) count(to, from judgement) {
	step := func(is, was bool) int {
		switch {
		case is == was:
			return 0
		case is:
			return 1
		default:
			return -1
		}
	}
	l.counts.Slow += step(to.slow, from.slow)
	l.counts.Limited += step(to.limited(), from.limited())
}

// name returns the judgement as it appears in logs.
func (j judgement) name() string {
	switch {
	case j.slow && j.limited():
		return "slow, with fewer slots"
	case j.slow:
		return "slow"
	case j.limited():
		return "fewer slots"
	default:
		return "like its peers"
	}
}

// inProgress returns the number of requests in progress at the upstream with one more, as far as this host knows; zero
// is unknown. Other hosts that share the upstream are taken to send as many in proportion.
func (u *upstream) inProgress() int {
	if u.share == 0 {
		return 0
	}
	// The new request is one; the others of this host stand for those of the hosts that share the upstream.
	return 1 + int(math.Round(float64(u.busy)/u.share))
}

// callerID identifies the caller of a flow by its address, since a link delays all of its flows.
func callerID(key flowKey) uint64 {
	a := key.caller.Addr().As4()
	return uint64(binary.BigEndian.Uint32(a[:])) + 1
}
