package platform

import (
	"bytes"
	"net/http"
)

// bufferedWriter buffers a response until it is known whether it is sent or lost.
type bufferedWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newBufferedWriter() *bufferedWriter {
	return &bufferedWriter{header: make(http.Header), status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (b *bufferedWriter) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedWriter) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedWriter) Write(p []byte) (int, error) { return b.body.Write(p) }

func (b *bufferedWriter) copyTo(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(b.status)
	// A write fails only if the client has disconnected.
	_, _ = w.Write(b.body.Bytes())
}
