// Package upstreamproc runs upstream stand-ins in one process: each has its own
// UDP socket, its own HTTP listener for health and load, and one goroutine that
// owns its core.
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
	// inboxSize is the number of datagrams that may wait for the core.
	inboxSize = 1 << 12
	// batchSize is the number of datagrams of one read or write.
	batchSize = 32
	// headerTimeout is the longest wait for the header of an HTTP request.
	headerTimeout = 5 * time.Second
)

// Options describe one upstream.
type Options struct {
	Name    string
	Core    upstream.Settings
	Address netip.AddrPort
	// Health is the address of the health and load endpoints.
	Health netip.AddrPort
}

// unit is one upstream with its sockets.
type unit struct {
	name    string
	sockets *netio.Sockets
	health  net.Listener
	core    *upstream.Core
	started time.Time
	inbox   chan wire.Packet
	// calls are run by the goroutine that owns the core.
	calls chan func(*upstream.Core)
	// overflow counts the datagrams that found the inbox full.
	overflow atomic.Uint64
}

func newUnit(ctx context.Context, o Options, started time.Time) (*unit, error) {
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
	return &unit{
		name:    o.Name,
		sockets: sockets,
		health:  health,
		core:    upstream.New(0, o.Core),
		started: started,
		inbox:   make(chan wire.Packet, inboxSize),
		calls:   make(chan func(*upstream.Core)),
	}, nil
}

func (u *unit) close() {
	u.sockets.Close()
	u.health.Close()
}

// run serves the upstream until the context ends.
func (u *unit) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{Handler: u.handler(ctx), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		u.close()
		server.Close()
	})
	defer stop()

	var duties sync.WaitGroup
	errs := make(chan error, 3)
	for _, duty := range []func() error{
		func() error { return u.read() },
		func() error { return u.loop(ctx) },
		func() error { return server.Serve(u.health) },
	} {
		duties.Go(func() {
			errs <- duty()
			cancel()
		})
	}
	duties.Wait()
	close(errs)
	for err := range errs {
		if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "upstream %s failed", u.name)
		}
	}
	return nil
}

// read hands datagrams to the goroutine that owns the core.
func (u *unit) read() error {
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
			if wire.Check(d.Data) == wire.OK {
				u.put(d.Data)
			}
		}
	}
}

func (u *unit) put(p wire.Packet) {
	select {
	case u.inbox <- p:
	default:
		u.overflow.Add(1)
	}
}

// loop owns the core.
func (u *unit) loop(ctx context.Context) error {
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

// ask runs a function with the core and reports false if the unit has ended.
func (u *unit) ask(ctx context.Context, call func(*upstream.Core)) bool {
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
func (u *unit) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		var load upstream.Load
		if u.ask(ctx, func(c *upstream.Core) { load = c.Load() }) {
			writeJSON(w, load)
		}
	})
	return mux
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client is gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(answer)
}
