package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or an event of a watch.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"createRevision,omitempty"`
	Lease          uint64 `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

const (
	pageItems = 500
	pageBytes = 1 << 20
	// storeDelay is the time of an answer.
	storeDelay = 4 * time.Millisecond
)

// store is the platform's store. Backends and the operator write to it by calls of its methods, whose return is the
// confirmation.
type store struct {
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  uint64
	compacted uint64
	changed   chan struct{}
}

func newStore(addr netip.AddrPort) (*store, error) {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, items: make(map[string]item), revision: 100, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s, nil
}

// put writes a value and returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.putBytes(key, b)
}

func (s *store) putBytes(key string, b []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRevision
	}
	it := item{Key: key, Value: b, Revision: s.revision, CreateRevision: created}
	s.items[key] = it
	s.history = append(s.history, it)
	s.notify()
	return time.Now()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{it, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page, size := []item{}, 0
	for _, k := range keys {
		if len(page) == pageItems || len(page) > 0 && size+len(s.items[k].Value) > pageBytes {
			break
		}
		size += len(s.items[k].Value)
		page = append(page, s.items[k])
	}
	reply(w, map[string]any{"items": page, "hasMore": len(page) < len(keys), "asOf": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil || wait < 0 || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(storeDelay)
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, asOf, changed := []item{}, s.revision, s.changed
		for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after }); i < len(s.history); i++ {
			if strings.HasPrefix(s.history[i].Key, q.Get("prefix")) {
				events = append(events, s.history[i])
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}
