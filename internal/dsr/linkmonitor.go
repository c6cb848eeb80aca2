package dsr

import "time"

const (
	// handshakeMin and handshakeRounds say when a handshake counts as failed: after
	// that many usual ones, but not before the least time, which is eight of today's 7 ms.
	handshakeMin    = 60 * time.Millisecond
	handshakeRounds = 8
	// baselineDrift is how fast the usual time of a handshake follows slower ones.
	baselineDrift = 0.01
	// slowRounds and slowExtra say from when a handshake is slow: packets wait somewhere.
	slowRounds = 3
	slowExtra  = 10 * time.Millisecond
	// gapMin and gapRounds say when the time between two packets is a pause:
	// that many usual ones, but not less than the least time.
	gapMin    = 100 * time.Millisecond
	gapRounds = 20
	// gapWeight is the weight of a new sample of the time between two packets.
	gapWeight = 0.02
	// lateTogether is the time within which failed handshakes with two upstreams are one event.
	lateTogether = 300 * time.Millisecond
	// wellFor is how long there must have been no sign of strain: the time over which an upstream
	// is judged, and the way of the last packets.
	wellFor = silentFor + 150*time.Millisecond
	// provedBy is the number of handshakes in provedIn that show that the host reaches others now.
	provedBy = 2
	provedIn = 500 * time.Millisecond
)

// strain tells a host that can't reach anybody, or whose link is full, from
// upstreams that don't answer. It rests on handshakes with upstreams of the host's
// own zone, which a cut between zones leaves in reach, and on the pauses between packets.
type strain struct {
	// usual is the time that a handshake takes when nothing waits.
	usual time.Duration
	// gap is the mean time between two packets, packetAt the last one.
	gap, packetAt time.Duration
	// strainedAt is the last sign of strain; zero is none.
	strainedAt time.Duration
	// late is the upstream of the last failed handshake, lateAt its time.
	late   *upstream
	lateAt time.Duration
	// proved holds when the packets of the last good handshakes were sent.
	proved [provedBy]time.Duration
}

// timeout is when a handshake counts as failed.
func (s *strain) timeout() time.Duration {
	return max(handshakeMin, handshakeRounds*s.usual)
}

func (s *strain) sign(now time.Duration) { s.strainedAt = now }

// recent reports whether there was a sign of strain of late.
func (s *strain) recent(now time.Duration) bool {
	return s.strainedAt != 0 && now-s.strainedAt < wellFor
}

// packet notes the arrival of a packet from any caller.
func (s *strain) packet(now time.Duration) {
	if s.packetAt != 0 {
		gap := now - s.packetAt
		if s.gap != 0 && gap > max(gapMin, gapRounds*s.gap) {
			s.sign(now)
		}
		s.gap += time.Duration(gapWeight * float64(gap-s.gap))
	}
	s.packetAt = now
}

// completed notes a handshake with an upstream of the own zone that needed no copy.
func (s *strain) completed(now, sent time.Duration) {
	took := now - sent
	switch {
	case s.usual == 0 || took < s.usual:
		s.usual = took
	default:
		s.usual += time.Duration(baselineDrift * float64(took-s.usual))
	}
	if took > slowRounds*s.usual+slowExtra {
		s.sign(now)
		return
	}
	copy(s.proved[:], s.proved[1:])
	s.proved[provedBy-1] = sent
}

// failed notes a handshake with an upstream of the own zone that was not completed in time.
func (s *strain) failed(now time.Duration, u *upstream) {
	if s.late != nil && s.late != u && now-s.lateAt < lateTogether {
		s.sign(now)
	}
	s.late, s.lateAt = u, now
}

// high reports whether missing answers may be the host's own fault.
func (s *strain) high(now time.Duration) bool {
	return s.recent(now) || s.proved[0] == 0 || now-s.proved[0] > provedIn
}
