package accept

import (
	"context"
	"errors"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/store"
)

// attempt computes the next document from the stored one and writes it. It returns
// errConflict if a key was written concurrently.
func (t *acceptance) attempt(ctx context.Context) (Result, error) {
	current, entry, err := Read(ctx, t.Store, t.change.Name)
	if err != nil {
		return Result{}, err
	}
	if done, err := t.findAccepted(ctx, current); done != nil || err != nil {
		return Result{Outcome: AlreadyAccepted, Document: done}, err
	}
	content, err := t.computeContent(ctx, current)
	if err != nil {
		return Result{}, err
	}
	next := t.nextDocument(current, entry.Era, content)
	if t.isUnchanged(current, entry.Era, next) {
		return Result{Outcome: Unchanged, Document: current, Merged: content.Merged}, nil
	}
	obsolete, err := t.prepare(ctx, current, entry, next)
	if err != nil {
		return Result{}, err
	}
	if err := t.storeDeclared(ctx, next, content); err != nil {
		return Result{}, err
	}
	if err := t.write(ctx, entry, next); err != nil {
		return Result{}, err
	}
	t.releaseClaims(ctx, obsolete)
	t.trimHistory(ctx, content.Merged)
	return Result{Outcome: Accepted, Document: next, Previous: current, Merged: content.Merged}, nil
}

// isUnchanged reports whether the stored document already has the next content. A stored
// document of an earlier era of the store is written again all the same: hosts may have a
// later one that the store lost.
func (t *acceptance) isUnchanged(current *config.Document, era store.Era, next *config.Document) bool {
	return t.change.AboveRevision == 0 && sameContent(current, next) && current.Revision >= firstRevision(era)
}

// findAccepted returns the revision of the document that has the id of the change,
// or nil. It searches the history only if an earlier attempt may have taken effect.
func (t *acceptance) findAccepted(ctx context.Context, current *config.Document) (*config.Document, error) {
	if current == nil {
		return nil, nil
	}
	if current.ChangeID == t.change.ID {
		return current, nil
	}
	if !t.mayBeAccepted {
		return nil, nil
	}
	earlier, err := History(ctx, t.Store, t.change.Name)
	if err != nil {
		return nil, err
	}
	for _, d := range earlier {
		if d.ChangeID == t.change.ID {
			return d, nil
		}
	}
	return nil, nil
}

func (t *acceptance) computeContent(ctx context.Context, current *config.Document) (Content, error) {
	base, err := t.loadBase(ctx, current)
	if err != nil {
		return Content{}, err
	}
	content, err := t.change.Proposal.Content(current, base)
	var refused *RefusedError
	if errors.As(err, &refused) {
		refused.Name = t.change.Name
	}
	return content, err
}

// loadBase returns the base document of the proposal, or nil if the proposal has no
// base or the base is no longer in the store.
func (t *acceptance) loadBase(ctx context.Context, current *config.Document) (*config.Document, error) {
	base := t.change.Proposal.Base()
	switch {
	case base.MergedChangeID != "":
		d, _, err := Read(ctx, t.Store, mergedKey(t.change.Name, base.MergedChangeID))
		return d, err
	case base.Revision == 0:
		return nil, nil
	case current != nil && current.Revision == base.Revision:
		return current, nil
	}
	d, _, err := Read(ctx, t.Store, historyKey(t.change.Name, base.Revision))
	return d, err
}

// firstRevision returns the lowest revision of a document that is accepted in an era of
// the store. It is above all revisions of earlier eras, which the store may have lost
// while hosts still have them.
func firstRevision(era store.Era) uint64 { return uint64(era)*restoreRevisionGap + 1 }

// nextDocument returns the next document with the given content, accepted in an era of
// the store. Its new objects have no ids yet.
func (t *acceptance) nextDocument(current *config.Document, era store.Era, c Content) *config.Document {
	next := &config.Document{
		Name:       t.change.Name,
		Revision:   max(t.change.AboveRevision+1, firstRevision(era)),
		ChangeID:   t.change.ID,
		Author:     t.change.Author,
		AcceptedAt: t.Now().UnixMilli(),
		Deleted:    c.Deleted,
		Account:    c.Account,
		Zone:       c.Zone,
		Keys:       c.Keys,
		Drained:    c.Drained,
	}
	if current != nil {
		next.Revision = max(next.Revision, current.Revision+1)
	}
	return next
}

// prepare does everything that must be complete before the document is written: it
// assigns ids, validates the document, claims its addresses and copies the current
// document into the history.
func (t *acceptance) prepare(ctx context.Context, current *config.Document, entry store.Entry, next *config.Document) (obsoleteClaims, error) {
	if err := t.assignIDs(ctx, current, next); err != nil {
		return obsoleteClaims{}, err
	}
	if err := validate(current, next); err != nil {
		return obsoleteClaims{}, err
	}
	obsolete, err := t.claimAddresses(ctx, current, next)
	if err != nil {
		return obsoleteClaims{}, err
	}
	if current == nil {
		return obsolete, nil
	}
	return obsolete, t.archive(ctx, current, entry.Value)
}

// write writes the document. It returns errConflict if the document was written since
// entry was read.
func (t *acceptance) write(ctx context.Context, entry store.Entry, next *config.Document) error {
	b, err := next.Encode()
	if err != nil {
		return err
	}
	_, err = t.Store.CompareAndSwap(ctx, t.change.Name, entry.Position(), b, 0)
	var failure *store.Error
	if errors.As(err, &failure) && failure.Fault == store.FaultConflict {
		return errConflict
	}
	return err
}
