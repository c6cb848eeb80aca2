// Package capacity estimates for each upstream of a service how many requests it takes well at a time
// and how long one takes then, from what a host sees of its own requests. It has no clock, sockets or
// goroutines: each call is given the time as the duration since the start of the host.
package capacity

import "time"

// Sample is a request that was answered.
type Sample struct {
	// Start and End are when the request was sent and when its answer was acknowledged.
	Start, End time.Duration
	// Transit is the part of the time that was spent on the way; zero is unknown.
	Transit time.Duration
	// InProgress is the number of requests of this host in progress at the upstream at the start, this one
	// included.
	InProgress int
	// Retransmitted is set if the caller sent a packet of the request again.
	Retransmitted bool
}

// Group holds what the upstreams of a service have in common. The zero value is ready to use.
type Group struct{}

// Estimate is what one upstream takes. The zero value is an upstream without samples.
type Estimate struct {
	work time.Duration
}

// Add adds a sample of an upstream of the group with the given slots.
func (e *Estimate) Add(now time.Duration, g *Group, slots int, s Sample) { e.work = s.End - s.Start }

// Shed records that the upstream rejected a request while so many of this host were in progress.
func (e *Estimate) Shed(now time.Duration, g *Group, slots, inProgress int) {}

// Limit returns the number of requests that the upstream takes well at a time, at most its slots.
func (e *Estimate) Limit(now time.Duration, g *Group, slots int) float64 { return float64(slots) }

// Work returns the time that a request takes a slot; zero is unknown.
func (e *Estimate) Work(now time.Duration, g *Group) time.Duration { return e.work }
