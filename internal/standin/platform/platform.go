// Package platform is a stand-in for the platform's services in tests and
// demos: the key-value store over HTTP, and the list of hosts, which is served with
// a configurable delay. It can inject the faults that occur on the platform. Faults,
// counters and the list of hosts are controlled through a second, administrative
// listener.
package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/store"
	"mimosashore.example/mimosashore/internal/store/httpstore"
	"mimosashore.example/mimosashore/internal/store/memstore"
)

// shutdownTimeout is the longest wait for calls in progress when Serve ends.
const shutdownTimeout = time.Second

// Options are the settings of a stand-in.
type Options struct {
	// Store holds the data. If it implements LeaseExpirer, leases can be expired, and if it
	// implements Restorer, it can be restored.
	Store store.Store
	// HostLag is the age of the list of hosts served by GET /hosts.
	HostLag time.Duration
}

// Restorer is implemented by stores that can be restored from a copy.
type Restorer interface {
	Copy() *memstore.Copy
	Restore(c *memstore.Copy)
}

// LeaseExpirer is implemented by stores whose leases can be expired immediately.
type LeaseExpirer interface {
	// ExpireLease expires the lease and reports whether it existed.
	ExpireLease(lease store.LeaseID) bool
}

// Platform is a stand-in for the platform's services. It is safe for concurrent use.
type Platform struct {
	store    store.Store
	faults   faultState
	counters *counters
	hosts    *hostList

	// copyMu guards copied, the copy to restore.
	copyMu sync.Mutex
	copied *memstore.Copy
}

// New returns a stand-in that injects no faults until they are set.
func New(o Options) *Platform {
	return &Platform{
		store:    o.Store,
		counters: newCounters(time.Now()),
		hosts:    newHostList(o.HostLag),
	}
}

// Handler serves the store and GET /hosts, with the injected faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", httpstore.Handler(&faultStore{Store: p.store, platform: p}))
	mux.HandleFunc("GET /hosts", p.serveHosts)
	return p.withFaults(mux)
}

// Serve serves both listeners until the context ends or one of them fails, and closes
// them.
func Serve(ctx context.Context, p *Platform, service, admin net.Listener) error {
	servers := []*http.Server{{Handler: p.Handler()}, {Handler: p.AdminHandler()}}
	failed := make(chan error, len(servers))
	for i, l := range []net.Listener{service, admin} {
		go func() { failed <- servers[i].Serve(l) }()
	}
	var err error
	running := len(servers)
	select {
	case <-ctx.Done():
	case err = <-failed:
		running--
	}
	for _, s := range servers {
		shutdown(s)
	}
	for range running {
		<-failed
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "platform stand-in can't serve")
	}
	return nil
}

// ListenAndServe listens on both addresses and serves until the context ends.
func ListenAndServe(ctx context.Context, p *Platform, serviceAddr, adminAddr string) error {
	service, err := net.Listen("tcp", serviceAddr)
	if err != nil {
		return eris.Wrap(err, "platform stand-in can't listen")
	}
	admin, err := net.Listen("tcp", adminAddr)
	if err != nil {
		service.Close()
		return eris.Wrap(err, "platform stand-in can't listen")
	}
	return Serve(ctx, p, service, admin)
}

func shutdown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		s.Close()
	}
}
