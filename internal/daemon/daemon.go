// Package daemon runs a load balancer host. It provides the sockets, timers and
// goroutines around packet routing (package forward) and the decision core
// (package hostcore). Each task has its own goroutine; tasks are connected by
// bounded queues, and what exceeds their capacity is dropped and counted.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/hostcore"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/ring"
	"mimosashore.example/mimosashore/internal/settings"
	"mimosashore.example/mimosashore/internal/table"
)

// recordQueueSize is the capacity of the queue of decisions to be logged.
const recordQueueSize = 4096

// Daemon is one load balancer host.
type Daemon struct {
	settings *settings.Settings
	logger   *zap.Logger
	log      logging.Logger
	control  Control
	stats    *stats
	sockets  *netio.Sockets
	table    atomic.Pointer[table.Table]
	coreView coreView
	loop     *coreLoop
	stopped  chan struct{}
	stopOnce sync.Once
	started  time.Time

	// mu guards the inputs of table builds.
	mu   sync.Mutex
	self ids.Instance
	snap *config.Snapshot
	view *member.View
	// stopPlanned is set while the operators' plan marks this host as stopping.
	stopPlanned bool
}

// New creates a host and binds its data sockets.
func New(ctx context.Context, s *settings.Settings, self ids.Instance, control Control, logger *zap.Logger) (*Daemon, error) {
	sockets, err := netio.Listen(ctx, s.Host.Data, netio.Options{
		Readers:   s.Data.Readers,
		Batch:     s.Data.Batch,
		ReusePort: s.Data.ReusePort,
	})
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s,
		logger:   logger,
		log:      logging.ForComponent(logger, "host"),
		control:  control,
		stats:    newStats(),
		sockets:  sockets,
		stopped:  make(chan struct{}),
		started:  time.Now(),
		self:     self,
	}
	d.loop = d.newLoop()
	d.stats.registerCore(&d.coreView)
	return d, nil
}

func (d *Daemon) newLoop() *coreLoop {
	return &coreLoop{
		core: hostcore.New(hostcore.Settings{
			Self: d.self,
			Name: d.settings.Host.Name,
			Zone: d.settings.Host.Zone,
			Seed: uint64(d.self.Incarnation),

			HostRate: d.settings.Host.RequestRate,
		}),
		log:                d.log,
		stats:              d.stats,
		packets:            newCoreQueue(d.settings.Data.Ring),
		out:                ring.New[outDatagram](d.settings.Data.Ring),
		tables:             make(chan *table.Table, 1),
		reports:            make(chan loadReport, reportQueueSize),
		records:            make(chan hostcore.Record, recordQueueSize),
		minIncarnations:    make(chan ids.Incarnation, 1),
		stop:               make(chan struct{}),
		plan:               make(chan bool, 1),
		stopped:            d.stopped,
		coreView:           &d.coreView,
		started:            d.started,
		pauseLimit:         d.settings.Host.PauseLimit,
		advanceIncarnation: d.advanceIncarnation,
	}
}

// Addr returns the bound address of the data sockets.
func (d *Daemon) Addr() netip.AddrPort { return d.sockets.Addr() }

// Close closes the sockets of a Daemon whose Run was never called.
func (d *Daemon) Close() { d.sockets.Close() }

// Run serves until the context is canceled, and then returns nil, or until a task
// fails, and then returns its error.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopSockets := context.AfterFunc(ctx, d.sockets.Close)
	defer stopSockets()
	tasks, err := d.tasks(ctx)
	if err != nil {
		return err
	}
	d.log.Info("started", zap.String("name", d.settings.Host.Name), zap.String("zone", d.settings.Host.Zone),
		zap.Stringer("data", d.Addr()), zap.Stringer("instance", d.instance()))
	failed := make(chan error, len(tasks))
	var running sync.WaitGroup
	for _, task := range tasks {
		running.Go(func() {
			if err := task(); err != nil && !errors.Is(err, net.ErrClosed) {
				failed <- err
			}
			cancel()
		})
	}
	running.Wait()
	select {
	case err := <-failed:
		return eris.Wrap(err, "host failed")
	default:
		return nil
	}
}

// tasks returns the functions that Run runs, each in its own goroutine.
func (d *Daemon) tasks(ctx context.Context) ([]func() error, error) {
	writer, err := d.sockets.Writer(0)
	if err != nil {
		return nil, err
	}
	coreOutput := &coreWriter{in: d.loop.out, writer: writer, stats: d.stats, batch: d.sockets.Batch()}
	loadPoller := newPoller(&d.table, &d.coreView, d.loop.reports, d.stats, d.settings.Load)
	tasks := []func() error{
		func() error { return d.loop.run(ctx) },
		func() error { return coreOutput.run(ctx) },
		func() error { return loadPoller.run(ctx) },
		func() error { return d.control.Run(ctx, d.publish) },
		func() error { return d.logDecisions(ctx) },
	}
	path := &packetPath{table: &d.table, fabricSources: d.fabricSources(), core: d.loop.packets, started: d.started, stats: d.stats, debug: d.debugLog()}
	for i := range d.sockets.Readers() {
		reader, err := newPathReader(path, d.sockets, i)
		if err != nil {
			return nil, err
		}
		tasks = append(tasks, reader.run)
	}
	return tasks, nil
}

// debugLog returns the logger for single packets, or nil if the debug level is
// disabled.
func (d *Daemon) debugLog() *zap.Logger {
	if !d.logger.Core().Enabled(zap.DebugLevel) {
		return nil
	}
	return d.logger
}

func (d *Daemon) fabricSources() map[netip.Addr]bool {
	sources := make(map[netip.Addr]bool)
	for _, a := range d.settings.Fabric.Sources {
		sources[a] = true
	}
	return sources
}

// logDecisions logs the core's decisions.
func (d *Daemon) logDecisions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-d.loop.records:
			logDecision(d.logger, &r)
		}
	}
}

// Stop performs a planned stop. It announces that the host is leaving and returns
// when no work is left, when the grace period has expired or when the context is
// canceled.
func (d *Daemon) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Host.Grace)
	defer cancel()
	d.stopOnce.Do(func() {
		d.log.Info("planned stop begins", zap.Duration("grace", d.settings.Host.Grace))
		d.control.SetLeaving(true)
		close(d.loop.stop)
	})
	select {
	case <-d.stopped:
	case <-ctx.Done():
		d.log.Warn("planned stop ends with work left", zap.Int("requests", d.coreView.load().load.Requests))
	}
}
