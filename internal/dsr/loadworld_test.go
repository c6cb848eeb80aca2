package dsr

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/loadcontrol"
	"mimosashore.example/mimosashore/internal/virtualtime"
)

// Delays and habits of callers and upstreams in a loadWorld, as on the platform.
const (
	loadTransit       = time.Millisecond
	storeRoundTrip    = 5 * time.Millisecond
	loadAttemptTime   = 1400 * time.Millisecond
	lendTransit       = 300 * time.Microsecond
	loadRetransmit    = 200 * time.Millisecond
	loadRetransmitMax = 1600 * time.Millisecond
	loadQueuePerSlot  = 5
	loadQueueTime     = 950 * time.Millisecond
	loadTries         = 3
	requestsPerStream = 6
)

// loadClass is a kind of request in a loadWorld.
type loadClass struct {
	port                uint16
	rate                float64 // requests per second, all zones
	work                time.Duration
	objective, deadline time.Duration
	worth, worthLate    float64
	stream              bool
}

// loadScale is the size of a loadWorld and its traffic.
type loadScale struct {
	zones, hostsPerZone, upstreamsPerZone int
	stream, order                         loadClass
}

// Two deployments with the shapes of the users' small and large ones.
var (
	smallScale = loadScale{4, 1, 4,
		loadClass{streamPort, 256, 13 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, 1, 0.3, true},
		loadClass{orderPort, 73, 17 * time.Millisecond, 120 * time.Millisecond, 600 * time.Millisecond, 2, 0.6, false}}
	largeScale = loadScale{2, 13, 39,
		loadClass{streamPort, 356, 30 * time.Millisecond, 400 * time.Millisecond, 4 * time.Second, 1, 0.3, true},
		loadClass{orderPort, 102, 39 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second, 2, 0.6, false}}
)

// loadWorld simulates hosts, upstreams and callers in virtual time.
type loadWorld struct {
	virtualtime.Queue
	scale     loadScale
	random    *rand.Rand
	directory *directory.Change
	zones     [][]*Core // hosts by zone
	// held holds what is done with the packets that wait at a host, due the hosts with a timer.
	held map[*Core]map[HoldID]func(Effect)
	due  map[*Core]bool
	// callersZone sends all callers to one zone if it is not negative.
	callersZone int
	upstreams   map[netip.AddrPort]*loadUpstream
	// slowdown multiplies the work of all upstreams, pressure the traffic.
	slowdown, pressure float64
	nextPort           uint32
	outcome            loadOutcome
	streams            []*loadStream
}

// loadOutcome counts requests by how they ended, and the attempts that upstreams shed or that ended
// at the deadline.
type loadOutcome struct {
	asked, inTime, late, failed [2]int // streams, orders
	sheds, deadlines, refusals  int
	// held counts requests that failed after more than half of their deadline.
	held        int
	worth, owed float64
}

// total returns the sum over both classes.
func total(n [2]int) int { return n[0] + n[1] }

func (o *loadOutcome) String() string {
	return fmt.Sprintf("worth %.3f, streams %d: %d in time, %d late, %d failed; orders %d: %d in time, %d late, %d failed; %d sheds, %d deadlines, %d refusals",
		o.worth/o.owed, o.asked[0], o.inTime[0], o.late[0], o.failed[0], o.asked[1], o.inTime[1], o.late[1], o.failed[1], o.sheds, o.deadlines, o.refusals)
}

type loadUpstream struct {
	world   *loadWorld
	slots   int
	running int
	queue   []*loadJob
	// crashed is set while the upstream answers with resets, dark while it does not answer.
	crashed, dark bool
	// slower multiplies the work of this upstream if it is not zero.
	slower float64
	// served counts the requests that were answered.
	served int
}

type loadJob struct {
	work     time.Duration
	at       time.Duration
	started  bool
	finished func(served bool)
}

// loadStream is a long flow of a caller, idle between requests.
type loadStream struct {
	flow *loadFlow
	left int
}

