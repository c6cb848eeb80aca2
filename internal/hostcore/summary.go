package hostcore

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// Placement holds the placement statistics of a core, summed over its services.
type Placement struct {
	// Waiting is the number of requests waiting for a slot.
	Waiting int
	// Slots is the number of requests that may run concurrently.
	Slots int
	// Ejected is the number of upstreams removed by outlier ejection.
	Ejected int
	// Spilling lists the services that may use upstreams in other availability
	// zones, in ascending order of id.
	Spilling []ids.ServiceID
}

// Placement returns the current placement statistics.
func (c *Core) Placement(now time.Duration) Placement {
	var sum Placement
	for _, id := range c.serviceOrder {
		stats := c.services[id].placer.Stats(now)
		sum.Waiting += stats.Waiting
		sum.Slots += stats.Slots
		if stats.Spilling {
			sum.Spilling = append(sum.Spilling, id)
		}
		for i := range stats.Upstreams {
			if stats.Upstreams[i].Ejected {
				sum.Ejected++
			}
		}
	}
	return sum
}
