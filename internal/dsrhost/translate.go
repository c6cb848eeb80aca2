package dsrhost

import (
	"strings"
	"time"

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
	// evacuations is set if evacuations are read.
	evacuations bool
	refused     refusedEntries
}

// filterEvents returns the events of registrations, of the configuration and, if they are read, of
// evacuations, without the content of oversized items. It reuses the slice.
func (t *translator) filterEvents(events []store.Event) []store.Event {
	out := events[:0]
	for i := range events {
		key := events[i].Entry.Key
		if key == t.layout.ConfigurationKey || strings.HasPrefix(key, t.layout.UpstreamPrefix) || t.readsEvacuations(key) {
			t.dropOversized(&events[i].Entry)
			out = append(out, events[i])
		}
	}
	return out
}

// dropOversized drops the content of a registration that is too large to be decoded. Without
// it, the entry of another writer still counts as one that can't be read, but takes no memory
// here and no room in the messages to other hosts.
func (t *translator) dropOversized(e *store.Entry) {
	if t.readsEvacuations(e.Key) {
		t.dropOversizedEvacuation(e)
		return
	}
	if e.Key == t.layout.ConfigurationKey || len(e.Value) <= t.layout.MaxRegistration {
		return
	}
	t.log.Warn("content of oversized registration is dropped", positionFields(e.Position(), zap.String("key", e.Key), zap.Int("bytes", len(e.Value)))...)
	e.Value = nil
}

// change converts an update to a change of the directory. Malformed items are
// logged, counted and left out.
func (t *translator) change(u replica.Update) *directory.Change {
	ch := &directory.Change{Full: u.Full, Clock: time.Now().UnixMilli(), Era: u.Era, Revision: u.AtRevision}
	for i := range u.Events {
		e := &u.Events[i]
		switch {
		case e.Entry.Key == t.layout.ConfigurationKey:
			t.addConfiguration(ch, e)
		case t.layout.isEvacuation(e.Entry.Key):
			t.addEvacuation(ch, e)
		case e.Deleted:
			ch.Removed = append(ch.Removed, directory.Removal{Key: e.Entry.Key, Era: e.Entry.Era, Revision: e.Entry.Modified})
		default:
			t.addRegistration(ch, &e.Entry)
		}
	}
	return ch
}

func (t *translator) addConfiguration(ch *directory.Change, e *store.Event) {
	if e.Deleted {
		t.stats.malformedItems.Inc()
		t.log.Warn("configuration deleted from store; the last one stays in force", positionFields(e.Entry.Position())...)
		return
	}
	c, problems := t.layout.DecodeConfiguration(e.Entry.Value, e.Entry.Modified)
	for _, p := range problems {
		t.stats.malformedItems.Inc()
		t.log.Warn("configuration has a part that can't be read", positionFields(e.Entry.Position(), zap.Error(p))...)
	}
	if c != nil {
		c.Era = e.Entry.Era
		ch.Configuration = c
	}
}

func (t *translator) addRegistration(ch *directory.Change, e *store.Entry) {
	u, err := t.layout.DecodeUpstream(e.Key, e.Value, e.Modified)
	if err != nil {
		t.stats.malformedItems.Inc()
		t.log.Warn("registration is not used", positionFields(e.Position(), zap.Error(err))...)
		ch.Removed = append(ch.Removed, directory.Removal{Key: e.Key, Era: e.Era, Revision: e.Modified, Malformed: true})
		return
	}
	u.Era = e.Era
	ch.Upstreams = append(ch.Upstreams, u)
}

// Resolve implements replica.Policy. Configurations are ordered by version, registrations
// by incarnation and by the sequence within it. An item that can't be decoded is older
// than one that can.
func (t *translator) Resolve(earlier, later store.Entry) store.Entry {
	if earlier.Key == t.layout.ConfigurationKey {
		before, _ := t.layout.DecodeConfiguration(earlier.Value, earlier.Modified)
		after, _ := t.layout.DecodeConfiguration(later.Value, later.Modified)
		if before == nil || after != nil && after.Version >= before.Version {
			return later
		}
		t.log.Warn("configuration from before the restore of the store stays in force",
			positionFields(later.Position(), zap.Uint64("version", before.Version), zap.Uint64("store_version", versionOf(after)))...)
		return earlier
	}
	if t.layout.isEvacuation(earlier.Key) {
		return t.resolveEvacuation(earlier, later)
	}
	before, errBefore := t.layout.DecodeUpstream(earlier.Key, earlier.Value, earlier.Modified)
	after, errAfter := t.layout.DecodeUpstream(later.Key, later.Value, later.Modified)
	switch {
	case errBefore != nil:
		return later
	case errAfter != nil || after.Incarnation < before.Incarnation:
		return earlier
	case after.Incarnation > before.Incarnation:
		return later
	case after.Sequence < before.Sequence:
		// The store has an older entry of the same process, which is registered all the same.
		later.Value = earlier.Value
	}
	return later
}

// Expires implements replica.Policy. Upstreams write lost registrations again by themselves;
// a lost configuration or evacuation stays in force until the operators write it again.
func (t *translator) Expires(key string) bool {
	return key != t.layout.ConfigurationKey && !t.layout.isEvacuation(key)
}

func versionOf(c *directory.Configuration) uint64 {
	if c == nil {
		return 0
	}
	return c.Version
}
