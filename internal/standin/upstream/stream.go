package upstream

import (
	"encoding/binary"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/wire"
)

// subscribeSequence is the sequence number of the message that opens a stream.
const subscribeSequence = 1

// unackedLimit is the largest number of unacknowledged stream messages per flow.
// The feed of the flow pauses at the limit.
const unackedLimit = 64

// pushResendInterval is the retransmission interval of unacknowledged stream messages.
const pushResendInterval = 200 * time.Millisecond

type flowKey struct {
	account ids.AccountID
	service ids.ServiceID
	nonce   ids.Nonce
}

// flow is the stream of one caller.
type flow struct {
	key            flowKey
	header         wire.Packet
	lastReceivedAt time.Duration
	sequence       uint64
	unacked        []message
	feedAt         time.Duration
	resendAt       time.Duration
}

type message struct {
	sequence uint64
	payload  []byte
}

func flowKeyOf(p wire.Packet) flowKey {
	f := flowid.ParseUnverified(p.Flow())
	return flowKey{account: f.Account, service: f.Service, nonce: f.Nonce}
}

func (c *Core) onStream(now time.Duration, p wire.Packet, out *Effects) {
	f := c.flows[flowKeyOf(p)]
	switch {
	case f == nil && p.Request() != subscribeSequence:
		c.sendFlowLost(p, out)
		return
	case f == nil && len(c.flowOrder) >= c.settings.Connections:
		c.sendFlowLost(p, out)
		return
	case f == nil:
		f = c.addFlow(now, p)
	}
	f.update(now, p)
	r := c.newReply(wire.KindPush, p, 0)
	r.SetRequest(0)
	c.send(r, out)
}

func (c *Core) sendFlowLost(p wire.Packet, out *Effects) {
	c.counters.FlowsLost++
	c.send(c.newReply(wire.KindFlowLost, p, 0), out)
}

func (c *Core) addFlow(now time.Duration, p wire.Packet) *flow {
	f := &flow{key: flowKeyOf(p), feedAt: now}
	c.flows[f.key] = f
	c.flowOrder = append(c.flowOrder, f)
	return f
}

// update stores the time and header of the caller's latest datagram. The header
// holds the current route to the caller.
func (f *flow) update(now time.Duration, p wire.Packet) {
	f.lastReceivedAt = now
	f.header = slices.Clone(p[:wire.HeaderSize])
}

func (c *Core) onStreamAck(now time.Duration, p wire.Packet, out *Effects) {
	f := c.flows[flowKeyOf(p)]
	if f == nil {
		c.sendFlowLost(p, out)
		return
	}
	f.update(now, p)
	acked := uint64(p.Aux())
	f.unacked = slices.DeleteFunc(f.unacked, func(m message) bool { return m.sequence <= acked })
}

func (c *Core) dropFlow(key flowKey) {
	f := c.flows[key]
	if f == nil {
		return
	}
	delete(c.flows, key)
	c.flowOrder = slices.DeleteFunc(c.flowOrder, func(other *flow) bool { return other == f })
}

func (c *Core) tickFlows(now time.Duration, out *Effects) {
	for _, f := range slices.Clone(c.flowOrder) {
		if now-f.lastReceivedAt > flowTimeout {
			c.dropFlow(f.key)
			continue
		}
		c.feed(now, f, out)
		if len(f.unacked) > 0 && now >= f.resendAt {
			c.resend(now, f, out)
		}
	}
}

// feed sends the next message of the stream once it is due.
func (c *Core) feed(now time.Duration, f *flow, out *Effects) {
	if c.settings.FeedInterval == 0 || now < f.feedAt || len(f.unacked) >= unackedLimit {
		return
	}
	f.feedAt = now + c.settings.FeedInterval
	f.sequence++
	m := message{sequence: f.sequence, payload: c.feedPayload(now)}
	f.unacked = append(f.unacked, m)
	if len(f.unacked) == 1 {
		f.resendAt = now + pushResendInterval
	}
	c.push(f, m, out)
}

// FeedSize is the size of a stream message, in bytes: account (4), service (4),
// upstream (4) and time since the start in milliseconds (8).
const FeedSize = 20

func (c *Core) feedPayload(now time.Duration) []byte {
	b := make([]byte, FeedSize)
	binary.BigEndian.PutUint32(b[0:], uint32(c.settings.Account))
	binary.BigEndian.PutUint32(b[4:], uint32(c.settings.Service))
	binary.BigEndian.PutUint32(b[8:], uint32(c.settings.ID))
	binary.BigEndian.PutUint64(b[12:], uint64(now/time.Millisecond))
	return b
}

func (c *Core) push(f *flow, m message, out *Effects) {
	p := c.newReply(wire.KindPush, f.header, len(m.payload))
	p.SetRequest(ids.RequestID(m.sequence))
	p.SetTotal(uint32(len(m.payload)))
	copy(p.Payload(), m.payload)
	c.send(p, out)
}

func (c *Core) resend(now time.Duration, f *flow, out *Effects) {
	f.resendAt = now + pushResendInterval
	for _, m := range f.unacked {
		c.push(f, m, out)
	}
}

// FeedOrigin returns the account and service in a stream message, or false if
// the payload does not have the size of a stream message.
func FeedOrigin(payload []byte) (ids.AccountID, ids.ServiceID, bool) {
	if len(payload) != FeedSize {
		return 0, 0, false
	}
	account := ids.AccountID(binary.BigEndian.Uint32(payload[0:]))
	service := ids.ServiceID(binary.BigEndian.Uint32(payload[4:]))
	return account, service, true
}
