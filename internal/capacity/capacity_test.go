package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// at is a sample of a table: requests in progress and the time in ms. A time of zero is a rejection, a negative one
// that of a request without an answer.
type at struct {
	inProgress int
	ms         float64
}

func repeat(count int, samples ...at) (all []at) {
	for range count {
		all = append(all, samples...)
	}
	return all
}

// usualSamples spread around 40 ms like the work of the platform.
var usualSamples = []at{{1, 28}, {2, 46}, {1, 36}, {2, 22}, {1, 61}, {2, 33}, {1, 40}, {2, 53}}

// play adds samples of an upstream with 2 slots, one each 100 ms, and usual ones of a peer in between.
func play(now *time.Duration, g *Group, e, peer *Estimate, samples []at) {
	const slots = 2
	for i, s := range samples {
		*now += 50 * time.Millisecond
		usual := time.Duration(usualSamples[i%len(usualSamples)].ms * float64(time.Millisecond))
		peer.Add(*now, g, slots, Sample{Start: *now - usual, End: *now, InProgress: 1})
		*now += 50 * time.Millisecond
		took := time.Duration(math.Abs(s.ms) * float64(time.Millisecond))
		switch {
		case s.ms == 0:
			e.Shed(*now, g, slots, s.inProgress)
		case s.ms < 0:
			e.Pending(*now, g, slots, *now-took, 0, s.inProgress)
		default:
			e.Add(*now, g, slots, Sample{Start: *now - took, End: *now, InProgress: s.inProgress, Caller: uint64(i + 1)})
		}
	}
}

func TestJudgementOfSamples(t *testing.T) {
	slow := []at{{1, 240}, {2, 180}, {2, 290}, {1, 210}, {2, 260}}
	for _, c := range []struct {
		name    string
		samples []at
		limit   float64
		slow    bool
	}{
		{"usual", usualSamples, 2, false},
		{"one slow answer is chance", slow[:1], 2, false},
		{"one slow answer among usual ones", append(slow[:1:1], usualSamples...), 2, false},
		{"one answer far above", []at{{1, 3000}}, 2, true},
		{"four slow answers in a row", slow[:4], 2, true},
		{"three unanswered requests", []at{{1, -160}, {2, -160}, {2, -160}, {1, -160}}, 2, true},
		{"recovery after the second usual answer", append(slow[:5:5], at{1, 45}, at{2, 36}), 2, false},
		{"three times slower", repeat(3, at{1, 95}, at{2, 150}, at{2, 110}), 2, true},
		{"a quarter slower", repeat(8, at{1, 45}, at{2, 56}, at{1, 39}, at{2, 61}), 2, false},
		{"rejects two at a time", []at{{2, 0}, {1, 40}, {2, 0}, {1, 35}, {2, 0}}, 1, false},
		{"one rejection", []at{{2, 0}}, 2, false},
		{"two at a time take twice as long", repeat(10, at{1, 44}, at{2, 82}, at{1, 33}, at{2, 95}), 1, false},
		{"takes two again", append(repeat(10, at{1, 44}, at{2, 82}, at{1, 33}, at{2, 95}), repeat(3, usualSamples...)...), 2, false},
		{"slower and rejects two at a time", append(slow[:5:5], at{2, 0}, at{1, 230}, at{2, 0}, at{2, 0}), 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g Group
			var e, peer Estimate
			now := time.Duration(0)
			play(&now, &g, &e, &peer, repeat(3, usualSamples...))
			play(&now, &g, &e, &peer, c.samples)
			require.Equal(t, c.slow, e.Slow(now), "work %v of %v", e.Work(now, &g), g.Reference())
			require.InDelta(t, c.limit, e.Limit(now, &g, 2), 0)
			if !c.slow {
				require.Less(t, e.Slowness(now, &g), minSlowness)
			}
		})
	}
}

// Draws upstreams, each among four usual peers, that turn three to six times slower under 10 requests a second, or
// reject the second request at a time under 25. The limit must be the true one a second after the first evidence, and
// everything usual again two seconds after the end. Not every draw can hold: the mean of ten answers with a spread of
// half of their mean is off by a fifth in one of five draws. The work is compared two seconds later.
func TestLearnedCapacityOfDrawnUpstreams(t *testing.T) {
	const seeds = 1000
	slowLate, limitOff, backLate, workOff, slower := 0, 0, 0, 0, 0
	for seed := range uint64(seeds) {
		w := newTestGroup(seed, 5, 2, 10)
		w.runFor(4 * time.Second)
		p := w.peers[0]
		if p.sheds = seed%4 == 0; p.sheds {
			p.knee, p.rate = 1, 25
		} else {
			p.work = time.Duration(3 * math.Exp(w.random.Float64()*math.Log(2)) * float64(testWork))
		}
		// The first answer after the change comes after 0.1 s and the work.
		w.runFor(time.Second + 100*time.Millisecond + p.work)
		if math.Abs(p.estimate.Limit(w.Now(), &w.group, 2)/float64(p.knee)-1) > 0.2 {
			limitOff++
		}
		if !p.sheds {
			slower++
			if !p.estimate.Slow(w.Now()) {
				slowLate++
			}
			w.runFor(2 * time.Second)
			if ratio := float64(p.estimate.Work(w.Now(), &w.group)) / float64(p.work); ratio < 0.8 || ratio > 1.2 {
				workOff++
			}
		}
		p.knee, p.sheds, p.work = 2, false, testWork
		w.runFor(2 * time.Second)
		if p.estimate.Slow(w.Now()) || p.estimate.Limit(w.Now(), &w.group, 2) != 2 {
			backLate++
		}
	}
	t.Logf("limit off %d of %d; slower ones %d, judged late %d, work off %d; not recovered in time %d", limitOff, seeds, slower, slowLate, workOff, backLate)
	require.LessOrEqual(t, limitOff, seeds/100)
	require.LessOrEqual(t, slowLate, slower*8/100)
	require.LessOrEqual(t, workOff, slower/10)
	require.LessOrEqual(t, backLate, seeds/100)
}

