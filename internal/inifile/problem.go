// Package inifile parses INI files into sections with line numbers and checks
// their values against typed rules. It collects all errors of a file with their
// positions, so that one run reports everything that needs to be fixed. It
// serves both the operators' declarations and the daemons' start-up settings.
package inifile

import (
	"slices"
	"strconv"
	"strings"
)

// Problem is one error in a file. A zero Line refers to the whole file. Section
// and Key are empty if the error is not limited to a single section or key. The
// field names are part of the JSON output of mimosactl.
type Problem struct {
	File    string
	Line    int
	Section string
	Key     string
	Text    string
}

// Error formats the problem as one line: file:line: [section] key: text.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		b.WriteString(":" + strconv.Itoa(p.Line))
	}
	b.WriteString(": ")
	if p.Section != "" {
		b.WriteString("[" + p.Section + "]")
		if p.Key == "" {
			b.WriteString(":")
		}
		b.WriteString(" ")
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Problems is a list of errors in files. Use Err to turn it into an error: Err
// returns nil for an empty list, while an empty Problems value in an error
// variable is not nil.
type Problems []Problem

// Error formats the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil when there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Add appends a problem.
func (ps *Problems) Add(p Problem) {
	*ps = append(*ps, p)
}

// Sort orders the problems by file, line, section and key and removes duplicates.
func (ps *Problems) Sort() {
	slices.SortStableFunc(*ps, func(a, b Problem) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		if c := strings.Compare(a.Section, b.Section); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
	*ps = slices.Compact(*ps)
}
