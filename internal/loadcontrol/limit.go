package loadcontrol

import "time"

const (
	// objectiveShare is the part of the latency objective that queueing and work at an upstream may
	// take; the rest is for transit and variance.
	objectiveShare = 0.6
	// maxPerSlot bounds the open requests per slot. More of them only wait at the upstream.
	maxPerSlot = 2
	// lateShare is the part of a limit that is open to late requests: others can still be in time.
	lateShare = 0.5
	// urgentFactor enlarges the limit for urgent requests.
	urgentFactor = 2
	// queuedFactor is the multiple of the work above which an answer was queued for long, whatever
	// the objective.
	queuedFactor = 1.5
)

// Class is how a request stands to others that want the same slot.
type Class struct {
	// Late is set if the caller has waited for an earlier attempt.
	Late bool
	// Urgent is set if the service has less urgent routes.
	Urgent bool
}

// factor returns what a limit is multiplied by for the class.
func (c Class) factor() float64 {
	f := 1.0
	if c.Late {
		f *= lateShare
	}
	if c.Urgent {
		f *= urgentFactor
	}
	return f
}

// Limit returns the number of requests that may be open in a number of slots so that, by Little's
// law, a new one is answered within its latency objective. If the work alone takes longer, or if its
// duration is unknown (zero), it is one request per slot.
func Limit(slots float64, work, objective time.Duration) float64 {
	if work <= 0 || objective <= 0 {
		return slots
	}
	return slots * min(max(objectiveShare*float64(objective)/float64(work), 1), maxPerSlot)
}

// Pacer admits requests below a limit that may be less than one.
type Pacer struct {
	// AdmittedAt is when a request was last admitted; zero is never.
	AdmittedAt time.Duration
}

// Admits reports whether another request may start in addition to the open ones. Below a limit of
// one, requests start one at a time, with pauses that keep the mean number of open ones at the limit.
func (p *Pacer) Admits(now time.Duration, open, limit float64, class Class, work time.Duration) bool {
	limit *= class.factor()
	if limit >= 1 {
		return open < limit
	}
	return open < limit && (p.AdmittedAt == 0 || float64(now-p.AdmittedAt)*limit >= float64(work))
}
