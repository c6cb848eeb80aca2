package capacity

import (
	"math"
	"time"
)

const (
	// minWork is the shortest work that is told apart.
	minWork = time.Millisecond
	// workLevels is the number of work times, each levelFactor times the one before: up to 3.4 s.
	workLevels  = 32
	levelFactor = 1.3
	// kneeLevels is the largest number of knees for a number of slots.
	kneeLevels = 6
	// changeTime is the mean time between two changes of the work or the knee that the filter expects.
	changeTime = 20 * time.Second
	// forgetAfter is the time after which the filter begins to forget a knee below the slots while no more requests are
	// in progress, and kneeTime the time in which it does: nothing shows then that the upstream takes more again.
	forgetAfter = 500 * time.Millisecond
	kneeTime    = 1500 * time.Millisecond
	// minChange is the least probability of a change between two samples.
	minChange = 0.002
	// kneeProbability is that of a knee below the slots.
	kneeProbability = 0.02
	// nearReference is the part of the changes that lead back to the work of the peers.
	nearReference = 0.5
	// spread is the standard deviation of the logarithm of the time that an answer takes. That of work with a
	// spread of half of its mean is 0.47.
	spread = 0.5
	// tailShare is the part of the answers that take tailFactor times as long.
	tailShare  = 0.03
	tailFactor = 7
	// lostShare is the part of the answers that take any time: an acknowledgement may be lost or late.
	lostShare = 0.0002
	// unseenShare is the part of the answers that callers do not acknowledge: they acknowledge every second
	// packet.
	unseenShare = 0.05
	// shedUnexplained is the likelihood of a rejection below the knee, in relation to one above it: other hosts
	// may send requests as well.
	shedUnexplained = 0.02
	// tableSteps is the number of entries of the tables of likelihoods for each level of work, tableRange the
	// largest distance in levels.
	tableSteps = 5
	tableRange = 40
)

var (
	levelStep    = math.Log(levelFactor)
	logDurations = math.Log(float64(time.Hour) / float64(minWork))
	densities    = newTable(density)
	survivals    = newTable(survival)
	// meanOfMedian is the ratio of the mean to the median of the time of answers without the tail.
	meanOfMedian = math.Exp(spread * spread / 2)
	// kneeShares are the knees as parts of the slots.
	kneeShares = [kneeLevels]float64{1, 0.75, 0.5, 0.375, 0.25, 0.125}
)

// table holds the values of a function of the logarithm of the time of an answer in relation to the median.
type table [2*tableRange*tableSteps + 1]float32

func newTable(f func(float64) float64) *table {
	var t table
	for i := range t {
		t[i] = float32(f(float64(i-tableRange*tableSteps) * levelStep / tableSteps))
	}
	return &t
}

// index returns the entry for a distance in levels.
func index(levels float64) int {
	return min(max(int(math.Round((levels+tableRange)*tableSteps)), 0), 2*tableRange*tableSteps)
}

func normalDensity(x float64) float64 {
	return math.Exp(-x*x/(2*spread*spread)) / (spread * math.Sqrt(2*math.Pi))
}

func normalSurvival(x float64) float64 { return math.Erfc(x/(spread*math.Sqrt2)) / 2 }

func density(x float64) float64 {
	return (1-tailShare-lostShare)*normalDensity(x) + tailShare*normalDensity(x-math.Log(tailFactor)) + lostShare/logDurations
}

func survival(x float64) float64 {
	return unseenShare + (1-unseenShare)*((1-tailShare)*normalSurvival(x)+tailShare*normalSurvival(x-math.Log(tailFactor)))
}

type observationKind uint8

const (
	// observedExactly is an answer that took high, observedBetween one that took between low and high,
	// observedPending a request without an answer for low, observedShed a rejection.
	observedExactly observationKind = iota
	observedBetween
	observedPending
	observedShed
)

// observation is what is seen of one request. Times are logarithms.
type observation struct {
	kind       observationKind
	inProgress int
	low, high  float64
	// counted is the time without an answer that was observed before, if isCounted is set.
	counted   float64
	isCounted bool
	// weight is the exponent of the likelihood: 1, or less for an observation that repeats another one.
	weight float64
}

// filter holds the probabilities of the pairs of a knee and a work time.
type filter struct {
	slots int
	// knees holds the possible knees, highest first; zero is none.
	knees   [kneeLevels]int
	weights [kneeLevels][workLevels]float32
}

// reset sets the probabilities to those before any sample. A reference of zero is unknown.
func (f *filter) reset(slots int, reference time.Duration) {
	*f = filter{slots: slots}
	n := 0
	for _, share := range kneeShares {
		knee := int(math.Round(share * float64(slots)))
		if knee >= 1 && (n == 0 || knee < f.knees[n-1]) {
			f.knees[n] = knee
			n++
		}
	}
	prior := workPrior(reference)
	for k := range n {
		p := kneePrior(k, n)
		for w := range prior {
			f.weights[k][w] = p * prior[w]
		}
	}
}

