package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/standin/callers"
	"mimosashore.example/mimosashore/internal/standin/upstreamproc"
	"mimosashore.example/mimosashore/internal/standin/verify"
)

// maxReportBody is the largest accepted report of upstreams, in bytes.
const maxReportBody = 1 << 30

// errInvariantViolated makes the program exit with a failure but print no error message,
// so that the JSON result is the last line of the output.
var errInvariantViolated = eris.New("an invariant is violated")

// verifyCommand compares the records of callers with the reports of upstreams,
// prints a table and one line of JSON, and fails if an invariant is violated.
type verifyCommand struct {
	Callers          []string `arg:"--callers,separate,required" help:"record of the callers of a deployment"`
	Upstreams        []string `arg:"--upstreams,separate,required" help:"administrative URL of the upstreams of the same deployment"`
	ConfigSecondsMax float64  `arg:"--config-seconds-max" help:"longest time from an acceptance until it was in force on all hosts"`
	ConfigLimit      float64  `arg:"--config-limit" default:"7" help:"longest time that is allowed, in seconds"`
	Drained          []string `arg:"--drained,separate" placeholder:"NAME@MILLISECONDS" help:"upstream and time of a drain; it must get no new work some seconds later"`
	BrokenLimit      int      `arg:"--broken-limit" help:"number of flows that may break"`
}

func (c *verifyCommand) run(ctx context.Context) error {
	if len(c.Callers) != len(c.Upstreams) {
		return eris.Errorf("each deployment needs --callers and --upstreams: got %d and %d", len(c.Callers), len(c.Upstreams))
	}
	var deployments []verify.Deployment
	for i := range c.Callers {
		d, err := readDeployment(ctx, c.Callers[i], c.Upstreams[i])
		if err != nil {
			return err
		}
		deployments = append(deployments, d)
	}
	result := verify.Compare(deployments)
	result.ConfigSecondsMax = c.ConfigSecondsMax
	for _, text := range c.Drained {
		drain, err := verify.ParseDrain(text)
		if err != nil {
			return err
		}
		result.AddDrains(deployments, []verify.Drain{drain})
	}
	return c.print(&result, deployments)
}

// readDeployment reads the record of the callers from path and the report of the
// upstreams from url.
func readDeployment(ctx context.Context, path, url string) (verify.Deployment, error) {
	record, err := callers.ReadFile(path)
	if err != nil {
		return verify.Deployment{}, err
	}
	var report upstreamproc.Report
	if err := getJSON(ctx, url+"/report", maxReportBody, &report); err != nil {
		return verify.Deployment{}, err
	}
	return verify.Deployment{CallerRecord: record, UpstreamReport: &report}, nil
}

// print writes the table, the violations and the JSON result to the standard output. It
// returns errInvariantViolated if there are violations.
func (c *verifyCommand) print(result *verify.Result, deployments []verify.Deployment) error {
	line, err := json.Marshal(result)
	if err != nil {
		return eris.Wrap(err, "result can't be encoded")
	}
	verify.WriteTable(os.Stdout, deployments)
	violations := result.Violations(verify.Limits{BrokenFlows: c.BrokenLimit, ConfigSeconds: c.ConfigLimit})
	for _, v := range violations {
		fmt.Println("FAILED:", v)
	}
	fmt.Println(string(line))
	if len(violations) > 0 {
		return errInvariantViolated
	}
	return nil
}
