package dsr

import "time"

const (
	// handshakeTimeoutMin and handshakeTimeoutFactor set when a handshake times out: after
	// handshakeTimeoutFactor times its usual duration, but not before handshakeTimeoutMin, which is
	// eight times the usual 7 ms, rounded up.
	handshakeTimeoutMin    = 60 * time.Millisecond
	handshakeTimeoutFactor = 8
	// baselineWeight is the weight of a slower handshake in the baseline. A faster one replaces it.
	baselineWeight = 0.01
	// slowHandshakeFactor and slowHandshakeMargin set when a handshake is slow, which shows that
	// packets are queued: above the baseline times the factor plus the margin.
	slowHandshakeFactor = 3
	slowHandshakeMargin = 10 * time.Millisecond
	// pauseMin and pauseFactor set when the time between two packets is a pause: above pauseFactor
	// times the mean, but at least pauseMin.
	pauseMin    = 100 * time.Millisecond
	pauseFactor = 20
	// gapWeight is the weight of a new sample in the mean time between two packets.
	gapWeight = 0.02
	// correlationInterval is the time within which handshake timeouts at two upstreams are
	// attributed to the link of this host.
	correlationInterval = 300 * time.Millisecond
	// linkRecovery is how long the link counts as degraded after the last sign of degradation.
	linkRecovery = 700 * time.Millisecond
	// reachableHandshakes is the number of good handshakes within reachableWithin that show that
	// this host reaches upstreams.
	reachableHandshakes = 2
	reachableWithin     = 500 * time.Millisecond
)

// linkMonitor distinguishes a host that is cut off, or whose link is saturated, from upstreams that
// do not answer. It uses handshakes with upstreams in the host's own zone, which stay reachable in
// a partition between zones, and the pauses between packets of callers.
type linkMonitor struct {
	// baseline is the duration of a handshake without queueing.
	baseline time.Duration
	// meanGap is the mean time between two packets, packetAt when the last one arrived.
	meanGap, packetAt time.Duration
	// degradedAt is when the link last showed a sign of degradation; zero is never.
	degradedAt time.Duration
	// timedOut is the upstream of the last handshake that timed out, timedOutAt when it did.
	timedOut   *upstream
	timedOutAt time.Duration
	// goodSentAt holds when the SYNs of the last good handshakes were sent, oldest first.
	goodSentAt [reachableHandshakes]time.Duration
}

// handshakeTimeout returns how long after its SYN a handshake times out.
func (m *linkMonitor) handshakeTimeout() time.Duration {
	return max(handshakeTimeoutMin, handshakeTimeoutFactor*m.baseline)
}

func (m *linkMonitor) markDegraded(now time.Duration) { m.degradedAt = now }

// recentlyDegraded reports whether the link showed a sign of degradation within linkRecovery.
func (m *linkMonitor) recentlyDegraded(now time.Duration) bool {
	return m.degradedAt != 0 && now-m.degradedAt < linkRecovery
}

// packetReceived records the arrival of a packet from any caller.
func (m *linkMonitor) packetReceived(now time.Duration) {
	if m.packetAt != 0 {
		gap := now - m.packetAt
		if m.meanGap != 0 && gap > max(pauseMin, pauseFactor*m.meanGap) {
			m.markDegraded(now)
		}
		m.meanGap += time.Duration(gapWeight * float64(gap-m.meanGap))
	}
	m.packetAt = now
}

// handshakeCompleted records a handshake without retransmissions with an upstream in the host's own
// zone.
func (m *linkMonitor) handshakeCompleted(now, sent time.Duration) {
	took := now - sent
	switch {
	case m.baseline == 0 || took < m.baseline:
		m.baseline = took
	default:
		m.baseline += time.Duration(baselineWeight * float64(took-m.baseline))
	}
	if took > slowHandshakeFactor*m.baseline+slowHandshakeMargin {
		m.markDegraded(now)
		return
	}
	copy(m.goodSentAt[:], m.goodSentAt[1:])
	m.goodSentAt[reachableHandshakes-1] = sent
}

// handshakeTimedOut records the timeout of a handshake with an upstream in the host's own zone.
func (m *linkMonitor) handshakeTimedOut(now time.Duration, u *upstream) {
	if m.timedOut != nil && m.timedOut != u && now-m.timedOutAt < correlationInterval {
		m.markDegraded(now)
	}
	m.timedOut, m.timedOutAt = u, now
}

// suspected reports whether answers may be missing because of the host's own link.
func (m *linkMonitor) suspected(now time.Duration) bool {
	return m.recentlyDegraded(now) || m.goodSentAt[0] == 0 || now-m.goodSentAt[0] > reachableWithin
}
