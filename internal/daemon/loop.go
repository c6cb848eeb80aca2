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

// reportRing is the number of load reports that may wait for the core.
const reportRing = 256

// summaryInterval is the time between two sums over the placers.
const summaryInterval = 500 * time.Millisecond

// drainLimit is the number of datagrams that are handled in a row.
const drainLimit = 64

// loadReport is what a load endpoint said.
type loadReport struct {
	service ids.ServiceID
	report  placement.Report
}

// coreState is what other goroutines see of the core.
type coreState struct {
	load hostcore.Load
	// placement is as of the last sum, which is made at summaryInterval.
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

// coreLoop owns the decision core.
type coreLoop struct {
	core    *hostcore.Core
	log     logging.Part
	stats   *stats
	packets *coreQueue
	out     *ring.Ring[outgoing]
	tables  chan *table.Table
	reports chan loadReport
	records chan hostcore.Record
	// least carries the incarnations that the control plane asks for.
	least chan ids.Incarnation
	stop  chan struct{}
	// plan carries whether the operators' plan stops this host.
	plan    chan bool
	stopped chan struct{}
	view    *coreView

	started    time.Time
	pauseLimit time.Duration
	// reincarnate returns the instance of a new incarnation that isn't less than
	// the given one. Zero asks for the next one.
	reincarnate func(least ids.Incarnation) ids.Instance

	effects  hostcore.Effects
	lastSeen time.Duration
	// ending is set once the process is to end; the plan can't take that back.
	ending      bool
	placement   hostcore.PlacementStats
	nextSummary time.Duration
	// idle is set while a planned stop has no work left.
	idle bool
}

// run handles events until the context ends.
func (l *coreLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(hostcore.TickInterval)
	defer ticker.Stop()
	l.lastSeen = l.now()
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
			l.noticePause()
			l.core.SetTable(l.now(), t, &l.effects)
		case r := <-l.reports:
			l.noticePause()
			l.core.Report(l.now(), r.service, r.report, &l.effects)
		case <-ticker.C:
			l.noticePause()
			l.core.Tick(l.now(), &l.effects)
			l.show()
		case least := <-l.least:
			l.begin(least, "the others know of a later run")
		case stops := <-l.plan:
			l.followPlan(stops)
		case <-stop:
			stop = nil
			l.ending = true
			l.core.Stop(l.now(), &l.effects)
		}
		l.apply()
		l.drain()
	}
}

// drain handles what waits, the most urgent class first, up to a number that
// leaves timers and changes their turn.
func (l *coreLoop) drain() {
	for range drainLimit {
		h := l.packets.take()
		if h == nil {
			return
		}
		l.handle(h)
		l.apply()
	}
}

// handle gives a datagram to the core.
func (l *coreLoop) handle(h *handover) {
	l.noticePause()
	now := l.now()
	l.core.ObserveLag(now, now-h.at)
	l.core.Packet(now, h.env, h.packet(), &l.effects)
	l.packets.release(h)
}

// show makes the state of the core visible to other goroutines.
func (l *coreLoop) show() {
	now := l.now()
	if now >= l.nextSummary {
		l.nextSummary = now + summaryInterval
		l.placement = l.core.PlacementStats(now)
	}
	l.view.state.Store(&coreState{load: l.core.Load(), counters: l.core.Counters(), placement: l.placement})
}

// followPlan stops the host's work or takes it up again, as the plan says.
func (l *coreLoop) followPlan(stops bool) {
	if stops {
		l.core.Stop(l.now(), &l.effects)
		return
	}
	if !l.ending {
		l.core.Resume()
	}
}

func (l *coreLoop) now() time.Duration { return time.Since(l.started) }

// noticePause begins a new incarnation if the process stood still for so long
// that other hosts may have given it up.
func (l *coreLoop) noticePause() {
	now := l.now()
	gap := now - l.lastSeen
	l.lastSeen = now
	if gap < l.pauseLimit {
		return
	}
	l.stats.pauses.Inc()
	l.log.Warn("the process stood still", zap.Duration("pause", gap))
	l.begin(0, "pause")
}

// begin begins a new incarnation.
func (l *coreLoop) begin(least ids.Incarnation, why string) {
	self := l.reincarnate(least)
	l.log.Warn("new incarnation", zap.String("why", why), zap.Stringer("instance", self))
	l.core.Reincarnate(l.now(), self, &l.effects)
}

// apply carries out the effects of the core.
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
	l.noteStopped()
	l.effects.Reset()
}

// noteStopped tells that a planned stop has no work left.
func (l *coreLoop) noteStopped() {
	if l.effects.Stopped && !l.idle {
		l.log.Info("planned stop ends, no work is left")
	}
	l.idle = l.effects.Stopped
	if l.effects.Stopped && l.ending && l.stopped != nil {
		close(l.stopped)
		l.stopped = nil
	}
}

// send queues a datagram for the writer, or counts it if the ring is full.
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
