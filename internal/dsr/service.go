package dsr

import (
	"cmp"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/capacity"
	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/loadcontrol"
	"mimosashore.example/mimosashore/internal/schedule"
)

// service is the state of a service.
type service struct {
	name      string
	upstreams []*upstream
	// own holds the upstreams that this host is responsible for, at least in part, and ownSlots the
	// number of their slots in proportion. In a zone without upstreams, own is empty and ownSlots an
	// equal part of all slots. Both are out of date while sharesStale is set.
	own         []*upstream
	ownSlots    float64
	sharesStale bool
	// coldStart is the cold start that the configuration declares; nil if it declares none.
	coldStart *directory.ColdStart
	// evacuated is set while all zones that have upstreams of the service are evacuated.
	evacuated bool
	// latency is the mean time from request to answer, in seconds; zero is unknown.
	latency float64
	// work is the time from request to answer at upstreams with a free slot, without the transit.
	work loadcontrol.Work
	// peers is what the upstreams have in common, against which the capacity of each is judged.
	peers capacity.Group
	// quickShare is the part of the answers to single requests that come much earlier than usual.
	quickShare float64
	// flows is the number of open flows of this host, repeats the demand of their requests after the
	// first.
	flows   int
	repeats loadcontrol.Demand
	// latencyObjective is the lowest latency objective of the routes to the service, lowestPriority
	// the priority of the least urgent one.
	latencyObjective time.Duration
	lowestPriority   int
	// deadline is the longest deadline of the routes to the service. undeclared is set if a route declares none, or no
	// latency objective.
	undeclared bool
	deadline   time.Duration
	// urgentWaiting is the number of urgent requests in the queue.
	urgentWaiting int
	// coldUpstreams holds those that may be cold.
	coldUpstreams []*upstream
	// borrowed holds the upstreams of which other hosts lent slots.
	borrowed []*upstream
	// lined holds the upstreams for which requests on open flows wait.
	lined []*upstream
	// asker decides when to ask other hosts for slots.
	asker loadcontrol.Asker
	// queuesAtUpstreams is set if requests don't wait at this host.
	queuesAtUpstreams bool
	// queue holds the requests that wait at this host.
	queue *schedule.Queue[*waitingRequest]

	// spill limits spilled, the number of requests of this host at upstreams that others are
	// responsible for.
	spill   loadcontrol.Window
	spilled int
	// demand is that of all requests, urgentDemand that of urgent ones, which go first.
	demand, urgentDemand loadcontrol.Demand
	// waiting is the number of callers that wait for their next retransmission.
	waiting int
}

// addRoute adds the latency objective and priority of a route to those of the service.
func (s *service) addRoute(r *route) {
	if r.LatencyObjective > 0 && (s.latencyObjective == 0 || r.LatencyObjective < s.latencyObjective) {
		s.latencyObjective = r.LatencyObjective
	}
	s.lowestPriority = max(s.lowestPriority, r.Priority)
	s.deadline = max(s.deadline, r.Timeout)
	s.undeclared = s.undeclared || r.LatencyObjective <= 0 || r.Timeout <= 0
}

// repeatLoad returns the mean number of requests in progress on an open flow that were not its first.
// Flows that were left open without further requests lower it.
func (s *service) repeatLoad(now time.Duration) float64 {
	return min(1, s.repeats.Rate(now)*s.work.Mean().Seconds()/float64(max(s.flows, 1)))
}

// busyTimeout returns when an unanswered request stops counting as work in progress.
func (s *service) busyTimeout() time.Duration {
	return min(max(busyTimeoutMin, time.Duration(busyTimeoutFactor*s.latency*float64(time.Second))), busyTimeoutMax)
}

// asked records that a request was sent to an upstream, or that its caller waited in vain.
func (s *service) asked(now time.Duration, class loadcontrol.Class) {
	s.demand.Asked(now)
	if class.Urgent {
		s.urgentDemand.Asked(now)
	}
}

// refused records that an attempt was refused.
func (s *service) refused(now time.Duration, class loadcontrol.Class) {
	s.demand.Refused(now)
	if class.Urgent {
		s.urgentDemand.Refused(now)
	}
}

// rejected records that a request that was recorded as asked is rejected.
func (s *service) rejected(now time.Duration, class loadcontrol.Class) {
	s.demand.Rejected(now)
	if class.Urgent {
		s.urgentDemand.Rejected(now)
	}
}

// overloaded reports whether a caller that has to wait would not be served. Urgent callers compete
// with urgent ones only.
func (c *Core) overloaded(now time.Duration, s *service, class loadcontrol.Class) bool {
	d, waiting := &s.demand, s.waiting+s.queue.Len()
	if class.Urgent {
		d, waiting = &s.urgentDemand, s.waiting+s.urgentWaiting
	}
	return d.Exceeds(now, c.answeringSlots(now, s), s.work.Mean(), waiting)
}

// SetPosition sets the place of this host among the hosts of its zone.
func (c *Core) SetPosition(p loadcontrol.Position) {
	if p == c.position {
		return
	}
	c.position = p
	for _, s := range c.services {
		s.sharesStale = true
	}
	c.emit(Record{Event: "place among the hosts of the zone changed", Detail: c.zone, Open: p.Index, Considered: p.Count})
}

// computeShares divides the upstreams of a service in this zone among its hosts. All hosts put them in
// the same order. Flows stay where they are.
func (c *Core) computeShares(s *service) {
	s.sharesStale, s.ownSlots = false, 0
	var local []*upstream
	for _, u := range s.upstreams {
		u.share = 0
		if u.Zone == c.zone && u.usable() {
			local = append(local, u)
		}
	}
	slices.SortFunc(local, func(a, b *upstream) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Key, b.Key)) })
	s.own = s.own[:0]
	for j, u := range local {
		if u.share = c.position.Share(j, len(local)); u.share > 0 {
			s.own = append(s.own, u)
			s.ownSlots += u.share * float64(u.Slots)
		}
	}
	if len(local) == 0 {
		s.ownSlots = c.partOfAllSlots(s, (*upstream).usable)
	}
}

// answeringSlots returns the slots that this host is responsible for at upstreams that are not suspect. If
// there are none, it is this host's part of all others.
func (c *Core) answeringSlots(now time.Duration, s *service) float64 {
	if !s.schedules() {
		return s.ownSlots
	}
	slots := 0.0
	for _, u := range s.own {
		if !u.suspect(now) && c.coldLeft(now, u) == 0 {
			slots += u.share * u.learnedLimit(now)
		}
	}
	if slots > 0 {
		return slots
	}
	return c.partOfAllSlots(s, func(u *upstream) bool { return u.usable() && !u.suspect(now) && c.coldLeft(now, u) == 0 })
}

// partOfAllSlots returns this host's part of the slots of a service at the upstreams that are accepted, if
// each zone, and each host of it, had an equal one.
func (c *Core) partOfAllSlots(s *service, accepted func(*upstream) bool) float64 {
	slots := 0
	for _, u := range s.upstreams {
		if accepted(u) {
			slots += u.Slots
		}
	}
	zones := len(c.zones)
	if c.zones[c.zone] == nil {
		zones++
	}
	return float64(slots) / float64(zones*max(c.position.Count, 1))
}
