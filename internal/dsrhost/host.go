package dsrhost

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/ring"
	"mimosashore.example/mimosashore/internal/store"
)

const (
	// maxPacket is the largest packet of the platform with its header, in bytes.
	maxPacket = 1500
	// packetRing is the number of packets that may wait for the core: 20 ms of 10,000 a second, and 0.4 MB.
	packetRing = 256
	// feedQueue is the number of changes of the directory that may wait for the core.
	feedQueue = 16
	// rotationTime is how long the fabric may still send to a host that is no
	// longer ready: it asks twice a second and removes a host after two misses.
	rotationTime = 2 * time.Second
	// stopReserve is the part of the time to stop that is kept for the end of the process.
	stopReserve = time.Second
)

// Parts are what a host is built from.
type Parts struct {
	Settings *Settings
	Layout   Layout
	Format   dsr.Format
	Store    store.Store
	Logger   *zap.Logger
	// Lines is the output of the logger.
	Lines *logging.Bounded
}

// Host is a running host.
type Host struct {
	parts    Parts
	settings *Settings
	log      logging.Part
	sockets  *netio.Sockets
	ready    *readiness
	metrics  *metricsServer
	stats    *stats
	started  time.Time

	packets *ring.Ring[packet]
	feed    chan feedEvent
	again   chan struct{}
	state   atomic.Pointer[State]
}

// packet is a packet on its way to the core.
type packet struct {
	buffer [maxPacket]byte
	size   int
}

// New opens the listeners of a host.
func New(ctx context.Context, p Parts) (*Host, error) {
	h := &Host{
		parts:    p,
		settings: p.Settings,
		log:      logging.ForPart(p.Logger, "host"),
		started:  time.Now(),
		packets:  ring.New[packet](packetRing),
		feed:     make(chan feedEvent, feedQueue),
		again:    make(chan struct{}, 1),
	}
	h.stats = newStats(p.Lines)
	var err error
	if h.ready, err = listenReady(p.Settings.Ready); err != nil {
		return nil, err
	}
	if p.Settings.Metrics.IsValid() {
		if h.metrics, err = listenMetrics(p.Settings.Metrics, h); err != nil {
			h.ready.close()
			return nil, err
		}
	}
	h.sockets, err = netio.Listen(ctx, p.Settings.Data, netio.Options{Readers: 1, Batch: 1})
	if err != nil {
		h.closeListeners()
		return nil, err
	}
	h.state.Store(&State{})
	return h, nil
}

func (h *Host) closeListeners() {
	h.ready.close()
	if h.metrics != nil {
		h.metrics.close()
	}
}

// since returns the time since the start of the host.
func (h *Host) since() time.Duration { return time.Since(h.started) }

// Run serves until the context ends or a duty fails.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.log.Info("started", zap.String("name", h.settings.Name), zap.String("zone", h.settings.Zone), zap.Stringer("data", h.settings.Data), zap.Stringer("store", h.settings.Store))
	f := &feed{
		store: h.parts.Store, layout: h.parts.Layout, log: logging.ForPart(h.parts.Logger, "directory"),
		pause: h.settings.ApplyWithin / watchPauseParts, since: h.since, out: h.feed, again: h.again, stats: h.stats,
	}
	failures := make(chan error, 3)
	var duties sync.WaitGroup
	duties.Go(func() { f.run(ctx) })
	duties.Go(func() { failures <- h.readPackets(ctx) })
	duties.Go(func() { failures <- h.ready.run() })
	duties.Go(func() { h.decide(ctx) })
	if h.metrics != nil {
		duties.Go(func() { failures <- h.metrics.run() })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failures:
	}
	cancel()
	h.closeListeners()
	h.sockets.Close()
	duties.Wait()
	h.log.Info("stopped", zap.Duration("after", h.since()), zap.Error(err))
	return err
}

// Leave takes the host out of the fabric's rotation and returns when packets
// have moved to other hosts, or when the time to stop is nearly over.
func (h *Host) Leave(ctx context.Context) {
	h.ready.leave()
	wait := min(rotationTime, max(h.settings.StopTimeout-stopReserve, 0))
	h.log.Info("planned stop begins", zap.Duration("forwarding_for", wait))
	sleep(ctx, wait)
}

// readPackets reads packets into the ring of the core.
func (h *Host) readPackets(ctx context.Context) error {
	reader, err := h.sockets.Reader(0)
	if err != nil {
		return err
	}
	space := h.parts.Format.Overhead()
	var spare packet
	into := make([]netio.Datagram, 1)
	for {
		p := h.packets.Get()
		full := p == nil
		if full {
			p = &spare
		}
		into[0].Data = p.buffer[space:]
		_, err := reader.Read(into)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		h.stats.received.Inc()
		if full {
			h.stats.ringFull.Inc()
			continue
		}
		p.size = len(into[0].Data)
		h.packets.Put(p)
	}
}
