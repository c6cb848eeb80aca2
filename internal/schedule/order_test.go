package schedule

import (
	"cmp"
	"flag"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes each run use the same cases; equal ranks are rare and need many.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const testWork = 40 * time.Millisecond

// canBeInTime and goesBefore state the order of docs/HARD-LOAD.md.
func canBeInTime(now time.Duration, e *Entry[int]) bool {
	return e.ObjectiveAt-now >= min(3*testWork, time.Duration(0.9*float64(e.ObjectiveAt-e.ArrivedAt)))
}

func goesBefore(now time.Duration, a, b *Entry[int]) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	inTime := canBeInTime(now, a)
	if inTime != canBeInTime(now, b) {
		if inTime {
			return -1
		}
		return 1
	}
	left, open := cmp.Compare(a.ObjectiveAt, b.ObjectiveAt), cmp.Compare(min(b.Value, 1), min(a.Value, 1))
	if !inTime {
		left = -left
	}
	return cmp.Or(cmp.Compare(a.round, b.round), left, open, cmp.Compare(a.sequence, b.sequence))
}

// Guards against a request that takes a slot before one which should, against a priority that gets more
// than one dispatch in ten out of turn, and against a rank or lowest request that differs from the order.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, lines, now := New[int](), make([]Line[int], 2), time.Second
		var waiting []*Entry[int]
		passed := reservedInterval
		q.work.add(testWork)
		leave := func(e *Entry[int]) {
			waiting = slices.DeleteFunc(waiting, func(x *Entry[int]) bool { return x == e })
		}
		// The value of an entry is one more than the index of its line, or zero.
		lineOf := func(n int) *Line[int] {
			if n == 0 {
				return nil
			}
			return &lines[n-1]
		}
		add := func(t *rapid.T) {
			e := &Entry[int]{Value: rapid.IntRange(0, 2).Draw(t, "line"), Request: Request{
				Caller: netip.AddrFrom4([4]byte{byte(rapid.IntRange(1, 4).Draw(t, "caller"))}), Priority: rapid.IntRange(-1, 1).Draw(t, "priority"),
				ObjectiveAt: now + time.Duration(rapid.IntRange(1, 12).Draw(t, "objective"))*20*time.Millisecond,
			}}
			e.DeadlineAt = e.ObjectiveAt + time.Duration(rapid.IntRange(3, 9).Draw(t, "deadline"))*20*time.Millisecond
			e.Rejectable = e.Value == 0
			waits := q.Assess(now, e.Request, lineOf(e.Value), Supply{Work: testWork})
			q.Add(now, e, lineOf(e.Value))
			before := 0
			for _, x := range waiting {
				sameRound := x.Priority == e.Priority && x.round == e.round && canBeInTime(now, x) && canBeInTime(now, e)
				if (e.Value == 0 || x.Value == 0 || x.Value == e.Value) && (sameRound || goesBefore(now, x, e) < 0 || x.Priority == e.Priority && !canBeInTime(now, e)) {
					before++
				}
			}
			assert.Equal(t, before, waits.Rank)
			waiting = append(waiting, e)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":     func(t *rapid.T) { assert.Equal(t, len(waiting), q.Len()) },
			"add":  add,
			"more": add,
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond },
			"remove": func(t *rapid.T) {
				if len(waiting) > 0 {
					e := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "entry")]
					q.Remove(e)
					q.Remove(e)
					leave(e)
				}
			},
			"expired": func(t *rapid.T) {
				expiry := func(e *Entry[int]) time.Duration { return e.DeadlineAt - time.Duration(min(e.Value, 1))*testWork }
				for e := q.Expired(now); e != nil; e = q.Expired(now) {
					assert.LessOrEqual(t, expiry(e), now)
					leave(e)
				}
				at, waits := q.NextExpiry()
				assert.Equal(t, waits, len(waiting) > 0)
				if waits {
					first := slices.MinFunc(waiting, func(a, b *Entry[int]) int { return cmp.Compare(expiry(a), expiry(b)) })
					assert.Equal(t, expiry(first), at)
					assert.Greater(t, at, now)
				}
			},
			"next": func(t *rapid.T) {
				n := rapid.IntRange(0, 2).Draw(t, "line")
				got := q.Next(now, lineOf(n), testWork)
				candidates := slices.DeleteFunc(slices.Clone(waiting), func(e *Entry[int]) bool { return e.Value != 0 && e.Value != n })
				if len(candidates) == 0 {
					assert.Nil(t, got)
					return
				}
				least := min(got.Priority, -1)
				for _, e := range candidates {
					if canBeInTime(now, e) {
						least = max(least, e.Priority)
					}
				}
				if want := slices.MinFunc(candidates, func(a, b *Entry[int]) int { return goesBefore(now, a, b) }); got != want {
					assert.GreaterOrEqual(t, passed, reservedInterval-1, "one dispatch in ten")
					assert.Equal(t, least, got.Priority)
					same := slices.DeleteFunc(candidates, func(e *Entry[int]) bool { return e.Priority != got.Priority })
					assert.Equal(t, got, slices.MinFunc(same, func(a, b *Entry[int]) int { return goesBefore(now, a, b) }))
					passed = 0
				} else {
					passed++
				}
				leave(got)
				if len(waiting) > 0 {
					assert.Equal(t, slices.MaxFunc(waiting, func(a, b *Entry[int]) int { return goesBefore(now, a, b) }), q.Lowest())
				}
			},
		})
	})
}

// Guards against a caller that ranks before others because its requests come one after the other, or
// behind others because of requests that it withdrew.
func TestRoundCountsWaitingAndDispatchedRequests(t *testing.T) {
	q := New[int]()
	caller, other := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	add := func(now time.Duration, c netip.Addr) *Entry[int] {
		e := &Entry[int]{Request: Request{Caller: c, ObjectiveAt: now + time.Second, DeadlineAt: now + 2*time.Second}}
		q.Add(now, e, nil)
		return e
	}
	withdrawn := add(1, caller)
	q.Remove(withdrawn)
	assert.Equal(t, 0, add(1, caller).round, "withdrawn requests don't count")
	assert.Equal(t, 1, add(1, caller).round)
	q.Next(2, nil, testWork)
	q.Next(2, nil, testWork)
	later, first := add(3, caller), add(3, other)
	assert.Equal(t, 2, later.round, "dispatched requests count")
	assert.Same(t, first, q.Next(4, nil, testWork))
	q.Remove(later)
	assert.Equal(t, 0, add(2*fairSpan+4, caller).round, "but not for ever")
	require.Len(t, q.classes, 1)
	assert.Len(t, q.classes[0].callers.byAddr, 1, "callers are forgotten")
}

// Guards against requests that stay late, or in time, by the work of earlier days.
func TestChangedWorkJudgesAllRequestsAnew(t *testing.T) {
	q, now := New[int](), 2*time.Second
	add := func(left time.Duration) *Entry[int] {
		e := &Entry[int]{Request: Request{ObjectiveAt: now + left, DeadlineAt: now + time.Second, ArrivedAt: now - time.Second}}
		q.Add(now, e, nil)
		return e
	}
	first, second := add(100*time.Millisecond), add(200*time.Millisecond)
	assert.Same(t, second, q.Next(now, nil, 50*time.Millisecond), "the first can't be in time")
	for range 64 {
		e := add(300 * time.Millisecond)
		if got := q.Next(now, nil, 10*time.Millisecond); got == first {
			return
		}
		q.Remove(e)
	}
	assert.Fail(t, "the first can be in time now")
}
