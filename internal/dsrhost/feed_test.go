package dsrhost

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedStore answers calls with prepared results. A watch without one blocks.
type scriptedStore struct {
	store.Store
	mu      sync.Mutex
	pages   []store.Page
	config  store.Entry
	watches []watchAnswer
	after   []store.Position
	lists   int
	// position and positionErr are the result of reads of the store's position, positions is their
	// number.
	position    store.Page
	positionErr error
	positions   int
	// evacuations is the page of evacuations, evacuationLists the number of its reads.
	evacuations     store.Page
	evacuationLists int
}

// watchAnswer is the prepared result of a watch.
type watchAnswer struct {
	events []store.Event
	at     store.Revision
	era    store.Era
	err    error
}

func (s *scriptedStore) Get(context.Context, string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, nil
}

func (s *scriptedStore) List(_ context.Context, prefix, after string, _ int) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prefix == testLayout.ConfigurationKey {
		s.positions++
		return s.position, s.positionErr
	}
	if prefix == testLayout.EvacuationPrefix {
		s.evacuationLists++
		return s.evacuations, nil
	}
	if after == "" {
		s.lists++
	}
	for i, p := range s.pages {
		if after == "" && i == 0 || i > 0 && s.pages[i-1].Entries[len(s.pages[i-1].Entries)-1].Key == after {
			return p, nil
		}
	}
	return store.Page{}, nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after store.Position, _ time.Duration) ([]store.Event, store.Position, error) {
	s.mu.Lock()
	s.after = append(s.after, after)
	if len(s.watches) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	a := s.watches[0]
	s.watches = s.watches[1:]
	s.mu.Unlock()
	return a.events, store.Position{Era: a.era, Revision: a.at}, a.err
}

// calls returns the revision that the first watch started from and the number of full reads.
func (s *scriptedStore) calls() (first store.Revision, lists int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.after[0].Revision, s.lists
}

// testLayout decodes a registration as the name of its service and a configuration as its version.
var testLayout = Layout{
	UpstreamPrefix:   "up/",
	MaxRegistration:  64,
	ConfigurationKey: "config",
	EvacuationPrefix: "evacuate/",
	MaxEvacuation:    64,
	DecodeEvacuation: func(value []byte) error { return json.Unmarshal(value, new(map[string]any)) },
	DecodeUpstream: func(key string, value []byte, revision store.Revision) (directory.Upstream, error) {
		if len(value) == 0 {
			return directory.Upstream{}, errors.New("empty")
		}
		return directory.Upstream{Key: key, Service: string(value), Revision: revision}, nil
	},
	DecodeConfiguration: func(value []byte, revision store.Revision) (*directory.Configuration, []error) {
		c := &directory.Configuration{Revision: revision}
		if err := json.Unmarshal(value, &c.Version); err != nil {
			return nil, []error{err}
		}
		return c, nil
	},
}

// runFeed runs a feed of the store until the test ends, and returns it and its events.
func runFeed(t *testing.T, s store.Store) (*feed, chan feedEvent) {
	return startFeed(t, s, false, zap.NewNop())
}

// startFeed runs a feed that reads evacuations if wanted.
func startFeed(t *testing.T, s store.Store, evacuations bool, logger *zap.Logger) (*feed, chan feedEvent) {
	f, events := newFeedOf(s, evacuations, logger)
	runUntilEnd(t, f.run)
	return f, events
}

func newFeed(s store.Store) (*feed, chan feedEvent) { return newFeedOf(s, false, zap.NewNop()) }

func newFeedOf(s store.Store, evacuations bool, logger *zap.Logger) (*feed, chan feedEvent) {
	events := make(chan feedEvent, 64)
	log := logging.ForComponent(logger, "directory")
	st := newStats(nil)
	began := time.Now()
	elapsed := func() time.Duration { return time.Since(began) }
	tr := &translator{layout: testLayout, log: log, stats: st, evacuations: evacuations}
	return &feed{
		store: s, translator: tr, replica: replica.New(tr, elapsed), log: log, elapsed: elapsed, out: events, resync: make(chan struct{}, 1), confirm: make(chan struct{}, 1), stats: st,
	}, events
}

