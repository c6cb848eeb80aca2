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

// Faults are the failures in force.
type Faults struct {
	// Down closes each connection without an answer, waiting watches included.
	Down bool `json:"down"`
	// Delay holds back each call.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is the number of writes whose answers are lost after the
	// write has taken effect.
	LoseAnswers int `json:"lose_answers"`
	// StaleReads serves reads and lists as the store was when this was switched on.
	StaleReads bool `json:"old_reads"`
	// SilentWatch lets watches wait without ever telling of a write.
	SilentWatch bool `json:"silent_watch"`
}

// oldPage is the number of entries in one page while the old state is copied.
const oldPage = 1000

type faultState struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed when the faults change, so that waiting watches end.
	changed chan struct{}
	old     map[string]store.Entry
	oldKeys []string
	oldAt   store.Revision
}

// Faults returns the failures in force.
func (p *Platform) Faults() Faults {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	return p.faults.faults
}

// SetFaults replaces the failures in force.
func (p *Platform) SetFaults(ctx context.Context, f Faults) error {
	state := &p.faults
	state.mu.Lock()
	defer state.mu.Unlock()
	if f.StaleReads && !state.faults.StaleReads {
		if err := state.copyStore(ctx, p.store); err != nil {
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

func (s *faultState) copyStore(ctx context.Context, from store.Store) error {
	s.old, s.oldKeys = make(map[string]store.Entry), nil
	after := ""
	for {
		page, err := from.List(ctx, "", after, oldPage)
		if err != nil {
			return err
		}
		s.oldAt = page.At
		for _, e := range page.Entries {
			s.old[e.Key] = e
			s.oldKeys = append(s.oldKeys, e.Key)
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

// takeLostAnswer reports whether the answer of this write is to be lost.
func (s *faultState) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// withFaults applies the failures of the connection: down, slow, lost answers.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		faults := p.Faults()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		// The server notices that a client left only once the body is read.
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
		lost := isWrite(r.URL.Path) && answer.status == http.StatusOK && p.faults.takeLostAnswer()
		if lost || p.Faults().Down {
			panic(http.ErrAbortHandler)
		}
		answer.copyTo(w)
	})
}

// cancelWhenDown ends the call once the service goes down.
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

// faultStore applies the failures of the data: old reads and silent watches.
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
		e := state.old[key]
		e.Key = key
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
	page := store.Page{At: state.oldAt}
	for _, key := range state.oldKeys {
		if key <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		if len(page.Entries) == limit {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, state.old[key])
	}
	return page, nil
}

// Watch implements store.Store.
func (s *faultStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
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

// sleep waits and reports whether the context still holds.
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
