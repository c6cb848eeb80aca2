package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"mimosashore.example/mimosashore/internal/store"
	"mimosashore.example/mimosashore/internal/store/httpstore"
)

// Faults are the injected faults.
type Faults struct {
	// Down closes each connection without a response, also those of blocked watches.
	Down bool `json:"down"`
	// Delay is added to each call.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is the number of writes that are applied, but whose responses
	// are lost.
	LoseAnswers int `json:"lose_answers"`
	// StaleReads serves reads and lists from a copy of the store made when the fault is
	// switched on.
	StaleReads bool `json:"old_reads"`
	// SilentWatch makes watches return no events.
	SilentWatch bool `json:"silent_watch"`
}

// copyPageSize is the number of entries per page when the store is copied.
const copyPageSize = 1000

type faultState struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed when the faults change, so that blocked watches end.
	changed       chan struct{}
	stale         map[string]store.Entry
	staleKeys     []string
	staleRevision store.Revision
	staleEra      store.Era
}

// Faults returns the injected faults.
func (p *Platform) Faults() Faults {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	return p.faults.faults
}

// SetFaults replaces the injected faults. It fails if the store can't be copied for
// stale reads.
func (p *Platform) SetFaults(ctx context.Context, f Faults) error {
	state := &p.faults
	state.mu.Lock()
	defer state.mu.Unlock()
	if f.StaleReads && !state.faults.StaleReads {
		if err := state.copyEntries(ctx, p.store); err != nil {
			return err
		}
	}
	state.faults = f
	if state.changed != nil {
		close(state.changed)
	}
	state.changed = make(chan struct{})
	return nil
}

func (s *faultState) copyEntries(ctx context.Context, from store.Store) error {
	s.stale, s.staleKeys = make(map[string]store.Entry), nil
	after := ""
	for {
		page, err := from.List(ctx, "", after, copyPageSize)
		if err != nil {
			return err
		}
		s.staleRevision, s.staleEra = page.At, page.Era
		for _, e := range page.Entries {
			s.stale[e.Key] = e
			s.staleKeys = append(s.staleKeys, e.Key)
			after = e.Key
		}
		if !page.More {
			return nil
		}
	}
}

// watchChange returns a channel that is closed when the faults change.
func (s *faultState) watchChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// consumeLostAnswer reports whether the response of a write is to be lost, and
// decrements the number of lost responses.
func (s *faultState) consumeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// withFaults injects the faults of the connection: down, delay and lost responses.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		faults := p.Faults()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		// The server detects a client's disconnect only once the body has been read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !sleep(ctx, faults.Delay) {
			return
		}
		done := p.counters.begin(kindOf(r.URL.Path), time.Now())
		defer done()
		go p.cancelWhenDown(ctx, cancel)
		answer := newBufferedWriter()
		next.ServeHTTP(answer, r.WithContext(ctx))
		lost := isWrite(r.URL.Path) && answer.status == http.StatusOK && p.faults.consumeLostAnswer()
		if lost || p.Faults().Down {
			panic(http.ErrAbortHandler)
		}
		answer.copyTo(w)
	})
}

// cancelWhenDown cancels a call once Faults.Down is set.
func (p *Platform) cancelWhenDown(ctx context.Context, cancel context.CancelFunc) {
	for {
		changed := p.faults.watchChange()
		if p.Faults().Down {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func isWrite(path string) bool {
	return path == httpstore.PathCompareAndSwap || path == httpstore.PathGrant || path == httpstore.PathKeepAlive
}

// faultStore injects the faults of the data: stale reads and silent watches.
type faultStore struct {
	store.Store
	platform *Platform
}

// Get implements store.Store.
func (s *faultStore) Get(ctx context.Context, key string) (store.Entry, error) {
	state := &s.platform.faults
	state.mu.Lock()
	if state.faults.StaleReads {
		defer state.mu.Unlock()
		e := state.stale[key]
		e.Key, e.Era = key, state.staleEra
		return e, nil
	}
	state.mu.Unlock()
	return s.Store.Get(ctx, key)
}

// List implements store.Store.
func (s *faultStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	state := &s.platform.faults
	state.mu.Lock()
	if !state.faults.StaleReads {
		state.mu.Unlock()
		return s.Store.List(ctx, prefix, after, limit)
	}
	defer state.mu.Unlock()
	page := store.Page{At: state.staleRevision, Era: state.staleEra}
	for _, key := range state.staleKeys {
		if key <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		if len(page.Entries) == limit {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, state.stale[key])
	}
	return page, nil
}

// Watch implements store.Store.
func (s *faultStore) Watch(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Event, store.Position, error) {
	if s.platform.Faults().SilentWatch {
		sleep(ctx, wait)
		return nil, after, nil
	}
	events, next, err := s.Store.Watch(ctx, prefix, after, wait)
	if err == nil && s.platform.Faults().SilentWatch {
		return nil, after, nil
	}
	return events, next, err
}

// sleep waits for d and returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