// kneePrior returns the probability of knee k of n.
func kneePrior(k, n int) float32 {
	switch {
	case n == 1:
		return 1
	case k == 0:
		return 1 - kneeProbability
	default:
		return kneeProbability / float32(n-1)
	}
}

// workPrior returns the probabilities of work times after a change, or of a new upstream.
func workPrior(reference time.Duration) [workLevels]float32 {
	var p [workLevels]float32
	if reference <= 0 {
		for w := range p {
			p[w] = 1.0 / workLevels
		}
		return p
	}
	for w := range p {
		p[w] = (1 - nearReference) / workLevels
	}
	at := min(max((logWork(reference)-math.Log(meanOfMedian))/levelStep, 0), workLevels-1)
	low := min(int(at), workLevels-2)
	part := float32(at - float64(low))
	p[low] += nearReference * (1 - part)
	p[low+1] += nearReference * part
	return p
}

// relax lets a part of the probabilities return to those of a new upstream, for changes since the last sample.
// If forgets is set, nothing has shown for long where the knee is.
func (f *filter) relax(since, reference time.Duration, forgets bool) {
	change := float32(max(1-math.Exp(-float64(since)/float64(changeTime)), minChange))
	forget := float32(0)
	if forgets {
		forget = float32(1 - math.Exp(-float64(since)/float64(kneeTime)))
	}
	prior := workPrior(reference)
	n := f.kneeCount()
	for w := range workLevels {
		total := float32(0)
		for k := range n {
			total += f.weights[k][w]
		}
		for k := range n {
			p := kneePrior(k, n)
			kept := f.weights[k][w] + forget*(p*total-f.weights[k][w])
			f.weights[k][w] = kept + change*(p*prior[w]-kept)
		}
	}
}

func (f *filter) kneeCount() int {
	n := 0
	for n < kneeLevels && f.knees[n] != 0 {
		n++
	}
	return n
}

// apply weighs the pairs by the likelihood of an observation.
func (f *filter) apply(o *observation) {
	sum := float32(0)
	for k := range f.kneeCount() {
		slower := math.Log(max(1, float64(o.inProgress)/float64(f.knees[k])))
		high, low := index((o.high-slower)/levelStep), index((o.low-slower)/levelStep)
		counted := index((o.counted - slower) / levelStep)
		for w := range workLevels {
			// Each level of work is tableSteps entries further.
			at := w * tableSteps
			var p float32
			switch o.kind {
			case observedExactly:
				p = densities[max(high-at, 0)]
			case observedBetween:
				p = survivals[max(low-at, 0)] - survivals[max(high-at, 0)] + lostShare
			case observedPending:
				p = survivals[max(low-at, 0)]
			case observedShed:
				p = 1
				if o.inProgress <= f.knees[k] {
					p = shedUnexplained
				}
			}
			if o.isCounted {
				p /= survivals[max(counted-at, 0)]
			}
			if o.weight != 1 {
				p = float32(math.Pow(float64(p), o.weight))
			}
			f.weights[k][w] *= p
			sum += f.weights[k][w]
		}
	}
	for k := range f.kneeCount() {
		for w := range workLevels {
			f.weights[k][w] /= sum
		}
	}
}

// meanWork returns the mean time of an answer without a queue.
func (f *filter) meanWork() time.Duration {
	mean := 0.0
	for k := range f.kneeCount() {
		for w, p := range f.weights[k] {
			mean += float64(p) * float64(w)
		}
	}
	return time.Duration(float64(minWork) * math.Exp(mean*levelStep) * meanOfMedian)
}

// weightAbove returns the probability of a mean work above the given one, and that part of it without a knee below the
// slots.
func (f *filter) weightAbove(logarithm float64) (all, atSlots float64) {
	from := (logarithm - math.Log(meanOfMedian)) / levelStep
	for k := range f.kneeCount() {
		for w, p := range f.weights[k] {
			// A level stands for the work times up to half a step around it.
			all += float64(p) * min(max(float64(w)+0.5-from, 0), 1)
		}
		if k == 0 {
			atSlots = all
		}
	}
	return all, atSlots
}

// weightBelow returns the probability of a knee below the slots.
func (f *filter) weightBelow() float64 {
	sum := 0.0
	for _, p := range f.weights[0] {
		sum += float64(p)
	}
	return 1 - sum
}

// knee returns the most likely knee below the slots, or the slots if there is none.
func (f *filter) knee() int {
	best, most := f.slots, float32(0)
	for k := 1; k < f.kneeCount(); k++ {
		sum := float32(0)
		for _, p := range f.weights[k] {
			sum += p
		}
		if sum > most {
			best, most = f.knees[k], sum
		}
	}
	return best
}
