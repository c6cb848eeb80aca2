package dsr

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// BenchmarkRoutedPacket measures the decision on a packet of an open flow.
func BenchmarkRoutedPacket(b *testing.B) {
	f := newFixture(&testing.T{})
	c := f.opened(streamPort)
	packet := func(ack uint32) []byte {
		var p [24]byte
		copy(p[:], []byte{100, 64, 0, c.id, 4, 1, streamPort >> 8, streamPort & 255})
		p[12], p[13], p[14], p[15] = byte(ack>>24), byte(ack>>16), byte(ack>>8), byte(ack)
		t := uint32(c.token)
		p[18], p[19], p[20], p[21], p[22] = byte(t>>24), byte(t>>16), byte(t>>8), byte(t), 4
		return p[:]
	}
	buf := packet(500)
	b.ReportAllocs()
	for b.Loop() {
		f.now += time.Microsecond
		_, e := f.core.Packet(f.now, buf)
		if e.Action != Forward {
			b.Fatal(e)
		}
		f.core.TakeRecords()
		f.core.TakeSamples()
	}
}

// BenchmarkOpening measures the choice of an upstream, by the size of the service.
func BenchmarkOpening(b *testing.B) {
	for _, size := range []int{3, 14, 120} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFixture(&testing.T{})
			ch := &directory.Change{At: 100}
			for n := range size {
				u := upstreamOf(n+10, "orders", "a")
				u.Key, u.ID, u.Slots, u.Revision = fmt.Sprintf("x%d", n), uint64(n+1000), 1<<10, 100
				ch.Upstreams = append(ch.Upstreams, u)
			}
			f.core.Apply(f.now, ch)
			b.ReportAllocs()
			for b.Loop() {
				f.now += 20 * time.Millisecond
				c := f.caller(orderPort)
				c.open()
				c.confirm()
				c.send(4|2, 0, 0)
				f.core.TakeRecords()
				f.core.TakeSamples()
			}
		})
	}
}

// BenchmarkDirectory measures a core with many upstreams: the full read, and one changed registration.
func BenchmarkDirectory(b *testing.B) {
	for _, size := range []int{150, 1500, 15000, 91000} {
		full := &directory.Change{Full: true, At: 10, Configuration: configuration(1)}
		for n := range size {
			u := upstreamOf(n, fmt.Sprintf("service-%d", n/3), string("abcd"[n%4]))
			u.ID, u.Revision = uint64(n+1), 10
			full.Upstreams = append(full.Upstreams, u)
		}
		b.Run(fmt.Sprintf("full/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c := New("a", testFormat{})
				c.Apply(time.Second, full)
				c.TakeRecords()
			}
		})
		b.Run(fmt.Sprintf("change/%d", size), func(b *testing.B) {
			c := New("a", testFormat{})
			c.Apply(time.Second, full)
			one := full.Upstreams[size/2]
			b.ReportAllocs()
			for b.Loop() {
				one.Revision++
				c.Apply(time.Second, &directory.Change{At: one.Revision, Upstreams: []directory.Upstream{one}})
				c.TakeRecords()
			}
			require.True(b, c.Ready())
		})
	}
}
