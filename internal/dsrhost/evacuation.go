package dsrhost

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/store"
)

// maxRefusedEntries bounds the entries whose refusal is remembered. Above it, a refusal may be logged
// again with the next full read.
const maxRefusedEntries = 1024

// refusedEntries remembers the entries that were logged as refused. An entry comes with each full read
// and each snapshot of another host, and is logged once. It is safe for concurrent use.
type refusedEntries struct {
	mu sync.Mutex
	at map[string]store.Position
}

// isNew reports whether the entry was not remembered, and remembers it.
func (r *refusedEntries) isNew(key string, at store.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.at[key]; ok && known == at {
		return false
	}
	if r.at == nil || len(r.at) >= maxRefusedEntries {
		r.at = make(map[string]store.Position)
	}
	r.at[key] = at
	return true
}

// isEvacuation reports whether the key is that of an evacuation.
func (l *Layout) isEvacuation(key string) bool {
	return l.EvacuationPrefix != "" && strings.HasPrefix(key, l.EvacuationPrefix)
}

// readsEvacuations reports whether the key is that of an evacuation and evacuations are read.
func (t *translator) readsEvacuations(key string) bool {
	return t.evacuations && t.layout.isEvacuation(key)
}

// dropOversizedEvacuation drops the content of an evacuation that is too large to be decoded.
func (t *translator) dropOversizedEvacuation(e *store.Entry) {
	if len(e.Value) <= t.layout.MaxEvacuation {
		return
	}
	t.refuseEvacuation(e, eris.Errorf("%d bytes exceed the limit of %d", len(e.Value), t.layout.MaxEvacuation))
	e.Value = nil
}

// refuseEvacuation logs and counts an entry that changes nothing, once.
func (t *translator) refuseEvacuation(e *store.Entry, cause error) {
	if t.refused.isNew(e.Key, e.Position()) {
		t.stats.malformedItems.Inc()
		t.log.Warn("evacuation is not used", positionFields(e.Position(), zap.String("key", e.Key), zap.Error(cause))...)
	}
}

// addEvacuation adds an evacuation to a change. Without a zone, or if evacuations are not read, it is
// left out.
func (t *translator) addEvacuation(ch *directory.Change, e *store.Event) {
	if !t.evacuations {
		return
	}
	zone := strings.TrimPrefix(e.Entry.Key, t.layout.EvacuationPrefix)
	if zone == "" {
		if !e.Deleted {
			t.refuseEvacuation(&e.Entry, eris.New("key names no zone"))
		}
		return
	}
	out := directory.Evacuation{Key: e.Entry.Key, Zone: zone, Era: e.Entry.Era, Revision: e.Entry.Modified}
	if e.Deleted {
		out.State = directory.EvacuationEnded
	} else if err := t.layout.DecodeEvacuation(e.Entry.Value); err != nil {
		t.refuseEvacuation(&e.Entry, err)
		out.State = directory.EvacuationUnreadable
	}
	ch.Evacuations = append(ch.Evacuations, out)
}

// resolveEvacuation returns the later of two entries of different eras, unless only the earlier one can
// be decoded: hosts err on the side of sending nothing to the zone.
func (t *translator) resolveEvacuation(earlier, later store.Entry) store.Entry {
	if t.layout.DecodeEvacuation(later.Value) != nil && t.layout.DecodeEvacuation(earlier.Value) == nil {
		return earlier
	}
	return later
}

// EndsByRemoval implements replica.Policy.
func (t *translator) EndsByRemoval(key string) bool { return t.layout.isEvacuation(key) }

// evacuationGauges are the gauges of evacuated zones, and of services without another zone.
type evacuationGauges struct {
	zones, services atomic.Int64
}

// registerEvacuations registers the gauges of evacuations.
func (s *stats) registerEvacuations() {
	s.set.NewGauge("mimosashore_dsr_evacuated_zones", func() float64 { return float64(s.evacuations.zones.Load()) })
	s.set.NewGauge("mimosashore_dsr_evacuated_services", func() float64 { return float64(s.evacuations.services.Load()) })
}

// update copies the gauges from the core.
func (g *evacuationGauges) update(c *dsr.Core) {
	zones, services := c.EvacuatedZones()
	g.zones.Store(int64(zones))
	g.services.Store(int64(services))
}
