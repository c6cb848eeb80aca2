package capacity

import (
	"math"
	"math/rand/v2"
	"time"

	"mimosashore.example/mimosashore/internal/virtualtime"
)

const (
	testWork = 40 * time.Millisecond
	// testSpread is that of work with a spread of half of its mean.
	testSpread  = 0.472
	testCallers = 8
)

// testPeer is an upstream of a testGroup.
type testPeer struct {
	estimate    Estimate
	slots, knee int
	work        time.Duration
	// rate is that of requests per second. Those above the limit go elsewhere.
	rate  float64
	sheds bool
	open  int
}

// testGroup simulates upstreams of a service and a host that sends requests within their learned limits.
type testGroup struct {
	virtualtime.Queue
	group  Group
	random *rand.Rand
	peers  []*testPeer
	// tail is the part of the requests that take seven times as long, delay is added to all answers.
	tail  float64
	delay time.Duration
	// lossyCaller is set if the first caller loses a fifth of the answers, which are sent again.
	lossyCaller bool
}

func newTestGroup(seed uint64, peers, slots int, rate float64) *testGroup {
	w := &testGroup{random: rand.New(rand.NewPCG(seed, seed))}
	for range peers {
		w.peers = append(w.peers, &testPeer{slots: slots, knee: slots, work: testWork, rate: rate})
	}
	for _, p := range w.peers {
		var next func()
		next = func() {
			w.ask(p)
			w.After(time.Duration(w.random.ExpFloat64()/p.rate*float64(time.Second)), next)
		}
		next()
	}
	return w
}

func (w *testGroup) ask(p *testPeer) {
	if float64(p.open) >= p.estimate.Limit(w.Now(), &w.group, p.slots) {
		return
	}
	start, caller := w.Now(), 1+w.random.Uint64N(testCallers)
	p.open++
	n := p.open
	if n > p.knee && p.sheds {
		p.open--
		p.estimate.Shed(w.Now(), &w.group, p.slots, n)
		return
	}
	mean := float64(p.work) * math.Max(1, float64(n)/float64(p.knee))
	took := time.Duration(mean * math.Exp(w.random.NormFloat64()*testSpread-testSpread*testSpread/2))
	if w.random.Float64() < w.tail {
		took *= 7
	}
	took += w.delay
	if w.lossyCaller && caller == 1 && w.random.Float64() < 0.2 {
		took += 200 * time.Millisecond
	}
	counted, done := time.Duration(0), false
	if after := 3 * w.group.Reference(); after > 0 {
		w.After(after, func() {
			if !done {
				counted = after
				p.estimate.Pending(w.Now(), &w.group, p.slots, start, 0, n)
			}
		})
	}
	w.After(took, func() {
		p.open--
		done = true
		p.estimate.Add(w.Now(), &w.group, p.slots, Sample{Start: start, End: w.Now(), InProgress: n, Counted: counted, Caller: caller})
	})
}

func (w *testGroup) runFor(d time.Duration) { w.RunUntil(w.Now() + d) }
