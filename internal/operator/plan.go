package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"mimosashore.example/mimosashore/internal/accept"
	"mimosashore.example/mimosashore/internal/change"
	"mimosashore.example/mimosashore/internal/config"
)

// planItem is the expected outcome for one document.
type planItem struct {
	Document string `json:"document"`
	// Action is one of the action constants.
	Action string `json:"action"`
	// Revision is the stored revision, or zero if the document does not exist.
	// NextRevision is the one that would be written, or zero if none would.
	Revision     uint64              `json:"revision"`
	NextRevision uint64              `json:"next_revision,omitempty"`
	Merged       bool                `json:"merged,omitempty"`
	Refused      string              `json:"refused,omitempty"`
	Differences  []change.Difference `json:"differences,omitempty"`
	Conflicts    []change.Conflict   `json:"clashes,omitempty"`
	Effects      *effects            `json:"effects,omitempty"`
}

// Actions of a plan.
const (
	actionCreate    = "create"
	actionChange    = "change"
	actionDelete    = "delete"
	actionUnchanged = "unchanged"
	actionRefused   = "refused"
)

// planReport is the result of the command plan.
type planReport struct {
	Items []planItem `json:"documents"`
}

// failed reports whether any document is refused.
func (r planReport) failed() bool {
	for _, i := range r.Items {
		if i.Action == actionRefused {
			return true
		}
	}
	return false
}

// cuts counts the effects that cut open flows or running requests.
func (r planReport) cuts() int {
	cuts := 0
	for _, i := range r.Items {
		if i.Effects != nil {
			cuts += len(i.Effects.Cuts)
		}
	}
	return cuts
}

func (s *session) plan(ctx context.Context, flags *planFlags) (report, error) {
	d, err := readDirectory(flags.Dir)
	if err != nil {
		return nil, err
	}
	return s.planDirectory(ctx, d, flags)
}

func (s *session) planDirectory(ctx context.Context, d *directory, flags *planFlags) (planReport, error) {
	var r planReport
	for _, c := range s.changes(d, flags, "plan") {
		item, err := s.preview(ctx, c)
		if err != nil {
			return r, err
		}
		r.Items = append(r.Items, item)
	}
	return r, nil
}

// changes returns the changes that bring the store to the declared state: one for
// each declared document, and a removal for each document that was part of the
// directory at its last acceptance and is no longer declared.
func (s *session) changes(d *directory, flags *planFlags, id string) []accept.Change {
	var all []accept.Change
	add := func(name string, p accept.Proposal) {
		if flags.Only != "" && flags.Only != name {
			return
		}
		all = append(all, accept.Change{Name: name, ID: id, Author: s.args.Author, AboveRevision: flags.Above, Proposal: p})
	}
	declared := func(name string) accept.Declared {
		base := d.base(name)
		return accept.Declared{BaseRevision: base.Revision, BaseMergedChangeID: base.MergedChangeID, Replace: flags.Replace, NoMerge: flags.NoMerge}
	}
	for i := range d.set.Zones {
		name := config.ZonePrefix + d.set.Zones[i].Zone
		p := declared(name)
		p.Zone = &d.set.Zones[i]
		add(name, p)
	}
	for i := range d.set.Accounts {
		name := config.AccountPrefix + d.set.Accounts[i].Name
		p := declared(name)
		p.Account = &d.set.Accounts[i]
		add(name, p)
	}
	names := d.documents()
	for _, b := range d.bases {
		if len(notIn([]string{b.Document}, names)) > 0 {
			add(b.Document, accept.Removal{ExpectedRevision: b.Revision})
		}
	}
	return all
}

// preview computes the plan item for a change without writing anything.
func (s *session) preview(ctx context.Context, c accept.Change) (planItem, error) {
	item := planItem{Document: c.Name}
	p, err := s.acceptor().Preview(ctx, c)
	if p.Current != nil {
		item.Revision = p.Current.Revision
	}
	var refused *accept.RefusedError
	if errors.As(err, &refused) {
		item.Action, item.Refused, item.Conflicts = actionRefused, refused.Reason, refused.Conflicts
		return item, nil
	}
	if err != nil {
		return item, err
	}
	item.Merged = p.Merged
	if p.Unchanged {
		item.Action = actionUnchanged
		item.Effects = effectsOf(p.Current, p.Next, nil).orNil()
		return item, nil
	}
	item.Action = actionOf(p)
	item.NextRevision = p.Next.Revision
	item.Differences = change.Diff(p.Current, p.Next)
	item.Effects = effectsOf(p.Current, p.Next, s.fetchLoads(ctx, p.Current, p.Next)).orNil()
	return item, nil
}

