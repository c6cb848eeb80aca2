package forward

import (
	"bytes"
	"testing"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

// FuzzRoute passes whole datagrams with envelopes, as received from a socket,
// to Route. For any input, a datagram is relayed only to a known host, and one
// sent to an upstream or a caller belongs to a sealed flow of that upstream's
// service.
func FuzzRoute(f *testing.F) {
	for kind := wire.KindOpen; kind <= wire.KindDone; kind++ {
		for _, env := range []wire.Envelope{fromFabric(caller), fromFabric(activeAddr), fromHost(activeAddr)} {
			p := sealed(f, kind, ownFlow())
			datagram := make([]byte, wire.EnvelopeSize+len(p))
			env.Put(datagram)
			copy(datagram[wire.EnvelopeSize:], p)
			f.Add(datagram)
		}
	}
	routing := testTable(1)
	f.Fuzz(func(t *testing.T, b []byte) {
		env, data, ok := wire.ParseEnvelope(b)
		if !ok || wire.Check(data) != wire.StatusOK {
			return
		}
		p := wire.Packet(data)
		payload := bytes.Clone(p.Payload())
		d := Route(routing, env, p)
		if !bytes.Equal(payload, p.Payload()) {
			t.Fatal("Route changed the payload")
		}
		switch d.Action {
		case ActionSend:
			flow, status := routing.Keys.Open(p.Flow())
			if status != flowid.StatusOK {
				t.Fatal("a datagram without a valid flow identifier was sent")
			}
			if leavesService(routing, d, flow) {
				t.Fatal("a datagram was sent to an upstream of another service")
			}
		case ActionRelay:
			if _, ok := routing.HostAt(d.To); !ok {
				t.Fatal("a datagram was relayed to an unknown host")
			}
		case ActionDrop:
			if d.Reason == ReasonNone || d.Reason >= ReasonCount {
				t.Fatal("a datagram was dropped without a valid reason")
			}
		}
	})
}

// leavesService reports whether a datagram goes to an upstream of another
// service.
func leavesService(t *table.Table, d Decision, flow flowid.Flow) bool {
	id, ok := t.UpstreamAt(d.To)
	if !ok {
		return false
	}
	upstream, _ := t.Upstream(id)
	return upstream.Service != flow.Service
}
