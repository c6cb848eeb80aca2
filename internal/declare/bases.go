package declare

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"mimosashore.example/mimosashore/internal/inifile"
)

// BasesPath is the file with the base revisions: the accepted revisions that the
// declarations were edited from. The command mimosactl accept updates it; it is
// kept in version control with the declarations.
const BasesPath = "accepted.ini"

// maxRevision is the maximum revision allowed in the file.
const maxRevision = 1 << 50

// Base is the base revision of one document.
type Base struct {
	Document string
	Revision uint64
	// MergedChangeID is the change id of the acceptance if it merged changes of other
	// operators that are not in the declarations, and empty otherwise.
	MergedChangeID string
}

// ParseBases parses the file with the base revisions. It returns no bases if the
// directory does not have the file.
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

// FormatBases returns the content of the file with the base revisions.
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