func actionOf(p accept.Preview) string {
	switch {
	case p.Next.Deleted:
		return actionDelete
	case p.Current == nil || p.Current.Deleted:
		return actionCreate
	default:
		return actionChange
	}
}

func (r planReport) print(w io.Writer) {
	unchanged := 0
	for _, i := range r.Items {
		if i.Action == actionUnchanged && i.Effects == nil && !i.Merged {
			unchanged++
			continue
		}
		i.print(w)
	}
	printUnchanged(w, unchanged)
	if cuts := r.cuts(); cuts > 0 {
		fmt.Fprintf(w, "effects that cut open flows or running requests: %d; they need --allow-cuts\n", cuts)
	}
}

// printUnchanged prints the number of unchanged documents that are not listed.
func printUnchanged(w io.Writer, count int) {
	if count > 0 {
		fmt.Fprintf(w, "unchanged documents: %d\n", count)
	}
}

func (i planItem) print(w io.Writer) {
	switch i.Action {
	case actionUnchanged:
		fmt.Fprintf(w, "%s: unchanged at revision %d\n", i.Document, i.Revision)
	case actionRefused:
		fmt.Fprintf(w, "%s: refused: %s\n", i.Document, i.Refused)
	default:
		fmt.Fprintf(w, "%s: %s, revision %d -> %d\n", i.Document, i.Action, i.Revision, i.NextRevision)
	}
	for _, c := range i.Conflicts {
		fmt.Fprintf(w, "  clash    %s\n", c)
	}
	if i.Merged {
		fmt.Fprintf(w, "  merged   with changes of other operators that these files don't have\n")
	}
	i.printDifferences(w)
	if i.Effects == nil {
		return
	}
	printLines(w, "note", i.Effects.Notes)
	printLines(w, "warning", i.Effects.Warnings)
	printLines(w, "cuts", i.Effects.Cuts)
}

// printDifferences lists the changed fields. For a created or deleted document it
// prints only their number.
func (i planItem) printDifferences(w io.Writer) {
	if i.Action == actionCreate || i.Action == actionDelete {
		fmt.Fprintf(w, "  %d fields\n", len(i.Differences))
		return
	}
	for rest := i.Differences; len(rest) > 0; {
		n := objectFieldCount(rest)
		printObject(w, rest[:n])
		rest = rest[n:]
	}
}

// objectPath returns the path of the object that a field belongs to.
func objectPath(d change.Difference) string {
	at := strings.LastIndex(d.Path, "/")
	return d.Path[:max(at, 0)]
}

// objectFieldCount returns the number of leading differences that together add or
// remove one object. It is one if the first difference is a single field.
func objectFieldCount(all []change.Difference) int {
	n := 1
	first := all[0]
	if objectPath(first) == "" || first.Old != "" && first.New != "" {
		return n
	}
	for n < len(all) && objectPath(all[n]) == objectPath(first) && (all[n].Old == "") == (first.Old == "") && (all[n].New == "") == (first.New == "") {
		n++
	}
	return n
}

// printObject prints a single field, or an added or removed object on one line.
func printObject(w io.Writer, fields []change.Difference) {
	if len(fields) == 1 {
		fmt.Fprintf(w, "  %s\n", fields[0])
		return
	}
	sign := "+"
	if fields[0].New == "" {
		sign = "-"
	}
	fmt.Fprintf(w, "  %s %s:", sign, objectPath(fields[0]))
	for _, f := range fields {
		fmt.Fprintf(w, " %s=%s", f.Path[len(objectPath(f))+1:], f.Old+f.New)
	}
	fmt.Fprintln(w)
}

func printLines(w io.Writer, label string, lines []string) {
	for _, line := range lines {
		fmt.Fprintf(w, "  %-8s %s\n", label, strings.TrimSpace(line))
	}
}
