package wire

import (
	"encoding/binary"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// cborHeader is the header of a datagram encoded as a CBOR array, which
// BenchmarkHeader compares with the fixed layout.
type cborHeader struct {
	_                   struct{} `cbor:",toarray"`
	Kind                uint8
	Flags               uint8
	Flow                []byte
	Request             uint64
	Offset              uint32
	Total               uint32
	Deadline            uint32
	Aux                 uint32
	Verdict             uint8
	Reason              uint8
	Running             uint16
	Connections         uint16
	UpstreamIncarnation uint64
	Placed              uint32
	Route               []byte
}

// BenchmarkHeader compares the fixed layout with CBOR by writing and reading
// every field once.
func BenchmarkHeader(b *testing.B) {
	flow, route := make([]byte, FlowSize), make([]byte, RouteSize)
	b.Run("fixed/encode", func(b *testing.B) {
		p := New(KindStream, 0)
		b.ReportAllocs()
		for b.Loop() {
			encodeFixed(p, flow, route)
		}
	})
	b.Run("fixed/decode", func(b *testing.B) {
		p := New(KindStream, 0)
		encodeFixed(p, flow, route)
		b.ReportAllocs()
		for b.Loop() {
			if decodeFixed(p) == 0 {
				b.Fatal("header was not decoded")
			}
		}
	})
	header := cborHeader{Kind: uint8(KindStream), Flow: flow, Request: 9, Total: 44, Offset: 1, Deadline: 2000, UpstreamIncarnation: 5, Placed: 3, Route: route}
	b.Run("cbor/encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := cbor.Marshal(&header); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("cbor/decode", func(b *testing.B) {
		data, err := cbor.Marshal(&header)
		require.NoError(b, err)
		b.ReportAllocs()
		for b.Loop() {
			var decoded cborHeader
			if err := cbor.Unmarshal(data, &decoded); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func encodeFixed(p Packet, flow, route []byte) {
	p.Init(KindStream, 0)
	p.SetFlags(FlagIdempotent)
	copy(p.Flow(), flow)
	p.SetRequest(9)
	p.SetOffset(0)
	p.SetTotal(44)
	p.SetDeadlineMillis(2000)
	p.SetAux(0)
	p.SetVerdict(0, 0)
	p.SetLoad(1, 2)
	p.SetUpstreamIncarnation(5)
	p.SetPlacedUpstream(3)
	copy(p.Route(), route)
}

// decodeFixed validates the datagram and returns the sum of its fields, or zero
// if it is malformed.
func decodeFixed(p Packet) uint64 {
	if Check(p) != StatusOK {
		return 0
	}
	running, connections := p.Load()
	sum := uint64(p.Kind()) + uint64(p.Flags()) + uint64(p.Request()) + uint64(p.Offset()) + uint64(p.Total())
	sum += uint64(p.DeadlineMillis()) + uint64(p.Aux()) + uint64(p.Verdict()) + uint64(p.Reason())
	sum += uint64(running) + uint64(connections) + p.UpstreamIncarnation() + uint64(p.PlacedUpstream())
	return sum + binary.BigEndian.Uint64(p.Flow()) + binary.BigEndian.Uint64(p.Route())
}
