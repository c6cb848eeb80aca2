package verify

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/standin/callers"
	"mimosashore.example/mimosashore/internal/standin/upstream"
	"mimosashore.example/mimosashore/internal/standin/upstreamproc"
)

// run returns a run of a request to service 2, or to service 3 if service isn't 0.
func run(service, body int) upstream.Run {
	r := upstream.Run{BodySum: uint64(body)}
	r.Account, r.Service = 1, 2
	if service != 0 {
		r.Service += 1
	}
	return r
}

func request(verdict string, body int) callers.Request {
	return callers.Request{Account: 1, Service: 2, Verdict: verdict, BodySum: uint64(body), Whole: true}
}

func TestCompare(t *testing.T) {
	incomplete := request("ran", 1)
	incomplete.Whole = false
	foreign := run(0, 1)
	foreign.Account = 9
	idempotent := run(0, 1)
	idempotent.Idempotent = true
	for _, test := range []struct {
		name      string
		request   callers.Request
		runs      []upstream.Run
		violation string
	}{
		{"answered", request("ran", 1), []upstream.Run{run(0, 1)}, ""},
		{"not run", request("not run", 1), nil, ""},
		{"may have run", request("may have run", 1), []upstream.Run{run(0, 1)}, ""},
		{"idempotent request ran twice", request("ran", 1), []upstream.Run{idempotent, idempotent}, ""},
		{"request ran twice", request("ran", 1), []upstream.Run{run(0, 1), run(0, 1)}, "a request that isn't idempotent ran twice"},
		{"not run but ran", request("not run", 1), []upstream.Run{run(0, 1)}, "a request reported as not run did run"},
		{"incomplete answer", incomplete, []upstream.Run{run(0, 1)}, "an answer was incomplete"},
		{"answer without a run", request("ran", 1), nil, "an answer was incomplete"},
		{"other service", request("ran", 1), []upstream.Run{run(1, 1)}, "a packet reached another service"},
		{"other account", request("ran", 1), []upstream.Run{foreign}, "a packet reached another client account"},
		{"unknown run", request("ran", 1), []upstream.Run{run(0, 1), run(0, 2)}, "an upstream ran a request that no caller sent"},
	} {
		t.Run(test.name, func(t *testing.T) {
			record := &callers.Record{
				Requests: []callers.Request{test.request, request("ran", 77)},
				Flows:    callers.Flows{Opened: 1},
			}
			report := upstreamproc.Report{Runs: append(test.runs, run(0, 77))}
			result := Compare([]Deployment{{CallerRecord: record, UpstreamReport: &report}})
			var want []string
			if test.violation != "" {
				want = []string{test.violation}
			}
			require.Equal(t, want, result.Violations(Limits{}))
		})
	}
}

func TestFlowAndConfigurationViolations(t *testing.T) {
	result := Compare([]Deployment{{
		CallerRecord: &callers.Record{
			Requests: []callers.Request{request("ran", 1)},
			Flows:    callers.Flows{Opened: 5, Broken: 1, NeverOpened: 1, ForeignService: 1},
		},
		UpstreamReport: &upstreamproc.Report{Runs: []upstream.Run{run(0, 1)}, Counters: upstream.Counters{ForeignAccount: 1}},
	}})
	result.ConfigSecondsMax = 8
	require.Equal(t, []string{
		"a session could not open a flow",
		"a flow broke",
		"a packet reached another service",
		"a packet reached another client account",
		"a configuration was not in force in time",
	}, result.Violations(Limits{ConfigSeconds: 7}))
}

func TestDeploymentsAreComparedSeparately(t *testing.T) {
	one := Deployment{
		CallerRecord:   &callers.Record{Requests: []callers.Request{request("ran", 1)}, Flows: callers.Flows{Opened: 1}},
		UpstreamReport: &upstreamproc.Report{Runs: []upstream.Run{run(0, 1)}},
	}
	other := Deployment{
		CallerRecord:   &callers.Record{Requests: []callers.Request{request("not run", 1)}, Flows: callers.Flows{Opened: 1}},
		UpstreamReport: &upstreamproc.Report{},
	}
	result := Compare([]Deployment{one, other})
	require.Empty(t, result.Violations(Limits{}))
	require.Equal(t, 2, result.Requests)
}

func TestRunsAfterDrainAreCounted(t *testing.T) {
	drain, err := ParseDrain("pedidos-01@5000")
	require.NoError(t, err)
	report := &upstreamproc.Report{Started: 1000, Names: map[ids.UpstreamID]string{4: "pedidos-01", 5: "pedidos-02"}}
	for _, at := range []time.Duration{3 * time.Second, 6 * time.Second, 8 * time.Second} {
		report.Runs = append(report.Runs, upstream.Run{Upstream: 4, At: at}, upstream.Run{Upstream: 5, At: at})
	}
	var result Result
	result.AddDrains([]Deployment{{UpstreamReport: report}}, []Drain{drain})
	require.Equal(t, 1, result.RunsAfterDrain)
	require.Contains(t, result.Violations(Limits{}), "a draining upstream got a new request")
	for _, text := range []string{"pedidos-01", "@5000", "pedidos-01@soon"} {
		_, err := ParseDrain(text)
		require.Error(t, err, text)
	}
}
