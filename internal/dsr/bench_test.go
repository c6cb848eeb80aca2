package dsr

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/loadcontrol"
)

// BenchmarkRoutedPacket measures the decision on a packet of an open flow.
func BenchmarkRoutedPacket(b *testing.B) {
	f := newFixture(&testing.T{})
	c := f.openFlow(streamPort)
	packet := func(ack uint32) []byte {
		var p [24]byte
		copy(p[:], []byte{100, 64, 0, c.id, 4, 1, streamPort >> 8, streamPort & 255})
		p[12], p[13], p[14], p[15] = byte(ack>>24), byte(ack>>16), byte(ack>>8), byte(ack)
		t := uint32(c.token)
		p[18], p[19], p[20], p[21], p[22] = byte(t>>24), byte(t>>16), byte(t>>8), byte(t), flagACK
		return p[:]
	}
	buf := packet(500)
	b.ReportAllocs()
	for b.Loop() {
		f.now += time.Microsecond
		_, e := f.core.HandlePacket(f.now, buf)
		if e.Action != Forward {
			b.Fatal(e)
		}
		f.core.TakeRecords()
		f.core.TakeSamples()
	}
}

// BenchmarkOpening measures the selection of an upstream for different numbers of upstreams.
func BenchmarkOpening(b *testing.B) {
	for _, size := range []int{3, 14, 234, 91000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFixture(&testing.T{})
			f.core.SetPosition(loadcontrol.Position{Index: 1, Count: max(1, size/3)})
			ch := &directory.Change{Revision: 100}
			for n := range size {
				u := testUpstream(n+10, "orders", "a")
				u.Key, u.ID, u.Slots, u.Revision = fmt.Sprintf("x%d", n), uint64(n+1000), 1<<10, 100
				ch.Upstreams = append(ch.Upstreams, u)
			}
			f.core.Apply(f.now, ch)
			b.ReportAllocs()
			for b.Loop() {
				f.now += 20 * time.Millisecond
				c := f.caller(orderPort)
				c.sendSYN()
				c.completeHandshake()
				c.send(flagACK|flagFIN, 0, 0)
				f.core.TakeRecords()
				f.core.TakeSamples()
			}
		})
	}
}

// BenchmarkDirectory measures applying a full read and a single changed registration with many
// upstreams.
func BenchmarkDirectory(b *testing.B) {
	for _, size := range []int{150, 1500, 15000, 91000} {
		full := fullDirectory(size)
		b.Run(fmt.Sprintf("full/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c := New("a", testFormat{}, 0)
				c.Apply(time.Second, full)
				c.TakeRecords()
			}
		})
		b.Run(fmt.Sprintf("change/%d", size), func(b *testing.B) {
			c := New("a", testFormat{}, 0)
			c.Apply(time.Second, full)
			one := full.Upstreams[size/2]
			b.ReportAllocs()
			for b.Loop() {
				one.Revision++
				c.Apply(time.Second, &directory.Change{Revision: one.Revision, Upstreams: []directory.Upstream{one}})
				c.TakeRecords()
			}
			require.True(b, c.Ready())
		})
	}
}

// BenchmarkMemory measures the heap used per upstream and per flow.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{1500, 15000, 91000} {
		b.Run(fmt.Sprintf("upstreams/%d", size), func(b *testing.B) {
			for b.Loop() {
				before := liveBytes()
				c := New("a", testFormat{}, 0)
				c.Apply(time.Second, fullDirectory(size))
				c.TakeRecords()
				c.records = nil
				b.ReportMetric(float64(liveBytes()-before)/float64(size), "bytes/upstream")
				require.True(b, c.Ready())
			}
		})
	}
	for _, count := range []int{1000, 8000, 32000} {
		b.Run(fmt.Sprintf("flows/%d", count), func(b *testing.B) {
			for b.Loop() {
				f := newFixture(&testing.T{})
				before := liveBytes()
				token := f.openFlow(streamPort).token
				for n := range count {
					key := flowKey{netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 1), netip.AddrPort{}}
					fl := f.core.cache.add(f.now, key)
					fl.upstream = f.core.tokens[token]
					f.core.cache.setPhase(f.now, fl, phaseIdle)
				}
				b.ReportMetric(float64(liveBytes()-before)/float64(count), "bytes/flow")
				require.Equal(b, count+1, f.core.Flows())
			}
		})
	}
}

func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// fullDirectory returns a full read with three upstreams per service.
func fullDirectory(size int) *directory.Change {
	full := &directory.Change{Full: true, Revision: 10, Configuration: configuration(1)}
	for n := range size {
		u := testUpstream(n, fmt.Sprintf("service-%d", n/3), string("abcd"[n%4]))
		u.ID, u.Revision = uint64(n+1), 10
		full.Upstreams = append(full.Upstreams, u)
	}
	return full
}

// BenchmarkCheck measures a check of an upstream that accepts a connection.
func BenchmarkCheck(b *testing.B) {
	for _, size := range []int{150, 15000, 91000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := New("a", testFormat{}, 0)
			c.Apply(time.Second, fullDirectory(size))
			now, u := time.Second, c.byKey[fmt.Sprintf("u%d", size/2)]
			b.ReportAllocs()
			for b.Loop() {
				now += time.Second
				c.checkUpstream(now, u)
				ch := c.TakeChecks()[0]
				c.CheckDone(now, CheckResult{ID: ch.ID, StartedAt: now, Target: Attempts{Accepted: 1}, Controls: make([]Attempts, len(ch.Controls))})
			}
		})
	}
}

// BenchmarkReplacement measures a drained upstream that leaves and its next incarnation.
func BenchmarkReplacement(b *testing.B) {
	for _, size := range []int{150, 15000, 91000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := New("a", testFormat{}, 0)
			full := fullDirectory(size)
			c.Apply(time.Second, full)
			now, revision, one := time.Second, full.Revision, full.Upstreams[size/2]
			b.ReportAllocs()
			for b.Loop() {
				now += time.Minute
				one.Draining, one.Revision = true, revision+1
				c.Apply(now, &directory.Change{Revision: revision + 1, Upstreams: []directory.Upstream{one}})
				c.Apply(now, &directory.Change{Revision: revision + 2, Removed: []directory.Removal{{Key: one.Key, Revision: revision + 2}}})
				one.Draining, one.Revision = false, revision+3
				one.Incarnation++
				c.Apply(now, &directory.Change{Revision: revision + 3, Upstreams: []directory.Upstream{one}})
				revision += 3
				c.expireUpstreams(now)
				c.TakeRecords()
			}
		})
	}
}
