package schedule

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against outlooks that ignore what goes before a request: requests are then kept that can't be
// served, or rejected although they can.
func TestOutlook(t *testing.T) {
	const now = 1900 * time.Millisecond
	supply := Supply{Rate: 100, Work: testWork}
	lasting := Supply{Rate: 100, Work: testWork, Lasting: true}
	for _, c := range []struct {
		name string
		// waiting is the number of requests by priority, each of another caller.
		waiting  []int
		priority int
		caller   byte
		supply   Supply
		want     Assessment
	}{
		{"nothing waits", nil, 0, 200, supply, Assessment{Rank: 0, Wait: 10 * time.Millisecond, Rate: 100, InTime: true, Served: true}},
		{"rate unknown", []int{50}, 0, 200, Supply{Work: testWork, Lasting: true}, Assessment{Rank: 50, InTime: true, Served: true}},
		{"equal ones go first", []int{17}, 0, 200, lasting, Assessment{Rank: 17, Wait: 180 * time.Millisecond, Rate: 100, InTime: true, Served: true}},
		{"late, but the demand does not last", []int{49}, 0, 200, supply, Assessment{Rank: 49, Wait: 500 * time.Millisecond, Rate: 100, Served: true}},
		{"late, and the demand lasts", []int{49}, 0, 200, lasting, Assessment{Rank: 49, Wait: 500 * time.Millisecond, Rate: 100}},
		{"more urgent ones go first and keep coming", []int{7, 1}, 1, 200, lasting, Assessment{Rank: 8, Wait: 9 * time.Second / 93, Rate: 93, InTime: true, Served: true}},
		{"the least urgent has its part", []int{90, 0}, 1, 200, lasting, Assessment{Rank: 90, Wait: 100 * time.Millisecond, Rate: 10, InTime: true, Served: true}},
		{"less urgent ones have their part", []int{8, 60}, 0, 200, lasting, Assessment{Rank: 8, Wait: 100 * time.Millisecond, Rate: 90, InTime: true, Served: true}},
		{"late, but the urgent requests fit", []int{40, 60}, 0, 200, lasting, Assessment{Rank: 40, Wait: 41 * time.Second / 90, Rate: 90, Served: true}},
		{"late, and the urgent requests don't fit", []int{95, 60}, 0, 200, lasting, Assessment{Rank: 95, Wait: 96 * time.Second / 90, Rate: 90}},
		{"others go before the second of a caller", []int{5}, 0, 1, lasting, Assessment{Rank: 5, Wait: 6 * time.Second / 95, Rate: 95, InTime: true, Served: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := New[int]()
			request := func(caller byte, priority int) Request {
				return Request{Caller: netip.AddrFrom4([4]byte{caller}), Priority: priority, Rejectable: true, ObjectiveAt: now + 300*time.Millisecond, DeadlineAt: now + 1300*time.Millisecond}
			}
			for priority, n := range c.waiting {
				q.class(priority)
				for i := range n {
					q.Add(now, &Entry[int]{Request: request(byte(i+1), priority)}, nil)
				}
			}
			got := q.Assess(now, request(c.caller, c.priority), nil, c.supply)
			assert.InDelta(t, c.want.Wait, got.Wait, float64(time.Microsecond))
			got.Wait = c.want.Wait
			assert.Equal(t, c.want, got)
			assert.Equal(t, got.Rank, q.Assess(now, request(c.caller, c.priority), nil, c.supply).Rank, "nothing is counted")
		})
	}
}
