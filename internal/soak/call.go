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

// callTimeout limits a request to the administrative address of a stand-in.
const callTimeout = 5 * time.Second

// awaitAnswer polls a stand-in until it answers. It returns the last error
// after readyTimeout.
func awaitAnswer(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := get(ctx, url, nil)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		sleep(ctx, readyPollInterval/10)
	}
}

// get requests a URL of a stand-in and decodes the JSON response, or discards
// it if into is nil.
func get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "request to stand-in can't be created")
	}
	return do(request, into)
}

// call sends an administrative request with a JSON body to a stand-in.
func call(method, url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "request body can't be encoded")
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(b))
	if err != nil {
		return eris.Wrap(err, "request to stand-in can't be created")
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
		return eris.Wrapf(err, "response of %s can't be read", request.URL)
	}
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(into), "response of %s can't be decoded", request.URL)
}
