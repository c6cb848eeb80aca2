// Package store defines the interface to the platform's key-value service: values
// of up to 1 MiB, compare-and-swap, leases and watches. Each call counts against
// the rate limits of the service, including a watch that only waits.
//
// Package httpstore implements the interface over HTTP, package memstore in
// memory; package faultstore injects failures for tests.
package store

import (
	"cmp"
	"context"
	"time"
)

// MaxValue is the size limit of a value, in bytes.
const MaxValue = 1 << 20

// Revision numbers the writes of the store. Within an Era, each write has its own,
// higher than those of all earlier writes.
type Revision uint64

// Era counts how often the store was restored from a copy. The restored store lacks
// the writes since the copy and gives their revisions out again, so that revisions
// of different eras can't be compared. A store without eras always reports zero.
type Era uint64

// Position identifies a state of the store. The zero Position is before all writes.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare orders positions by era, then by revision. A later position is not a later
// state of every key if the eras differ: a restore takes keys back.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool { return p == Position{} }

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Entry is a key with its value. Modified is the revision of the last write to the
// key, or zero if the key does not exist. Era is the era in which the entry was read.
type Entry struct {
	Key      string
	Value    []byte
	Modified Revision
	Era      Era
}

// Position returns the position to expect in a CompareAndSwap of the key: that of the
// last write as read, or zero if the key does not exist.
func (e Entry) Position() Position {
	if e.Modified == 0 {
		return Position{}
	}
	return Position{Era: e.Era, Revision: e.Modified}
}

// Page is a page of a listing, sorted by key. At is the revision of the store at
// which the page was read, in the era Era. More is set if further keys follow.
type Page struct {
	Entries []Entry
	At      Revision
	Era     Era
	More    bool
}

// Position returns the position of the store at which the page was read.
func (p Page) Position() Position { return Position{Era: p.Era, Revision: p.At} }

// Event is a write delivered by a watch. Deleted is set for a deletion, whose
// entry has no value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Store is the client interface of the platform's key-value service. All errors
// are of type *Error.
type Store interface {
	// Get returns the entry of a key. If the key does not exist, Modified is zero.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns up to limit entries whose keys have the prefix and are greater
	// than after, sorted by key.
	List(ctx context.Context, prefix, after string, limit int) (Page, error)
	// CompareAndSwap writes the value if the last write to the key has the position
	// expect; zero means that the key does not exist. Otherwise, also if the store was
	// restored since, it fails with FaultConflict. A nil value deletes the key. If lease
	// is not zero, the key is deleted when the lease expires.
	CompareAndSwap(ctx context.Context, key string, expect Position, value []byte, lease LeaseID) (Entry, error)
	// Grant creates a lease that expires after the time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its time to live, counted from now.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Watch returns the writes after the given position to keys with the prefix, in
	// order, and the position to continue from. If there are none yet, it waits for
	// the first one, and returns no events if none arrives within wait. It fails with
	// FaultRestored if the store is no longer in the era of the given position.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Event, Position, error)
}

// Effect is the possible effect of a failed call on the store.
type Effect uint8

// Effects of failed calls.
const (
	// EffectNone means that the call has not changed the store and will not.
	EffectNone Effect = iota
	// EffectUnknown means that it is unknown whether the call has changed the
	// store.
	EffectUnknown
)

// Fault is the cause of a failed call.
type Fault uint8

// Causes of failed calls.
const (
	// FaultUnavailable means that the service is down or did not answer.
	FaultUnavailable Fault = iota
	// FaultConflict means that the last write to the key is not the expected one.
	FaultConflict
	// FaultCompacted means that the events after the revision to watch from are no
	// longer available.
	FaultCompacted
	// FaultRestored means that the store was restored from a copy since the position
	// that the call refers to, or while the call was made.
	FaultRestored
	// FaultLease means that the lease does not exist or has expired.
	FaultLease
	// FaultTooLarge means that the value exceeds MaxValue, or that the answer is larger than the
	// client accepts; the same call then fails again.
	FaultTooLarge
	// FaultRate means that the service rejected the call because of its rate limits.
	FaultRate
)

// String returns the fault as used in logs.
func (f Fault) String() string {
	switch f {
	case FaultUnavailable:
		return "unavailable"
	case FaultConflict:
		return "conflict"
	case FaultCompacted:
		return "compacted"
	case FaultRestored:
		return "restored from a copy"
	case FaultLease:
		return "lease expired"
	case FaultTooLarge:
		return "value too large"
	case FaultRate:
		return "rate limit"
	default:
		return "invalid"
	}
}

// Error is the error of a failed store call.
type Error struct {
	// Op is the name of the operation. Key is the key or prefix that it was called
	// with, if any.
	Op     string
	Key    string
	Fault  Fault
	Effect Effect
	// Current is the present entry of the key after a conflict.
	Current Entry
	Cause   error
}

// Error describes the call, the key and the fault.
func (e *Error) Error() string {
	text := "store: " + e.Op + " " + e.Key + ": " + e.Fault.String()
	if e.Effect == EffectUnknown {
		text += " (may have taken effect)"
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Cause }
