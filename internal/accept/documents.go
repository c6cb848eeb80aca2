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

// HistoryPrefix begins the keys of earlier revisions. Hosts don't read them.
const HistoryPrefix = "history/"

// historyPage is the number of earlier revisions read in one call.
const historyPage = 4

// historyKey sorts by revision.
func historyKey(name string, revision uint64) string {
	return fmt.Sprintf("%s%s/%020d", HistoryPrefix, name, revision)
}

// keep copies the present document into the history before it is replaced. A
// revision is written once and never differs, so one that is there is right.
func (t *acceptance) keep(ctx context.Context, current *config.Document, value []byte) error {
	_, err := t.Store.CompareAndSwap(ctx, historyKey(t.change.Name, current.Revision), 0, value, 0)
	var failure *store.Error
	if errors.As(err, &failure) && failure.Fault == store.FaultConflict {
		return nil
	}
	return err
}

// keepDeclared writes what the operator declared if the document is merged
// with other changes, so that the next acceptance from the same declarations
// can tell the operator's later changes from those of the others.
func (t *acceptance) keepDeclared(ctx context.Context, next *config.Document, c Content) error {
	p, ok := t.change.Proposal.(Declared)
	if !ok || !c.Merged {
		return nil
	}
	declared := *next
	declared.Account, declared.Zone, declared.Drained = p.Account, p.Zone, nil
	value, err := declared.Encode()
	if err != nil {
		return err
	}
	key := mergedKey(t.change.Name, t.change.ID)
	entry, err := t.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = t.Store.CompareAndSwap(ctx, key, entry.Modified, value, 0)
	return conflictIsRace(err)
}

// mergedPrefix begins the keys of what was declared in merged acceptances.
const mergedPrefix = "merged/"

func mergedKey(name, changeID string) string {
	return mergedPrefix + name + "/" + changeID
}

// trim deletes the oldest revisions beyond the limit. What can't be deleted
// stays until the next acceptance.
func (t *acceptance) trim(ctx context.Context, merged bool) {
	entries, err := historyEntries(ctx, t.Store, t.change.Name)
	if err != nil {
		return
	}
	t.deleteOldest(ctx, entries)
	if !merged {
		return
	}
	entries, err = listAll(ctx, t.Store, mergedPrefix+t.change.Name+"/", historyPage)
	if err != nil {
		return
	}
	slices.SortFunc(entries, func(a, b store.Entry) int { return cmp.Compare(a.Modified, b.Modified) })
	t.deleteOldest(ctx, entries)
}

// deleteOldest deletes the first entries until the limit is kept.
func (t *acceptance) deleteOldest(ctx context.Context, entries []store.Entry) {
	for len(entries) > t.HistoryLimit {
		_, err := t.Store.CompareAndSwap(ctx, entries[0].Key, entries[0].Modified, nil, 0)
		if err != nil {
			return
		}
		entries = entries[1:]
	}
}

// History returns the earlier revisions of a document, the oldest first.
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
	return listAll(ctx, s, prefix, historyPage)
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

// Read returns a document and its entry; a missing document is nil.
func Read(ctx context.Context, s store.Store, name string) (*config.Document, store.Entry, error) {
	entry, err := s.Get(ctx, name)
	if err != nil || entry.Modified == 0 {
		return nil, entry, err
	}
	d, err := config.DecodeDocument(entry.Value)
	if err != nil {
		return nil, entry, eris.Wrapf(err, "%s: the store's value is not a document", name)
	}
	return d, entry, nil
}

// documentPage is the number of documents read in one call.
const documentPage = 100

// Documents returns all documents in the store, sorted by name.
func Documents(ctx context.Context, s store.Store) ([]*config.Document, error) {
	var documents []*config.Document
	for _, prefix := range []string{config.AccountPrefix, config.KeysName, config.ZonePrefix} {
		entries, err := listAll(ctx, s, prefix, documentPage)
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
