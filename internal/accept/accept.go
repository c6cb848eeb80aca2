// Package accept writes configuration changes to the key-value store by
// compare-and-swap. Each change has an id, which the document records: if the
// response to a write is lost, the next read shows whether the change was accepted.
// Each change also has a proposal, which computes the new content from the stored
// document, again after every conflict, so that a concurrent change is never
// overwritten.
//
// Keys in the store:
//
//	account/<name>, zone/<name>, keys    the documents in force
//	history/<document>/<revision>        earlier revisions of a document
//	merged/<document>/<change id>        declarations of a merged acceptance
//	claim/<address>                      the document that uses an address
//	counter                              the last allocated id, and the era of the store
//
// No step uses a lease. Every write is conditional on the last write of its key,
// so an operator's tool can be paused for any time without overwriting a newer
// value.
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

const (
	// maxAttempts is the maximum number of attempts to write a change.
	maxAttempts = 16
	// firstBackoff is the delay after the first failed call. It doubles with each
	// further failure, up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// restoreRevisionGap is the number of revisions of a document that one era of the
	// store can use up.
	restoreRevisionGap = 1 << 20
	// DefaultHistoryLimit is the default number of earlier revisions to keep of each
	// document. Acceptor does not apply it; callers set it as HistoryLimit.
	DefaultHistoryLimit = 16
)

// Outcome is the outcome of a successful acceptance.
type Outcome uint8

// The outcomes of an acceptance.
const (
	// Accepted means that the document was written.
	Accepted Outcome = iota
	// AlreadyAccepted means that a change with the same id was accepted before.
	AlreadyAccepted
	// Unchanged means that the stored document already has the proposed content.
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

// Change is a proposed change of one document.
type Change struct {
	// Name is the name of the document.
	Name string
	// ID identifies the change. A retry of the change has the same id.
	ID string
	// Author is the operator who makes the change.
	Author string
	// Retry is set if a change with this id may have been accepted before.
	Retry bool
	// AboveRevision is a revision that the new one must exceed; zero means no such
	// bound. It is needed after a store that does not count its restores was restored to
	// an earlier revision than the hosts have.
	AboveRevision uint64
	Proposal      Proposal
}

// Result is the result of an acceptance.
type Result struct {
	Outcome Outcome
	// Document is the accepted document, or the stored document if the outcome is
	// Unchanged.
	Document *config.Document
	// Previous is the document that the change replaced, or nil.
	Previous *config.Document
	// Merged is set if the document also contains changes of another operator.
	Merged bool
}

// Acceptor accepts changes. Its fields must not be changed after the first call.
type Acceptor struct {
	Store store.Store
	// Now returns the time of acceptance.
	Now func() time.Time
	// Sleep waits for the backoff delay before a retry. It returns an error if ctx is
	// cancelled.
	Sleep func(ctx context.Context, d time.Duration) error
	// HistoryLimit is the number of earlier revisions to keep of each document.
	HistoryLimit int
}

// UnknownOutcomeError means that the response to the write of a document was lost
// and that the store could not be read afterwards, so the change may have been
// accepted.
type UnknownOutcomeError struct {
	Name, ID string
	Cause    error
}

// Error returns the message, which says how to find out the outcome.
func (e *UnknownOutcomeError) Error() string {
	return e.Name + ": not known whether change " + e.ID + " was accepted; repeat it with the same change id: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// RefusedError means that the change was refused and the document not written.
type RefusedError struct {
	Name   string
	Reason string
	// Conflicts lists the fields that two operators set to different values.
	Conflicts []change.Conflict
}

// Error returns the reason, followed by one line for each merge conflict.
func (e *RefusedError) Error() string {
	text := e.Name + ": refused: " + e.Reason
	for _, c := range e.Conflicts {
		text += "\n  " + c.String()
	}
	return text
}

// acceptance is the state of one change across attempts.
type acceptance struct {
	*Acceptor
	change Change
	// mayBeAccepted is set if an earlier attempt may have taken effect.
	mayBeAccepted bool
	// unusedIDs holds the ids allocated for this change but not written yet.
	unusedIDs idPool
}

// errConflict means that a key was written concurrently and that another attempt is
// needed.
var errConflict = errors.New("a key that the change needs was written concurrently")

// Accept attempts a change until it is accepted or refused, fails permanently, or
// the attempts are exhausted. It returns a *RefusedError for a refused change, and an
// *UnknownOutcomeError if the attempts are exhausted and one of them may have written
// the document.
func (a *Acceptor) Accept(ctx context.Context, c Change) (Result, error) {
	t := &acceptance{Acceptor: a, change: c, mayBeAccepted: c.Retry}
	outcomeUnknown := false
	backoff := firstBackoff
	var last error
	for range maxAttempts {
		result, err := t.attempt(ctx)
		var failure *store.Error
		switch {
		case err == nil:
			return result, nil
		case errors.Is(err, errConflict):
			last = err
			continue
		case !errors.As(err, &failure) || !isTransient(failure.Fault):
			return Result{}, err
		}
		last = err
		if failure.Key == c.Name && failure.Effect == store.EffectUnknown {
			t.mayBeAccepted, outcomeUnknown = true, true
		}
		if err := a.Sleep(ctx, backoff); err != nil {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	if outcomeUnknown {
		return Result{}, &UnknownOutcomeError{Name: c.Name, ID: c.ID, Cause: last}
	}
	return Result{}, eris.Wrapf(last, "%s: not accepted, nothing changed", c.Name)
}

// isTransient reports whether a call that failed with f may succeed later.
func isTransient(f store.Fault) bool {
	return f == store.FaultUnavailable || f == store.FaultRate
}
