package loadcontrol

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the time in which a request loses half of its weight in the demand.
	demandHalfLife = 700 * time.Millisecond
	// refusedWeight is the weight of a refused attempt: callers repeat it twice, at once.
	refusedWeight = 1.0 / 3
	// demandTolerance is the multiple of what the slots can do up to which callers wait: the demand
	// varies, and slow links make the work seem longer than it is.
	demandTolerance = 1.5
	// attemptTime is how long a caller waits for an attempt before it ends it.
	attemptTime = 1400 * time.Millisecond
)

// Demand estimates how much is asked of the slots that a host is responsible for. It tells a short
// excess, which callers bridge by repeating their attempt, from a lasting one, in which those who wait
// are not served. The zero value is no demand.
type Demand struct {
	// weight is the decayed number of requests at the time at.
	weight float64
	at     time.Duration
}

// Asked records a request that was sent to an upstream or whose caller waited in vain.
func (d *Demand) Asked(now time.Duration) { d.add(now, 1) }

// Refused records an attempt that was refused.
func (d *Demand) Refused(now time.Duration) { d.add(now, refusedWeight) }

// Rejected records that a request that was recorded as asked is rejected after all.
func (d *Demand) Rejected(now time.Duration) { d.add(now, refusedWeight-1) }

func (d *Demand) add(now time.Duration, weight float64) {
	d.decay(now)
	d.weight = max(0, d.weight+weight)
}

func (d *Demand) decay(now time.Duration) {
	if now > d.at {
		d.weight *= math.Exp2(-float64(now-d.at) / float64(demandHalfLife))
		d.at = now
	}
}

// Rate returns the demand in requests per second.
func (d *Demand) Rate(now time.Duration) float64 {
	d.decay(now)
	return d.weight * math.Ln2 / demandHalfLife.Seconds()
}

// Exceeds reports whether a caller who has to wait would not be served in time: more is asked than the
// slots can do, or the callers who wait already take all that is left. The work is the time that a
// request takes a slot; zero is unknown, and nothing exceeds.
func (d *Demand) Exceeds(now time.Duration, slots float64, work time.Duration, waiting int) bool {
	if work <= 0 {
		return false
	}
	left := demandTolerance*slots/work.Seconds() - d.Rate(now)
	return float64(waiting) >= left*attemptTime.Seconds()
}
