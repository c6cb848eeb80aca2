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
	events  chan feedEvent
	again   chan struct{}
	// questions asks the core's goroutine for the state.
	questions  chan chan *dsr.State
	replica    *replica.Replica
	translator *translator
	feed       *feed
	// peer is nil if the host has no control address.
	peer *dsrpeer.Peer
}

// packet is a packet on its way to the core.
type packet struct {
	buffer [maxPacket]byte
	size   int
}

// New opens the listeners of a host.
func New(ctx context.Context, p Parts) (*Host, error) {
	h := &Host{
		parts:     p,
		settings:  p.Settings,
		log:       logging.ForPart(p.Logger, "host"),
		started:   time.Now(),
		packets:   ring.New[packet](packetRing),
		events:    make(chan feedEvent, feedQueue),
		again:     make(chan struct{}, 1),
		replica:   replica.New(),
		questions: make(chan chan *dsr.State),
	}
	h.stats = newStats(p.Lines)
	h.translator = &translator{layout: p.Layout, log: logging.ForPart(p.Logger, "directory"), stats: h.stats}
	h.feed = &feed{
		store: p.Store, translator: h.translator, replica: h.replica, log: h.translator.log,
		pause: p.Settings.ApplyWithin / watchPauseParts, since: h.since, out: h.events, again: h.again, resume: make(chan struct{}, 1), stats: h.stats,
	}
	h.stats.addFeed(h.feed)
	if err := h.listen(ctx); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

// listen opens the listeners that the settings name.
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
			Delegate: s.ApplyWithin >= delegateWithin, Needed: h.feed.needsPeers, Heard: h.feed.heard,
			Lost: h.feed.failing.Load, Resume: h.feed.resumed, Take: h.takeFromPeer, Log: logging.ForPart(h.parts.Logger, "peer"), Now: h.since,
		})
		if err != nil {
			return err
		}
		h.feed.delegated = h.peer.Delegated
		h.stats.addPeer(h.peer)
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
	if h.sockets != nil {
		h.sockets.Close()
	}
}

// SetContacts replaces the contacts after a change of the settings.
func (h *Host) SetContacts(contacts []netip.AddrPort) {
	if h.peer != nil {
		h.peer.SetContacts(contacts)
	}
}

// takeFromPeer hands an update of another host to the core.
func (h *Host) takeFromPeer(ctx context.Context, u replica.Update, heard time.Duration) {
	e := feedEvent{kind: feedPeer, heard: heard}
	if fresh, ok := h.replica.Take(u); ok {
		e.change = h.translator.change(fresh)
		e.change.FromPeer = true
	}
	h.feed.send(ctx, e)
}

// since returns the time since the start of the host.
func (h *Host) since() time.Duration { return time.Since(h.started) }

// Run serves until the context ends or a duty fails.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.log.Info("started", zap.Duration("stop_timeout", h.settings.StopTimeout), zap.Duration("apply_within", h.settings.ApplyWithin), zap.String("name", h.settings.Name), zap.String("zone", h.settings.Zone), zap.Stringer("data", h.settings.Data), zap.Stringer("store", h.settings.Store))
	failures := make(chan error, 4)
	var duties sync.WaitGroup
	duties.Go(func() { h.feed.run(ctx) })
	duties.Go(func() { failures <- h.readPackets(ctx) })
	duties.Go(func() { failures <- h.ready.run() })
	duties.Go(func() { h.decide(ctx) })
	if h.metrics != nil {
		duties.Go(func() { failures <- h.metrics.run() })
	}
	if h.peer != nil {
		duties.Go(func() { failures <- h.peer.Serve(ctx) })
		duties.Go(func() { h.peer.Greet(ctx) })
		duties.Go(func() { h.peer.Follow(ctx) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failures:
	}
	cancel()
	h.closeListeners()
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
