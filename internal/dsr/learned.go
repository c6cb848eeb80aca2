package dsr

import "time"

// learnedLimit returns the number of requests that the upstream takes well at a time, from all hosts
// together, at most its slots. It may be less than one; loadcontrol.Pacer spaces requests then.
func (u *upstream) learnedLimit(now time.Duration) float64 {
	return u.learned.Limit(now, &u.service.peers, u.Slots)
}

// learnedWork returns the time that a request takes a slot of the upstream; zero is unknown.
func (u *upstream) learnedWork(now time.Duration) time.Duration {
	return time.Duration(float64(u.service.work.Mean()) * u.slowdown(now, u.service))
}
