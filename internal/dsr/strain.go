package dsr

import "time"

const (
	// strainHalfLife is the time in which a handshake loses half of its weight as evidence.
	strainHalfLife = 500 * time.Millisecond
	// strainShare is the share of late handshakes with upstreams of the own
	// zone above which the host's own link is the likelier cause.
	strainShare = 0.2
	// strainLate is the least weight of late handshakes that counts: one dead upstream makes one.
	strainLate = 1.5
	// strainEvidence is the least weight of completed handshakes that shows that the host can tell.
	strainEvidence = 0.5
)

// decaying is a count that loses half of its value in each half-life.
type decaying struct {
	value float64
	at    time.Duration
}

func (d *decaying) get(now time.Duration) float64 {
	return d.value * halved(float64(now-d.at)/float64(strainHalfLife))
}

func (d *decaying) add(now time.Duration) {
	d.value, d.at = d.get(now)+1, now
}

// strain tells a host that can't reach anybody from upstreams that don't
// answer. It rests on the upstreams of the host's own zone, which a cut between zones leaves in reach.
type strain struct {
	completed, late decaying
}

// high reports whether missing answers may be the host's own fault.
func (s *strain) high(now time.Duration) bool {
	late, completed := s.late.get(now), s.completed.get(now)
	return completed < strainEvidence || late >= strainLate && late > strainShare*completed
}
