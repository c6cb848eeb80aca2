package dsr

import "time"

// learnedLimit returns the number of requests that the upstream takes well at a time, at most its slots.
func (u *upstream) learnedLimit(time.Duration) float64 { return float64(u.Slots) }

// learnedWork returns the time that a request takes a slot of the upstream; zero is unknown.
func (u *upstream) learnedWork(time.Duration) time.Duration { return u.service.work.Mean() }
