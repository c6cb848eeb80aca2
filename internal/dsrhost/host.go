package dsrhost

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/dsrpeer"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/replica"
	"mimosashore.example/mimosashore/internal/ring"
	"mimosashore.example/mimosashore/internal/store"
)

const (
	// maxPacket is the largest packet of the platform including its header, in bytes.
	maxPacket = 1500
	// packetRingSize is the number of packets queued for the core: 20 ms at 10,000 packets/s, in 0.4 MB.
	packetRingSize = 256
	// feedQueueSize is the number of events of the feed queued for the core.
	feedQueueSize = 16
	// rotationExitTime is how long the fabric may keep sending to a host that is no longer
	// ready: it checks twice a second and removes a host after two failed checks.
	rotationExitTime = 2 * time.Second
	// stopReserve is the part of Settings.StopTimeout reserved for the shutdown of the process.
	stopReserve = time.Second
)

// Dependencies are the settings, formats and services that a host uses.
type Dependencies struct {
	Settings *Settings
	Layout   Layout
	Format   dsr.Format
	Store    store.Store
	Logger   *zap.Logger
	// LogOutput is the output of Logger. It limits the rate of routine lines.
	LogOutput *logging.Bounded
}

// Host forwards packets of callers to upstreams. New opens its listeners and Run serves.
type Host struct {
	deps     Dependencies
	settings *Settings
	log      logging.Logger
	sockets  *netio.Sockets
	ready    *readiness
	metrics  *metricsServer
	stats    *stats
	started  time.Time

	packets *ring.Ring[packet]
	events  chan feedEvent
	// stateRequests carries requests for the state to the core's goroutine.
	stateRequests chan chan *dsr.State
	// explainRequests carries requests for explanations to it.
	explainRequests chan explainRequest
	// stopWaits requests that all waits end; the channel that it carries is closed when they have.
	stopWaits  chan chan struct{}
	replica    *replica.Replica
	translator *translator
	feed       *feed
	checker    *checker
	// peer is nil if the host has no control address.
	peer *dsrpeer.Peer
	// credits is nil if the host does not exchange free slots with others.
	credits *dsrpeer.Credits
}

// packet is a received packet queued for the core.
type packet struct {
	// buffer holds free space for the overhead of the format, then the packet.
	buffer [maxPacket]byte
	// size is the size of the packet without the overhead, in bytes.
	size int
}