// A link that loses packets delays many answers to one caller, which must not count like those to several.
func TestSlowAnswersToOneCaller(t *testing.T) {
	for callers, slow := range map[uint64]bool{1: false, 4: true} {
		var g Group
		var e, peer Estimate
		now := time.Duration(0)
		play(&now, &g, &e, &peer, repeat(3, usualSamples...))
		for n := range uint64(4) {
			now += 100 * time.Millisecond
			peer.Add(now, &g, 2, Sample{Start: now - testWork, End: now, InProgress: 1})
			e.Add(now, &g, 2, Sample{Start: now - 6*testWork, End: now, InProgress: 1, Caller: 1 + n%callers})
		}
		require.Equal(t, slow, e.Slow(now), "%d callers", callers)
	}
}

// Of the few upstreams that a host is responsible for, more than half may turn slow while half of all do. The others
// must stay the reference.
func TestMostUpstreamsTurnSlow(t *testing.T) {
	for seed := range uint64(50) {
		w := newTestGroup(seed, 5, 2, 10)
		w.runFor(5 * time.Second)
		for _, p := range w.peers[:3] {
			p.work *= 6
		}
		w.runFor(4 * time.Second)
		for i, p := range w.peers {
			require.Equal(t, i < 3, p.estimate.Slow(w.Now()), "upstream %d, seed %d", i, seed)
		}
	}
}

// What must not look like slowness: each case plays 30 s at four upstreams for 50 seeds.
func TestNoFalseJudgements(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(w *testGroup)
	}{
		{"cold start", func(*testGroup) {}},
		{"three in a hundred take seven times as long", func(w *testGroup) { w.tail = 0.03 }},
		{"slow host", func(w *testGroup) {
			w.After(5*time.Second, func() { w.delay = 150 * time.Millisecond })
			w.After(15*time.Second, func() { w.delay = 0 })
		}},
		{"heavier requests", func(w *testGroup) {
			w.After(5*time.Second, func() {
				for _, p := range w.peers {
					p.work *= 6
				}
			})
		}},
		{"link of one of eight callers loses answers", func(w *testGroup) { w.lossyCaller = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			judged := 0.0
			for seed := range uint64(50) {
				w := newTestGroup(seed, 4, 2, 10)
				c.setUp(w)
				for range 300 {
					w.runFor(100 * time.Millisecond)
					for _, p := range w.peers {
						if p.estimate.Slow(w.Now()) || p.estimate.Limit(w.Now(), &w.group, 2) < 2 {
							judged += 1.0 / (300 * 4 * 50)
						}
					}
				}
			}
			t.Logf("judged slow or limited %.2f %% of the time", 100*judged)
			require.Less(t, judged, 0.002)
		})
	}
}

// An estimate without samples for long says nothing, and an upstream without samples is like its peers.
func TestEstimateWithoutSamples(t *testing.T) {
	var g Group
	var e, peer Estimate
	var none *Estimate
	now := time.Duration(0)
	require.Zero(t, none.Work(now, &g))
	play(&now, &g, &e, &peer, repeat(2, at{1, 240}, at{2, 180}, at{2, 290}))
	require.Equal(t, g.Work(), none.Work(now, &g))
	require.InDelta(t, 3, none.Limit(now, &g, 3), 0)
	require.True(t, e.Slow(now))
	require.False(t, e.Slow(now+StaleTime+1))
	e.Reset(&g)
	require.Equal(t, Estimate{}, e)
}

func BenchmarkAdd(b *testing.B) {
	w := newTestGroup(1, 4, 2, 10)
	w.runFor(5 * time.Second)
	now, e := w.Now(), &w.peers[0].estimate
	b.ReportAllocs()
	for b.Loop() {
		now += 10 * time.Millisecond
		e.Add(now, &w.group, 2, Sample{Start: now - 40*time.Millisecond, End: now, InProgress: 2, Caller: uint64(now)})
	}
}

func BenchmarkLimitAndWork(b *testing.B) {
	w := newTestGroup(1, 4, 2, 10)
	w.runFor(5 * time.Second)
	b.ReportAllocs()
	for b.Loop() {
		if w.peers[0].estimate.Limit(w.Now(), &w.group, 2) == 0 || w.peers[0].estimate.Work(w.Now(), &w.group) == 0 {
			b.Fatal()
		}
	}
}

func TestAddDoesNotAllocate(t *testing.T) {
	require.Zero(t, testing.Benchmark(BenchmarkAdd).AllocsPerOp())
}
