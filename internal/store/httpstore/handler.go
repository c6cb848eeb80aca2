package httpstore

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/store"
)

// Handler returns an HTTP handler that serves the store.
func Handler(s store.Store) http.Handler {
	mux := http.NewServeMux()
	handle(mux, PathGet, func(ctx context.Context, r getRequest) (store.Entry, error) {
		return s.Get(ctx, r.Key)
	})
	handle(mux, PathList, func(ctx context.Context, r listRequest) (store.Page, error) {
		return s.List(ctx, r.Prefix, r.After, r.Limit)
	})
	handle(mux, PathCompareAndSwap, func(ctx context.Context, r casRequest) (store.Entry, error) {
		return s.CompareAndSwap(ctx, r.Key, r.Expect, r.Value, r.Lease)
	})
	handle(mux, PathGrant, func(ctx context.Context, r grantRequest) (grantResponse, error) {
		lease, err := s.Grant(ctx, r.TTL)
		return grantResponse{Lease: lease}, err
	})
	handle(mux, PathKeepAlive, func(ctx context.Context, r keepAliveRequest) (keepAliveResponse, error) {
		return keepAliveResponse{}, s.KeepAlive(ctx, r.Lease)
	})
	handle(mux, PathWatch, func(ctx context.Context, r watchRequest) (watchResponse, error) {
		events, next, err := s.Watch(ctx, r.Prefix, r.After, r.Wait)
		return watchResponse{Events: events, Next: next}, err
	})
	return mux
}

func handle[R, A any](mux *http.ServeMux, path string, serve func(context.Context, R) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request R
		if err := readJSON(r.Body, &request); err != nil {
			writeError(w, path, store.EffectNone, err)
			return
		}
		answer, err := serve(r.Context(), request)
		if err != nil {
			writeError(w, path, store.EffectUnknown, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	})
}

func readJSON(body io.Reader, request any) error {
	content, err := io.ReadAll(io.LimitReader(body, maxBody))
	if err != nil {
		return eris.Wrap(err, "request can't be read")
	}
	if err := json.Unmarshal(content, request); err != nil {
		return eris.Wrap(err, "request can't be decoded")
	}
	return nil
}

// writeError responds with the error. The effect is used for errors that are not a
// *store.Error.
func writeError(w http.ResponseWriter, path string, effect store.Effect, err error) {
	var failure *store.Error
	if !errors.As(err, &failure) {
		failure = &store.Error{Op: path, Fault: store.FaultUnavailable, Effect: effect, Cause: err}
	}
	body := errorBody{
		Op: failure.Op, Key: failure.Key,
		Fault: failure.Fault, Effect: failure.Effect, Current: failure.Current,
	}
	if failure.Cause != nil {
		body.Message = failure.Cause.Error()
	}
	writeJSON(w, statusOf(failure.Fault), body)
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has disconnected, so no one can receive an
	// error.
	_ = json.NewEncoder(w).Encode(answer)
}
