// Package admin is the administrative HTTP server of a host. It serves
// Prometheus metrics, liveness, readiness, and the host's state as JSON and as
// an HTML page.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

const (
	// headerTimeout limits the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// shutdownTimeout limits the wait for running requests at shutdown.
	shutdownTimeout = time.Second
)

// Document is a configuration document in force on the host.
type Document struct {
	Name           string  `json:"name"`
	Revision       uint64  `json:"revision"`
	InForceSeconds float64 `json:"in_force_seconds"`
}

// Member is a host of the fleet in this host's view of the membership.
type Member struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

// State is the response of /state. NotReady holds the reason if Ready is false.
type State struct {
	Host          string     `json:"host"`
	Zone          string     `json:"zone"`
	Incarnation   uint64     `json:"incarnation"`
	Ready         bool       `json:"ready"`
	NotReady      string     `json:"not_ready,omitempty"`
	Stopping      bool       `json:"stopping"`
	OwnedFlows    int        `json:"owned_flows"`
	OwnedRequests int        `json:"owned_requests"`
	Documents     []Document `json:"documents"`
	Members       []Member   `json:"members"`
}

// Host provides the state and the metrics that the server exposes. Its methods
// are called concurrently.
type Host interface {
	State() State
	Metrics() []*metrics.Set
}

// Handler serves /metrics, /healthz, /readyz, /state and an HTML page at /.
// /readyz responds with status 503 and the reason while the host is not ready.
func Handler(h Host) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		for _, set := range h.Metrics() {
			set.WritePrometheus(w)
		}
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if s := h.State(); !s.Ready {
			writeText(w, http.StatusServiceUnavailable, "not ready: "+s.NotReady)
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(h.State())
	})
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		_ = page.Execute(w, h.State())
	})
	return mux
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// Server is the administrative HTTP server with its open listener.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen opens the listener at address. Requests are served once Run is called.
func Listen(ctx context.Context, address netip.AddrPort, h Host) (*Server, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, eris.Wrap(err, "administrative listener can't be opened")
	}
	return &Server{listener: l, server: &http.Server{Handler: Handler(h), ReadHeaderTimeout: headerTimeout}}, nil
}

// Run serves requests until the context ends, then shuts down gracefully. It
// returns nil after a shutdown.
func (s *Server) Run(ctx context.Context) error {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		s.shutdown()
	})
	err := s.server.Serve(s.listener)
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "administrative listener failed")
}

// Close closes the listener of a server whose Run was not called.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		s.server.Close()
	}
}
