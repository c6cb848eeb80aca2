package daemon

import (
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/table"
)

// publish applies a configuration and a membership view. If snap is nil, the previous
// configuration is kept.
func (d *Daemon) publish(snap *config.Snapshot, view *member.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = view
	if snap != nil {
		d.snap = snap
	}
	d.rebuildTable()
	d.applyPlan()
}

// rebuildTable rebuilds the table and passes it to the core, in place of one that the
// core has not received yet. The caller holds mu.
func (d *Daemon) rebuildTable() {
	if d.snap == nil || d.view == nil {
		return
	}
	t := table.Next(d.table.Load(), d.self, d.snap, d.view)
	d.table.Store(t)
	for {
		select {
		case d.loop.tables <- t:
			return
		default:
		}
		select {
		case <-d.loop.tables:
		default:
		}
	}
}

// RequireIncarnation requests an incarnation of at least minimum, because other hosts
// know this host under a later incarnation than its own. It does not block and may be
// called from any goroutine.
func (d *Daemon) RequireIncarnation(minimum ids.Incarnation) {
	select {
	case d.loop.minIncarnations <- minimum:
	default:
	}
}

// advanceIncarnation starts a new incarnation, of at least minimum, and returns the
// new instance. If minimum is not zero and has already been reached, it returns the
// current instance.
func (d *Daemon) advanceIncarnation(minimum ids.Incarnation) ids.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.self.Incarnation >= minimum && minimum > 0 {
		return d.self
	}
	d.self.Incarnation = max(minimum, NewIncarnation(time.Now(), d.self.Incarnation))
	d.control.SetIncarnation(d.self.Incarnation)
	d.rebuildTable()
	return d.self
}

func (d *Daemon) instance() ids.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

// NewIncarnation returns the incarnation of a host that starts at now: the Unix time
// in milliseconds, but later than previous. A previous of zero means that there was no
// earlier run.
func NewIncarnation(now time.Time, previous ids.Incarnation) ids.Incarnation {
	return max(ids.Incarnation(now.UnixMilli()), previous+1)
}
