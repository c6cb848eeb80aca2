package dsrhost

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/dsrpeer"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/netio"
)

// gaugeInterval is how often gauges are updated from the core, and its place from the peers.
const gaugeInterval = time.Second

// coreLoop is the state of the goroutine that owns the core.
type coreLoop struct {
	host   *Host
	core   *dsr.Core
	writer netio.Writer
	// out and reset are reused for each packet.
	out   []netio.Datagram
	reset []byte
	log   recordLog
	// waiting holds the packets that wait; timer runs while there are any.
	waiting  waitingPackets
	timer    *time.Timer
	timerSet bool
	// creditRequests and creditAnswers are nil if the host does not exchange free slots with others.
	creditRequests <-chan dsrpeer.CreditRequest
	creditAnswers  <-chan dsrpeer.CreditAnswer
}

// runCore runs the core until the context ends.
func (h *Host) runCore(ctx context.Context) {
	writer, err := h.sockets.Writer(0)
	if err != nil {
		h.log.Error("can't open packet writer", zap.Error(err))
		return
	}
	d := &coreLoop{
		host: h, core: dsr.New(h.settings.Zone, h.deps.Format, xxhash.Sum64String(h.settings.Data.String())), writer: writer,
		out: make([]netio.Datagram, 1), log: newRecordLog(h.deps.Logger, h.deps.LogOutput), waiting: newWaitingPackets(), timer: newStoppedTimer(),
	}
	if h.credits != nil {
		d.creditRequests, d.creditAnswers = h.credits.Requests, h.credits.Answers
	}
	d.setUpCold()
	if !h.settings.HoldRequests {
		d.core.QueueAtUpstreams()
	}
	defer h.checker.wait()
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-h.packets.Queued():
			d.handlePacket(p)
			h.packets.Release(p)
		case e := <-h.events:
			d.handleFeedEvent(e)
		case r := <-h.checker.results:
			h.stats.checks[d.core.CheckDone(h.elapsed(), r)].Inc()
		case answer := <-h.stateRequests:
			answer <- d.core.State(h.elapsed())
		case r := <-h.explainRequests:
			d.explain(r)
		case r := <-d.creditRequests:
			d.lend(r)
		case a := <-d.creditAnswers:
			h.stats.creditsBorrowed.Add(d.core.Borrow(h.elapsed(), a.AskedAt, a.Service, a.Credits))
		case <-d.timer.C:
			d.timerSet = false
			d.core.Advance(h.elapsed())
		case done := <-h.stopWaits:
			d.core.StopWaiting(h.elapsed())
			d.sendReleased()
			close(done)
		case <-ticker.C:
			d.updateGauges()
			d.updatePosition()
			d.updateZoneHosts()
		}
		d.sendReleased()
		d.setTimer()
		d.askForCredits()
		d.sendWaitingResets()
		if d.core.TakeConfirmRequest() {
			h.feed.requestConfirmation()
		}
		for _, ch := range d.core.TakeChecks() {
			h.checker.start(ctx, ch)
		}
		d.log.write(d.core.TakeRecords())
		h.stats.observeSamples(d.core.TakeSamples())
	}
}

// handlePacket passes a packet to the core and forwards or resets it as decided.
func (d *coreLoop) handlePacket(p *packet) {
	format := d.host.deps.Format
	overhead := format.Overhead()
	body := p.buffer[overhead : overhead+p.size]
	head, e := d.core.HandlePacket(d.host.elapsed(), body)
	d.host.stats.countPacket(e)
	if e.Resync {
		d.host.feed.requestResync()
	}
	d.carryOut(p.buffer[:overhead+p.size], overhead, head, e)
}

// carryOut carries out the decision on a packet, which follows after a number of free bytes.
func (d *coreLoop) carryOut(b []byte, overhead int, head *dsr.Packet, e dsr.Effect) {
	format := d.host.deps.Format
	switch e.Action {
	case dsr.Forward:
		format.SetToken(b[overhead:], e.Token)
		format.PutTarget(b[:overhead], e.ID)
		d.send(b, e.To)
	case dsr.Reset:
		d.sendReset(head)
	case dsr.Hold:
		d.waiting.put(e.Hold, b)
	}
}

// sendWaitingResets sends the resets of flows other than that of the handled packet.
func (d *coreLoop) sendWaitingResets() {
	for _, r := range d.core.TakeResets() {
		d.host.stats.waitingFlowResets.Inc()
		d.sendReset(&r)
	}
}

// sendReset sends a reset to the caller of a packet.
func (d *coreLoop) sendReset(head *dsr.Packet) {
	d.reset = d.host.deps.Format.AppendReset(d.reset[:0], head)
	// Packets to callers go to the fabric's packet port, which equals the port of the host's data address.
	d.send(d.reset, netip.AddrPortFrom(head.Caller.Addr(), d.host.settings.Data.Port()))
}

func (d *coreLoop) send(b []byte, to netip.AddrPort) {
	d.out[0] = netio.Datagram{Data: b, Addr: to}
	sent, err := d.writer.Write(d.out)
	if err != nil || sent == 0 {
		d.host.stats.sendFailed.Inc()
	}
}