func newLoadWorld(scale loadScale, seed uint64) *loadWorld {
	w := &loadWorld{scale: scale, random: rand.New(rand.NewPCG(seed, seed)), upstreams: make(map[netip.AddrPort]*loadUpstream), slowdown: 1, pressure: 1, callersZone: -1,
		held: make(map[*Core]map[HoldID]func(Effect)), due: make(map[*Core]bool)}
	ch := &directory.Change{Full: true, Revision: 10, Configuration: configuration(1)}
	for i, class := range []loadClass{scale.stream, scale.order} {
		ch.Configuration.Routes[i].LatencyObjective = class.objective
		ch.Configuration.Routes[i].Timeout = class.deadline
		ch.Configuration.Routes[i].Priority = 2 - i
	}
	for z := range scale.zones {
		for n := range scale.upstreamsPerZone {
			id := z*1000 + n + 1
			u := testUpstream(0, "orders", fmt.Sprint("zone", z))
			u.Key, u.ID, u.Incarnation, u.Revision = fmt.Sprint("u", id), uint64(id), int64(id), 10
			u.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(n >> 8), byte(n)}), 80)
			ch.Upstreams = append(ch.Upstreams, u)
			w.upstreams[u.Addr] = &loadUpstream{world: w, slots: u.Slots}
		}
	}
	w.directory = ch
	w.startHosts()
	w.knowPlaces()
	return w
}

// startHosts replaces all hosts by new ones, which don't know each other.
func (w *loadWorld) startHosts() {
	w.zones = nil
	for z := range w.scale.zones {
		var hosts []*Core
		for range w.scale.hostsPerZone {
			c := New(fmt.Sprint("zone", z), testFormat{}, w.random.Uint64())
			c.StoreAnswered(w.Now())
			c.Apply(w.Now(), w.directory)
			hosts = append(hosts, c)
		}
		w.zones = append(w.zones, hosts)
	}
}

// knowPlaces lets the hosts of each zone know each other.
func (w *loadWorld) knowPlaces() {
	for _, hosts := range w.zones {
		for n, c := range hosts {
			c.SetPosition(loadcontrol.Position{Index: n, Count: len(hosts)})
		}
	}
}

// start lets callers send requests of both classes.
func (w *loadWorld) start() {
	for i, class := range []*loadClass{&w.scale.stream, &w.scale.order} {
		var next func()
		next = func() {
			w.ask(class, i)
			w.After(w.exponential(1/(class.rate*w.pressure)), next)
		}
		next()
	}
}

// measure runs for a duration and returns the outcome of the requests that ended in it.
func (w *loadWorld) measure(d time.Duration) *loadOutcome {
	w.outcome = loadOutcome{}
	w.RunUntil(w.Now() + d)
	o := w.outcome
	return &o
}

func (w *loadWorld) exponential(mean float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() * mean * float64(time.Second))
}

// work returns a random duration with the mean, distributed like that of three steps.
func (w *loadWorld) work(mean time.Duration) time.Duration {
	return w.exponential(mean.Seconds()/3) + w.exponential(mean.Seconds()/3) + w.exponential(mean.Seconds()/3)
}

func (w *loadWorld) ask(class *loadClass, index int) {
	r := &loadRequest{class: class, index: index, zone: w.random.IntN(w.scale.zones), asked: w.Now()}
	if w.callersZone >= 0 {
		r.zone = w.callersZone
	}
	w.outcome.asked[index]++
	w.outcome.owed += class.worth
	w.After(class.deadline, func() {
		if !r.done {
			w.outcome.deadlines++
			w.finish(r, false)
		}
	})
	w.try(r)
}

func (w *loadWorld) finish(r *loadRequest, served bool) {
	if r.done {
		return
	}
	r.done = true
	switch took := w.Now() - r.asked; {
	case !served:
		w.outcome.failed[r.index]++
		if took > r.class.deadline/2 {
			w.outcome.held++
		}
	case took <= r.class.objective:
		w.outcome.inTime[r.index]++
		w.outcome.worth += r.class.worth
	default:
		w.outcome.late[r.index]++
		w.outcome.worth += r.class.worthLate
	}
}

// try makes the next try of a request, on an idle stream of the zone or on a new flow.
func (w *loadWorld) try(r *loadRequest) {
	if r.done {
		return
	}
	if r.tries++; r.tries > loadTries {
		w.finish(r, false)
		return
	}
	if r.class.stream && r.tries == 1 {
		if s := w.takeStream(r.zone); s != nil {
			s.flow.request(r, s)
			return
		}
	}
	f := w.newFlow(r.zone, r.class.port)
	f.open(r)
}

