// Package httpproc runs a stand-in together with its administrative HTTP server.
package httpproc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// headerTimeout is the time limit for reading the header of an HTTP request.
const headerTimeout = 5 * time.Second

// Run serves the handler at the address until work returns. It returns the error
// of work, or else that of the server.
func Run(ctx context.Context, address netip.AddrPort, h http.Handler, work func(context.Context) error) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return eris.Wrap(err, "administrative listener can't be opened")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	err = work(ctx)
	server.Close()
	if serveErr := <-served; err == nil && !errors.Is(serveErr, http.ErrServerClosed) {
		err = eris.Wrap(serveErr, "administrative listener failed")
	}
	return err
}
