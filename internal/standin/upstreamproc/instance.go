// Package upstreamproc runs upstream stand-ins (package upstream) in one process.
// Each has its own UDP socket, HTTP listener for health and load, and a goroutine
// that owns its core.
package upstreamproc

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/standin/upstream"
	"mimosashore.example/mimosashore/internal/wire"
)

const (
	// inboxSize is the capacity of an upstream's receive queue, in datagrams.
	inboxSize = 1 << 12
	// batchSize is the largest number of datagrams per read or write.
	batchSize = 32
	// headerTimeout is the time limit for reading the header of an HTTP request.
	headerTimeout = 5 * time.Second
)

// Options configure one upstream.
type Options struct {
	Name    string
	Core    upstream.Settings
	Address netip.AddrPort
	// Health is the address of the health and load endpoints.
	Health netip.AddrPort
}

// instance is one upstream with its sockets.
type instance struct {
	name    string
	sockets *netio.Sockets
	health  net.Listener
	core    *upstream.Core
	started time.Time
	inbox   chan wire.Packet
	// calls are functions to run on the goroutine that owns the core.
	calls chan func(*upstream.Core)
	// overflow counts the datagrams dropped because the inbox was full.
	overflow atomic.Uint64
}

func newInstance(ctx context.Context, o Options, started time.Time) (*instance, error) {
	sockets, err := netio.Listen(ctx, o.Address, netio.Options{Batch: batchSize})
	if err != nil {
		return nil, err
	}
	var config net.ListenConfig
	health, err := config.Listen(ctx, "tcp", o.Health.String())
	if err != nil {
		sockets.Close()
		return nil, eris.Wrapf(err, "health endpoint of %s can't be opened", o.Name)
	}
	return &instance{
		name:    o.Name,
		sockets: sockets,
		health:  health,
		core:    upstream.New(0, o.Core),
		started: started,
		inbox:   make(chan wire.Packet, inboxSize),
		calls:   make(chan func(*upstream.Core)),
	}, nil
}

func (u *instance) close() {
	u.sockets.Close()
	u.health.Close()
}

// run serves the upstream until the context ends.
func (u *instance) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{Handler: u.handler(ctx), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		u.close()
		server.Close()
	})
	defer stop()

	var tasks sync.WaitGroup
	errs := make(chan error, 3)
	for _, task := range []func() error{
		func() error { return u.read() },
		func() error { return u.loop(ctx) },
		func() error { return server.Serve(u.health) },
	} {
		tasks.Go(func() {
			errs <- task()
			cancel()
		})
	}
	tasks.Wait()
	close(errs)
	for err := range errs {
		if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "upstream %s failed", u.name)
		}
	}
	return nil
}

// read passes valid datagrams to the goroutine that owns the core.
func (u *instance) read() error {
	reader, err := u.sockets.Reader(0)
	if err != nil {
		return err
	}
	for {
		into := netio.NewDatagrams(batchSize, wire.MaxDatagram+1)
		n, err := reader.Read(into)
		if err != nil {
			return err
		}
		for _, d := range into[:n] {
			if wire.Check(d.Data) == wire.StatusOK {
				u.enqueue(d.Data)
			}
		}
	}
}

func (u *instance) enqueue(p wire.Packet) {
	select {
	case u.inbox <- p:
	default:
		u.overflow.Add(1)
	}
}

// loop owns the core: it handles datagrams, calls and ticks, and sends the effects.
func (u *instance) loop(ctx context.Context) error {
	writer, err := u.sockets.Writer(0)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(upstream.TickInterval)
	defer ticker.Stop()
	var out upstream.Effects
	var batch []netio.Datagram
	for {
		out.Reset()
		select {
		case <-ctx.Done():
			return nil
		case p := <-u.inbox:
			u.core.HandlePacket(time.Since(u.started), p, &out)
		case call := <-u.calls:
			call(u.core)
		case <-ticker.C:
			u.core.Tick(time.Since(u.started), &out)
		}
		batch = batch[:0]
		for _, s := range out.Sends {
			batch = append(batch, netio.Datagram{Data: s.Packet, Addr: s.To})
		}
		if _, err := writer.Write(batch); err != nil {
			return err
		}
	}
}

// withCore runs a function on the goroutine that owns the core and waits for it. It
// returns false if the context ends first.
func (u *instance) withCore(ctx context.Context, call func(*upstream.Core)) bool {
	done := make(chan struct{})
	select {
	case u.calls <- func(c *upstream.Core) { call(c); close(done) }:
		<-done
		return true
	case <-ctx.Done():
		return false
	}
}

// handler serves GET /load.
func (u *instance) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		var load upstream.Load
		if u.withCore(ctx, func(c *upstream.Core) { load = c.Load() }) {
			writeJSON(w, load)
		}
	})
	return mux
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}
