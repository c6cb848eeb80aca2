package hostcore

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// PlacementStats holds the placement statistics of a core, summed over its
// services.
type PlacementStats struct {
	// Waiting is the number of requests waiting for a slot.
	Waiting int
	// Slots is the number of requests that may run concurrently.
	Slots int
	// Ejected is the number of upstreams currently excluded by outlier ejection.
	Ejected int
	// Spilling lists the services that may use upstreams in other availability
	// zones, in ascending order of id.
	Spilling []ids.ServiceID
}

// PlacementStats returns the current placement statistics.
func (c *Core) PlacementStats(now time.Duration) PlacementStats {
	var sum PlacementStats
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
