package schedule

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// load is a stream of requests: perSecond between from and to, of a number of callers.
type load struct {
	perSecond           float64
	from, to            time.Duration
	callers, firstOctet int
	priority            int
	objective, deadline time.Duration
	// work is that at an upstream of usual speed; it varies between half and one and a half times this.
	work time.Duration
	// bound is set if the requests come on open flows, each to the upstream of its caller.
	bound bool
}

// result counts what became of the requests of a load.
type result struct{ requested, inTime, late, rejected, lost int }

// replayed is an upstream of a replay: when each of its slots gets free, how much slower than usual it
// is, and the line of its open flows.
type replayed struct {
	slots []time.Duration
	slow  float64
	line  Line[*load]
}

func upstreams(n int, slow ...float64) []*replayed {
	us := make([]*replayed, n)
	for i := range us {
		us[i] = &replayed{slots: make([]time.Duration, 2), slow: 1}
		if i < len(slow) {
			us[i].slow = slow[i]
		}
	}
	return us
}

// freeSlot returns a slot that is free, or nil.
func (u *replayed) freeSlot(now time.Duration) *time.Duration {
	for i := range u.slots {
		if u.slots[i] <= now {
			return &u.slots[i]
		}
	}
	return nil
}

// replay plays loads against the queue of a host with its own upstreams, in steps of a quarter
// millisecond, until a time. A request that would not be served is rejected, as by the core. Nothing is
// sent beyond the slots.
func replay(us []*replayed, lasting bool, until time.Duration, loads ...*load) map[*load]*result {
	const step = 250 * time.Microsecond
	random := rand.New(rand.NewPCG(7, 7))
	q, results := New[*load](), map[*load]*result{}
	work, rate, weight := time.Duration(0), 0.0, 0.0
	for _, l := range loads {
		results[l] = &result{}
		work += time.Duration(l.perSecond * float64(l.work))
		weight += l.perSecond
	}
	work = time.Duration(float64(work) / weight)
	for _, u := range us {
		rate += float64(len(u.slots)) / (work.Seconds() * u.slow)
	}
	serve := func(now time.Duration, r *Request, l *load, u *replayed, slot *time.Duration) {
		*slot = now + time.Duration(float64(l.work)*u.slow*(0.5+random.Float64()))
		switch res := results[l]; {
		case *slot <= r.ObjectiveAt:
			res.inTime++
		case *slot <= r.ObjectiveAt-l.objective+l.deadline:
			res.late++
		default:
			res.lost++
		}
	}
	arrive := func(now time.Duration, l *load) {
		n := random.IntN(l.callers)
		r := Request{Caller: netip.AddrFrom4([4]byte{byte(l.firstOctet), 0, byte(n >> 8), byte(n)}), Priority: l.priority,
			Rejectable: !l.bound, ObjectiveAt: now + l.objective, DeadlineAt: now + l.deadline}
		if r.Rejectable {
			r.DeadlineAt = now + attempt
		}
		results[l].requested++
		candidates, line := us, (*Line[*load])(nil)
		if l.bound {
			candidates = us[n%len(us) : n%len(us)+1]
			line = &candidates[0].line
		}
		for _, u := range candidates {
			if slot := u.freeSlot(now); slot != nil {
				serve(now, &r, l, u, slot)
				return
			}
		}
		if a := q.Assess(now, r, line, Supply{Rate: rate, Work: work, Lasting: lasting}); r.Rejectable && !a.InTime && !a.Served {
			results[l].rejected++
			return
		}
		q.Add(now, &Entry[*load]{Request: r, Value: l}, line)
	}
	for now := time.Second; now < until; now += step {
		for e := q.Expired(now); e != nil; e = q.Expired(now) {
			results[e.Value].lost++
		}
		for _, u := range us {
			for slot := u.freeSlot(now); slot != nil; slot = u.freeSlot(now) {
				e := q.Next(now, &u.line, time.Duration(float64(work)*u.slow))
				if e == nil {
					break
				}
				serve(now, &e.Request, e.Value, u, slot)
			}
		}
		for _, l := range loads {
			if now >= l.from && now < l.to && random.Float64() < l.perSecond*step.Seconds() {
				arrive(now, l)
			}
		}
	}
	return results
}

const (
	replayEnd = 21 * time.Second
	// attempt is the time that a caller waits for a flow to open.
	attempt = 1300 * time.Millisecond
)

func idempotent(perSecond float64) *load {
	return &load{perSecond: perSecond, to: replayEnd, callers: 400, firstOctet: 10, priority: 1, objective: 300 * time.Millisecond, deadline: 2500 * time.Millisecond, work: 40 * time.Millisecond}
}

