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

// pageSize is the number of items of a page; small, so that tests turn pages.
const pageSize = 3

// entry is an item of the store as it is spoken.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store is a stand-in of the platform's store.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	items    map[string]entry
	history  []entry
	revision uint64
	// forgotten is the last revision that the history no longer holds.
	forgotten uint64
	down      bool
	// deaf is set while watches are told nothing after the revision deafAt.
	deaf    bool
	deafAt  uint64
	changed chan struct{}
	calls   int
}

// NewStore starts a store on a loopback address.
func NewStore() *Store {
	s := &Store{items: make(map[string]entry), revision: 1, changed: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.server.Listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	s.SetDown(true)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetDown makes the store refuse all calls, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SuspendWatches makes watches hear nothing of what is written from now on.
func (s *Store) SuspendWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf, s.deafAt = true, s.revision
}

// Compact drops the history, as a compaction does, and ends a mute.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten, s.deaf = nil, s.revision, false
	s.wake()
}

// told returns the revision up to which watches are told. The lock is held.
func (s *Store) told() uint64 {
	if s.deaf {
		return s.deafAt
	}
	return s.revision
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a value as JSON.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutBytes(key, b)
}

// PutBytes writes a value.
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
	s.wake()
}

func (s *Store) wake() {
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
		s.answer(w, map[string]any{"key": e.Key, "value": e.Value, "revision": e.Revision, "asOf": s.revision})
	case "/kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case "/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller is gone.
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
	s.answer(w, map[string]any{"items": items, "hasMore": more, "asOf": s.revision})
}

// watch is called with the lock held and gives it up while it waits.
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
		if after < s.forgotten {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []entry{}
		for _, e := range s.history {
			if e.Revision > after && e.Revision <= s.told() && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		if len(events) > 0 {
			s.answer(w, map[string]any{"events": events, "asOf": max(after, s.told())})
			return
		}
		changed, late := s.changed, false
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			late = true
		case <-r.Context().Done():
			late = true
		}
		s.mu.Lock()
		if s.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if late {
			s.answer(w, map[string]any{"events": events, "asOf": max(after, s.told())})
			return
		}
	}
}
