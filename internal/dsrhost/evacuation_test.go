package dsrhost

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/store"
)

// evacuationsOf returns the zones of a change's evacuations, with "-" in front of those that ended and
// "?" of those that can't be read.
func evacuationsOf(ch *directory.Change) (out []string) {
	for _, e := range ch.Evacuations {
		out = append(out, []string{"", "-", "?"}[e.State]+e.Zone)
	}
	return out
}

// Guards against evacuations that are missing in a full read or a watch, entries that can't be read
// and change something or are logged with each read, and an evacuation that a restore takes back.
func TestFeedReadsEvacuations(t *testing.T) {
	large := entry("evacuate/c", strings.Repeat(" ", testLayout.MaxEvacuation)+"{}", 7)
	s := &scriptedStore{
		pages:       []store.Page{{At: 20}},
		config:      entry("config", "7", 3),
		evacuations: store.Page{At: 20, Entries: []store.Entry{entry("evacuate/", "{}", 4), entry("evacuate/a", "{}", 5), entry("evacuate/b", "[]", 6), large}},
		watches: []watchAnswer{
			{at: 22, events: []store.Event{{Entry: entry("evacuate/a", "", 21), Deleted: true}, {Entry: entry("evacuate/d", "{}", 22)}}},
			{err: &store.Error{Fault: store.FaultCompacted}},
			{err: &store.Error{Fault: store.FaultRestored}},
		},
	}
	core, logs := observer.New(zap.WarnLevel)
	f, events := startFeed(t, s, true, zap.New(core))
	require.Equal(t, []string{"a", "?b", "?c"}, evacuationsOf((<-events).change))
	s.mu.Lock()
	s.pages, s.evacuations.Entries = []store.Page{{At: 23}}, append(s.evacuations.Entries[2:], entry("evacuate/d", "{}", 22))
	s.mu.Unlock()
	require.Equal(t, []string{"-a", "d"}, evacuationsOf((<-events).change))
	require.Equal(t, []string{"?b", "?c", "d"}, evacuationsOf((<-events).change), "the full read after a compaction")
	s.mu.Lock()
	s.pages, s.evacuations, s.config = []store.Page{{At: 20, Era: 1}}, store.Page{At: 20, Era: 1}, inEra(s.config, 1)
	s.mu.Unlock()
	last := (<-events).change
	require.Contains(t, evacuationsOf(last), "d", "the store lost it in the restore")
	require.Equal(t, 3, logs.FilterMessage("directory: evacuation is not used").Len(), "one for each entry: %v", logs.All())
	for _, e := range f.replica.Snapshot().Events {
		require.LessOrEqual(t, len(e.Entry.Value), testLayout.MaxEvacuation)
	}
}

// Guards against another call of the store, or another directory, without the bound in the settings;
// also if a followed host has evacuations.
func TestFeedWithoutEvacuations(t *testing.T) {
	s := &scriptedStore{
		pages: []store.Page{{At: 20}}, config: entry("config", "7", 3), evacuations: store.Page{At: 20, Entries: []store.Entry{entry("evacuate/a", "{}", 5)}},
		watches: []watchAnswer{{at: 21, events: []store.Event{{Entry: entry("evacuate/b", "{}", 21)}}}},
	}
	f, events := runFeed(t, s)
	require.Empty(t, (<-events).change.Evacuations)
	require.Equal(t, feedAnswered, (<-events).kind)
	s.mu.Lock()
	require.Zero(t, s.evacuationLists)
	s.mu.Unlock()
	ch := f.translator.change(f.replica.Snapshot())
	f.translator.addEvacuation(ch, &store.Event{Entry: entry("evacuate/b", "{}", 21)})
	require.Empty(t, ch.Evacuations)
}

// Guards against a restored store whose entry can't be read and puts the zone back in use.
func TestResolveKeepsReadableEvacuation(t *testing.T) {
	tr := &translator{layout: testLayout}
	good, other, bad := inEra(entry("evacuate/a", "{}", 9), 1), inEra(entry("evacuate/a", `{"x":1}`, 5), 2), inEra(entry("evacuate/a", "7", 6), 2)
	require.Equal(t, good, tr.Resolve(good, bad))
	require.Equal(t, other, tr.Resolve(good, other))
	require.False(t, tr.Expires(good.Key))
	require.True(t, tr.EndsByRemoval(good.Key))
}
