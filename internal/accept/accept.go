// Package accept puts changes of the configuration into the platform's store
// by compare-and-swap. A change has an id, so that a lost answer is resolved
// by reading, and a proposal that is computed anew from whatever stands in the
// store, so that a race neither loses nor mixes an update.
//
// Keys of the store:
//
//	account/<name>, zone/<name>, keys    the documents in force
//	history/<document>/<revision>        earlier revisions of a document
//	merged/<document>/<change id>        declarations of a merged acceptance
//	claim/<address>                      which document uses an address
//	counter                              the last number that was given out
//
// No step holds a lease: every write is guarded by the last write of its key,
// so an operator's tool that is paused for any time can't overwrite anything.
package accept

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/change"
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/store"
)

// Limits of an acceptance.
const (
	// maxAttempts is the number of times a change is computed and written.
	maxAttempts = 16
	// firstBackoff is the wait after the first failed call; it doubles up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// DefaultHistoryLimit is the number of earlier revisions kept of each document.
	DefaultHistoryLimit = 16
)

// Outcome says how an acceptance ended.
type Outcome uint8

// The outcomes of an acceptance without an error.
const (
	// Accepted means that the document was written.
	Accepted Outcome = iota
	// AlreadyAccepted means that a change of the same id stands in the store.
	AlreadyAccepted
	// Unchanged means that the document holds the wanted content.
	Unchanged
)

// String returns the outcome as it is printed.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case AlreadyAccepted:
		return "accepted before"
	case Unchanged:
		return "unchanged"
	default:
		return "invalid"
	}
}

// Change is a change of one document.
type Change struct {
	// Name is the name of the document.
	Name string
	// ID names the change; a repetition of a change has the same id.
	ID     string
	Author string
	// Retry tells that a change of this id may have been accepted before.
	Retry bool
	// AboveRevision is a revision that the new one has to exceed, for a store that was
	// restored to an earlier state than the hosts hold. Zero is none.
	AboveRevision    uint64
	Proposal Proposal
}

// Result is a finished acceptance.
type Result struct {
	Outcome Outcome
	// Document is what stands in the store under the change, or without change.
	Document *config.Document
	// Previous is the document that the change replaced; nil for none.
	Previous *config.Document
	// Merged tells that a change of another operator was kept beside this one.
	Merged bool
}

// Acceptor accepts changes. Its fields are set once.
type Acceptor struct {
	Store store.Store
	// Now gives the time that documents are marked with.
	Now func() time.Time
	// Sleep waits before a repeated call.
	Sleep func(ctx context.Context, d time.Duration) error
	// HistoryLimit is the number of earlier revisions kept of each document.
	HistoryLimit int
}

// UnknownError means that the store didn't say whether the change took effect
// and couldn't be read afterwards.
type UnknownError struct {
	Name, ID string
	Cause    error
}

// Error returns what is not known and how to find out.
func (e *UnknownError) Error() string {
	return e.Name + ": not known whether change " + e.ID + " was accepted; repeat it with the same change id: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// RefusedError means that the change was refused and nothing was written.
type RefusedError struct {
	Name string
	Reason  string
	// Conflicts holds both values of each field that two operators changed.
	Conflicts []change.Conflict
}

// Error returns why the change was refused, one line for each clash.
func (e *RefusedError) Error() string {
	text := e.Name + ": refused: " + e.Reason
	for _, c := range e.Conflicts {
		text += "\n  " + c.String()
	}
	return text
}

// acceptance is the state of one change while it is tried.
type acceptance struct {
	*Acceptor
	change Change
	// unsure tells that an earlier attempt may have taken effect.
	unsure bool
	// numbers that were given out for this change and aren't written yet.
	numbers numberPool
}

// errAgain asks for another attempt.
var errAgain = errors.New("the document changed meanwhile")

// Accept tries a change until it is accepted, refused or the store stays away.
func (a *Acceptor) Accept(ctx context.Context, c Change) (Result, error) {
	t := &acceptance{Acceptor: a, change: c, unsure: c.Retry}
	written := false
	backoff := firstBackoff
	var last error
	for range maxAttempts {
		result, err := t.attempt(ctx)
		var failure *store.Error
		switch {
		case err == nil:
			return result, nil
		case errors.Is(err, errAgain):
			last = err
			continue
		case !errors.As(err, &failure) || !passing(failure.Fault):
			return Result{}, err
		}
		last = err
		if failure.Key == c.Name && failure.Effect == store.EffectUnknown {
			t.unsure, written = true, true
		}
		if err := a.Sleep(ctx, backoff); err != nil {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	if written {
		return Result{}, &UnknownError{Name: c.Name, ID: c.ID, Cause: last}
	}
	return Result{}, eris.Wrapf(last, "%s: not accepted, nothing changed", c.Name)
}

// passing reports whether a failed call may go well later.
func passing(f store.Fault) bool {
	return f == store.FaultUnavailable || f == store.FaultRate
}