// New returns a host whose listeners are open.
func New(ctx context.Context, d Dependencies) (*Host, error) {
	h := &Host{
		deps:            d,
		settings:        d.Settings,
		log:             logging.ForComponent(d.Logger, "host"),
		started:         time.Now(),
		packets:         ring.New[packet](packetRingSize),
		events:          make(chan feedEvent, feedQueueSize),
		stateRequests:   make(chan chan *dsr.State),
		explainRequests: make(chan explainRequest),
		stopWaits:       make(chan chan struct{}),
	}
	h.stats = newStats(d.LogOutput)
	h.checker = newChecker(h.elapsed)
	h.translator = &translator{layout: d.Layout, log: logging.ForComponent(d.Logger, "directory"), stats: h.stats, evacuations: d.Settings.EvacuateWithin > 0}
	if h.translator.evacuations {
		h.stats.registerEvacuations()
	}
	h.replica = replica.New(h.translator, h.elapsed)
	h.feed = &feed{
		store: d.Store, translator: h.translator, replica: h.replica, log: h.translator.log,
		minWatchInterval: d.Settings.distributeWithin() / watchIntervalDivisor, elapsed: h.elapsed, out: h.events,
		resync: make(chan struct{}, 1), confirm: make(chan struct{}, 1), resume: make(chan struct{}, 1), peerUpdated: make(chan struct{}, 1), stats: h.stats,
	}
	h.stats.registerFeed(h.feed)
	if err := h.listen(ctx); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

// listen opens the configured listeners.
func (h *Host) listen(ctx context.Context) error {
	s := h.settings
	var err error
	if h.ready, err = listenReady(s.Ready); err != nil {
		return err
	}
	if s.Metrics.IsValid() {
		if h.metrics, err = listenMetrics(s.Metrics, h); err != nil {
			return err
		}
	}
	if s.Control.IsValid() {
		h.peer, err = dsrpeer.Listen(dsrpeer.Settings{
			Control: s.Control, Zone: s.Zone, Contacts: s.Contacts, Replica: h.replica,
			Delegate: s.distributeWithin() >= minDelegateApplyTime, NeedsPeers: h.feed.needsPeers, StoreAge: h.feed.storeAge,
			StoreFailing: h.feed.failing.Load, ResumeReading: h.feed.resumeReading, ReaderLostStore: h.feed.reportReaderLostStore, Resync: h.feed.requestResync, ApplyUpdate: h.applyFromPeer, Log: logging.ForComponent(h.deps.Logger, "peer"), Now: h.elapsed,
		})
		if err != nil {
			return err
		}
		h.feed.delegated, h.feed.greeted, h.feed.hasSource = h.peer.Delegated, h.peer.Greeted(), h.peer.HasSource
		h.stats.registerPeer(h.peer)
		if s.HoldRequests && s.Credits.IsValid() {
			if h.credits, err = dsrpeer.ListenCredits(h.peer, s.Credits, logging.ForComponent(h.deps.Logger, "credits")); err != nil {
				return err
			}
			h.stats.registerCredits(h.credits)
		}
	}
	h.sockets, err = netio.Listen(ctx, s.Data, netio.Options{Readers: 1, Batch: 1})
	return err
}

func (h *Host) closeListeners() {
	if h.ready != nil {
		h.ready.close()
	}
	if h.metrics != nil {
		h.metrics.close()
	}
	if h.peer != nil {
		h.peer.Close()
	}
	if h.credits != nil {
		h.credits.Close()
	}
	if h.sockets != nil {
		h.sockets.Close()
	}
}

// SetContacts replaces the contacts after a reload of the settings.
func (h *Host) SetContacts(contacts []netip.AddrPort) {
	if h.peer != nil {
		h.peer.SetContacts(contacts)
	}
}

// applyFromPeer applies an update from another host to the replica and passes it to the core.
func (h *Host) applyFromPeer(ctx context.Context, host netip.AddrPort, u replica.Update, storeAge time.Duration) {
	h.feed.applyFromPeer(ctx, host, u, storeAge)
	h.feed.dropExpired(ctx)
}

// elapsed returns the time since the start of the host.
func (h *Host) elapsed() time.Duration { return time.Since(h.started) }

// Run serves until the context ends or a listener fails, and returns the error of
// the listener. It closes all listeners.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.log.Info("started", zap.Duration("stop_timeout", h.settings.StopTimeout), zap.Duration("apply_within", h.settings.ApplyWithin), zap.Duration("evacuate_within", h.settings.EvacuateWithin), zap.String("name", h.settings.Name), zap.String("zone", h.settings.Zone), zap.Stringer("data", h.settings.Data), zap.Stringer("store", h.settings.Store))
	failures := make(chan error, 5)
	var tasks sync.WaitGroup
	tasks.Go(func() { h.feed.run(ctx) })
	tasks.Go(func() { h.feed.runConfirmations(ctx) })
	tasks.Go(func() { failures <- h.readPackets(ctx) })
	tasks.Go(func() { failures <- h.ready.run() })
	tasks.Go(func() { h.runCore(ctx) })
	if h.metrics != nil {
		tasks.Go(func() { failures <- h.metrics.run() })
	}
	if h.peer != nil {
		tasks.Go(func() { failures <- h.peer.Serve(ctx) })
		tasks.Go(func() { h.peer.SendHellos(ctx) })
		tasks.Go(func() { h.peer.Follow(ctx) })
	}
	if h.credits != nil {
		tasks.Go(func() { failures <- h.credits.Run(ctx) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failures:
	}
	cancel()
	h.closeListeners()
	tasks.Wait()
	h.log.Info("stopped", zap.Duration("after", h.elapsed()), zap.Error(err))
	return err
}

// Leave fails the readiness check, so that the fabric removes the host from its
// rotation, and returns when the fabric has had time to do so or StopTimeout is
// nearly over. The host forwards packets meanwhile.
func (h *Host) Leave(ctx context.Context) {
	h.ready.setLeaving()
	wait := min(rotationExitTime, max(h.settings.StopTimeout-stopReserve, 0))
	h.log.Info("planned stop begins", zap.Duration("forwarding_for", wait))
	sleep(ctx, wait)
	h.stopWaiting(ctx)
}

// readPackets reads packets and queues them for the core. If the ring is full, they
// are read and dropped.
func (h *Host) readPackets(ctx context.Context) error {
	reader, err := h.sockets.Reader(0)
	if err != nil {
		return err
	}
	overhead := h.deps.Format.Overhead()
	var overflow packet
	batch := make([]netio.Datagram, 1)
	for {
		p := h.packets.Get()
		full := p == nil
		if full {
			p = &overflow
		}
		batch[0].Data = p.buffer[overhead:]
		_, err := reader.Read(batch)
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
		p.size = len(batch[0].Data)
		h.packets.Put(p)
	}
}
