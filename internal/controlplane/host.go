package controlplane

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mimosashore.example/mimosashore/internal/admin"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

// SetLeaving announces a planned stop to the other hosts, or takes it back.
func (p *Plane) SetLeaving(leaving bool) {
	p.command(func(now time.Duration) {
		if !leaving {
			p.member.CancelLeave(now)
			return
		}
		var out member.Effects
		p.member.Leave(now, &out)
		p.applyMember(now, &out)
	})
}

// SetIncarnation announces a new incarnation of this host.
func (p *Plane) SetIncarnation(i ids.Incarnation) {
	p.command(func(now time.Duration) {
		p.member.SetIncarnation(now, i)
	})
}

// command hands a call to the loop. The queue holds more than the host ever
// asks for at once; a call that finds it full runs when the loop comes to it.
func (p *Plane) command(call func(now time.Duration)) {
	select {
	case p.commands <- call:
	default:
		go func() {
			select {
			case p.commands <- call:
			case <-p.ended:
			}
		}()
	}
}

// Documents returns what is in force, ordered by name.
func (p *Plane) Documents() []admin.Document {
	st := p.status.Load()
	now := p.now()
	documents := make([]admin.Document, 0, len(st.documents))
	for _, d := range st.documents {
		if d.Deleted {
			continue
		}
		documents = append(documents, admin.Document{
			Name: d.Name, Revision: d.Revision, InForceSeconds: (now - d.Since).Seconds(),
		})
	}
	return documents
}

// Ready reports whether the host has a whole configuration and knows the other
// hosts, and why not.
func (p *Plane) Ready() (ready bool, why string) {
	st := p.status.Load()
	return st.ready, st.why
}

// Metrics returns the metrics of the control plane.
func (p *Plane) Metrics() *metrics.Set { return p.set }
