package callercore

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/wire"
)

// subscribeSequence is the sequence number of the message that starts a stream.
const subscribeSequence = 1

// maxOutOfOrder is the maximum number of pushes buffered while an earlier one is
// missing.
const maxOutOfOrder = 256

// stream is the receive state of the stream of a flow.
type stream struct {
	// established is set by the first push from the upstream.
	established bool
	// lastDelivered is the sequence number of the last push delivered.
	lastDelivered uint64
	// outOfOrder holds the payloads of received pushes by sequence number until all
	// earlier ones are delivered.
	outOfOrder  map[uint64][]byte
	subscribeAt time.Duration
	keepAliveAt time.Duration
}

func (c *Core) sendSubscribe(now time.Duration, f *flow, out *Effects) {
	p := c.newPacket(wire.KindStream, f.id, len(c.settings.Subscribe))
	p.SetRequest(subscribeSequence)
	p.SetTotal(uint32(len(c.settings.Subscribe)))
	copy(p.Payload(), c.settings.Subscribe)
	f.stream.subscribeAt = now + c.settings.ResendInterval
	out.Sends = append(out.Sends, p)
}

// onPush buffers a push, delivers those that are next in order and acknowledges
// them.
func (c *Core) onPush(now time.Duration, f *flow, p wire.Packet, out *Effects) {
	f.stream.established = true
	if f == c.next {
		c.switchToNext(out)
	}
	sequence := uint64(p.Request())
	if sequence == 0 {
		return
	}
	f.stream.buffer(sequence, p.Payload())
	f.deliver(out)
	c.sendStreamAck(f, out)
}

func (s *stream) buffer(sequence uint64, payload []byte) {
	if sequence <= s.lastDelivered || len(s.outOfOrder) >= maxOutOfOrder {
		return
	}
	if s.outOfOrder == nil {
		s.outOfOrder = make(map[uint64][]byte)
	}
	s.outOfOrder[sequence] = slices.Clone(payload)
}

func (f *flow) deliver(out *Effects) {
	s := &f.stream
	for {
		payload, ok := s.outOfOrder[s.lastDelivered+1]
		if !ok {
			return
		}
		s.lastDelivered++
		delete(s.outOfOrder, s.lastDelivered)
		out.Pushes = append(out.Pushes, Push{Nonce: f.nonce, Sequence: s.lastDelivered, Payload: payload})
	}
}

func (c *Core) sendStreamAck(f *flow, out *Effects) {
	p := c.newPacket(wire.KindAck, f.id, 0)
	p.SetAux(uint32(f.stream.lastDelivered))
	p.SetPlacedUpstream(f.fields.Upstream)
	out.Sends = append(out.Sends, p)
}

// tickStream retransmits the subscription until the upstream answers, sends
// keep-alives, and replaces the flow in use or abandons the next one if nothing is
// received on it for StreamTimeout.
func (c *Core) tickStream(now time.Duration, f *flow, out *Effects) {
	s := &f.stream
	if !s.established && now >= s.subscribeAt {
		c.sendSubscribe(now, f, out)
	}
	if s.established && now >= s.keepAliveAt {
		s.keepAliveAt = now + c.settings.KeepAliveInterval
		out.Sends = append(out.Sends, c.newPacket(wire.KindStream, f.id, 0))
	}
	if now-f.lastReceived <= c.settings.StreamTimeout {
		return
	}
	switch f {
	case c.current:
		c.replaceLostFlow(now, out)
	case c.next:
		c.next = nil
		c.sendClose(f, out)
	}
}
