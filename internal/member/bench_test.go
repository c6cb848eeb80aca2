package member

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// targetHosts is the fleet size that the benchmarks run at, planned for about two
// years ahead.
const targetHosts = 11_000

// targetCore returns a core that knows the whole fleet and has no pending updates.
func targetCore() *Core {
	control := netip.MustParseAddrPort("10.1.2.3:7000")
	self := Member{Instance: ids.Instance{Host: 1, Incarnation: 1}, Name: "self", Zone: "zone", Control: control}
	c := New(0, Settings{Self: self, Seed: 1})
	var out Effects
	for i := range targetHosts {
		c.applyUpdate(0, testUpdate(fmt.Sprintf("host-%05d", i)), &out)
	}
	c.gossip.pending = nil
	return c
}

func BenchmarkTickAtTargetSize(b *testing.B) {
	before := heap()
	c := targetCore()
	held := float64(heap()-before) / (1 << 20)
	now := time.Duration(0)
	for b.Loop() {
		now += TickInterval
		var out Effects
		c.Tick(now, &out)
	}
	b.ReportMetric(held, "MB-held")
	b.ReportMetric(float64(len(c.order)), "hosts")
}

func BenchmarkUpdateAtTargetSize(b *testing.B) {
	c := targetCore()
	u := testUpdate("host-00007")
	now := time.Duration(0)
	for b.Loop() {
		u.Counter++
		now += TickInterval
		var out Effects
		c.applyUpdate(now, u, &out)
		c.Tick(now, &out)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
