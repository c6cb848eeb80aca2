package callercore

import (
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/wire"
)

// subscribeSequence is the sequence number of the message that starts a stream.
const subscribeSequence = 1

// reorderLimit is the number of pushes kept while an earlier one is missing.
const reorderLimit = 256

// stream is the receiving side of the pushes of a flow.
type stream struct {
	// heard is set by the first datagram of the upstream.
	heard bool
	// last is the number of the last push that was delivered.
	last        uint64
	early       map[uint64][]byte
	subscribeAt time.Duration
	keepAliveAt time.Duration
}

func (c *Core) sendSubscribe(now time.Duration, f *flow, out *Effects) {
	p := c.newPacket(wire.KindStream, f.id, len(c.settings.Subscribe))
	p.SetRequest(subscribeSequence)
	p.SetTotal(uint32(len(c.settings.Subscribe)))
	copy(p.Payload(), c.settings.Subscribe)
	f.stream.subscribeAt = now + c.settings.Resend
	out.Sends = append(out.Sends, p)
}

// onPush delivers pushes in order and acknowledges them.
func (c *Core) onPush(now time.Duration, f *flow, p wire.Packet, out *Effects) {
	f.stream.heard = true
	if f == c.next {
		c.takeOver(out)
	}
	sequence := uint64(p.Request())
	if sequence == 0 {
		return
	}
	f.stream.keep(sequence, p.Payload())
	f.deliver(out)
	c.sendStreamAck(f, out)
}

func (s *stream) keep(sequence uint64, payload []byte) {
	if sequence <= s.last || len(s.early) >= reorderLimit {
		return
	}
	if s.early == nil {
		s.early = make(map[uint64][]byte)
	}
	s.early[sequence] = slices.Clone(payload)
}

func (f *flow) deliver(out *Effects) {
	s := &f.stream
	for {
		payload, ok := s.early[s.last+1]
		if !ok {
			return
		}
		s.last++
		delete(s.early, s.last)
		out.Pushes = append(out.Pushes, Push{Nonce: f.nonce, Sequence: s.last, Payload: payload})
	}
}

func (c *Core) sendStreamAck(f *flow, out *Effects) {
	p := c.newPacket(wire.KindAck, f.id, 0)
	p.SetAux(uint32(f.stream.last))
	p.SetPlacedUpstream(f.fields.Upstream)
	out.Sends = append(out.Sends, p)
}

// tickStream repeats the subscription until the upstream answers, keeps the
// stream alive and opens it anew when it stays silent.
func (c *Core) tickStream(now time.Duration, f *flow, out *Effects) {
	s := &f.stream
	if !s.heard && now >= s.subscribeAt {
		c.sendSubscribe(now, f, out)
	}
	if s.heard && now >= s.keepAliveAt {
		s.keepAliveAt = now + c.settings.KeepAlive
		out.Sends = append(out.Sends, c.newPacket(wire.KindStream, f.id, 0))
	}
	if now-f.lastHeard <= c.settings.Silence {
		return
	}
	switch f {
	case c.current:
		c.breakFlow(now, out)
	case c.next:
		c.next = nil
		c.sendClose(f, out)
	}
}
