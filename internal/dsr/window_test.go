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
		w.addLatencySample(time.Duration(i)*40*time.Millisecond, 40*time.Millisecond, objective)
	}
	grown := w.size
	require.Greater(t, grown, 6.0, "timely answers increase the window")
	now := 2 * time.Second
	w.addLatencySample(now, 120*time.Millisecond, objective)
	require.InDelta(t, grown*windowDecrease, w.size, 0.001)
	w.addLatencySample(now+50*time.Millisecond, 120*time.Millisecond, objective)
	require.InDelta(t, grown*windowDecrease, w.size, 0.001, "one decrease per round trip")
	for i := range 40 {
		w.addLatencySample(now+time.Duration(i)*200*time.Millisecond, 120*time.Millisecond, objective)
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
		{"retransmission below half of the window", window{size: 4}, 1, Packet{SYNRetransmits: 1}, false, true},
		{"retransmission at half of the window", window{size: 4}, 2, Packet{SYNRetransmits: 1}, false, false},
		{"urgent retransmission at half of the window", window{size: 4}, 2, Packet{SYNRetransmits: 2}, true, true},
		{"window of half a request, after the pause", window{size: 0.5, admittedAt: now - 80*time.Millisecond, latency: 40 * time.Millisecond}, 0, Packet{}, false, true},
		{"window of half a request, during the pause", window{size: 0.5, admittedAt: now - 79*time.Millisecond, latency: 40 * time.Millisecond}, 0, Packet{}, false, false},
		{"window of half a request, one request open", window{size: 0.5, latency: 40 * time.Millisecond}, 1, Packet{}, false, false},
	} {
		require.Equal(t, c.want, c.window.admits(now, c.open, &c.packet, c.urgent), c.name)
	}
}

// The burst of new flows after a restart of all hosts must not exceed the queues of the upstreams.
func TestBurstOfNewFlowsIsPaced(t *testing.T) {
	f := newFixture(t)
	placed, paced := 0, 0
	for range 100 {
		switch e := f.caller(streamPort).sendSYN(); {
		case e.Action == Forward:
			placed++
		case e.Reason == ReasonPaced:
			paced++
		}
	}
	require.Equal(t, 12, placed, "two for each of six upstreams with two slots, before the first answer")
	require.Equal(t, 88, paced)
}
