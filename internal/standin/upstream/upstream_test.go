package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

func testCore() *Core {
	return New(0, Settings{
		Account: 1, Service: 2, ID: 3, Incarnation: 9,
		Slots: 2, Connections: 2, ServiceTime: 100 * time.Millisecond, AnswerSize: 3000,
		FeedInterval: 50 * time.Millisecond,
	})
}

func testPacket(kind wire.Kind, id uint64, body []byte) wire.Packet {
	p := wire.New(kind, len(body))
	flowid.PutUnsealed(p.Flow(), &flowid.Flow{Account: 1, Service: 2, Nonce: 7})
	p.SetRequest(ids.RequestID(id))
	p.SetTotal(uint32(len(body)))
	p.SetDeadlineMillis(1000)
	copy(p.Payload(), body)
	return p
}

func kindsOf(e *Effects) []wire.Kind {
	var kinds []wire.Kind
	for _, s := range e.Sends {
		kinds = append(kinds, s.Packet.Kind())
	}
	return kinds
}

func TestRepeatRunsOnce(t *testing.T) {
	c := testCore()
	var out Effects
	c.HandlePacket(0, testPacket(wire.KindForward, 1, []byte("order")), &out)
	c.HandlePacket(0, testPacket(wire.KindForward, 1, []byte("order")), &out)
	require.Len(t, c.Runs(), 1)
	require.Equal(t, 1, c.Counters().Repeats)
	require.Equal(t, []wire.Kind{wire.KindReceived, wire.KindReceived}, kindsOf(&out))
}

func TestRunTwiceShowsInRecord(t *testing.T) {
	c := testCore()
	c.SetFaults(Faults{RunTwice: true})
	c.HandlePacket(0, testPacket(wire.KindForward, 1, []byte("order")), &Effects{})
	require.Len(t, c.Runs(), 2)
}

func TestAnswerIsRepeatedUntilAcknowledged(t *testing.T) {
	c := testCore()
	c.HandlePacket(0, testPacket(wire.KindForward, 1, []byte("order")), &Effects{})
	var out Effects
	c.Tick(time.Second, &out)
	require.Equal(t, []wire.Kind{wire.KindAnswer, wire.KindAnswer, wire.KindAnswer}, kindsOf(&out))
	require.True(t, out.Sends[2].Packet.Has(wire.FlagLast))
	out.Reset()
	c.Tick(2*time.Second, &out)
	require.Len(t, out.Sends, 3)
	ack := testPacket(wire.KindAck, 1, nil)
	ack.SetAux(3000)
	c.HandlePacket(2*time.Second, ack, &out)
	out.Reset()
	c.Tick(3*time.Second, &out)
	require.Empty(t, out.Sends)
}

func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(c *Core, p wire.Packet)
		want   verdict.Reason
	}{
		{"foreign incarnation", func(c *Core, p wire.Packet) { p.SetUpstreamIncarnation(8) }, verdict.ReasonUpstreamLost},
		{"past deadline", func(c *Core, p wire.Packet) { p.SetDeadlineMillis(0) }, verdict.ReasonDeadline},
		{"no slot", func(c *Core, p wire.Packet) { c.running = 2 }, verdict.ReasonShed},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := testCore()
			var out Effects
			p := testPacket(wire.KindForward, 1, []byte("order"))
			test.change(c, p)
			c.HandlePacket(0, p, &out)
			last := out.Sends[len(out.Sends)-1].Packet
			require.Equal(t, wire.KindShed, last.Kind())
			require.Equal(t, test.want, last.Reason())
			require.Empty(t, c.Runs())
		})
	}
}

func TestForeignServiceIsCounted(t *testing.T) {
	c := testCore()
	p := testPacket(wire.KindForward, 1, []byte("order"))
	flowid.PutUnsealed(p.Flow(), &flowid.Flow{Account: 1, Service: 5, Nonce: 7})
	c.HandlePacket(0, p, &Effects{})
	require.Equal(t, 1, c.Counters().ForeignService)
	require.Empty(t, c.Runs())
}

func TestStreamLimitAndFeed(t *testing.T) {
	c := testCore()
	var out Effects
	for nonce := range 3 {
		p := testPacket(wire.KindStream, subscribeSequence, []byte("from 0"))
		flowid.PutUnsealed(p.Flow(), &flowid.Flow{Account: 1, Service: 2, Nonce: ids.Nonce(nonce)})
		c.HandlePacket(0, p, &out)
	}
	require.Equal(t, []wire.Kind{wire.KindPush, wire.KindPush, wire.KindFlowLost}, kindsOf(&out))
	out.Reset()
	c.Tick(10*time.Millisecond, &out)
	require.Equal(t, []wire.Kind{wire.KindPush, wire.KindPush}, kindsOf(&out))
}
