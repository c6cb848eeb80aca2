// Package faultstore wraps a store for tests and injects the failures of the
// platform's service: calls that do not reach it, responses that are lost after
// the write took effect, and writes of other clients between two calls.
package faultstore

import (
	"context"
	"strings"
	"sync"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// Mode determines how a call to the store is handled.
type Mode uint8

// The modes of handling a call.
const (
	// Pass forwards the call.
	Pass Mode = iota
	// Refuse fails the call without an effect and reports that it had none.
	Refuse
	// LoseRequest fails the call without an effect. For a write, the error reports
	// an unknown effect.
	LoseRequest
	// LoseResponse forwards the call and then fails it. For a write, the error reports
	// an unknown effect.
	LoseResponse
)

// Call describes a call before it is handled.
type Call struct {
	Op  string
	Key string
	// Number is the number of the call, starting at one.
	Number int
}

// IsWrite reports whether the call is a compare-and-swap of a key with the prefix.
func (c Call) IsWrite(prefix string) bool {
	return c.Op == "compare-and-swap" && strings.HasPrefix(c.Key, prefix)
}

// Store is a store.Store whose calls fail according to a plan.
type Store struct {
	inner store.Store
	mu    sync.Mutex
	calls int
	plan  func(Call) Mode
}

var _ store.Store = (*Store)(nil)

// New wraps a store. The plan is called before each call and chooses its mode. It
// may use the inner store to simulate other clients.
func New(inner store.Store, plan func(Call) Mode) *Store {
	return &Store{inner: inner, plan: plan}
}

// Calls returns the number of calls made so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) nextMode(op, key string) Mode {
	s.mu.Lock()
	s.calls++
	call := Call{Op: op, Key: key, Number: s.calls}
	s.mu.Unlock()
	return s.plan(call)
}

// run handles a call according to its mode.
func run[T any](s *Store, op, key string, write bool, call func() (T, error)) (T, error) {
	var zero T
	failed := &store.Error{Op: op, Key: key, Fault: store.FaultUnavailable}
	switch s.nextMode(op, key) {
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
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect store.Position, value []byte, lease store.LeaseID) (store.Entry, error) {
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

// Watch implements store.Store. A watch that fails delivers no events; the caller
// can retry it from the same revision.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Event, store.Position, error) {
	type answer struct {
		events []store.Event
		at     store.Position
	}
	a, err := run(s, "watch", prefix, false, func() (answer, error) {
		events, at, err := s.inner.Watch(ctx, prefix, after, wait)
		return answer{events, at}, err
	})
	return a.events, a.at, err
}
