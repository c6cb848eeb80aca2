package forward

import (
	"testing"

	"mimosashore.example/mimosashore/internal/wire"
)

// payloadSize gives datagrams of 200 bytes.
const payloadSize = 200 - wire.HeaderSize

func BenchmarkRoute(b *testing.B) {
	table := testTable(1)
	for _, kind := range []wire.Kind{wire.KindStream, wire.KindPush, wire.KindRequest} {
		b.Run(kind.String(), func(b *testing.B) {
			p := append(sealed(b, kind, ownFlow()), make([]byte, payloadSize)...)
			p.Init(kind, payloadSize)
			env := fromFabric(activeAddr)
			b.ReportAllocs()
			for b.Loop() {
				Route(table, env, p)
			}
		})
	}
}
