package dsrhost

import (
	"sync/atomic"

	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/dsrpeer"
)

// setUpCold sets the bound on the opening packets to cold upstreams, if the settings have one.
func (d *coreLoop) setUpCold() {
	if b := d.host.settings.ColdBound; b != nil {
		d.core.SetColdBound(*b)
		d.host.stats.registerCold()
	}
}

// updateZoneHosts tells the core the known hosts of the zone, if that decides something.
func (d *coreLoop) updateZoneHosts() {
	if d.host.settings.ColdBound == nil {
		return
	}
	z := dsrpeer.ZoneHostsOf(d.host.settings.Data)
	if p := d.host.peer; p != nil {
		z = p.ZoneHosts()
	}
	d.core.SetZoneHosts(d.host.elapsed(), z)
}

// coldGauges are copies of the core's counters of opening packets to cold upstreams.
type coldGauges struct {
	sent, passedOver atomic.Uint64
}

// registerCold registers the gauges of opening packets to cold upstreams.
func (s *stats) registerCold() {
	s.set.NewGauge(`mimosashore_dsr_cold_openings{result="sent"}`, func() float64 { return float64(s.cold.sent.Load()) })
	s.set.NewGauge(`mimosashore_dsr_cold_openings{result="passed over"}`, func() float64 { return float64(s.cold.passedOver.Load()) })
}

// update copies the counters from the core.
func (g *coldGauges) update(c *dsr.Core) {
	sent, passedOver := c.ColdOpenings()
	g.sent.Store(sent)
	g.passedOver.Store(passedOver)
}
