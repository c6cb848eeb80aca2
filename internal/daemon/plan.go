package daemon

import (
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/config"
)

// applyPlan starts a planned stop when the operators' plan marks this host as
// stopping, and cancels it when the plan no longer does. The caller holds mu.
func (d *Daemon) applyPlan() {
	stops := planStopsHost(d.snap, d.settings.Host.Name)
	if stops == d.stopPlanned {
		return
	}
	d.stopPlanned = stops
	d.log.Info("plan changed", zap.Bool("stops", stops))
	d.control.SetLeaving(stops || d.stopping())
	select {
	case <-d.loop.plan:
	default:
	}
	d.loop.plan <- stops
}

// planStopsHost reports whether the plan marks the host as stopping. A host that is
// not in the plan serves.
func planStopsHost(snap *config.Snapshot, name string) bool {
	if snap == nil {
		return false
	}
	for i := range snap.Hosts {
		if snap.Hosts[i].Name == name {
			return snap.Hosts[i].State == config.HostStopping
		}
	}
	return false
}
