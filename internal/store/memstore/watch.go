package memstore

import (
	"context"
	"strings"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// Watch returns the events after a position, or waits for the first one. It fails
// with FaultRestored if the store is in another era, and with FaultCompacted if the
// events after the revision have been discarded or the revision is later than the
// store's.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Event, store.Position, error) {
	timedOut := make(chan struct{})
	stop := s.clock.AfterFunc(wait, func() { close(timedOut) })
	defer stop()
	s.trackWatch(1)
	defer s.trackWatch(-1)
	for {
		events, at, changed, err := s.poll(prefix, after)
		if err != nil || len(events) > 0 || wait <= 0 {
			return events, at, err
		}
		select {
		case <-changed:
		case <-timedOut:
			return nil, at, nil
		case <-ctx.Done():
			return nil, after, unavailable("watch", prefix, ctx.Err())
		}
	}
}

// trackWatch records the start (1) or the end (-1) of a watch.
func (s *Store) trackWatch(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Waiting += by
	if by > 0 {
		s.stats.Watches++
	}
}

// poll returns the events after a revision, the revision to continue from and a
// channel that is closed by the next write.
func (s *Store) poll(prefix string, after store.Position) ([]store.Event, store.Position, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Era != s.era {
		return nil, after, nil, &store.Error{Op: "watch", Key: prefix, Fault: store.FaultRestored}
	}
	if after.Revision < s.compacted || after.Revision > s.revision {
		return nil, after, nil, &store.Error{Op: "watch", Key: prefix, Fault: store.FaultCompacted}
	}
	var found []store.Event
	at := store.Position{Era: s.era, Revision: s.revision}
	for _, e := range s.events[s.eventAfter(after.Revision):] {
		if !strings.HasPrefix(e.Entry.Key, prefix) {
			continue
		}
		if len(found) == MaxEvents {
			at.Revision = found[len(found)-1].Entry.Modified
			break
		}
		found = append(found, store.Event{Entry: s.copyEntry(e.Entry), Deleted: e.Deleted})
	}
	return found, at, s.changed, nil
}
