// Package httpstore carries store calls over HTTP and JSON: a client that
// implements store.Store and a handler that serves one.
//
// Every call is a POST request with a JSON body. A failed call is answered with a
// status of 400 or above and an errorBody, which contains the fault and the
// effect. If the response has no such body, the effect of a write is unknown.
package httpstore

import (
	"net/http"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// Paths of the calls.
const (
	PathGet            = "/v1/get"
	PathList           = "/v1/list"
	PathCompareAndSwap = "/v1/cas"
	PathGrant          = "/v1/grant"
	PathKeepAlive      = "/v1/keepalive"
	PathWatch          = "/v1/watch"
)

// maxBody is the size limit of a request or response body, in bytes. A full page
// of a listing, with base64-encoded values, is smaller.
const maxBody = 64 << 20

type getRequest struct {
	Key string `json:"key"`
}

type listRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

type casRequest struct {
	Key    string         `json:"key"`
	Expect store.Position `json:"expect"`
	// Value is null for a deletion.
	Value []byte        `json:"value"`
	Lease store.LeaseID `json:"lease"`
}

type grantRequest struct {
	TTL time.Duration `json:"ttl_ns"`
}

type grantResponse struct {
	Lease store.LeaseID `json:"lease"`
}

type keepAliveRequest struct {
	Lease store.LeaseID `json:"lease"`
}

type keepAliveResponse struct{}

type watchRequest struct {
	Prefix string         `json:"prefix"`
	After  store.Position `json:"after"`
	Wait   time.Duration  `json:"wait_ns"`
}

type watchResponse struct {
	Events []store.Event  `json:"events"`
	Next   store.Position `json:"next"`
}

type errorBody struct {
	Op      string       `json:"op"`
	Key     string       `json:"key"`
	Fault   store.Fault  `json:"fault"`
	Effect  store.Effect `json:"effect"`
	Current store.Entry  `json:"current"`
	Message string       `json:"message,omitempty"`
}

func statusOf(f store.Fault) int {
	switch f {
	case store.FaultConflict:
		return http.StatusConflict
	case store.FaultCompacted, store.FaultRestored:
		return http.StatusGone
	case store.FaultLease:
		return http.StatusPreconditionFailed
	case store.FaultTooLarge:
		return http.StatusRequestEntityTooLarge
	case store.FaultRate:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}