func urgent(perSecond float64) *load {
	return &load{perSecond: perSecond, to: replayEnd, callers: 400, firstOctet: 11, objective: 400 * time.Millisecond, deadline: 2500 * time.Millisecond, work: 52 * time.Millisecond}
}

// Guards against urgent requests that wait behind others: 27 % of them were in time where hosts held
// no requests. A third more is requested than 8 slots can do, half of it on open flows.
func TestUrgentRequestsAreInTimeWhileDemandExceedsSlots(t *testing.T) {
	onFlows, alone, first := idempotent(97), idempotent(97), urgent(55.6)
	onFlows.bound, onFlows.firstOctet = true, 12
	got := replay(upstreams(4), true, replayEnd, onFlows, alone, first)
	t.Log(*got[first], *got[onFlows], *got[alone])
	assert.GreaterOrEqual(t, float64(got[first].inTime), 0.95*float64(got[first].requested))
	assert.Less(t, float64(got[first].rejected+got[first].lost), 0.001*float64(got[first].requested)+1)
}

// Guards against slots that work on requests which are late anyway. Four times the requests ask for four
// times the work; the slots do 50 of 160 per second. On open flows, only 40 of them arrive per second for
// an upstream that does 12.5, and a slot does not always find one that has the whole margin left.
func TestSlotsWorkOnRequestsThatCanBeInTime(t *testing.T) {
	for name, c := range map[string]struct {
		bound bool
		part  float64
	}{"a flow each": {false, 0.9}, "on open flows": {true, 0.85}} {
		t.Run(name, func(t *testing.T) {
			l := idempotent(160)
			l.work *= 4
			l.bound = c.bound
			got := replay(upstreams(4), true, replayEnd, l)[l]
			t.Log(*got)
			possible := 8 * (replayEnd - time.Second).Seconds() / l.work.Seconds()
			assert.GreaterOrEqual(t, float64(got.inTime), c.part*possible)
		})
	}
}

// Guards against a caller that gets more than its share by opening more flows: it requests four times
// what the slots can do, and 50 other callers together half of it.
func TestCallerWithManyFlowsDoesNotDelayOthers(t *testing.T) {
	greedy, others := idempotent(800), idempotent(100)
	greedy.callers, others.callers, others.firstOctet = 1, 50, 12
	got := replay(upstreams(4), true, replayEnd, greedy, others)
	t.Log(*got[greedy], *got[others])
	assert.GreaterOrEqual(t, float64(got[others].inTime), 0.98*float64(got[others].requested))
	possible := 8 * (replayEnd - time.Second).Seconds() / greedy.work.Seconds()
	assert.GreaterOrEqual(t, float64(got[greedy].inTime+got[others].inTime), 0.9*possible, "the greedy caller gets the rest")
}

// Guards against a priority that gets no slot at all: the urgent requests alone ask for twice the slots.
func TestNoPriorityStarves(t *testing.T) {
	first, last := urgent(308), idempotent(100)
	got := replay(upstreams(4), true, replayEnd, first, last)
	t.Log(*got[first], *got[last])
	served := float64(got[first].inTime + got[first].late + got[last].inTime + got[last].late)
	assert.InDelta(t, 0.1, float64(got[last].inTime)/served, 0.03)
	assert.GreaterOrEqual(t, float64(got[first].inTime+got[last].inTime), 0.9*served)
}

// Guards against rejections during a burst that can be served: 24 requests more arrive within 50 ms
// than the 8 slots can take, which do them within 160 ms.
func TestBurstThatDrainsIsInTime(t *testing.T) {
	calm, burst := idempotent(60), idempotent(640)
	burst.from, burst.to, burst.firstOctet, burst.callers = 5*time.Second, 5050*time.Millisecond, 12, 10
	got := replay(upstreams(4), false, replayEnd, calm, burst)
	t.Log(*got[calm], *got[burst])
	require.Greater(t, got[burst].requested, 24)
	for _, l := range []*load{calm, burst} {
		assert.Equal(t, got[l].requested, got[l].inTime)
	}
}

// Guards against requests that are given up although fast upstreams can serve them in time, while half
// of the upstreams are six times slower.
func TestRequestsAreInTimeWhileSomeUpstreamsAreSlow(t *testing.T) {
	l := idempotent(230)
	l.work, l.objective = 26*time.Millisecond, 500*time.Millisecond
	got := replay(upstreams(4, 6, 6), true, replayEnd, l)[l]
	t.Log(*got)
	assert.GreaterOrEqual(t, float64(got.inTime), 0.98*float64(got.inTime+got.late), "served requests in time")
	possible := (replayEnd - time.Second).Seconds() * (4 + 4.0/6) / l.work.Seconds()
	assert.GreaterOrEqual(t, float64(got.inTime), 0.95*possible)
}
