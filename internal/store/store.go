// Package store is the interface to the platform's key-value service: values
// of up to a megabyte, compare-and-swap, leases and watches. Each call counts
// against the rates of the service, and so does a waiting watch.
package store

import (
	"context"
	"time"
)

// MaxValue is the largest value the platform holds, in bytes.
const MaxValue = 1 << 20

// Revision counts the writes of the store; each write has its own.
type Revision uint64

// LeaseID names a lease. Zero is no lease.
type LeaseID uint64

// Entry is a key with its value. Modified is the revision of the last write of
// the key; zero means that the key doesn't exist.
type Entry struct {
	Key      string
	Value    []byte
	Modified Revision
}

// Page is a part of a listing in the order of the keys. At is the revision of
// the store that the page shows; More says that further keys follow.
type Page struct {
	Entries []Entry
	At      Revision
	More    bool
}

// Event is a write seen by a watch. A deletion has Deleted set and no value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Store is the platform's service as the system uses it. All errors are *Error.
type Store interface {
	// Get returns the entry of a key; a missing key has Modified zero.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns up to limit entries with the prefix whose keys come after the given one.
	List(ctx context.Context, prefix, after string, limit int) (Page, error)
	// CompareAndSwap writes the value if the key's last write is expect (zero:
	// the key doesn't exist). A nil value deletes the key. A lease other than
	// zero deletes the key when it lapses.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Entry, error)
	// Grant opens a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its time to live.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Watch waits for writes of keys with the prefix after the given revision
	// and returns them in order with the revision to go on from. It returns no
	// events when the wait ends without a write.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
}

// Effect says whether a failed call may have changed the store.
type Effect uint8

// The effects of a failed call.
const (
	// EffectNone means that the call changed nothing and never will.
	EffectNone Effect = iota
	// EffectUnknown means that a write may have taken effect.
	EffectUnknown
)

// Fault is the kind of a failure.
type Fault uint8

// The kinds of failures.
const (
	// FaultUnavailable means that the service gave no answer or is down.
	FaultUnavailable Fault = iota
	// FaultConflict means that the key's last write isn't the expected one.
	FaultConflict
	// FaultCompacted means that the revision to watch from is no longer kept.
	FaultCompacted
	// FaultLease means that the lease doesn't exist or has lapsed.
	FaultLease
	// FaultTooLarge means that the value is over MaxValue.
	FaultTooLarge
	// FaultRate means that the service refused the call because of its rates.
	FaultRate
)

// String returns the fault as it appears in logs.
func (f Fault) String() string {
	switch f {
	case FaultUnavailable:
		return "unavailable"
	case FaultConflict:
		return "conflict"
	case FaultCompacted:
		return "compacted"
	case FaultLease:
		return "lease lapsed"
	case FaultTooLarge:
		return "value too large"
	case FaultRate:
		return "rate limit"
	default:
		return "invalid"
	}
}

// Error is a failed call to the store.
type Error struct {
	Op     string
	Key    string
	Fault  Fault
	Effect Effect
	// Current is the entry that stands in the store after a conflict.
	Current Entry
	Cause   error
}

// Error returns the call, the key and the fault.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
