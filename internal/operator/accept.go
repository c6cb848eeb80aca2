package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/accept"
	"mimosashore.example/mimosashore/internal/change"
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/declare"
)

// acceptItem is the outcome for one document.
type acceptItem struct {
	Document string `json:"document"`
	Outcome  string `json:"outcome"`
	Revision uint64 `json:"revision"`
	Merged   bool   `json:"merged,omitempty"`
}

// acceptReport is the result of a command that changes documents.
type acceptReport struct {
	ChangeID string       `json:"change_id,omitempty"`
	Items    []acceptItem `json:"documents,omitempty"`
	// Plan is set instead of Items if the plan was refused and nothing was tried.
	Plan     *planReport `json:"plan,omitempty"`
	Warnings []string    `json:"warnings,omitempty"`
	Error    string      `json:"error,omitempty"`
}

func (r acceptReport) failed() bool { return r.Error != "" }

func (r acceptReport) print(w io.Writer) {
	if r.Plan != nil {
		r.Plan.print(w)
	}
	unchanged := 0
	for _, i := range r.Items {
		if i.Outcome == accept.Unchanged.String() && len(r.Items) > 1 && !i.Merged {
			unchanged++
			continue
		}
		fmt.Fprintf(w, "%s: %s, revision %d\n", i.Document, i.Outcome, i.Revision)
		if i.Merged {
			fmt.Fprintf(w, "  merged with changes of other operators that these files don't have: update them from version control\n")
		}
	}
	printUnchanged(w, unchanged)
	for _, text := range r.Warnings {
		fmt.Fprintf(w, "warning: %s\n", text)
	}
	if r.Error != "" {
		fmt.Fprintf(w, "error: %s\n", r.Error)
	}
	if r.ChangeID != "" {
		fmt.Fprintf(w, "change id %s\n", r.ChangeID)
	}
}

// accept accepts a directory of declarations, one document at a time. It stops at
// the first document that is not accepted.
func (s *session) accept(ctx context.Context, a *acceptArgs) (report, error) {
	d, err := readDirectory(a.Dir)
	if err != nil {
		return nil, err
	}
	var plan planReport
	if a.ChangeID == "" {
		var refused report
		plan, refused, err = s.checkPlan(ctx, d, a)
		if refused != nil || err != nil {
			return refused, err
		}
	}
	r := acceptReport{ChangeID: a.ChangeID}
	if a.ChangeID == "" {
		if r.ChangeID, err = s.newChangeID(); err != nil {
			return nil, err
		}
	}
	for i, c := range s.changes(d, &a.planFlags, r.ChangeID) {
		if a.ChangeID == "" && plan.Items[i].matchesFiles(d) {
			r.Items = append(r.Items, acceptItem{c.Name, accept.Unchanged.String(), plan.Items[i].Revision, false})
			continue
		}
		c.Retry = a.ChangeID != ""
		if err := s.acceptDocument(ctx, d, c, &r); err != nil {
			r.Error = err.Error()
			break
		}
	}
	if err := d.writeBases(); err != nil && r.Error == "" {
		r.Error = err.Error()
	}
	s.warnMissingKeys(ctx, &r)
	return r, nil
}

// matchesFiles reports whether the document is unchanged and its declarations are
// recorded as made from its current revision.
func (i planItem) matchesFiles(d *directory) bool {
	base := d.base(i.Document)
	return i.Action == actionUnchanged && base.Revision == i.Revision && base.MergedChangeID == ""
}

// checkPlan returns the plan, and a report if the plan must not be carried out.
func (s *session) checkPlan(ctx context.Context, d *directory, a *acceptArgs) (planReport, report, error) {
	plan, err := s.planDirectory(ctx, d, &a.planFlags)
	if err != nil {
		return plan, nil, eris.Wrap(err, "nothing changed")
	}
	return plan, plan.refusal(a.AllowCuts), nil
}

// refusal returns a report if the plan must not be carried out: a document is
// refused, or open flows or running requests are cut without allowCuts. Otherwise
// it returns nil.
func (r planReport) refusal(allowCuts bool) report {
	switch {
	case r.failed():
		return acceptReport{Plan: &r, Error: "refused, nothing changed"}
	case r.cuts() > 0 && !allowCuts:
		return acceptReport{Plan: &r, Error: "cuts open flows or running requests, nothing changed"}
	}
	return nil
}

