package wire

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckAcceptsNewPacket(t *testing.T) {
	p := New(KindRequest, 5)
	p.SetTotal(5)
	require.Equal(t, StatusOK, Check(p))
}

func TestCheckRejectsMalformedDatagrams(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(p Packet) Packet
		want   Status
	}{
		{"short", func(p Packet) Packet { return p[:HeaderSize-1] }, StatusShort},
		{"long", func(p Packet) Packet { return append(p, make([]byte, MaxDatagram)...) }, StatusLong},
		{"magic", func(p Packet) Packet { p[0] = 0; return p }, StatusBadMagic},
		{"version", func(p Packet) Packet { p[1] = 9; return p }, StatusBadVersion},
		{"kind zero", func(p Packet) Packet { p.SetKind(0); return p }, StatusBadKind},
		{"kind unknown", func(p Packet) Packet { p.SetKind(kindCount); return p }, StatusBadKind},
		{"length", func(p Packet) Packet { return append(p, 1) }, StatusBadLength},
		{"offset beyond total", func(p Packet) Packet { p.SetOffset(6); return p }, StatusBadRange},
		{"payload beyond total", func(p Packet) Packet { p.SetOffset(1); return p }, StatusBadRange},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := New(KindRequest, 5)
			p.SetTotal(5)
			require.Equal(t, test.want, Check(test.change(p)))
		})
	}
}

func TestEnvelopeRoundTrip(t *testing.T) {
	want := Envelope{Origin: OriginRelay, Relays: 2, Source: netip.MustParseAddrPort("127.0.0.9:77")}
	buf := make([]byte, EnvelopeSize+3)
	want.Put(buf)
	got, rest, ok := ParseEnvelope(buf)
	require.True(t, ok)
	require.Equal(t, want, got)
	require.Len(t, rest, 3)
}
