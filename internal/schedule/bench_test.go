package schedule

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

const benchWaiting = 10_000

// benchQueue returns a queue of 10,000 requests of 500 callers, a quarter of them in 50 lines. New
// requests arrive 200 microseconds apart, so that those that wait keep turning late.
func benchQueue() (q *Queue[int], lines []Line[int], next func() (time.Duration, *Line[int], Request)) {
	q, lines = New[int](), make([]Line[int], 50)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Second
	next = func() (time.Duration, *Line[int], Request) {
		now += 200 * time.Microsecond
		n := random.Uint32()
		var line *Line[int]
		if n%4 == 0 {
			line = &lines[n>>8%50]
		}
		caller := netip.AddrFrom4([4]byte{10, 0, byte(n >> 16 % 2), byte(n >> 20 % 250)})
		return now, line, Request{Caller: caller, Priority: int(n >> 4 % 3), Rejectable: line == nil,
			ObjectiveAt: now + 300*time.Millisecond, DeadlineAt: now + 2500*time.Millisecond}
	}
	for range benchWaiting {
		at, line, r := next()
		q.Add(at, &Entry[int]{Request: r}, line)
	}
	return q, lines, next
}

// BenchmarkDispatch adds a request and takes one from a queue of 10,000.
func BenchmarkDispatch(b *testing.B) {
	q, lines, next := benchQueue()
	e := &Entry[int]{}
	step := func(i int) {
		at, line, r := next()
		e.Request = r
		q.Add(at, e, line)
		if e = q.Next(at, &lines[i%50], 40*time.Millisecond); e == nil {
			e = q.Lowest()
			q.Remove(e)
		}
	}
	for i := range benchWaiting * 2 {
		step(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		step(i)
	}
}

func BenchmarkAssess(b *testing.B) {
	q, _, next := benchQueue()
	b.ReportAllocs()
	for b.Loop() {
		at, line, r := next()
		q.Assess(at, r, line, Supply{Rate: 200, Work: 40 * time.Millisecond})
	}
}