// handleFeedEvent applies an event of the feed to the core.
func (d *coreLoop) handleFeedEvent(e feedEvent) {
	now := d.host.elapsed()
	switch e.kind {
	case feedFailed:
		d.core.StoreFailed(now, e.reason)
	case feedAnswered:
		d.core.StoreAnswered(now)
	case feedChange:
		d.core.StoreAnswered(now)
		d.core.Apply(now, e.change)
		d.publishReadiness()
	case feedDropped:
		d.core.Apply(now, e.change)
	case feedPeerUpdate:
		if e.change != nil {
			d.core.Apply(now, e.change)
			d.publishReadiness()
		}
		d.core.PeerAnswered(now, e.host, e.storeAge)
	case feedConfirmed:
		d.core.Confirmed(now, e.confirmedAt)
	case feedConfirmationFailed:
		d.core.ConfirmationFailed()
	}
}

// publishReadiness updates the readiness check: whether the core can route packets.
func (d *coreLoop) publishReadiness() { d.host.ready.setReady(d.core.Ready()) }

// updatePosition tells the core the place of this host among the known hosts of its zone.
func (d *coreLoop) updatePosition() {
	if p := d.host.peer; p != nil {
		d.core.SetPosition(p.Position())
	}
}

// updateGauges copies the gauges from the core.
func (d *coreLoop) updateGauges() {
	s := d.host.stats
	s.flows.Store(int64(d.core.Flows()))
	requests, bytes := d.core.Waiting()
	s.waiting.Store(int64(requests))
	s.waitingBytes.Store(int64(bytes))
	s.version.Store(int64(d.core.Version()))
	s.configurationAge.Store(int64(d.core.ConfigurationAge(d.host.elapsed())))
	learned := d.core.LearnedCounts()
	s.slowUpstreams.Store(int64(learned.Slow))
	s.limitedUpstreams.Store(int64(learned.Limited))
	s.judgementChanges.Set(learned.Changes)
	s.sheds.Set(learned.Sheds)
	s.evacuations.update(d.core)
	s.cold.update(d.core)
}

// recordLog writes records of the core to the log.
type recordLog struct {
	logger *zap.Logger
	lines  *logging.Bounded
}

func newRecordLog(logger *zap.Logger, lines *logging.Bounded) recordLog {
	return recordLog{logger, lines}
}

// write logs a line for each record. Routine records are dropped above the log's rate limit.
func (l recordLog) write(records []dsr.Record) {
	for i := range records {
		r := &records[i]
		if r.Routine() && !l.lines.AllowRoutine() {
			continue
		}
		l.logger.Info("core: "+r.Event, recordFields(r)...)
	}
}

// recordFields returns the fields of a record that are set.
func recordFields(r *dsr.Record) []zap.Field {
	fields := make([]zap.Field, 0, 26)
	addr := func(name string, a netip.AddrPort) {
		if a.IsValid() {
			fields = append(fields, zap.String(name, a.String()))
		}
	}
	text := func(name, value string) {
		if value != "" {
			fields = append(fields, zap.String(name, value))
		}
	}
	number := func(name string, value uint64) {
		if value != 0 {
			fields = append(fields, zap.Uint64(name, value))
		}
	}
	addr("caller", r.Caller)
	addr("address", r.Address)
	text("service", r.Service)
	text("upstream", r.Upstream)
	addr("to", r.To)
	number("token", uint64(r.Token))
	text("from", r.FromUpstream)
	text("why", r.Detail)
	text("evidence", r.Evidence)
	text("source", r.Source.String())
	addr("source_host", r.SourceHost)
	number("era", r.Era)
	number("revision", r.Revision)
	number("version", r.Version)
	number("considered", uint64(r.Considered))
	number("doubtful", uint64(r.Suspect))
	number("open", uint64(r.Open))
	number("waiting", uint64(r.Waiting))
	number("rank", uint64(r.Rank))
	if r.Waited != 0 {
		fields = append(fields, zap.Int64("waited_ms", r.Waited.Milliseconds()))
	}
	if r.Slots != 0 {
		fields = append(fields, zap.Float64("demand", r.Demand), zap.Float64("slots", r.Slots), zap.Int64("work_ms", r.Work.Milliseconds()))
	}
	if r.Samples != 0 {
		fields = append(fields, zap.String("from", r.FromJudgement), zap.Float64("limit", r.Limit), zap.Float64("limit_before", r.FromLimit),
			zap.Float64("work_ms", r.LearnedWork.Seconds()*1000), zap.Float64("peer_work_ms", r.PeerWork.Seconds()*1000), zap.Int("samples", r.Samples))
	}
	if r.Age != 0 {
		fields = append(fields, zap.Int64("age_ms", r.Age.Milliseconds()))
	}
	if r.Unanswered != 0 {
		fields = append(fields, zap.Int64("unanswered_ms", r.Unanswered.Milliseconds()))
	}
	if r.HoldsFor != 0 {
		fields = append(fields, zap.Int64("for_ms", r.HoldsFor.Milliseconds()))
	}
	return fields
}
