package wire

import (
	"bytes"
	"net/netip"
	"testing"
)

func FuzzCheck(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte(New(KindStream, 0)))
	request := New(KindRequest, 5)
	request.SetTotal(5)
	f.Add([]byte(request))
	f.Add([]byte(request[:HeaderSize]))
	f.Add(append([]byte(request), make([]byte, MaxDatagram)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		before := bytes.Clone(b)
		if Check(b) != StatusOK {
			return
		}
		p := Packet(b)
		if len(p) != HeaderSize+len(p.Payload()) || len(p.Flow()) != FlowSize || len(p.Route()) != RouteSize {
			t.Fatal("field extends beyond the datagram")
		}
		if p.Kind() == KindInvalid || p.Kind().String() == "invalid" {
			t.Fatal("Check accepted an unknown kind")
		}
		if uint64(p.Offset())+uint64(len(p.Payload())) > uint64(p.Total()) {
			t.Fatal("payload extends beyond the body")
		}
		decodeFixed(p)
		if !bytes.Equal(before, b) {
			t.Fatal("reading the datagram changed it")
		}
	})
}

func FuzzEnvelope(f *testing.F) {
	env := Envelope{Origin: OriginFabric, Source: netip.MustParseAddrPort("127.0.0.9:77")}
	valid := make([]byte, EnvelopeSize+3)
	env.Put(valid)
	f.Add(valid)
	f.Add(valid[:EnvelopeSize-1])
	f.Add([]byte{EnvelopeMagic})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, rest, ok := ParseEnvelope(b)
		if !ok {
			return
		}
		if len(rest) != len(b)-EnvelopeSize {
			t.Fatal("datagram after the envelope is truncated")
		}
		encoded := make([]byte, EnvelopeSize)
		got.Put(encoded)
		reparsed, _, ok := ParseEnvelope(encoded)
		if !ok || reparsed != got {
			t.Fatalf("envelope %v became %v after a round trip", got, reparsed)
		}
	})
}
