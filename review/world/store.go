package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store as it is encoded.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`

	at time.Time
}

// storeDelay is the time of an answer; rangePage the number of items of a page, rangeBytes that of
// bytes of values after which a page ends.
const (
	storeDelay = 4 * time.Millisecond
	rangePage  = 50
	rangeBytes = 1 << 20
)

// store stands in for the platform's metadata store. It is linearizable, loses nothing and keeps its
// whole history, or that of historyFor if that is not zero.
type store struct {
	historyFor time.Duration
	listener   net.Listener
	server     *http.Server

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// forgotten is the revision up to which the history is discarded.
	forgotten uint64
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, items: make(map[string]item), revision: 1, changed: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.server.Serve(l)
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put writes a value and returns when the write was confirmed.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(item{Key: key, Value: b})
	return time.Now()
}

// holds reports whether the store has a value under a key.
func (s *store) holds(key string, value any) bool {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Equal(s.items[key].Value, b)
}

func (s *store) remove(key string) { s.write(item{Key: key, Removed: true}) }

// write makes changes in one transaction.
func (s *store) write(changes ...item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, e := range changes {
		e.Revision, e.at = s.revision, time.Now()
		if e.Removed {
			delete(s.items, e.Key)
		} else {
			s.items[e.Key] = e
		}
		s.history = append(s.history, e)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /kv-key":
		s.mu.Lock()
		e, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, map[string]any{"key": e.Key, "value": e.Value, "revision": e.Revision, "createRevision": e.Revision, "lease": 0, "asOf": at})
	case "GET /kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case "GET /kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client is gone.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for size := 0; len(items) < min(len(keys), rangePage) && size < rangeBytes; {
		e := s.items[keys[len(items)]]
		items = append(items, e)
		size += len(e.Value)
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, map[string]any{"items": items, "hasMore": len(keys) > len(items), "asOf": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		if after < s.forget() {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			answer(w, map[string]any{"events": events, "asOf": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// forget discards history that is older than historyFor and returns the revision up to which it is
// discarded. The caller holds the lock.
func (s *store) forget() uint64 {
	n := 0
	for s.historyFor != 0 && n < len(s.history) && time.Since(s.history[n].at) > s.historyFor {
		s.forgotten = s.history[n].Revision
		n++
	}
	s.history = s.history[n:]
	return s.forgotten
}
