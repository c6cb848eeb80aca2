package spread

import (
	"testing"

	"mimosashore.example/mimosashore/internal/ids"
)

// targetHosts and targetZones are the fleet size that the benchmark runs at,
// planned for about two years ahead.
const (
	targetHosts = 11_000
	targetZones = 14
)

func BenchmarkSetViewAtTargetSize(b *testing.B) {
	v := viewOf(targetHosts, targetZones)
	c := New(Settings{Self: ids.HostID(1), Zone: "a"})
	for b.Loop() {
		var out Effects
		c.SetView(0, v, &out)
	}
}
