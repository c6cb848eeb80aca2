package verify

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"mimosashore.example/mimosashore/internal/standin/callers"
	"mimosashore.example/mimosashore/internal/verdict"
)

// serviceRow summarizes the requests to one service.
type serviceRow struct {
	requests, answered, notRun, mayHaveRun int
	// reasons counts the requests without an answer by verdict and reason.
	reasons   map[string]int
	latencies []time.Duration
}

// WriteTable writes a table with the request counts, latency percentiles and
// failure reasons of each service.
func WriteTable(w io.Writer, deployments []Deployment) {
	rows := make(map[string]*serviceRow)
	for _, d := range deployments {
		for i := range d.CallerRecord.Requests {
			request := &d.CallerRecord.Requests[i]
			rowOf(rows, d.CallerRecord.Names[request.Service]).add(request)
		}
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "service\trequests\tanswered\tnot run\tmay have run\tp50\tp99\twhy not answered")
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		row := rows[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", name, row.requests, row.answered, row.notRun, row.mayHaveRun,
			row.percentile(50), row.percentile(99), row.reasonSummary())
	}
	table.Flush()
}

func rowOf(rows map[string]*serviceRow, name string) *serviceRow {
	if rows[name] == nil {
		rows[name] = &serviceRow{reasons: make(map[string]int)}
	}
	return rows[name]
}

func (r *serviceRow) add(request *callers.Request) {
	r.requests++
	switch request.Verdict {
	case verdict.Ran.String():
		r.answered++
		r.latencies = append(r.latencies, request.Took)
		return
	case verdict.NotRun.String():
		r.notRun++
	default:
		r.mayHaveRun++
	}
	r.reasons[request.Verdict+": "+request.Reason]++
}

// percentile returns the p-th percentile of the latencies of answered requests,
// rounded to 0.1 ms, or 0 if none was answered.
func (r *serviceRow) percentile(p int) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[(len(r.latencies)-1)*p/100].Round(100 * time.Microsecond)
}

func (r *serviceRow) reasonSummary() string {
	reasons := make([]string, 0, len(r.reasons))
	for reason, n := range r.reasons {
		reasons = append(reasons, fmt.Sprintf("%s (%d)", reason, n))
	}
	slices.Sort(reasons)
	if len(reasons) == 0 {
		return "-"
	}
	return strings.Join(reasons, ", ")
}
