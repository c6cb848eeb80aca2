package accept

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/config"
)

// Preview is the expected result of an acceptance, as of the current state of the
// store.
type Preview struct {
	// Current is the stored document, or nil.
	Current *config.Document
	// Next is the document that would be written, with no ids assigned to new objects.
	Next *config.Document
	// Unchanged is set if nothing would be written.
	Unchanged bool
	// Merged is set if the document would also contain changes of another operator.
	Merged bool
}

// Preview computes and validates a change without writing anything. It returns a
// *RefusedError if the change would be refused.
func (a *Acceptor) Preview(ctx context.Context, c Change) (Preview, error) {
	t := &acceptance{Acceptor: a, change: c}
	current, entry, err := Read(ctx, a.Store, c.Name)
	if err != nil {
		return Preview{}, err
	}
	p := Preview{Current: current}
	content, err := t.computeContent(ctx, current)
	if err != nil {
		return p, err
	}
	p.Next, p.Merged = t.nextDocument(current, entry.Era, content), content.Merged
	p.Unchanged = t.isUnchanged(current, entry.Era, p.Next)
	if p.Unchanged {
		return p, nil
	}
	if err := validate(current, p.Next); err != nil {
		return p, err
	}
	return p, t.checkClaims(ctx, current, p.Next)
}

// checkClaims returns a *RefusedError if another document uses an address that next
// has and current does not.
func (t *acceptance) checkClaims(ctx context.Context, current, next *config.Document) error {
	currentOwners := ownersByAddress(current)
	for _, address := range sortedAddresses(ownersByAddress(next)) {
		if _, owned := currentOwners[address]; owned {
			continue
		}
		entry, err := t.Store.Get(ctx, claimKey(address))
		if err != nil {
			return err
		}
		if entry.Modified == 0 {
			continue
		}
		var holder Claim
		if err := cbor.Unmarshal(entry.Value, &holder); err != nil {
			return eris.Wrapf(err, "the store's %s is not a claim", entry.Key)
		}
		if holder.Document == t.change.Name {
			continue
		}
		d, _, err := Read(ctx, t.Store, holder.Document)
		if err != nil {
			return err
		}
		if err := t.refuseIfUsed(d, address); err != nil {
			return err
		}
	}
	return nil
}
