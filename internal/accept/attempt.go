package accept

import (
	"context"
	"errors"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/store"
)

// attempt computes the document from what stands in the store and writes it.
func (t *acceptance) attempt(ctx context.Context) (Result, error) {
	current, entry, err := Read(ctx, t.Store, t.change.Name)
	if err != nil {
		return Result{}, err
	}
	if done, err := t.acceptedBefore(ctx, current); done != nil || err != nil {
		return Result{Outcome: AlreadyAccepted, Document: done}, err
	}
	content, err := t.propose(ctx, current)
	if err != nil {
		return Result{}, err
	}
	next := t.document(current, content)
	if t.change.AboveRevision == 0 && sameContent(current, next) {
		return Result{Outcome: Unchanged, Document: current, Merged: content.Merged}, nil
	}
	claims, err := t.prepare(ctx, current, entry, next)
	if err != nil {
		return Result{}, err
	}
	if err := t.keepDeclared(ctx, next, content); err != nil {
		return Result{}, err
	}
	if err := t.write(ctx, entry, next); err != nil {
		return Result{}, err
	}
	t.release(ctx, claims)
	t.trim(ctx, content.Merged)
	return Result{Outcome: Accepted, Document: next, Previous: current, Merged: content.Merged}, nil
}

// acceptedBefore returns the document that holds the change's id, or nil. It
// looks through the history only where an earlier attempt may have taken effect.
func (t *acceptance) acceptedBefore(ctx context.Context, current *config.Document) (*config.Document, error) {
	if current == nil {
		return nil, nil
	}
	if current.ChangeID == t.change.ID {
		return current, nil
	}
	if !t.unsure {
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

func (t *acceptance) propose(ctx context.Context, current *config.Document) (Content, error) {
	base, err := t.base(ctx, current)
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

// base returns the document that the proposal started from.
func (t *acceptance) base(ctx context.Context, current *config.Document) (*config.Document, error) {
	wanted := t.change.Proposal.Base()
	switch {
	case wanted.Merged != "":
		d, _, err := Read(ctx, t.Store, mergedKey(t.change.Name, wanted.Merged))
		return d, err
	case wanted.Revision == 0:
		return nil, nil
	case current != nil && current.Revision == wanted.Revision:
		return current, nil
	}
	d, _, err := Read(ctx, t.Store, historyKey(t.change.Name, wanted.Revision))
	return d, err
}

// document returns the next document without the numbers of new objects.
func (t *acceptance) document(current *config.Document, c Content) *config.Document {
	next := &config.Document{
		Name:       t.change.Name,
		Revision:   t.change.AboveRevision + 1,
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

// prepare does everything that has to stand in the store before the document:
// numbers, claims of addresses and the history.
func (t *acceptance) prepare(ctx context.Context, current *config.Document, entry store.Entry, next *config.Document) (claimChanges, error) {
	if err := t.number(ctx, current, next); err != nil {
		return claimChanges{}, err
	}
	if err := check(current, next); err != nil {
		return claimChanges{}, err
	}
	claims, err := t.claim(ctx, current, next)
	if err != nil {
		return claimChanges{}, err
	}
	if current == nil {
		return claims, nil
	}
	return claims, t.keep(ctx, current, entry.Value)
}

// write puts the document into the store.
func (t *acceptance) write(ctx context.Context, entry store.Entry, next *config.Document) error {
	b, err := next.Encode()
	if err != nil {
		return err
	}
	_, err = t.Store.CompareAndSwap(ctx, t.change.Name, entry.Modified, b, 0)
	var failure *store.Error
	if errors.As(err, &failure) && failure.Fault == store.FaultConflict {
		return errAgain
	}
	return err
}
