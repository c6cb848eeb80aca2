package declare

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"mimosashore.example/mimosashore/internal/inifile"
)

// BasesPath is the file that says which accepted revisions the declarations
// were made from. The operators' tool writes it at an acceptance and it is
// kept in version control with the declarations.
const BasesPath = "accepted.ini"

// maxRevision bounds the revisions in the file.
const maxRevision = 1 << 50

// Base is the revision of a document that the declarations were made from.
type Base struct {
	Document string
	Revision uint64
	// MergedChangeID is the change id of an acceptance that kept changes of other
	// operators which the declarations don't have; empty otherwise.
	MergedChangeID string
}

// ParseBases reads the file of revisions. A directory without it has none.
func ParseBases(files []File) ([]Base, inifile.Problems) {
	at := slices.IndexFunc(files, func(f File) bool { return f.Path == BasesPath })
	if at < 0 {
		return nil, nil
	}
	parsed, problems := inifile.Parse(BasesPath, files[at].Data)
	var bases []Base
	for _, s := range parsed.Sections {
		fields := inifile.NewFields(&problems, s)
		revision := inifile.Require(fields, "revision", inifile.Int(1, maxRevision))
		merged := inifile.Get(fields, "merged", inifile.Text(), "")
		fields.ReportUnknown()
		bases = append(bases, Base{Document: s.Name, Revision: uint64(revision), MergedChangeID: merged})
	}
	problems.Sort()
	return bases, problems
}

// FormatBases returns the text of the file of revisions.
func FormatBases(bases []Base) []byte {
	sorted := slices.Clone(bases)
	slices.SortFunc(sorted, func(a, b Base) int { return strings.Compare(a.Document, b.Document) })
	var b bytes.Buffer
	b.WriteString("; The accepted revisions that these declarations were made from.\n")
	b.WriteString("; Written by mimosactl accept; commit it with the declarations.\n")
	for _, base := range sorted {
		fmt.Fprintf(&b, "\n[%s]\nrevision = %d\n", base.Document, base.Revision)
		if base.MergedChangeID != "" {
			fmt.Fprintf(&b, "merged = %s\n", base.MergedChangeID)
		}
	}
	return b.Bytes()
}