// takeStream returns a random idle stream of the zone, or nil.
func (w *loadWorld) takeStream(zone int) *loadStream {
	for range 8 {
		if len(w.streams) == 0 {
			return nil
		}
		i := w.random.IntN(len(w.streams))
		if s := w.streams[i]; s.flow.zone == zone {
			w.streams[i] = w.streams[len(w.streams)-1]
			w.streams = w.streams[:len(w.streams)-1]
			return s
		}
	}
	return nil
}

// settle carries out what a host decided on packets that waited, and calls it again when it wants to be.
func (w *loadWorld) settle(c *Core) {
	for _, r := range append([]Release(nil), c.TakeReleases()...) {
		then := w.held[c][r.Hold]
		delete(w.held[c], r.Hold)
		then(r.Effect)
	}
	w.carryAsks(c)
	at, ok := c.NextEvent(w.Now())
	if !ok || w.due[c] {
		return
	}
	w.due[c] = true
	w.After(at-w.Now(), func() {
		w.due[c] = false
		c.Advance(w.Now())
		w.settle(c)
	})
}

// carryAsks carries requests for credits to two other hosts, of the same zone at first, and the answers back.
func (w *loadWorld) carryAsks(c *Core) {
	for _, a := range append([]Ask(nil), c.TakeAsks()...) {
		for range 2 {
			lender := w.otherHost(c, a.Denials >= 2 || a.Elsewhere)
			if lender == nil {
				continue
			}
			w.After(lendTransit, func() {
				credits := append([]Credit(nil), lender.Lend(w.Now(), a.Service, a.Wanted)...)
				w.After(lendTransit, func() {
					c.Borrow(w.Now(), a.At, a.Service, credits)
					w.settle(c)
				})
			})
		}
	}
}

// otherHost returns a random other host: of the same zone, or of any zone.
func (w *loadWorld) otherHost(c *Core, anywhere bool) *Core {
	var hosts []*Core
	for z, all := range w.zones {
		for _, h := range all {
			if h != c && (anywhere || c.zone == fmt.Sprint("zone", z)) {
				hosts = append(hosts, h)
			}
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	return hosts[w.random.IntN(len(hosts))]
}

// add queues a request; finished is called with false if the upstream sheds it.
func (u *loadUpstream) add(work time.Duration, finished func(bool)) {
	if u.crashed || u.dark {
		return
	}
	w := u.world
	if len(u.queue) >= loadQueuePerSlot*u.slots {
		finished(false)
		return
	}
	j := &loadJob{work: time.Duration(float64(work) * w.slowdown * max(u.slower, 1)), at: w.Now(), finished: finished}
	u.queue = append(u.queue, j)
	w.After(loadQueueTime, func() {
		if j.started {
			return
		}
		for i := range u.queue {
			if u.queue[i] == j {
				u.queue = append(u.queue[:i:i], u.queue[i+1:]...)
				break
			}
		}
		finished(false)
	})
	u.run()
}

func (u *loadUpstream) run() {
	for u.running < u.slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		j.started = true
		u.running++
		u.world.After(j.work, func() {
			u.running--
			u.served++
			j.finished(true)
			u.run()
		})
	}
}

// attainable returns the share of the worth that the upstreams could give if all requests that fit
// were in time, the most worth for each second of work first.
func (w *loadWorld) attainable() float64 {
	slots := 0.0
	for _, u := range w.upstreams {
		if !u.crashed && !u.dark {
			slots += float64(u.slots)
		}
	}
	owed, had := 0.0, 0.0
	for _, class := range []loadClass{w.scale.order, w.scale.stream} {
		rate := class.rate * w.pressure
		served := min(rate, slots/(class.work.Seconds()*w.slowdown))
		slots -= served * class.work.Seconds() * w.slowdown
		owed += rate * class.worth
		had += served * class.worth
	}
	return math.Min(1, had/owed)
}

// crash makes a share of the upstreams of each zone crash, or fall silent.
func (w *loadWorld) crash(share float64, dark bool) {
	for _, u := range w.directory.Upstreams {
		if n := u.Addr.Addr().As4()[3]; float64(n) < share*float64(w.scale.upstreamsPerZone) {
			w.upstreams[u.Addr].crashed, w.upstreams[u.Addr].dark = !dark, dark
		}
	}
}