// runUntilEnd runs functions until the test ends.
func runUntilEnd(t *testing.T, functions ...func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, run := range functions {
		tasks.Go(func() { run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
}

func entry(key, value string, revision store.Revision) store.Entry {
	return store.Entry{Key: key, Value: []byte(value), Modified: revision}
}

func upstreamKeys(ch *directory.Change) []string {
	var keys []string
	for _, u := range ch.Upstreams {
		keys = append(keys, u.Key)
	}
	return keys
}

func TestFeedListsAllPagesAndWatchesFromFirstPage(t *testing.T) {
	s := &scriptedStore{
		pages: []store.Page{
			{At: 20, More: true, Entries: []store.Entry{entry("up/a", "orders", 5)}},
			{At: 23, Entries: []store.Entry{entry("up/b", "orders", 22), entry("up/c", "", 8)}},
		},
		config:  entry("config", "7", 21),
		watches: []watchAnswer{{events: []store.Event{{Entry: entry("up/b", "orders", 22)}, {Entry: store.Entry{Key: "up/a", Modified: 24}, Deleted: true}}, at: 24}},
	}
	_, events := runFeed(t, s)
	first := <-events
	require.True(t, first.change.Full)
	require.Equal(t, []string{"up/a", "up/b"}, upstreamKeys(first.change))
	require.Equal(t, []directory.Removal{{Key: "up/c", Revision: 8, Malformed: true}}, first.change.Removed)
	require.EqualValues(t, 7, first.change.Configuration.Version)
	require.EqualValues(t, 20, first.change.Revision)
	second := <-events
	require.Equal(t, []string{"up/b"}, upstreamKeys(second.change), "the watch repeats the write made after the first page")
	require.Equal(t, []directory.Removal{{Key: "up/a", Revision: 24}}, second.change.Removed)
	from, _ := s.calls()
	require.EqualValues(t, 20, from)
}

func TestFeedResumesWatchAfterFailure(t *testing.T) {
	s := &scriptedStore{
		pages:   []store.Page{{At: 20, Entries: []store.Entry{entry("up/a", "orders", 5)}}},
		watches: []watchAnswer{{err: &store.Error{Fault: store.FaultUnavailable}}, {at: 25, events: []store.Event{{Entry: entry("up/d", "orders", 25)}}}},
	}
	_, events := runFeed(t, s)
	require.Equal(t, feedChange, (<-events).kind)
	require.Equal(t, feedFailed, (<-events).kind)
	require.Equal(t, []string{"up/d"}, upstreamKeys((<-events).change))
	_, lists := s.calls()
	require.Equal(t, 1, lists, "a second full read is not needed, and a full read costs two calls")
}

func TestFeedListsAfterCompaction(t *testing.T) {
	s := &scriptedStore{
		pages:   []store.Page{{At: 20, Entries: []store.Entry{entry("up/a", "orders", 5)}}},
		watches: []watchAnswer{{err: &store.Error{Fault: store.FaultCompacted}}},
	}
	_, events := runFeed(t, s)
	require.True(t, (<-events).change.Full)
	require.True(t, (<-events).change.Full)
	_, lists := s.calls()
	require.Equal(t, 2, lists)
}

// Guards against a watch that is repeated as long as the store keeps the history, because its answer
// is larger than the client accepts: no change arrives meanwhile.
func TestFeedListsAfterTooLargeAnswer(t *testing.T) {
	s := &scriptedStore{
		pages:   []store.Page{{At: 20, Entries: []store.Entry{entry("up/a", "orders", 5)}}},
		watches: []watchAnswer{{err: &store.Error{Op: opWatch, Fault: store.FaultTooLarge}}},
	}
	_, events := runFeed(t, s)
	require.True(t, (<-events).change.Full)
	require.True(t, (<-events).change.Full)
	_, lists := s.calls()
	require.Equal(t, 2, lists)
	_, again := fullReadReason(&store.Error{Op: opList, Fault: store.FaultTooLarge})
	require.False(t, again, "a page that is too large is retried after a pause")
}

// Guards against memory that grows with what other writers leave among the registrations, and
// against messages to other hosts that exceed their limit because of it.
func TestContentOfOversizedRegistrationIsNotKept(t *testing.T) {
	large := strings.Repeat("x", testLayout.MaxRegistration+1)
	s := &scriptedStore{
		pages:   []store.Page{{At: 20, Entries: []store.Entry{entry("up/a", large, 5), entry("up/b", large[1:], 6)}}},
		config:  entry("config", strings.Repeat(" ", 100)+"7", 3),
		watches: []watchAnswer{{events: []store.Event{{Entry: entry("up/c", large, 21)}}, at: 21}},
	}
	f, events := runFeed(t, s)
	first := (<-events).change
	require.Equal(t, []string{"up/b"}, upstreamKeys(first))
	require.Equal(t, []directory.Removal{{Key: "up/a", Revision: 5, Malformed: true}}, first.Removed)
	require.EqualValues(t, 7, first.Configuration.Version)
	require.Equal(t, []directory.Removal{{Key: "up/c", Revision: 21, Malformed: true}}, (<-events).change.Removed)
	for _, e := range f.replica.Snapshot().Events {
		require.True(t, e.Entry.Key == "config" || len(e.Entry.Value) <= testLayout.MaxRegistration, e.Entry.Key)
	}
}

func TestFeedIgnoresUnrelatedKeysAndConfigurationRemoval(t *testing.T) {
	s := &scriptedStore{
		pages: []store.Page{{At: 20}}, config: entry("config", "7", 3),
		watches: []watchAnswer{
			{at: 22, events: []store.Event{{Entry: entry("other/x", "1", 21)}, {Entry: entry("upx", "1", 22)}}},
			{at: 23, events: []store.Event{{Entry: store.Entry{Key: "config", Modified: 23}, Deleted: true}}},
		},
	}
	_, events := runFeed(t, s)
	require.EqualValues(t, 7, (<-events).change.Configuration.Version)
	require.Equal(t, feedAnswered, (<-events).kind)
	third := <-events
	require.Nil(t, third.change.Configuration)
}

func TestFeedNeedsPeersOnlyAfterFallbackDelay(t *testing.T) {
	now := time.Second
	elapsed := func() time.Duration { return now }
	f := &feed{replica: replica.New(&translator{layout: testLayout}, elapsed), elapsed: elapsed}
	require.True(t, f.needsPeers(), "no directory after startupStoreWait")
	f.replica.Apply(replica.Update{Full: true, AtRevision: 1})
	f.recordAnswer()
	require.False(t, f.needsPeers())
	f.failing.Store(true)
	require.False(t, f.needsPeers(), "a single failed call")
	now += peerFallbackDelay + time.Millisecond
	require.True(t, f.needsPeers())
	f.recordAnswer()
	require.False(t, f.needsPeers())
}

// Guards against a watch that goes on in a restored store, and against a directory of the copy that
// replaces a newer configuration or takes a registration away.
func TestFeedKeepsWhatRestoredStoreLost(t *testing.T) {
	s := &scriptedStore{
		pages:  []store.Page{{At: 20, Era: 1, Entries: []store.Entry{inEra(entry("up/a", "orders", 5), 1), inEra(entry("up/b", "orders", 20), 1)}}},
		config: inEra(entry("config", "12", 19), 1),
		watches: []watchAnswer{
			{err: &store.Error{Fault: store.FaultRestored}},
			{at: 21, era: 2, events: []store.Event{{Entry: inEra(entry("config", "15", 21), 2)}}},
		},
	}
	f, events := runFeed(t, s)
	require.EqualValues(t, 12, (<-events).change.Configuration.Version)
	// The feed pauses for retryMin before the full read.
	s.mu.Lock()
	s.pages = []store.Page{{At: 18, Era: 2, Entries: []store.Entry{inEra(entry("up/a", "orders", 5), 2)}}}
	s.config = inEra(entry("config", "9", 18), 2)
	s.mu.Unlock()
	second := (<-events).change
	require.True(t, second.Full)
	require.Equal(t, store.Position{Era: 2, Revision: 18}, second.Position())
	require.EqualValues(t, 12, second.Configuration.Version)
	require.ElementsMatch(t, []string{"up/a", "up/b"}, upstreamKeys(second))
	third := (<-events).change
	require.EqualValues(t, 15, third.Configuration.Version)
	require.Equal(t, 1, f.replica.Kept())
}

// Guards against a directory whose pages are from both sides of a restore.
func TestFeedRepeatsListingDuringRestore(t *testing.T) {
	s := &scriptedStore{
		pages: []store.Page{
			{At: 20, Era: 1, More: true, Entries: []store.Entry{inEra(entry("up/a", "orders", 5), 1)}},
			{At: 18, Era: 2, Entries: []store.Entry{inEra(entry("up/b", "orders", 6), 2)}},
		},
		config: inEra(entry("config", "7", 3), 2),
	}
	_, events := runFeed(t, s)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lists > 1
	}, 5*time.Second, time.Millisecond)
	s.mu.Lock()
	// A new page: the feed may still read the entries of the old one.
	s.pages = []store.Page{{At: 18, Era: 2, More: true, Entries: []store.Entry{inEra(entry("up/a", "orders", 5), 2)}}, s.pages[1]}
	s.mu.Unlock()
	require.ElementsMatch(t, []string{"up/a", "up/b"}, upstreamKeys((<-events).change))
}

func inEra(e store.Entry, era store.Era) store.Entry {
	e.Era = era
	return e
}

// Two registrations of one upstream are ordered by what its process says, not by the store.
func TestResolveOrdersByWriter(t *testing.T) {
	layout := testLayout
	layout.DecodeUpstream = func(key string, value []byte, _ store.Revision) (directory.Upstream, error) {
		u := directory.Upstream{Key: key}
		err := json.Unmarshal(value, &u)
		return u, err
	}
	tr := &translator{layout: layout, log: logging.ForComponent(zap.NewNop(), "directory")}
	registration := func(era store.Era, text string) store.Entry { return inEra(entry("up/a", text, 10), era) }
	for _, c := range []struct{ earlier, later, want, what string }{
		{`{"Incarnation":1,"Sequence":5}`, `{"Incarnation":2,"Sequence":1}`, "later", "restarted since"},
		{`{"Incarnation":2,"Sequence":1}`, `{"Incarnation":1,"Sequence":9}`, "earlier", "the copy has the process before"},
		{`{"Incarnation":1,"Sequence":5,"Draining":true}`, `{"Incarnation":1,"Sequence":6}`, "later", "written again"},
		{`{"Incarnation":1,"Sequence":5}`, `{"Incarnation":1,"Sequence":5}`, "later", "the same"},
		{`{"Incarnation":1,"Sequence":5,"Draining":true}`, `{"Incarnation":1,"Sequence":4}`, "mixed", "the copy has an earlier write"},
		{`{"Incarnation":1,"Sequence":5}`, `{`, "earlier", "can't be read"},
		{`{`, `{"Incarnation":1,"Sequence":5}`, "later", "could not be read before"},
	} {
		earlier, later := registration(1, c.earlier), registration(2, c.later)
		mixed := later
		mixed.Value = earlier.Value
		want := map[string]store.Entry{"earlier": earlier, "later": later, "mixed": mixed}[c.want]
		require.Equal(t, want, tr.Resolve(earlier, later), c.what)
	}
	config := func(era store.Era, version string) store.Entry {
		return inEra(entry("config", version, 10), era)
	}
	require.Equal(t, config(1, "12"), tr.Resolve(config(1, "12"), config(2, "9")))
	require.Equal(t, config(1, "12"), tr.Resolve(config(1, "12"), config(2, "{")))
	require.Equal(t, config(2, "12"), tr.Resolve(config(1, "12"), config(2, "12")))
	require.False(t, tr.Expires("config"))
	require.True(t, tr.Expires("up/a"))
}
