package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// callTimeout is the time limit of a call, including its response.
const callTimeout = 5 * time.Second

// callCommand sends an HTTP request to the administrative address of a stand-in and
// prints the response, so that scripts need no other HTTP client.
type callCommand struct {
	Method string `arg:"positional,required" help:"GET, PUT, POST or DELETE"`
	URL    string `arg:"positional,required"`
	Body   string `arg:"positional"`
}

func (c *callCommand) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		return eris.Wrapf(err, "invalid call %s %q", c.Method, c.URL)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "call failed")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody))
	if err != nil {
		return eris.Wrapf(err, "response of %s can't be read", c.URL)
	}
	fmt.Print(string(answer))
	if response.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("%s answered %s", c.URL, response.Status)
	}
	return nil
}
