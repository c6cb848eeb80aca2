package controlplane

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mimosashore.example/mimosashore/internal/admin"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

// SetLeaving announces a planned stop to the other hosts, or cancels it.
func (p *Plane) SetLeaving(leaving bool) {
	p.enqueue(func(now time.Duration) {
		if !leaving {
			p.member.CancelLeave(now)
			return
		}
		var out member.Effects
		p.member.Leave(now, &out)
		p.applyMember(now, &out)
	})
}

// SetIncarnation announces a new incarnation of this host to the other hosts.
func (p *Plane) SetIncarnation(i ids.Incarnation) {
	p.enqueue(func(now time.Duration) {
		p.member.SetIncarnation(now, i)
	})
}

// enqueue queues a call for the event loop without blocking. The queue is larger
// than the number of calls expected at once; if it is full, a goroutine waits for
// space, and the order of such calls is not guaranteed.
func (p *Plane) enqueue(call func(now time.Duration)) {
	select {
	case p.commands <- call:
	default:
		go func() {
			select {
			case p.commands <- call:
			case <-p.done:
			}
		}()
	}
}

// Documents returns the configuration documents in force, ordered by name.
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

// Ready reports whether the host has a complete configuration and the member list
// of the other hosts. If not, reason says what is missing.
func (p *Plane) Ready() (ready bool, reason string) {
	st := p.status.Load()
	return st.ready, st.reason
}

// Metrics returns the metrics of the control plane.
func (p *Plane) Metrics() *metrics.Set { return p.metricSet }
