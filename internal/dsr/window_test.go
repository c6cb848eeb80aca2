package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWindowFollowsLatency(t *testing.T) {
	const objective = 150 * time.Millisecond
	w := newWindow(2)
	require.Equal(t, 2.0, w.size)
	for i := range 40 {
		w.sample(time.Duration(i)*40*time.Millisecond, 40*time.Millisecond, objective)
	}
	grown := w.size
	require.Greater(t, grown, 6.0, "answers in time let the window grow")
	now := 2 * time.Second
	w.sample(now, 120*time.Millisecond, objective)
	require.InDelta(t, grown*windowCut, w.size, 0.001)
	w.sample(now+50*time.Millisecond, 120*time.Millisecond, objective)
	require.InDelta(t, grown*windowCut, w.size, 0.001, "one cut for the answers of one round trip")
	for i := range 40 {
		w.sample(now+time.Duration(i)*200*time.Millisecond, 120*time.Millisecond, objective)
	}
	require.Equal(t, windowMin, w.size)
}

func TestWindowAdmits(t *testing.T) {
	const now = time.Second
	for _, c := range []struct {
		name   string
		window window
		open   int
		packet Packet
		urgent bool
		want   bool
	}{
		{"first packet below the window", window{size: 4}, 3, Packet{}, false, true},
		{"first packet at the window", window{size: 4}, 4, Packet{}, false, false},
		{"urgent route at the window", window{size: 4}, 4, Packet{}, true, true},
		{"copy below half of the window", window{size: 4}, 1, Packet{SYNRetransmits: 1}, false, true},
		{"copy above half of the window", window{size: 4}, 2, Packet{SYNRetransmits: 1}, false, false},
		{"urgent copy above half of the window", window{size: 4}, 2, Packet{SYNRetransmits: 2}, true, true},
		{"half a request, the pause is over", window{size: 0.5, usedAt: now - 80*time.Millisecond, latency: 40 * time.Millisecond}, 0, Packet{}, false, true},
		{"half a request, the pause goes on", window{size: 0.5, usedAt: now - 79*time.Millisecond, latency: 40 * time.Millisecond}, 0, Packet{}, false, false},
		{"half a request, one is open", window{size: 0.5, latency: 40 * time.Millisecond}, 1, Packet{}, false, false},
	} {
		require.Equal(t, c.want, c.window.admits(now, c.open, &c.packet, c.urgent), c.name)
	}
}

// A wave of openings after all hosts restarted must not exceed what upstreams queue.
func TestWaveOfOpeningsIsPaced(t *testing.T) {
	f := newFixture(t)
	placed, paced := 0, 0
	for range 100 {
		switch e := f.caller(streamPort).open(); {
		case e.Action == Forward:
			placed++
		case e.Reason == ReasonPaced:
			paced++
		}
	}
	require.Equal(t, 12, placed, "two for each of six upstreams with two slots, as long as nothing is known of them")
	require.Equal(t, 88, paced)
}
