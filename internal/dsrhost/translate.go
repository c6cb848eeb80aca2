package dsrhost

import (
	"strings"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

// translator converts items of the store to changes of the directory, using the
// platform's layout.
type translator struct {
	layout Layout
	log    logging.Logger
	stats  *stats
}

// filterEvents returns the events of registrations and of the configuration. It
// reuses the slice.
func (t *translator) filterEvents(events []store.Event) []store.Event {
	out := events[:0]
	for i := range events {
		if key := events[i].Entry.Key; key == t.layout.ConfigurationKey || strings.HasPrefix(key, t.layout.UpstreamPrefix) {
			out = append(out, events[i])
		}
	}
	return out
}

// change converts an update to a change of the directory. Malformed items are
// logged, counted and left out.
func (t *translator) change(u replica.Update) *directory.Change {
	ch := &directory.Change{Full: u.Full, Revision: u.AtRevision}
	for i := range u.Events {
		e := &u.Events[i]
		switch {
		case e.Entry.Key == t.layout.ConfigurationKey:
			t.addConfiguration(ch, e)
		case e.Deleted:
			ch.Removed = append(ch.Removed, directory.Removal{Key: e.Entry.Key, Revision: e.Entry.Modified})
		default:
			t.addRegistration(ch, &e.Entry)
		}
	}
	return ch
}

func (t *translator) addConfiguration(ch *directory.Change, e *store.Event) {
	if e.Deleted {
		t.stats.malformedItems.Inc()
		t.log.Warn("configuration deleted from store; the last one stays in force", zap.Uint64("revision", uint64(e.Entry.Modified)))
		return
	}
	c, problems := t.layout.DecodeConfiguration(e.Entry.Value, e.Entry.Modified)
	for _, p := range problems {
		t.stats.malformedItems.Inc()
		t.log.Warn("configuration has a part that can't be read", zap.Uint64("revision", uint64(e.Entry.Modified)), zap.Error(p))
	}
	if c != nil {
		ch.Configuration = c
	}
}

func (t *translator) addRegistration(ch *directory.Change, e *store.Entry) {
	u, err := t.layout.DecodeUpstream(e.Key, e.Value, e.Modified)
	if err != nil {
		t.stats.malformedItems.Inc()
		t.log.Warn("registration is not used", zap.Uint64("revision", uint64(e.Modified)), zap.Error(err))
		ch.Removed = append(ch.Removed, directory.Removal{Key: e.Key, Revision: e.Modified, Malformed: true})
		return
	}
	ch.Upstreams = append(ch.Upstreams, u)
}