// acceptDocument accepts one document, adds its outcome to r and records the
// revision that the files now correspond to.
func (s *session) acceptDocument(ctx context.Context, d *directory, c accept.Change, r *acceptReport) error {
	result, err := s.acceptor().Accept(ctx, c)
	if err != nil {
		return err
	}
	r.Items = append(r.Items, acceptItem{c.Name, result.Outcome.String(), result.Document.Revision, result.Merged})
	switch p := c.Proposal.(type) {
	case accept.Removal:
		d.setBase(declare.Base{Document: c.Name})
	case accept.Declared:
		s.updateBase(d, result, p)
	}
	return nil
}

// updateBase records the revision that the files correspond to after an acceptance.
// If the accepted document also contains merged changes of other operators, its
// change id is recorded as well. If nothing was written and the files still lack
// merged changes, the base is left as it is.
func (s *session) updateBase(d *directory, result accept.Result, p accept.Declared) {
	base := declare.Base{Document: result.Document.Name, Revision: result.Document.Revision}
	switch {
	case hasDeclaredContent(result.Document, p):
		d.setBase(base)
	case result.Outcome != accept.Unchanged:
		base.MergedChangeID = result.Document.ChangeID
		d.setBase(base)
	}
}

// hasDeclaredContent reports whether a document has exactly the declared content,
// apart from drains by command.
func hasDeclaredContent(d *config.Document, p accept.Declared) bool {
	stored := &config.Document{Account: change.Declared(d), Zone: change.DeclaredZone(d)}
	return len(change.Diff(stored, &config.Document{Account: p.Account, Zone: p.Zone})) == 0
}

// warnMissingKeys adds a warning if there are no sealing keys yet, without which
// hosts can't seal flow identifiers.
func (s *session) warnMissingKeys(ctx context.Context, r *acceptReport) {
	keys, _, err := accept.Read(ctx, s.store, config.KeysName)
	if err == nil && keys == nil {
		r.Warnings = append(r.Warnings, "there are no sealing keys yet: run mimosactl keys rotate")
	}
}

// acceptProposal accepts a proposal for one document and returns the outcome.
func (s *session) acceptProposal(ctx context.Context, document, id string, p accept.Proposal) (acceptReport, error) {
	c, err := s.newChange(document, id, p)
	if err != nil {
		return acceptReport{}, err
	}
	return s.acceptChange(ctx, c)
}

// acceptChange accepts a change of one document and returns the outcome.
func (s *session) acceptChange(ctx context.Context, c accept.Change) (acceptReport, error) {
	result, err := s.acceptor().Accept(ctx, c)
	if err != nil {
		return acceptReport{}, err
	}
	item := acceptItem{c.Name, result.Outcome.String(), result.Document.Revision, result.Merged}
	return acceptReport{ChangeID: c.ID, Items: []acceptItem{item}}, nil
}

// readExisting returns a document of the store, or an error if it does not exist.
func (s *session) readExisting(ctx context.Context, name string) (*config.Document, error) {
	d, _, err := accept.Read(ctx, s.store, name)
	if err != nil {
		return nil, err
	}
	if d == nil {
		return nil, eris.Errorf("%s doesn't exist", name)
	}
	return d, nil
}

func (s *session) rollback(ctx context.Context, a *rollbackArgs) (report, error) {
	current, err := s.readExisting(ctx, a.Document)
	if err != nil {
		return nil, err
	}
	p := accept.Restore{Revision: a.To, ExpectedRevision: current.Revision}
	if a.ChangeID == "" {
		item, err := s.preview(ctx, accept.Change{Name: a.Document, Proposal: p})
		if err != nil {
			return nil, err
		}
		if refused := (planReport{Items: []planItem{item}}).refusal(a.AllowCuts); refused != nil {
			return refused, nil
		}
	}
	r, err := s.acceptProposal(ctx, a.Document, a.ChangeID, p)
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (s *session) drain(ctx context.Context, a *drainArgs, undo bool) (report, error) {
	p := accept.Drain{Target: a.Target, Undo: undo, MinActive: 1}
	if a.AllowShort {
		p.MinActive = 0
	}
	r, err := s.acceptProposal(ctx, a.Document, a.ChangeID, p)
	if err != nil {
		return nil, err
	}
	return r, nil
}
