// Package faultstore wraps a store with the failures of the platform's
// service, for tests: calls that never arrive, answers that are lost after the
// write took effect, and work that happens between two calls.
package faultstore

import (
	"context"
	"strings"
	"sync"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// Mode is what happens to a call.
type Mode uint8

// The modes of a call.
const (
	// Pass hands the call on.
	Pass Mode = iota
	// Refuse fails the call without an effect.
	Refuse
	// LoseRequest fails the call without an effect, but the caller can't tell.
	LoseRequest
	// LoseResponse carries the call out and then fails it.
	LoseResponse
)

// Call describes a call before it is carried out.
type Call struct {
	Op  string
	Key string
	// Number counts the calls of the store from one.
	Number int
}

// IsWrite reports whether the call is a compare-and-swap of a key with the prefix.
func (c Call) IsWrite(prefix string) bool {
	return c.Op == "compare-and-swap" && strings.HasPrefix(c.Key, prefix)
}

// Store is a store whose calls fail as Plan says.
type Store struct {
	inner store.Store
	mu    sync.Mutex
	calls int
	plan  func(Call) Mode
}

var _ store.Store = (*Store)(nil)

// New wraps a store. The plan is asked before each call and may call the inner
// store, as another client would.
func New(inner store.Store, plan func(Call) Mode) *Store {
	return &Store{inner: inner, plan: plan}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) before(op, key string) Mode {
	s.mu.Lock()
	s.calls++
	call := Call{Op: op, Key: key, Number: s.calls}
	s.mu.Unlock()
	return s.plan(call)
}

// run carries out a call as its mode says.
func run[T any](s *Store, op, key string, write bool, call func() (T, error)) (T, error) {
	var zero T
	failed := &store.Error{Op: op, Key: key, Fault: store.FaultUnavailable}
	switch s.before(op, key) {
	case Refuse:
		return zero, failed
	case LoseRequest:
		failed.Effect = effectOf(write)
		return zero, failed
	case LoseResponse:
		if _, err := call(); err != nil {
			return zero, err
		}
		failed.Effect = effectOf(write)
		return zero, failed
	default:
		return call()
	}
}

func effectOf(write bool) store.Effect {
	if write {
		return store.EffectUnknown
	}
	return store.EffectNone
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	return run(s, "get", key, false, func() (store.Entry, error) { return s.inner.Get(ctx, key) })
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	return run(s, "list", prefix, false, func() (store.Page, error) { return s.inner.List(ctx, prefix, after, limit) })
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Entry, error) {
	return run(s, "compare-and-swap", key, true, func() (store.Entry, error) {
		return s.inner.CompareAndSwap(ctx, key, expect, value, lease)
	})
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return run(s, "grant", "", true, func() (store.LeaseID, error) { return s.inner.Grant(ctx, ttl) })
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	_, err := run(s, "keep-alive", "", true, func() (struct{}, error) { return struct{}{}, s.inner.KeepAlive(ctx, lease) })
	return err
}

// Watch implements store.Store. It never loses events that were answered.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	type answer struct {
		events []store.Event
		at     store.Revision
	}
	a, err := run(s, "watch", prefix, false, func() (answer, error) {
		events, at, err := s.inner.Watch(ctx, prefix, after, wait)
		return answer{events, at}, err
	})
	return a.events, a.at, err
}
