package dsrhost

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// headerTimeout is the longest wait for the header of a request; it allows for a TCP retransmission within a second.
const headerTimeout = 2 * time.Second

// readyPath is the path of the fabric's readiness check.
const readyPath = "GET /ready"

// readiness answers the fabric's readiness check.
type readiness struct {
	listener net.Listener
	server   *http.Server
	// ready is set while the core can route packets, leaving once a planned stop began.
	ready   atomic.Bool
	leaving atomic.Bool
}

func listenReady(address netip.AddrPort) (*readiness, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen on readiness address %s", address)
	}
	r := &readiness{listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc(readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready.Load() || r.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return r, nil
}

func (r *readiness) run() error {
	err := r.server.Serve(r.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "readiness listener failed")
}

func (r *readiness) setReady(ready bool) { r.ready.Store(ready) }

func (r *readiness) setLeaving() { r.leaving.Store(true) }

func (r *readiness) close() {
	r.server.Close()
	r.listener.Close()
}
