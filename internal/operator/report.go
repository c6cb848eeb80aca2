package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"mimosashore.example/mimosashore/internal/change"
	"mimosashore.example/mimosashore/internal/inifile"
)

// report is the result of a command. It is printed as text or encoded as JSON.
type report interface {
	print(w io.Writer)
}

// errorReport is the JSON form of an error.
type errorReport struct {
	Error     string            `json:"error"`
	Problems  inifile.Problems  `json:"problems,omitempty"`
	Conflicts []change.Conflict `json:"clashes,omitempty"`
}

func writeJSON(w io.Writer, v any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(v)
}

// table prints rows with aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, header ...string) *table {
	const columnGap = 2
	t := &table{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	t.row(header...)
	return t
}

func (t *table) row(cells ...string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() { _ = t.w.Flush() }

// formatAge formats a duration, truncated to seconds.
func formatAge(d time.Duration) string {
	return d.Truncate(time.Second).String()
}

// formatTime formats a Unix time in milliseconds as RFC 3339 in UTC.
func formatTime(unixMilli int64) string {
	return time.UnixMilli(unixMilli).UTC().Format(time.RFC3339)
}
