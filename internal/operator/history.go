package operator

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"mimosashore.example/mimosashore/internal/accept"
	"mimosashore.example/mimosashore/internal/change"
	"mimosashore.example/mimosashore/internal/config"
)

// historyItem is one revision of a document.
type historyItem struct {
	Revision   uint64 `json:"revision"`
	AcceptedAt string `json:"accepted_at"`
	Author     string `json:"author"`
	ChangeID   string `json:"change_id"`
	Deleted    bool   `json:"deleted,omitempty"`
	// Differences counts the fields that differ from the revision before.
	Differences int `json:"differences"`
}

// historyReport is the result of history, the newest revision first.
type historyReport struct {
	Document  string        `json:"document"`
	Revisions []historyItem `json:"revisions"`
}

func (s *session) history(ctx context.Context, name string) (report, error) {
	current, err := s.present(ctx, name)
	if err != nil {
		return nil, err
	}
	earlier, err := accept.History(ctx, s.store, name)
	if err != nil {
		return nil, err
	}
	r := historyReport{Document: name}
	all := append(earlier, current)
	for i := len(all) - 1; i >= 0; i-- {
		r.Revisions = append(r.Revisions, itemOf(all, i))
	}
	return r, nil
}

func itemOf(all []*config.Document, i int) historyItem {
	d := all[i]
	var before *config.Document
	if i > 0 {
		before = all[i-1]
	}
	return historyItem{d.Revision, at(d.AcceptedAt), d.Author, d.ChangeID, d.Deleted, len(change.Diff(before, d))}
}

func (r historyReport) print(w io.Writer) {
	t := newTable(w, "REVISION", "ACCEPTED", "AUTHOR", "CHANGE", "FIELDS")
	for _, i := range r.Revisions {
		fields := strconv.Itoa(i.Differences)
		if i.Deleted {
			fields = "deleted"
		}
		t.row(strconv.FormatUint(i.Revision, 10), i.AcceptedAt, i.Author, i.ChangeID, fields)
	}
	t.flush()
	fmt.Fprintf(w, "the last %d revisions are kept\n", accept.DefaultHistoryLimit+1)
}
