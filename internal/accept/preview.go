package accept

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/config"
)

// Preview is what an acceptance would do at the moment.
type Preview struct {
	// Current is the document that stands in the store; nil for none.
	Current *config.Document
	// Next is the document that would be written, without numbers of new objects.
	Next *config.Document
	// Unchanged tells that nothing would be written.
	Unchanged bool
	// Merged tells that a change of another operator would be kept beside this one.
	Merged bool
}

// Preview computes a change and checks it without writing anything.
func (a *Acceptor) Preview(ctx context.Context, c Change) (Preview, error) {
	t := &acceptance{Acceptor: a, change: c}
	current, _, err := Read(ctx, a.Store, c.Name)
	if err != nil {
		return Preview{}, err
	}
	p := Preview{Current: current}
	content, err := t.propose(ctx, current)
	if err != nil {
		return p, err
	}
	p.Next, p.Merged = t.document(current, content), content.Merged
	p.Unchanged = c.AboveRevision == 0 && sameContent(current, p.Next)
	if p.Unchanged {
		return p, nil
	}
	if err := check(current, p.Next); err != nil {
		return p, err
	}
	return p, t.checkClaims(ctx, current, p.Next)
}

// checkClaims refuses new addresses that another document uses.
func (t *acceptance) checkClaims(ctx context.Context, current, next *config.Document) error {
	before := usageMap(current)
	for _, address := range sortedAddresses(usageMap(next)) {
		if _, held := before[address]; held {
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
		if err := t.refuseUsed(d, address); err != nil {
			return err
		}
	}
	return nil
}
