package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/admin"
)

const (
	// awaitInterval is the polling interval of a host's state.
	awaitInterval = 50 * time.Millisecond
	// maxResponseBody is the largest accepted response, in bytes.
	maxResponseBody = 1 << 24
)

// awaitCommand waits until all hosts are ready. With --document it waits until all
// hosts have the revision in force, and prints the seconds from --since until then.
type awaitCommand struct {
	Host     []string      `arg:"--host,separate,required" help:"administrative URL of a host"`
	Document string        `arg:"--document" help:"name of a document that has to be in force"`
	Revision uint64        `arg:"--revision" help:"lowest revision of the document"`
	Since    int64         `arg:"--since" help:"time of acceptance in Unix milliseconds"`
	Timeout  time.Duration `arg:"--timeout" default:"20s"`
}

func (c *awaitCommand) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var latest time.Time
	for _, host := range c.Host {
		at, err := c.awaitHost(ctx, host)
		if err != nil {
			return err
		}
		if at.After(latest) {
			latest = at
		}
	}
	if c.Document != "" {
		fmt.Printf("%.3f\n", max(0, latest.Sub(time.UnixMilli(c.Since)).Seconds()))
	}
	return nil
}

// awaitHost polls a host until it meets the condition, and returns the time since
// which it does. A failed poll is repeated.
func (c *awaitCommand) awaitHost(ctx context.Context, url string) (time.Time, error) {
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	last := "no answer yet"
	for {
		state, err := readState(ctx, url)
		switch {
		case err == nil:
			if at, ok := c.conditionMet(state, time.Now()); ok {
				return at, nil
			}
			last = cmp.Or(state.NotReady, "ready")
		case ctx.Err() == nil:
			last = err.Error()
		}
		select {
		case <-ctx.Done():
			return time.Time{}, eris.Errorf("host %s did not meet the condition (document %q, revision %d) within %s, its state: %s", url, c.Document, c.Revision, c.Timeout, last)
		case <-ticker.C:
		}
	}
}

// conditionMet reports whether a host in this state meets the condition, and since
// when: the time at which the document came into force, or now without --document.
func (c *awaitCommand) conditionMet(s *admin.State, now time.Time) (time.Time, bool) {
	if c.Document == "" {
		return now, s.Ready
	}
	for _, d := range s.Documents {
		if d.Name == c.Document && d.Revision >= c.Revision {
			return now.Add(-time.Duration(d.InForceSeconds * float64(time.Second))), true
		}
	}
	return time.Time{}, false
}

func readState(ctx context.Context, url string) (*admin.State, error) {
	var state admin.State
	if err := getJSON(ctx, url+"/state", maxResponseBody, &state); err != nil {
		return nil, err
	}
	return &state, nil
}

// getJSON decodes the response of a GET request. It reads at most limit bytes.
func getJSON(ctx context.Context, url string, limit int64, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrapf(err, "invalid URL %q", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "%s doesn't answer", url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s answered %s", url, response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, limit)).Decode(into)
	return eris.Wrapf(err, "response of %s can't be decoded", url)
}
