package controlplane

import (
	"fmt"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/spread"
)

func (p *Plane) newStatus(joined bool) *status {
	st := &status{
		documents:   p.documents,
		counters:    p.spread.Counters(),
		storeBehind: p.spread.StoreBehind(),
		watcher:     p.spread.IsWatcher(),
		alone:       p.view == nil || len(p.view.Members) <= 1,
	}
	if p.view != nil {
		for i := range p.view.Members {
			st.memberCounts[p.view.Members[i].State]++
		}
	}
	st.ready, st.reason = p.spread.Readiness()
	if st.ready && !joined {
		st.ready, st.reason = false, "the list of hosts is being taken from other hosts"
	}
	return st
}

func (p *Plane) registerMetrics() {
	gauge := func(name string, value func(*status) float64) {
		p.metricSet.NewGauge(name, func() float64 { return value(p.status.Load()) })
	}
	for state := member.StateLive; state <= member.StateDead; state++ {
		gauge(fmt.Sprintf("mimosashore_members{state=%q}", state), func(s *status) float64 { return float64(s.memberCounts[state]) })
	}
	gauge("mimosashore_control_ready", func(s *status) float64 { return boolToFloat(s.ready) })
	gauge("mimosashore_store_watcher", func(s *status) float64 { return boolToFloat(s.watcher) })
	gauge("mimosashore_documents", func(s *status) float64 { return float64(len(s.documents)) })
	gauge("mimosashore_store_behind_documents", func(s *status) float64 { return float64(s.storeBehind) })
	count := func(name string, value func(*spread.Counters) uint64) {
		gauge(name, func(s *status) float64 { return float64(value(&s.counters)) })
	}
	count(`mimosashore_documents_taken_total{from="store"}`, func(c *spread.Counters) uint64 { return c.FromStore })
	count(`mimosashore_documents_taken_total{from="peer"}`, func(c *spread.Counters) uint64 { return c.FromPeers })
	count(`mimosashore_documents_refused_total{reason="lower_revision"}`, func(c *spread.Counters) uint64 { return c.RefusedLower })
	count(`mimosashore_documents_refused_total{reason="conflict"}`, func(c *spread.Counters) uint64 { return c.RefusedConflict })
	count(`mimosashore_documents_refused_total{reason="bad"}`, func(c *spread.Counters) uint64 { return c.RefusedBad })
	count("mimosashore_store_failures_total", func(c *spread.Counters) uint64 { return c.StoreFailures })
	count("mimosashore_store_relists_total", func(c *spread.Counters) uint64 { return c.StoreRelists })
	count("mimosashore_silent_watches_total", func(c *spread.Counters) uint64 { return c.SilentWatches })
	p.registerTransportMetrics()
}

func (p *Plane) registerTransportMetrics() {
	s := &p.transport.Stats
	for name, load := range map[string]func() uint64{
		"mimosashore_control_bytes_total{direction=\"sent\"}":            s.BytesSent.Load,
		"mimosashore_control_bytes_total{direction=\"received\"}":        s.BytesReceived.Load,
		"mimosashore_control_dropped_total{queue=\"datagrams\"}":         s.DatagramsDropped.Load,
		"mimosashore_control_dropped_total{queue=\"messages\"}":          s.MessagesDropped.Load,
		"mimosashore_control_bad_messages_total{transport=\"datagram\"}": s.BadDatagrams.Load,
		"mimosashore_control_bad_messages_total{transport=\"link\"}":     s.BadMessages.Load,
		"mimosashore_link_redials_total":                                 s.Redials.Load,
	} {
		p.metricSet.NewGauge(name, func() float64 { return float64(load()) })
	}
}

func boolToFloat(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

func (p *Plane) logMember(r *member.Record) {
	p.memberLog.Info(r.Event, zap.String("host", r.Host), zap.Stringer("state", r.State), zap.String("why", r.Reason))
}

func (p *Plane) logSpread(r *spread.Record) {
	write := p.spreadLog.Info
	if r.Warn {
		write = p.spreadLog.Warn
	}
	source := "store"
	if r.Source != 0 {
		source = fmt.Sprintf("%x", uint64(r.Source))
	}
	write(r.Event, zap.String("document", r.Document), zap.Uint64("revision", r.Revision),
		zap.Uint64("held", r.Held), zap.Uint64("era", r.Era), zap.String("source", source), zap.String("why", r.Reason))
}
