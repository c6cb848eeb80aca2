package dsrhost

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

// The paths of the metrics listener.
const (
	metricsPath = "GET /metrics"
	statePath   = "GET /state"
	explainPath = "GET /explain"
)

// metricsServer serves metrics in the Prometheus text format, and as JSON the state of the
// host and explanations where a new flow would go.
type metricsServer struct {
	listener net.Listener
	server   *http.Server
}

func listenMetrics(address netip.AddrPort, h *Host) (*metricsServer, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen on metrics address %s", address)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		h.stats.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc(statePath, func(w http.ResponseWriter, r *http.Request) {
		state, err := h.State(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write fails only if the client has disconnected; there is nothing to do then.
		_ = json.NewEncoder(w).Encode(state)
	})
	mux.HandleFunc(explainPath, h.serveExplain)
	return &metricsServer{listener: l, server: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}}, nil
}

func (m *metricsServer) run() error {
	err := m.server.Serve(m.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "metrics listener failed")
}

func (m *metricsServer) close() {
	m.server.Close()
	m.listener.Close()
}
