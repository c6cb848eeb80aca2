package memstore

import (
	"context"
	"maps"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := ctx.Err(); err != nil {
		return 0, unavailable("grant", "", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	s.lastID++
	id := s.lastID
	s.leases[id] = &lease{ttl: ttl, keys: make(map[string]struct{})}
	s.extend(id)
	return id, nil
}

// KeepAlive extends a lease that has not expired.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := ctx.Err(); err != nil {
		return unavailable("keep-alive", "", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	s.expire()
	if s.leases[id] == nil {
		return &store.Error{Op: "keep-alive", Fault: store.FaultLease}
	}
	s.extend(id)
	return nil
}

// extend sets the expiry of a lease to its time to live from now.
func (s *Store) extend(id store.LeaseID) {
	l := s.leases[id]
	if l.stop != nil {
		l.stop()
	}
	l.expiresAt = s.clock.Now().Add(l.ttl)
	l.stop = s.clock.AfterFunc(l.ttl, s.expireOnTimer)
}

// expireOnTimer is called by the timer of a lease.
func (s *Store) expireOnTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

// expire ends all leases that have expired.
func (s *Store) expire() {
	now := s.clock.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[id]
		if l.expiresAt.After(now) {
			continue
		}
		s.endLease(id)
	}
}

// endLease removes a lease and deletes its keys.
func (s *Store) endLease(id store.LeaseID) {
	l := s.leases[id]
	l.stop()
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.remove(key)
	}
	delete(s.leases, id)
}

// ExpireLease ends a lease immediately, as if its holder had been paused for
// longer than the time to live. It reports whether the lease existed.
func (s *Store) ExpireLease(id store.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return false
	}
	s.endLease(id)
	return true
}
