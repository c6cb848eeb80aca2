package dsr

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosashore.example/mimosashore/internal/directory"
)

// Counters match the flows with late writes, clocks that are set back, other addresses, entries that
// can't be read, lapses and confirmations.
func TestPropertyCountsMatchFlowsWithLateWrites(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t)
		var callers []*caller
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			f.advance(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			if len(callers) == 0 || rapid.IntRange(0, 3).Draw(rt, "new") == 0 {
				callers = append(callers, f.caller([]uint16{streamPort, orderPort}[rapid.IntRange(0, 1).Draw(rt, "port")]))
			}
			c := callers[rapid.IntRange(0, len(callers)-1).Draw(rt, "caller")]
			switch rapid.IntRange(0, 11).Draw(rt, "what") {
			case 0:
				c.sendSYN()
			case 1:
				c.retransmitSYN(1)
			case 2, 3:
				c.completeHandshake()
			case 4:
				c.request()
			case 5:
				c.retransmit()
			case 6:
				c.ackAnswer()
			case 7:
				c.send(flagACK|flagFIN, 0, 0)
			case 8:
				c.token = TokenOf(uint64(rapid.IntRange(1, 6).Draw(rt, "id")), 1000+int64(rapid.IntRange(0, 8).Draw(rt, "inc")))
				c.request()
			default:
				u := testUpstream(rapid.IntRange(1, 6).Draw(rt, "upstream"), "orders", "a")
				u.Incarnation += int64(rapid.IntRange(-1, 1).Draw(rt, "restart"))
				u.Sequence = int64(rapid.IntRange(0, 3).Draw(rt, "sequence"))
				u.Draining = rapid.IntRange(0, 3).Draw(rt, "draining") == 0
				if rapid.IntRange(0, 3).Draw(rt, "elsewhere") == 0 {
					u.Addr = testUpstream(50+int(u.ID), "orders", "a").Addr
				}
				switch rapid.IntRange(0, 3).Draw(rt, "change") {
				case 0:
					f.unregister(u.Key)
				case 1:
					f.register(u)
				case 2:
					f.rev++
					f.core.Apply(f.now, &directory.Change{Revision: f.rev, Removed: []directory.Removal{{Key: u.Key, Revision: f.rev, Malformed: true}}})
				case 3:
					f.confirm()
				}
			}
			f.checkCounts(rt)
			f.checkIndex(rt)
			for _, u := range f.core.goneList {
				if u.opening < 0 || u.busy < 0 || u.flows < 0 {
					rt.Fatalf("negative counter at %s", u.Key)
				}
			}
		}
	})
}
