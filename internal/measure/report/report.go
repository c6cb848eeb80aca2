// Package report formats tables and plots of measurements as Markdown and SVG.
// Equal values give identical bytes.
package report

import (
	"fmt"
	"io"
	"strings"
)

// Table is a titled table of measurements.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
	// Note is printed below the table: how it was measured, and its limits.
	Note string
}

// Add appends a row. Floats are formatted with three decimals, other cells with %v.
func (t *Table) Add(cells ...any) {
	t.Rows = append(t.Rows, FormatRow(cells...))
}

// FormatRow formats the cells of a row as Add does.
func FormatRow(cells ...any) []string {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = formatCell(c)
	}
	return row
}

func formatCell(cell any) string {
	if f, ok := cell.(float64); ok {
		return fmt.Sprintf("%.3f", f)
	}
	return fmt.Sprint(cell)
}

// WriteMarkdown writes the table as a Markdown section.
func (t *Table) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n", t.Title)
	b.WriteString("| " + strings.Join(t.Columns, " | ") + " |\n")
	b.WriteString("|" + strings.Repeat(" --- |", len(t.Columns)) + "\n")
	for _, row := range t.Rows {
		b.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
	if t.Note != "" {
		b.WriteString("\n" + t.Note + "\n")
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}
