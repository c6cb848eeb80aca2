package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"mimosashore.example/mimosashore/internal/admin"
)

var _ admin.Host = (*Daemon)(nil)

// Metrics returns the metrics of the data path and of the control plane.
func (d *Daemon) Metrics() []*metrics.Set {
	return []*metrics.Set{d.stats.set, d.control.Metrics()}
}

// State returns the state that the host shows on its admin endpoint.
func (d *Daemon) State() admin.State {
	core := d.coreView.load()
	state := admin.State{
		Host:          d.settings.Host.Name,
		Zone:          d.settings.Host.Zone,
		Incarnation:   uint64(d.instance().Incarnation),
		Stopping:      d.stopping() || d.stoppedByPlan(),
		OwnedFlows:    core.load.Flows,
		OwnedRequests: core.load.Requests,
		Documents:     d.control.Documents(),
		Members:       d.members(),
	}
	state.NotReady = d.notReadyReason()
	state.Ready = state.NotReady == ""
	return state
}

// notReadyReason returns why the host is not ready, or an empty string if it is.
func (d *Daemon) notReadyReason() string {
	t := d.table.Load()
	ready, reason := d.control.Ready()
	switch {
	case d.stopping():
		return "a planned stop is under way"
	case d.stoppedByPlan():
		return "host is stopped by the operators' plan"
	case !ready:
		return reason
	case t == nil:
		return "no configuration yet"
	case t.Keys.Empty():
		return "the configuration has no keys"
	case t.ServiceCount() == 0:
		return "the configuration has no services"
	default:
		return ""
	}
}

func (d *Daemon) stoppedByPlan() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopPlanned
}

func (d *Daemon) stopping() bool {
	select {
	case <-d.loop.stop:
		return true
	default:
		return false
	}
}

func (d *Daemon) members() []admin.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view == nil {
		return nil
	}
	members := make([]admin.Member, 0, len(d.view.Members))
	for i := range d.view.Members {
		m := &d.view.Members[i]
		members = append(members, admin.Member{
			Name:        m.Name,
			Zone:        m.Zone,
			State:       m.State.String(),
			Incarnation: uint64(m.Instance.Incarnation),
		})
	}
	return members
}
