package dsr

import (
	"slices"
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
	// silent is set when nothing came back for silentFor, until something does.
	silent bool
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

// Apply takes a change of the directory.
func (c *Core) Apply(now time.Duration, ch *directory.Change) {
	if ch.Full {
		c.removeMissing(now, ch)
		c.listedAt = ch.Asked
		if ch.FromPeer {
			c.listedAt = 0
		}
	}
	for i := range ch.Upstreams {
		c.applyUpstream(now, &ch.Upstreams[i])
	}
	for _, r := range ch.Removed {
		u := c.byKey[r.Key]
		switch {
		case u == nil || r.Revision <= u.Revision:
		case r.Malformed:
			// Somebody else may have written it; the upstream's flows go on.
			u.unusable = true
		default:
			c.remove(now, u)
		}
	}
	if ch.Configuration != nil {
		c.applyConfiguration(now, ch.Configuration)
	}
	if ch.Full {
		c.complete = true
	}
	c.index()
}

func (c *Core) removeMissing(now time.Duration, ch *directory.Change) {
	present := make(map[string]bool, len(ch.Upstreams))
	for i := range ch.Upstreams {
		present[ch.Upstreams[i].Key] = true
	}
	for _, r := range ch.Removed {
		present[r.Key] = true
	}
	for key, u := range c.byKey {
		if !present[key] && u.Revision <= ch.At {
			c.remove(now, u)
		}
	}
}

// remove takes an upstream out of use. One that was draining has left; another
// may be back soon, since registrations lapse while the store is down.
func (c *Core) remove(now time.Duration, u *upstream) {
	if u.gone || u.removeAt != 0 {
		return
	}
	if u.Draining {
		c.setGone(now, u, "left after draining")
		return
	}
	u.removeAt = now + removalHold
	c.pending = append(c.pending, u)
	c.note(Record{Event: "registration lapsed", Upstream: u.Key, Service: u.Service, Revision: uint64(u.Revision), Age: now - u.lifeAt})
}

func (c *Core) setGone(now time.Duration, u *upstream, why string) {
	u.gone, u.goneAt, u.removeAt = true, now, 0
	if c.byKey[u.Key] == u {
		delete(c.byKey, u.Key)
	}
	c.goneList = append(c.goneList, u)
	c.reindex = true
	c.note(Record{Event: "upstream gone", Upstream: u.Key, Service: u.Service, Why: why, Revision: uint64(u.Revision), Age: now - u.lifeAt})
}

func (c *Core) applyUpstream(now time.Duration, d *directory.Upstream) {
	u := c.byKey[d.Key]
	if u != nil && d.Revision < u.Revision {
		return
	}
	if u != nil && u.Incarnation == d.Incarnation && u.Addr == d.Addr && u.Service == d.Service {
		if d.Draining != u.Draining {
			c.note(Record{Event: "upstream draining", Upstream: d.Key, Service: d.Service, Revision: uint64(d.Revision)})
		}
		u.Upstream = *d
		u.removeAt, u.unusable = 0, false
		return
	}
	if u != nil {
		c.setGone(now, u, "restarted")
	}
	n := &upstream{Upstream: *d, token: TokenOf(d.ID, d.Incarnation), zone: c.zoneOf(d.Zone), window: newWindow(d.Slots)}
	if d.SlowFor > 0 {
		n.coldUntil = now + d.SlowFor
	}
	c.byKey[d.Key] = n
	c.reindex = true
	c.note(Record{Event: "upstream registered", Upstream: d.Key, Service: d.Service, Token: n.token, To: d.Addr, Revision: uint64(d.Revision)})
}

func (c *Core) zoneOf(name string) *zone {
	z := c.zones[name]
	if z == nil {
		z = &zone{name: name}
		c.zones[name] = z
	}
	return z
}

func (c *Core) serviceOf(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{}
		c.services[name] = s
	}
	return s
}

// index builds the maps by service and token anew, if upstreams came or went.
func (c *Core) index() {
	if !c.reindex {
		return
	}
	c.reindex = false
	for _, s := range c.services {
		s.upstreams = s.upstreams[:0]
	}
	clear(c.tokens)
	for _, u := range c.goneList {
		c.tokens[u.token] = u
	}
	live := make([]*upstream, 0, len(c.byKey))
	for _, u := range c.byKey {
		u.shared = false
		live = append(live, u)
	}
	// All hosts give a token that two upstreams share to the one that started first.
	slices.SortFunc(live, func(a, b *upstream) int {
		if a.Incarnation != b.Incarnation {
			return int(min(max(a.Incarnation-b.Incarnation, -1), 1))
		}
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	for _, u := range live {
		if other := c.tokens[u.token]; other != nil && !other.gone {
			other.shared, u.shared = true, true
			c.note(Record{Event: "token shared by two upstreams", Upstream: u.Key, Service: u.Service, Token: u.token, Why: other.Key})
		} else {
			c.tokens[u.token] = u
		}
		s := c.serviceOf(u.Service)
		s.upstreams = append(s.upstreams, u)
	}
}

// settle makes lapsed registrations gone after the hold and forgets old ones.
func (c *Core) settle(now time.Duration) {
	for len(c.pending) > 0 {
		u := c.pending[0]
		if u.removeAt != 0 && now < u.removeAt {
			break
		}
		c.pending = c.pending[1:]
		if u.removeAt != 0 && !u.gone {
			c.setGone(now, u, "registration stayed away")
		}
	}
	for len(c.goneList) > 0 && now-c.goneList[0].goneAt > goneKeep {
		c.goneList = c.goneList[1:]
		c.reindex = true
	}
	c.index()
}

// alive notes the answer to a packet that this host sent at the given time.
// Answers go to callers directly: one to an older packet doesn't show that
// packets of this host still arrive.
func (c *Core) alive(now, sent time.Duration, u *upstream) {
	u.lifeAt, u.reachedAt = now, max(u.reachedAt, sent)
	if u.silent {
		u.silent = false
		c.note(Record{Event: "upstream is no longer silent", Upstream: u.Key, Service: u.Service})
	}
	z := u.zone
	z.reachedAt = max(z.reachedAt, sent)
	z.suspect = nil
	if z.doubt.clear(sent) {
		c.note(Record{Event: "availability zone answers again", Why: z.name})
	}
	if u.doubt.clear(sent) {
		c.note(Record{Event: "upstream answers again", Upstream: u.Key, Service: u.Service})
	}
}

// unanswered notes a handshake that was not completed, unless the upstream
// showed life since then and the loss concerned one packet.
func (c *Core) unanswered(now time.Duration, f *flow) {
	u := f.upstream
	c.samples = append(c.samples, Sample{SampleUnfinished, now - f.openedAt})
	if u.Zone == c.zone {
		c.strain.failed(now, u)
	}
	if u.reachedAt > f.openedAt || now < u.doubt.until {
		return
	}
	u.doubt.raise(now, f.openedAt)
	c.note(Record{Event: "upstream does not answer", Caller: f.key.caller, Upstream: u.Key, Service: u.Service, Why: "handshake not completed", Age: now - u.lifeAt, Until: u.doubt.until - now})
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
		c.note(Record{Event: "availability zone does not answer", Why: z.name, Age: now - z.reachedAt, Until: z.doubt.until - now})
	}
}
