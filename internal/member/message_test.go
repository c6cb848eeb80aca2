package member

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func testUpdate(name string) Update {
	control := netip.MustParseAddrPort("10.1.2.3:7000")
	return Update{Name: name, Zone: "ciarrai-thuaidh", Data: control, Control: control, Incarnation: 1_700_000_000_000}
}

func TestMessageRoundTrip(t *testing.T) {
	m := &Message{Kind: KindPage, Sequence: 7, From: testUpdate("a"), Next: 9, Updates: []Update{testUpdate("b")}}
	b, err := m.Encode()
	require.NoError(t, err)
	got, err := DecodeMessage(b)
	require.NoError(t, err)
	again, err := got.Encode()
	require.NoError(t, err)
	require.Equal(t, b, again)
}

func TestFullMessageFitsOneDatagram(t *testing.T) {
	m := &Message{Kind: KindPage, From: testUpdate("host")}
	for i := range maxUpdates {
		m.Updates = append(m.Updates, testUpdate(fmt.Sprintf("%064d", i)))
	}
	b, err := m.Encode()
	require.NoError(t, err)
	require.LessOrEqual(t, len(b), MaxMessage)
	require.Len(t, m.Updates, maxUpdates, "encoding does not modify the message")
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	good := Message{Kind: KindPing, From: testUpdate("a")}
	for name, corrupt := range map[string]func(*Message){
		"kind":        func(m *Message) { m.Kind = kindEnd },
		"name":        func(m *Message) { m.From.Name = "" },
		"incarnation": func(m *Message) { m.From.Incarnation = 0 },
		"state":       func(m *Message) { m.From.State = StateLeaving },
		"address":     func(m *Message) { m.From.Control = netip.AddrPort{} },
		"update":      func(m *Message) { m.Updates = []Update{{}} },
	} {
		m := good
		corrupt(&m)
		b, err := messages.Marshal(&m)
		require.NoError(t, err)
		_, err = DecodeMessage(b)
		require.Error(t, err, name)
	}
}

func FuzzDecodeMessage(f *testing.F) {
	for _, kind := range []Kind{KindPing, KindAck, KindPage} {
		m := &Message{Kind: kind, Sequence: 1, From: testUpdate("a"), Updates: []Update{testUpdate("b")}}
		b, err := m.Encode()
		require.NoError(f, err)
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Add([]byte{0x88})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		if _, err := m.Encode(); err != nil {
			t.Fatalf("decoded message can't be encoded: %v", err)
		}
	})
}
