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

// packetPath holds the state shared by the readers of one host.
type packetPath struct {
	table *atomic.Pointer[table.Table]
	// fabricSources are the source addresses of the fabric.
	fabricSources map[netip.Addr]bool
	core          *coreQueue
	started       time.Time
	stats         *stats
	// debug logs each datagram. It is nil unless the debug level is enabled.
	debug *zap.Logger
}

// pathReader is the packet path of one reader. It reads a batch and routes each
// datagram: datagrams that need no state are written from their receive buffers, the
// others are queued for the core. It does not allocate per datagram.
type pathReader struct {
	*packetPath
	reader netio.Reader
	writer netio.Writer
	in     []netio.Datagram
	out    []netio.Datagram
	// notifyBuffers are buffers for the headers that notify owners of the end of an
	// answer or a flow.
	notifyBuffers []netio.Datagram
	counts        pathCounts
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
		packetPath:    p,
		reader:        reader,
		writer:        writer,
		in:            netio.NewDatagrams(batch, bufferSize),
		out:           make([]netio.Datagram, 0, 2*batch),
		notifyBuffers: netio.NewDatagrams(batch, wire.EnvelopeSize+wire.HeaderSize),
	}, nil
}

// run processes datagrams until reading or writing fails, for example because the
// socket was closed.
func (r *pathReader) run() error {
	for {
		if err := r.step(); err != nil {
			return err
		}
	}
}

// step processes one batch.
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
	r.stats.flush(&r.counts)
	return err
}

// route routes the datagram with the given index of the batch.
func (r *pathReader) route(t *table.Table, i int) {
	r.counts.received++
	env, data, ok := wire.ParseEnvelope(r.in[i].Data)
	if !ok {
		r.counts.badEnvelope++
		return
	}
	if !r.trustedSender(t, env.Origin, r.in[i].Addr) {
		r.counts.untrustedSender++
		return
	}
	if status := wire.Check(data); status != wire.StatusOK {
		r.counts.malformed[status]++
		return
	}
	p := wire.Packet(data)
	d := forward.Route(t, env, p)
	if r.debug != nil {
		logRoute(r.debug, env, p, &d)
	}
	if d.NotifyCore || d.NotifyOwner.IsValid() {
		r.notifyOwner(t, i, env, p, &d)
	}
	switch d.Action {
	case forward.ActionDrop:
		r.counts.dropped[d.Reason]++
	case forward.ActionSend:
		r.out = append(r.out, netio.Datagram{Data: data, Addr: d.To})
	case forward.ActionRelay:
		r.counts.relayed++
		relayEnvelope(env).Put(r.in[i].Data)
		r.out = append(r.out, netio.Datagram{Data: r.in[i].Data, Addr: d.To})
	case forward.ActionCore:
		r.enqueueCore(t, env, p)
	}
}

// trustedSender reports whether the sender of a datagram may set its envelope: the
// fabric for the fabric's origin, otherwise a host in the table.
func (r *pathReader) trustedSender(t *table.Table, origin wire.Origin, sender netip.AddrPort) bool {
	if origin == wire.OriginFabric {
		return r.fabricSources[sender.Addr()]
	}
	if t == nil {
		return false
	}
	_, known := t.HostAt(sender)
	return known
}

// relayEnvelope returns the envelope for relaying a datagram to another host.
func relayEnvelope(env wire.Envelope) wire.Envelope {
	env.Origin = wire.OriginRelay
	env.Relays++
	return env
}

// notifyOwner passes the header of a datagram to the owner of its flow: the core of
// this host or, in a datagram, another host. An answer is passed as KindDone, which
// ends the request; a close keeps its kind.
func (r *pathReader) notifyOwner(t *table.Table, i int, env wire.Envelope, p wire.Packet, d *forward.Decision) {
	buffer := r.notifyBuffers[i].Data
	header := wire.Packet(buffer[wire.EnvelopeSize:])
	copy(header, p[:wire.HeaderSize])
	kind := p.Kind()
	if kind == wire.KindAnswer {
		kind = wire.KindDone
	}
	header.Init(kind, 0)
	env = relayEnvelope(env)
	if d.NotifyCore {
		r.enqueueCore(t, env, header)
		return
	}
	env.Put(buffer)
	r.out = append(r.out, netio.Datagram{Data: buffer, Addr: d.NotifyOwner})
}

// enqueueCore queues a copy of a datagram for the core. If the ring is full, the
// datagram is dropped and counted.
func (r *pathReader) enqueueCore(t *table.Table, env wire.Envelope, p wire.Packet) {
	h := r.core.get(priorityOf(t, p))
	if h == nil {
		r.counts.coreOverflow++
		return
	}
	h.env = env
	h.readAt = time.Since(r.started)
	h.size = copy(h.buffer[:], p)
	r.core.put(h)
	r.counts.toCore++
}

// logRoute logs a routing decision.
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
