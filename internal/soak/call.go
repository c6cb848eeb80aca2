package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// callTimeout is the longest wait for the answer of a stand-in.
const callTimeout = 5 * time.Second

// await asks a stand-in until it answers.
func await(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyWithin)
	for {
		err := get(ctx, url, nil)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		rest(ctx, askInterval/10)
	}
}

// get reads the answer of a stand-in.
func get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "stand-in can't be asked")
	}
	return do(request, into)
}

// call sends an administrative call to a stand-in.
func call(method, url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "call can't be encoded")
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(b))
	if err != nil {
		return eris.Wrap(err, "stand-in can't be asked")
	}
	return do(request, nil)
}

func do(request *http.Request, into any) error {
	client := http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrap(err, "stand-in doesn't answer")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("%s answered %s", request.URL, response.Status)
	}
	if into == nil {
		_, err = io.Copy(io.Discard, response.Body)
		return eris.Wrap(err, "answer can't be read")
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(into), "answer can't be read")
}
