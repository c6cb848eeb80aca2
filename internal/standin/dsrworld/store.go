package dsrworld

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of items in a page. It is small so that tests cover
// listings of several pages.
const pageSize = 3

// entry is an item of the store in its wire format.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store is a stand-in for the platform's store. It is safe for concurrent use.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	items    map[string]entry
	history  []entry
	revision uint64
	// compacted is the highest revision that was dropped from the history.
	compacted uint64
	down      bool
	// watchesSuspended is set while watches get no events after the revision
	// suspendedAt.
	watchesSuspended bool
	suspendedAt      uint64
	changed          chan struct{}
	calls            int
}

// NewStore starts a store on a loopback address.
func NewStore() *Store {
	s := &Store{items: make(map[string]entry), revision: 1, changed: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.server.Listener.Addr().String() }

// Close stops the store and closes its connections.
func (s *Store) Close() {
	s.SetDown(true)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetDown makes the store answer all calls with status 503, or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// SuspendWatches makes watches return no events of writes from now on.
func (s *Store) SuspendWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesSuspended, s.suspendedAt = true, s.revision
}

// Compact drops the history, as a compaction does, and makes watches return
// events again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted, s.watchesSuspended = nil, s.revision, false
	s.notifyWatches()
}

// watchRevision returns the highest revision whose events watches return. The
// caller holds the lock.
func (s *Store) watchRevision() uint64 {
	if s.watchesSuspended {
		return s.suspendedAt
	}
	return s.revision
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a value, encoded as JSON, to a key.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutBytes(key, b)
}

// PutBytes writes a value to a key.
func (s *Store) PutBytes(key string, value []byte) {
	s.write(entry{Key: key, Value: value})
}

// Remove removes a key.
func (s *Store) Remove(key string) { s.write(entry{Key: key, Removed: true}) }

func (s *Store) write(e entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e.Revision = s.revision
	if e.Removed {
		delete(s.items, e.Key)
	} else {
		s.items[e.Key] = e
	}
	s.history = append(s.history, e)
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		e, ok := s.items[query.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.writeJSON(w, map[string]any{"key": e.Key, "value": e.Value, "revision": e.Revision, "asOf": s.revision})
	case "/kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case "/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	items := []entry{}
	for _, k := range keys[:min(len(keys), pageSize)] {
		items = append(items, s.items[k])
	}
	s.writeJSON(w, map[string]any{"items": items, "hasMore": more, "asOf": s.revision})
}

// watch serves a long poll. It is called with the lock held and releases it while
// it waits.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("waitMs"))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if after < s.compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []entry{}
		for _, e := range s.history {
			if e.Revision > after && e.Revision <= s.watchRevision() && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		if len(events) > 0 {
			s.writeJSON(w, map[string]any{"events": events, "asOf": max(after, s.watchRevision())})
			return
		}
		changed, done := s.changed, false
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			done = true
		case <-r.Context().Done():
			done = true
		}
		s.mu.Lock()
		if s.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if done {
			s.writeJSON(w, map[string]any{"events": events, "asOf": max(after, s.watchRevision())})
			return
		}
	}
}
