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

// report is the result of a command, printed for people or as JSON.
type report interface {
	print(w io.Writer)
}

// errorReport is printed with --json in place of an error's text.
type errorReport struct {
	Error    string           `json:"error"`
	Problems inifile.Problems `json:"problems,omitempty"`
	Clashes  []change.Conflict   `json:"clashes,omitempty"`
}

func writeJSON(w io.Writer, v any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(v)
}

// table prints rows in columns.
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

// ago shows a time span in full seconds.
func ago(d time.Duration) string {
	return d.Truncate(time.Second).String()
}

// at shows a time of acceptance.
func at(unixMilli int64) string {
	return time.UnixMilli(unixMilli).UTC().Format(time.RFC3339)
}
