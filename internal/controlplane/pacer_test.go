package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An availability zone of 786 hosts fails within two seconds. Each lost host is a
// change of the view, which must not cause a table rebuild of its own.
func TestPacerCoalescesBurst(t *testing.T) {
	const fleet, lost = 11_000, 786
	var p pacer
	tables := 0
	var now time.Duration
	for range lost {
		now += 2 * time.Second / lost
		if p.allow(now, fleet) {
			tables++
		}
	}
	require.LessOrEqual(t, tables, 5)
	require.True(t, p.allow(now+maxTableSpacing, fleet), "the last change is published within the maximum spacing")
}

func TestPacerAllowsFirstChangeImmediately(t *testing.T) {
	var p pacer
	require.True(t, p.allow(0, 11_000))
	require.False(t, p.allow(time.Millisecond, 11_000))
	require.True(t, p.allow(time.Hour, 11_000))
	require.True(t, p.allow(time.Hour+time.Millisecond, 5), "the spacing of a small fleet is shorter")
}
