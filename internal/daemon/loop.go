package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/hostcore"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/ring"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

// reportQueueSize is the capacity of the queue of load reports for the core.
const reportQueueSize = 256

// placementStatsInterval is the interval at which placement statistics are aggregated.
const placementStatsInterval = 500 * time.Millisecond

// maxBacklogRun is the maximum number of queued datagrams handled before the loop
// checks its other channels again.
const maxBacklogRun = 64

// loadReport is a report from the load endpoint of an upstream.
type loadReport struct {
	service ids.ServiceID
	report  placement.Report
}

// coreState is the state of the core that is published to other goroutines.
type coreState struct {
	load hostcore.Load
	// placement is aggregated only every placementStatsInterval.
	placement hostcore.PlacementStats
	counters  hostcore.Counters
}

// coreView holds the state of the core as of its last tick.
type coreView struct {
	state atomic.Pointer[coreState]
}

func (v *coreView) load() *coreState {
	if s := v.state.Load(); s != nil {
		return s
	}
	return &coreState{}
}

// coreLoop is the event loop of the decision core. Only its goroutine accesses the
// core.
type coreLoop struct {
	core    *hostcore.Core
	log     logging.Logger
	stats   *stats
	packets *coreQueue
	out     *ring.Ring[outDatagram]
	tables  chan *table.Table
	reports chan loadReport
	records chan hostcore.Record
	// minIncarnations carries the lowest incarnations that the host must take, as
	// required by the control plane.
	minIncarnations chan ids.Incarnation
	// stop is closed when the process has to exit, to start a planned stop. The loop
	// closes stopped when no work is left after that.
	stop chan struct{}
	// plan carries whether the operators' plan marks this host as stopping.
	plan     chan bool
	stopped  chan struct{}
	coreView *coreView

	started time.Time
	// pauseLimit is the shortest pause that leads to a new incarnation.
	pauseLimit time.Duration
	// advanceIncarnation returns this host's instance with an incarnation of at
	// least minimum. A minimum of zero requests the next incarnation.
	advanceIncarnation func(minimum ids.Incarnation) ids.Instance

	effects hostcore.Effects
	// lastActive is the time of the last call of detectPause.
	lastActive time.Duration
	// shuttingDown is set when the process has to exit. Unlike a stop by the
	// plan, this cannot be reverted.
	shuttingDown       bool
	placement          hostcore.PlacementStats
	nextPlacementStats time.Duration
	// idle is set while the host is stopping and no work is left.
	idle bool
}

// run handles events until the context is canceled.
func (l *coreLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(hostcore.TickInterval)
	defer ticker.Stop()
	l.lastActive = l.now()
	stop := l.stop
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-l.packets.rings[config.PriorityUrgent].Queued():
			l.handle(h)
		case h := <-l.packets.rings[config.PriorityNormal].Queued():
			l.handle(h)
		case h := <-l.packets.rings[config.PriorityBulk].Queued():
			l.handle(h)
		case t := <-l.tables:
			l.detectPause()
			l.core.SetTable(l.now(), t, &l.effects)
		case r := <-l.reports:
			l.detectPause()
			l.core.HandleReport(l.now(), r.service, r.report, &l.effects)
		case <-ticker.C:
			l.detectPause()
			l.core.Tick(l.now(), &l.effects)
			l.publishState()
		case minimum := <-l.minIncarnations:
			l.startIncarnation(minimum, "the others know of a later run")
		case stops := <-l.plan:
			l.applyPlan(stops)
		case <-stop:
			stop = nil
			l.shuttingDown = true
			l.core.Stop(l.now(), &l.effects)
		}
		l.apply()
		l.handleBacklog()
	}
}

// handleBacklog handles queued datagrams, the most urgent class first. It stops after
// maxBacklogRun datagrams, so that timers and table changes are not starved.
func (l *coreLoop) handleBacklog() {
	for range maxBacklogRun {
		h := l.packets.take()
		if h == nil {
			return
		}
		l.handle(h)
		l.apply()
	}
}

// handle passes a datagram to the core.
func (l *coreLoop) handle(h *coreDatagram) {
	l.detectPause()
	now := l.now()
	l.core.ObserveLag(now, now-h.readAt)
	l.core.HandlePacket(now, h.env, h.packet(), &l.effects)
	l.packets.release(h)
}

// publishState publishes the state of the core to other goroutines.
func (l *coreLoop) publishState() {
	now := l.now()
	if now >= l.nextPlacementStats {
		l.nextPlacementStats = now + placementStatsInterval
		l.placement = l.core.PlacementStats(now)
	}
	l.coreView.state.Store(&coreState{load: l.core.Load(), counters: l.core.Counters(), placement: l.placement})
}

// applyPlan stops or resumes the core according to the operators' plan.
func (l *coreLoop) applyPlan(stops bool) {
	if stops {
		l.core.Stop(l.now(), &l.effects)
		return
	}
	if !l.shuttingDown {
		l.core.Resume()
	}
}

func (l *coreLoop) now() time.Duration { return time.Since(l.started) }

// detectPause starts a new incarnation if the process was paused for so long that
// other hosts may have declared it dead.
func (l *coreLoop) detectPause() {
	now := l.now()
	gap := now - l.lastActive
	l.lastActive = now
	if gap < l.pauseLimit {
		return
	}
	l.stats.pauses.Inc()
	l.log.Warn("the process stood still", zap.Duration("pause", gap))
	l.startIncarnation(0, "pause")
}

// startIncarnation starts a new incarnation of the core and logs the cause.
func (l *coreLoop) startIncarnation(minimum ids.Incarnation, reason string) {
	self := l.advanceIncarnation(minimum)
	l.log.Warn("new incarnation", zap.String("why", reason), zap.Stringer("instance", self))
	l.core.Reincarnate(l.now(), self, &l.effects)
}

// apply executes the effects of the last core calls.
func (l *coreLoop) apply() {
	for i := range l.effects.Sends {
		l.send(&l.effects.Sends[i])
	}
	for i := range l.effects.Records {
		select {
		case l.records <- l.effects.Records[i]:
		default:
			l.stats.recordOverflow.Inc()
		}
	}
	l.updateStopped()
	l.effects.Reset()
}

// updateStopped logs when a planned stop has no work left. If the process has to
// exit, it also closes stopped.
func (l *coreLoop) updateStopped() {
	if l.effects.Stopped && !l.idle {
		l.log.Info("planned stop ends, no work is left")
	}
	l.idle = l.effects.Stopped
	if l.effects.Stopped && l.shuttingDown && l.stopped != nil {
		close(l.stopped)
		l.stopped = nil
	}
}

// send queues a datagram for the writer. If the ring is full, it is dropped and
// counted.
func (l *coreLoop) send(s *hostcore.Send) {
	o := l.out.Get()
	if o == nil {
		l.stats.writerOverflow.Inc()
		return
	}
	n := 0
	if s.Relay {
		env := wire.Envelope{Origin: wire.OriginRelay, Relays: s.Relays, Source: s.Source}
		env.Put(o.buffer[:])
		n = wire.EnvelopeSize
	}
	n += copy(o.buffer[n:], s.Packet)
	o.datagram.Data = o.buffer[:n]
	o.datagram.Addr = s.To
	l.out.Put(o)
}
