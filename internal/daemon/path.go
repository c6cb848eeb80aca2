package daemon

import (
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/forward"
	"mimosashore.example/mimosashore/internal/netio"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

// packetPath is what the readers of one host share.
type packetPath struct {
	table *atomic.Pointer[table.Table]
	// sources are the addresses of the fabric.
	sources map[netip.Addr]bool
	core    *coreQueue
	started time.Time
	stats   *stats
	// debug gets a line for each datagram; it is nil unless the level is debug.
	debug *zap.Logger
}

// pathReader is the packet path of one reader: it reads a batch, decides on
// each datagram and writes what needs no state from the buffers it was read
// into. It allocates nothing for a datagram.
type pathReader struct {
	*packetPath
	reader netio.Reader
	writer netio.Writer
	in     []netio.Datagram
	out    []netio.Datagram
	// reports hold the headers that tell owners of the end of an answer.
	reports []netio.Datagram
	counts  pathCounts
}

func newPathReader(p *packetPath, sockets *netio.Sockets, index int) (*pathReader, error) {
	reader, err := sockets.Reader(index)
	if err != nil {
		return nil, err
	}
	writer, err := sockets.Writer(index)
	if err != nil {
		return nil, err
	}
	batch := sockets.Batch()
	return &pathReader{
		packetPath: p,
		reader:     reader,
		writer:     writer,
		in:         netio.NewDatagrams(batch, bufferSize),
		out:        make([]netio.Datagram, 0, 2*batch),
		reports:    netio.NewDatagrams(batch, wire.EnvelopeSize+wire.HeaderSize),
	}, nil
}

// run moves datagrams until the socket is closed.
func (r *pathReader) run() error {
	for {
		if err := r.step(); err != nil {
			return err
		}
	}
}

// step moves one batch.
func (r *pathReader) step() error {
	n, err := r.reader.Read(r.in)
	if err != nil {
		return err
	}
	t := r.table.Load()
	r.out = r.out[:0]
	for i := range n {
		r.route(t, i)
	}
	sent, err := r.writer.Write(r.out)
	r.counts.sent += uint64(sent)
	r.counts.sendFailed += uint64(len(r.out) - sent)
	r.stats.add(&r.counts)
	return err
}

// route decides on the datagram with the given index.
func (r *pathReader) route(t *table.Table, i int) {
	r.counts.received++
	env, data, ok := wire.ParseEnvelope(r.in[i].Data)
	if !ok {
		r.counts.envelope++
		return
	}
	if !r.trusted(t, env.Origin, r.in[i].Addr) {
		r.counts.sender++
		return
	}
	if fault := wire.Check(data); fault != wire.OK {
		r.counts.malformed[fault]++
		return
	}
	p := wire.Packet(data)
	d := forward.Route(t, env, p)
	if r.debug != nil {
		logRoute(r.debug, env, p, &d)
	}
	if d.NotifyCore || d.NotifyOwner.IsValid() {
		r.tellOwner(t, i, env, p, &d)
	}
	switch d.Action {
	case forward.ActionDrop:
		r.counts.dropped[d.Reason]++
	case forward.ActionSend:
		r.out = append(r.out, netio.Datagram{Data: data, Addr: d.To})
	case forward.ActionRelay:
		r.counts.relayed++
		relayed(env).Put(r.in[i].Data)
		r.out = append(r.out, netio.Datagram{Data: r.in[i].Data, Addr: d.To})
	case forward.ActionCore:
		r.handOver(t, env, p)
	}
}

// trusted reports whether the sender of a datagram may write its envelope.
func (r *pathReader) trusted(t *table.Table, origin wire.Origin, sender netip.AddrPort) bool {
	if origin == wire.OriginFabric {
		return r.sources[sender.Addr()]
	}
	if t == nil {
		return false
	}
	_, known := t.HostAt(sender)
	return known
}

// relayed returns the envelope with which a datagram goes to another host.
func relayed(env wire.Envelope) wire.Envelope {
	env.Origin = wire.OriginRelay
	env.Relays++
	return env
}

// tellOwner sends the header of a datagram to the owner of its flow: an answer
// as the end of the request, a close as it is.
func (r *pathReader) tellOwner(t *table.Table, i int, env wire.Envelope, p wire.Packet, d *forward.Decision) {
	report := r.reports[i].Data
	header := wire.Packet(report[wire.EnvelopeSize:])
	copy(header, p[:wire.HeaderSize])
	kind := p.Kind()
	if kind == wire.KindAnswer {
		kind = wire.KindDone
	}
	header.Init(kind, 0)
	env = relayed(env)
	if d.NotifyCore {
		r.handOver(t, env, header)
		return
	}
	env.Put(report)
	r.out = append(r.out, netio.Datagram{Data: report, Addr: d.NotifyOwner})
}

// handOver copies a datagram for the core, or counts it if the ring is full.
func (r *pathReader) handOver(t *table.Table, env wire.Envelope, p wire.Packet) {
	h := r.core.get(priorityOf(t, p))
	if h == nil {
		r.counts.coreOverflow++
		return
	}
	h.env = env
	h.at = time.Since(r.started)
	h.size = copy(h.buffer[:], p)
	r.core.put(h)
	r.counts.toCore++
}

// logRoute writes the line of one routing decision.
func logRoute(debug *zap.Logger, env wire.Envelope, p wire.Packet, d *forward.Decision) {
	flow := flowid.ParseUnverified(p.Flow())
	debug.Debug("packet: "+d.Action.String(),
		zap.Stringer("kind", p.Kind()),
		zap.Stringer("why", d.Reason),
		zap.Stringer("source", env.Source),
		zap.Stringer("to", d.To),
		zap.Uint32("account", uint32(flow.Account)),
		zap.Uint32("service", uint32(flow.Service)),
		zap.Uint32("upstream", uint32(flow.Upstream)),
		zap.Uint64("nonce", uint64(flow.Nonce)),
		zap.Uint64("request", uint64(p.Request())),
	)
}
