package daemon

import (
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/table"
)

// publish puts a configuration and a view into force. A nil configuration
// keeps the one before.
func (d *Daemon) publish(snap *config.Snapshot, view *member.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = view
	if snap != nil {
		d.snap = snap
	}
	d.rebuild()
	d.followPlan()
}

// rebuild builds the table anew; the caller holds mu. The core gets the newest
// table only.
func (d *Daemon) rebuild() {
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

// RequireIncarnation makes the host begin a new incarnation that isn't less than
// the given one, because the others know of a later run of it. It may be called
// from any goroutine.
func (d *Daemon) RequireIncarnation(least ids.Incarnation) {
	select {
	case d.loop.least <- least:
	default:
	}
}

// reincarnate begins a new incarnation and returns the new instance.
func (d *Daemon) reincarnate(least ids.Incarnation) ids.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.self.Incarnation >= least && least > 0 {
		return d.self
	}
	d.self.Incarnation = max(least, NewIncarnation(time.Now(), d.self.Incarnation))
	d.control.SetIncarnation(d.self.Incarnation)
	d.rebuild()
	return d.self
}

func (d *Daemon) instance() ids.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

// NewIncarnation returns the incarnation of a host that starts now, which is
// later than the one before. Zero stands for no run before.
func NewIncarnation(now time.Time, before ids.Incarnation) ids.Incarnation {
	return max(ids.Incarnation(now.UnixMilli()), before+1)
}
