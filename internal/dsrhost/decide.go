package dsrhost

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/dsr"
	"mimosashore.example/mimosashore/internal/logging"
	"mimosashore.example/mimosashore/internal/netio"
)

// tickInterval is how often gauges are taken from the core.
const tickInterval = time.Second

// decider is the goroutine that owns the core.
type decider struct {
	host   *Host
	core   *dsr.Core
	writer netio.Writer
	out    []netio.Datagram
	reset  []byte
	log    recordLog
}

// decide runs the core until the context ends.
func (h *Host) decide(ctx context.Context) {
	writer, err := h.sockets.Writer(0)
	if err != nil {
		h.log.Error("packets can't be written", zap.Error(err))
		return
	}
	d := &decider{
		host: h, core: dsr.New(h.settings.Zone, h.parts.Format, xxhash.Sum64String(h.settings.Data.String())), writer: writer,
		out: make([]netio.Datagram, 1), log: newRecordLog(h.parts.Logger, h.parts.Lines),
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-h.packets.Queued():
			d.packet(p)
			h.packets.Release(p)
		case e := <-h.events:
			d.feed(e)
		case answer := <-h.questions:
			answer <- d.core.State(h.since())
		case <-ticker.C:
			d.gauges()
		}
		d.log.write(d.core.TakeRecords())
		h.stats.observe(d.core.TakeSamples())
	}
}

// packet decides on a packet and sends what results.
func (d *decider) packet(p *packet) {
	format := d.host.parts.Format
	space := format.Overhead()
	body := p.buffer[space : space+p.size]
	head, e := d.core.HandlePacket(d.host.since(), body)
	d.host.stats.packet(e)
	if e.Refresh {
		select {
		case d.host.again <- struct{}{}:
		default:
		}
	}
	switch e.Action {
	case dsr.Forward:
		format.SetToken(body, e.Token)
		format.PutTarget(p.buffer[:space], e.ID)
		d.send(p.buffer[:space+p.size], e.To)
	case dsr.Reset:
		d.sendReset(head)
	}
	for _, r := range d.core.TakeResets() {
		d.host.stats.handedBack.Inc()
		d.sendReset(&r)
	}
}

// sendReset resets the flow of a packet.
func (d *decider) sendReset(head *dsr.Packet) {
	d.reset = d.host.parts.Format.AppendReset(d.reset[:0], head)
	// Packets to callers go to the fabric's port for packets.
	d.send(d.reset, netip.AddrPortFrom(head.Caller.Addr(), d.host.settings.Data.Port()))
}

func (d *decider) send(b []byte, to netip.AddrPort) {
	d.out[0] = netio.Datagram{Data: b, Addr: to}
	sent, err := d.writer.Write(d.out)
	if err != nil || sent == 0 {
		d.host.stats.sendFailed.Inc()
	}
}

// feed takes an event of the store's reader.
func (d *decider) feed(e feedEvent) {
	now := d.host.since()
	switch e.kind {
	case feedFailed:
		d.core.StoreFailed(now, e.why)
	case feedAnswered:
		d.core.StoreAnswered(now)
	case feedChange:
		d.core.StoreAnswered(now)
		d.core.Apply(now, e.change)
		d.publish()
	case feedPeer:
		d.core.PeerAnswered(now, e.heard)
		if e.change != nil {
			d.core.Apply(now, e.change)
			d.publish()
		}
	}
}

// publish shows whether the host can route packets.
func (d *decider) publish() { d.host.ready.set(d.core.Ready()) }

// gauges takes the gauges from the core.
func (d *decider) gauges() {
	s := d.host.stats
	s.flows.Store(int64(d.core.Flows()))
	s.version.Store(int64(d.core.Version()))
	s.age.Store(int64(d.core.ConfigurationAge(d.host.since())))
}

// recordLog writes records of the core.
type recordLog struct {
	logger *zap.Logger
	lines  *logging.Bounded
}

func newRecordLog(logger *zap.Logger, lines *logging.Bounded) recordLog {
	return recordLog{logger, lines}
}

// write writes a line for each record.
func (l recordLog) write(records []dsr.Record) {
	for i := range records {
		r := &records[i]
		if r.Routine() && !l.lines.AllowRoutine() {
			continue
		}
		l.logger.Info("core: "+r.Event, recordFields(r)...)
	}
}

// recordFields returns the fields that the record has.
func recordFields(r *dsr.Record) []zap.Field {
	fields := make([]zap.Field, 0, 16)
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
	text("why", r.Detail)
	number("revision", r.Revision)
	number("version", r.Version)
	number("considered", uint64(r.Considered))
	number("doubtful", uint64(r.Suspect))
	number("open", uint64(r.Open))
	if r.Age != 0 {
		fields = append(fields, zap.Int64("age_ms", r.Age.Milliseconds()))
	}
	if r.HoldsFor != 0 {
		fields = append(fields, zap.Int64("for_ms", r.HoldsFor.Milliseconds()))
	}
	return fields
}
