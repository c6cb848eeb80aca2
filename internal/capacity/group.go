package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// maxPeers is the number of upstreams that a group compares: those with the latest samples.
	maxPeers = 32
	// referenceInterval is the minimum time between two computations of the reference.
	referenceInterval = 50 * time.Millisecond
	// peerTime is how long an upstream counts as a peer after its last sample.
	peerTime = 5 * time.Second
	// nearFactor is the multiple of the reference up to which an answer is not slow, and up to which the
	// reference moves to the median, by drift of the distance each time.
	nearFactor = 1.5
	drift      = 0.02
	// recentAnswers is the number of answers of all upstreams of which the lower quartile is taken: it tells sooner
	// than the estimates when all upstreams change alike.
	recentAnswers = 16
)

// Group holds what the upstreams of a service have in common. The zero value is ready to use.
type Group struct {
	peers [maxPeers]*Estimate
	// reference is the work that upstreams are compared with, work the median; zero is unknown.
	reference, work time.Duration
	computedAt      time.Duration
	// recent holds the logarithms of the times of the latest answers, of which next is the oldest. recentWork is the mean
	// work if their lower quartile is that of usual answers.
	recent     [recentAnswers]float32
	next       int
	recentWork time.Duration
	// fastAt holds when the last requests were sent that were not answered slowly, oldest first.
	fastAt [2]time.Duration
}

// Work returns the median work of the peers; zero is unknown.
func (g *Group) Work() time.Duration { return g.work }

// Reference returns the work that upstreams are compared with; zero is unknown.
func (g *Group) Reference() time.Duration { return g.reference }

// isSlow reports whether an answer takes longer than usual.
func (g *Group) isSlow(took time.Duration, inProgress, slots int) bool {
	usual := nearFactor * float64(g.reference) * max(1, float64(inProgress)/float64(max(slots, 1)))
	return g.reference > 0 && float64(took) > usual
}

func (g *Group) noteFast(start time.Duration) {
	if start > g.fastAt[1] {
		g.fastAt[0], g.fastAt[1] = g.fastAt[1], start
	}
}

// fastSince reports whether some requests that were sent after the given time were not answered slowly.
func (g *Group) fastSince(at time.Duration) bool { return g.fastAt[0] > at }

// noteAnswer records the logarithm of the time of an answer of any upstream.
func (g *Group) noteAnswer(logarithm float64) {
	g.recent[g.next] = float32(logarithm)
	g.next = (g.next + 1) % recentAnswers
	sorted := g.recent
	slices.Sort(sorted[:])
	// The quartile of a normal distribution is 0.674 standard deviations below the median.
	median := float64(sorted[recentAnswers/4]) + 0.674*spread
	g.recentWork = time.Duration(float64(minWork) * math.Exp(median) * meanOfMedian)
}

// update makes an estimate a peer and computes the reference.
func (g *Group) update(now time.Duration, e *Estimate) {
	g.add(now, e)
	if now-g.computedAt < referenceInterval && g.reference != 0 {
		return
	}
	g.computedAt = now
	var works [maxPeers]time.Duration
	n := 0
	for _, p := range g.peers {
		if p == nil || p.samples < minSamples || now-p.updatedAt > peerTime {
			continue
		}
		i := n
		for ; i > 0 && works[i-1] > p.work; i-- {
			works[i] = works[i-1]
		}
		works[i] = p.work
		n++
	}
	if n > 0 {
		g.setReference(works[(n-1)/4], works[(n-1)/2], works[n/2])
	}
}

// setReference moves the reference no further than into the range from the lower quartile to the median. So
// it does not follow one upstream that is faster, nor half of them or more that turn slower: a host is
// responsible for about four, so of half of all often three or four fall to it.
func (g *Group) setReference(quartile, lowerMedian, upperMedian time.Duration) {
	g.work = lowerMedian
	if g.reference == 0 {
		g.reference = lowerMedian
		return
	}
	g.reference = min(max(g.reference, quartile), upperMedian)
	if ratio := float64(lowerMedian) / float64(g.reference); ratio < nearFactor && ratio > 1/nearFactor {
		g.reference += time.Duration(drift * float64(lowerMedian-g.reference))
	}
}

// add gives an estimate a place, that of the peer with the oldest sample if there is none left.
func (g *Group) add(now time.Duration, e *Estimate) {
	if e.peerNumber != 0 {
		return
	}
	oldest := 0
	for i, p := range g.peers {
		if p == nil {
			oldest = i
			break
		}
		if p.updatedAt < g.peers[oldest].updatedAt {
			oldest = i
		}
	}
	if p := g.peers[oldest]; p != nil {
		if now-p.updatedAt < peerTime {
			return
		}
		p.peerNumber = 0
	}
	g.peers[oldest], e.peerNumber = e, oldest+1
}

// remove removes an estimate from the peers.
func (g *Group) remove(e *Estimate) {
	if e.peerNumber != 0 {
		g.peers[e.peerNumber-1], e.peerNumber = nil, 0
	}
}
