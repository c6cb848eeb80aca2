package hostcore

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
)

// PlacementStats sums up the placers of a core.
type PlacementStats struct {
	// Waiting is the number of requests without a slot, Slots how many may run at once.
	Waiting int
	Slots   int
	// Ejected is the number of upstreams that get no work because of failures.
	Ejected int
	// Spilling holds the services that may use upstreams of other availability
	// zones, in the order of their ids.
	Spilling []ids.ServiceID
}

// PlacementStats returns the sums at present.
func (c *Core) PlacementStats(now time.Duration) PlacementStats {
	var sum PlacementStats
	for _, id := range c.order {
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
