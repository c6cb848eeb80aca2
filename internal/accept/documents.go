package accept

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/store"
)

// HistoryPrefix is the prefix of the keys of earlier revisions. Hosts don't read
// them.
const HistoryPrefix = "history/"

// historyPageSize is the number of earlier revisions, or of merged declarations, read
// in one call.
const historyPageSize = 4

// historyKey returns the key of an earlier revision. The revision is padded with
// zeros, so that the keys sort by revision.
func historyKey(name string, revision uint64) string {
	return fmt.Sprintf("%s%s/%020d", HistoryPrefix, name, revision)
}

// archive copies the current document into the history before it is replaced. The
// content of a revision never changes, so an existing copy is left as it is.
func (t *acceptance) archive(ctx context.Context, current *config.Document, value []byte) error {
	_, err := t.Store.CompareAndSwap(ctx, historyKey(t.change.Name, current.Revision), store.Position{}, value, 0)
	var failure *store.Error
	if errors.As(err, &failure) && failure.Fault == store.FaultConflict {
		return nil
	}
	return err
}

// storeDeclared stores the operator's declarations if they were merged with other
// changes. They are the base of the merge when the operator's next declarations are
// accepted, to distinguish the operator's later changes from those of others.
func (t *acceptance) storeDeclared(ctx context.Context, next *config.Document, c Content) error {
	proposal, ok := t.change.Proposal.(Declared)
	if !ok || !c.Merged {
		return nil
	}
	declared := *next
	declared.Account, declared.Zone, declared.Drained = proposal.Account, proposal.Zone, nil
	value, err := declared.Encode()
	if err != nil {
		return err
	}
	key := mergedKey(t.change.Name, t.change.ID)
	entry, err := t.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = t.Store.CompareAndSwap(ctx, key, entry.Position(), value, 0)
	return mapConflict(err)
}

// mergedPrefix is the prefix of the keys of declarations that were merged.
const mergedPrefix = "merged/"

func mergedKey(name, changeID string) string {
	return mergedPrefix + name + "/" + changeID
}

// trimHistory deletes the oldest revisions beyond the limit, and after a merge also
// the oldest merged declarations. Entries that can't be deleted remain until the
// next acceptance.
func (t *acceptance) trimHistory(ctx context.Context, merged bool) {
	entries, err := historyEntries(ctx, t.Store, t.change.Name)
	if err != nil {
		return
	}
	t.deleteOldest(ctx, entries)
	if !merged {
		return
	}
	entries, err = listAll(ctx, t.Store, mergedPrefix+t.change.Name+"/", historyPageSize)
	if err != nil {
		return
	}
	slices.SortFunc(entries, func(a, b store.Entry) int { return cmp.Compare(a.Modified, b.Modified) })
	t.deleteOldest(ctx, entries)
}

// deleteOldest deletes the first entries beyond the history limit. It stops at the
// first error.
func (t *acceptance) deleteOldest(ctx context.Context, entries []store.Entry) {
	for len(entries) > t.HistoryLimit {
		_, err := t.Store.CompareAndSwap(ctx, entries[0].Key, entries[0].Position(), nil, 0)
		if err != nil {
			return
		}
		entries = entries[1:]
	}
}

// History returns the earlier revisions of a document, oldest first. After a failed
// acceptance, they can include a copy of the current revision.
func History(ctx context.Context, s store.Store, name string) ([]*config.Document, error) {
	entries, err := historyEntries(ctx, s, name)
	if err != nil {
		return nil, err
	}
	var documents []*config.Document
	for _, e := range entries {
		d, err := config.DecodeDocument(e.Value)
		if err != nil {
			return nil, err
		}
		documents = append(documents, d)
	}
	return documents, nil
}

func historyEntries(ctx context.Context, s store.Store, name string) ([]store.Entry, error) {
	prefix := HistoryPrefix + name + "/"
	return listAll(ctx, s, prefix, historyPageSize)
}

// listAll reads all entries with a prefix, page by page.
func listAll(ctx context.Context, s store.Store, prefix string, limit int) ([]store.Entry, error) {
	var entries []store.Entry
	after := ""
	for {
		page, err := s.List(ctx, prefix, after, limit)
		if err != nil {
			return nil, err
		}
		entries = append(entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return entries, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

// Read returns a document and its entry in the store. A document that does not exist
// is nil.
func Read(ctx context.Context, s store.Store, name string) (*config.Document, store.Entry, error) {
	entry, err := s.Get(ctx, name)
	if err != nil || entry.Modified == 0 {
		return nil, entry, err
	}
	d, err := config.DecodeDocument(entry.Value)
	if err != nil {
		return nil, entry, eris.Wrapf(err, "%s: value in the store is not a valid document", name)
	}
	return d, entry, nil
}

// documentPageSize is the number of documents read in one call.
const documentPageSize = 100

// Documents returns all documents in the store, deleted ones included, sorted by
// name.
func Documents(ctx context.Context, s store.Store) ([]*config.Document, error) {
	var documents []*config.Document
	for _, prefix := range []string{config.AccountPrefix, config.KeysName, config.ZonePrefix} {
		entries, err := listAll(ctx, s, prefix, documentPageSize)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			d, err := config.DecodeDocument(e.Value)
			if err != nil {
				return nil, err
			}
			documents = append(documents, d)
		}
	}
	return documents, nil
}
