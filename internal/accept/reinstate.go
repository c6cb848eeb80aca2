package accept

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/config"
)

// Reinstate writes back a document that the store lost in a restore, with the claims of its
// addresses. It reports false if the store has the document or a later one by now, and returns
// a *RefusedError if another document has taken one of its addresses meanwhile.
func (a *Acceptor) Reinstate(ctx context.Context, d *config.Document) (bool, error) {
	t := &acceptance{Acceptor: a, change: Change{Name: d.Name, ID: d.ChangeID, Author: d.Author}}
	for range maxAttempts {
		done, err := t.reinstate(ctx, d)
		if !errors.Is(err, errConflict) {
			return done, err
		}
	}
	return false, eris.Errorf("%s changed during each of %d attempts to write revision %d back", d.Name, maxAttempts, d.Revision)
}

func (t *acceptance) reinstate(ctx context.Context, d *config.Document) (bool, error) {
	current, entry, err := Read(ctx, t.Store, d.Name)
	if err != nil || current != nil && current.Revision >= d.Revision {
		return false, err
	}
	obsolete, err := t.claimAddresses(ctx, current, d)
	if err != nil {
		return false, err
	}
	if current != nil {
		if err := t.archive(ctx, current, entry.Value); err != nil {
			return false, err
		}
	}
	if err := t.write(ctx, entry, d); err != nil {
		return false, err
	}
	t.releaseClaims(ctx, obsolete)
	return true, nil
}
