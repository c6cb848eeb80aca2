package hostcore

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// script drives a core and records its replies as text.
type script struct {
	*harness
	text strings.Builder
}

func (s *script) step(what string, env wire.Envelope, p wire.Packet) {
	fmt.Fprintf(&s.text, "%s\n", what)
	for _, send := range s.packet(env, p) {
		q := send.Packet
		fmt.Fprintf(&s.text, "  %s id %d aux %d, %s (%s)\n", q.Kind(), q.Request(), q.Aux(), q.Verdict(), q.Reason())
	}
	load := s.core.Load()
	fmt.Fprintf(&s.text, "  holds %d flows, %d requests, %d bytes\n", load.Flows, load.Requests, load.BodyBytes)
}

func (s *script) renewal(floor ids.RequestID) wire.Packet {
	p := wire.New(wire.KindRenew, 0)
	copy(p.Flow(), s.id)
	p.SetRequest(floor)
	return p
}

func (s *script) sealed(kind wire.Kind, f flowid.Flow) wire.Packet {
	p := wire.New(kind, 0)
	require.True(s.t, s.keys.Seal(p.Flow(), &f))
	p.SetRequest(1)
	return p
}

func TestGoldenPathologicalInput(t *testing.T) {
	s := &script{harness: newHarness(t, 1, 1)}
	s.open(5)
	own := flowid.ParseUnverified(s.id)

	foreign := own
	foreign.Account = 99
	s.step("request under another client account", fromCaller, s.sealed(wire.KindRequest, foreign))
	serial := own
	serial.Serial++
	s.step("request under an identifier that this run never issued", fromCaller, s.sealed(wire.KindRequest, serial))
	forged := s.whole(1, "x")
	forged.Flow()[20] ^= 1
	s.step("request under a forged identifier", fromCaller, forged)
	open := wire.New(wire.KindOpen, 0)
	flowid.PutUnsealed(open.Flow(), &flowid.Flow{Account: 99, Service: testService, Nonce: 6})
	s.step("open for a service of another client account", fromCaller, open)

	s.step("first part of ten bytes", fromCaller, s.part(1, 0, 10, "0123"))
	s.step("part with another total", fromCaller, s.part(1, 4, 12, "4567"))
	s.step("part that overlaps with other bytes", fromCaller, s.part(1, 2, 10, "xxxx"))
	s.step("part without bytes", fromCaller, s.part(1, 10, 10, ""))
	s.step("last part", fromCaller, s.part(1, 6, 10, "6789"))
	s.step("body larger than the service allows", fromCaller, s.part(2, 0, 2<<20, "0"))
	s.step("request id that jumps", fromCaller, s.part(1<<50, 0, 10, "0"))
	s.step("request id below the window", fromCaller, s.part(3, 0, 10, "0"))
	s.step("request id zero", fromCaller, s.part(0, 0, 10, "0"))
	s.step("cancel of the jumped id", fromCaller, func() wire.Packet {
		p := s.part(1<<50, 0, 0, "")
		p.SetKind(wire.KindCancel)
		return p
	}())

	s.step("renewal at the owner", fromCaller, s.renewal(9))
	s.step("replayed renewal with another floor", fromCaller, s.renewal(1))
	done := wire.New(wire.KindDone, 0)
	copy(done.Flow(), s.id)
	done.SetRequest(1)
	done.SetPlacedUpstream(testUpstream)
	s.step("done from a caller", fromCaller, done)
	s.step("shed from a caller", fromCaller, func() wire.Packet { p := done; p.SetKind(wire.KindShed); return p }())
	s.step("kind that hosts don't take", fromCaller, func() wire.Packet { p := done; p.SetKind(wire.KindOpened); return p }())
	fmt.Fprintf(&s.text, "counters %+v\n", s.core.Counters())
	goldie.New(t).Assert(t, "pathological", []byte(s.text.String()))
}

func TestFloodOfOpensIsBounded(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.core = New(Settings{Self: testSelf("h1"), Name: "h1", Zone: testZone, MaxFlows: 100})
	h.setSnapshot(testSnapshot(1, 1))
	h.open(1)
	used := h.id
	h.packet(fromCaller, h.whole(1, "order"))
	for nonce := range 1000 {
		h.open(ids.Nonce(10 + nonce))
	}
	require.Equal(t, 100, h.core.Load().Flows)
	require.Positive(t, h.core.Counters().FlowsEvicted)
	h.id = used
	require.Equal(t, wire.KindAccepted, h.packet(fromCaller, h.whole(1, "order"))[0].Packet.Kind(), "a flow with requests survives the flood")
}

// Guards against the verdict not run for a request that may have run: if the flow table
// is full, a flow that has seen requests is evicted early, and with it their verdicts.
func TestEarlyEvictionOfUsedFlowGivesMayHaveRun(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.core = New(Settings{Self: testSelf("h1"), Name: "h1", Zone: testZone, MaxFlows: 2})
	h.setSnapshot(testSnapshot(1, 1))
	h.open(1)
	first := h.id
	h.packet(fromCaller, h.part(1, 0, 10, "0"))
	h.packet(fromCaller, cancelOf(h.whole(1, "")))
	for nonce := ids.Nonce(2); nonce < 4; nonce++ {
		h.open(nonce)
		h.packet(fromCaller, cancelOf(h.whole(1, "")))
	}
	h.id = first
	requireRefused(t, h.packet(fromCaller, h.whole(2, "order"))[0], verdict.MayHaveRun, verdict.ReasonForgotten)
}

func cancelOf(p wire.Packet) wire.Packet {
	p.SetKind(wire.KindCancel)
	return p
}

func TestRequestOnEvictedIdleFlowIsNotRun(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.open(1)
	h.packet(fromCaller, h.whole(1, "order"))
	h.packet(fromCaller, cancelOf(h.whole(1, "")))
	h.tick(cancelTimeout)
	h.tick(cancelTimeout)
	h.tick(flowIdleTime)
	require.Zero(t, h.core.Load().Flows)
	requireRefused(t, h.packet(fromCaller, h.whole(2, "order"))[0], verdict.NotRun, verdict.ReasonForgotten)
	again := h.whole(1, "order")
	again.SetFlags(wire.FlagRetransmit)
	requireRefused(t, h.packet(fromCaller, again)[0], verdict.MayHaveRun, verdict.ReasonForgotten)
	old := h.id
	h.open(1)
	require.NotEqual(t, old, h.id, "the serial number differs")
	h.id = old
	requireRefused(t, h.packet(fromCaller, h.whole(2, "order"))[0], verdict.NotRun, verdict.ReasonForgotten)
}

func TestBodyMemoryIsBounded(t *testing.T) {
	h := newHarness(t, 1, 1)
	refused := 0
	for nonce := range 200 {
		h.open(ids.Nonce(nonce + 1))
		sends := h.packet(fromCaller, h.part(1, 0, 1<<20, "0"))
		if sends[0].Packet.Kind() == wire.KindRefused {
			requireRefused(t, sends[0], verdict.NotRun, verdict.ReasonOverload)
			refused++
		}
	}
	require.Equal(t, defaultMaxBodyBytes/serviceBodyDivisor, h.core.Load().BodyBytes)
	require.Equal(t, 200-16, refused)
	h.tick(3 * time.Second)
	require.Zero(t, h.core.Load().BodyBytes, "expired requests release their memory")
}

// BenchmarkFlowState reports the heap memory per flow.
func BenchmarkFlowState(b *testing.B) {
	const flows = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		core := New(Settings{Self: testSelf("h1"), Name: "h1", Zone: testZone})
		out := &Effects{}
		h := &harness{core: core}
		h.setSnapshot(testSnapshot(1, 1))
		p := wire.New(wire.KindOpen, 0)
		for nonce := range flows {
			flowid.PutUnsealed(p.Flow(), &flowid.Flow{Account: testAccount, Service: testService, Nonce: ids.Nonce(nonce)})
			core.HandlePacket(0, fromCaller, p, out)
			out.Reset()
		}
		out = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
		runtime.KeepAlive(core)
	}
}

// FuzzPacket passes an arbitrary datagram, once from a caller and once from an
// upstream, to a core that owns a flow.
func FuzzPacket(f *testing.F) {
	for kind := wire.KindOpen; kind <= wire.KindDone; kind++ {
		f.Add(uint8(kind), uint64(1), uint32(0), uint32(10), uint32(100), []byte("0123456789"), true, uint8(0))
		f.Add(uint8(kind), uint64(1<<63), uint32(1<<31), uint32(1<<32-1), uint32(0), []byte{}, true, uint8(0xff))
		f.Add(uint8(kind), uint64(0), uint32(3), uint32(8), uint32(1<<32-1), []byte("x"), false, uint8(8))
	}
	f.Fuzz(func(t *testing.T, kind uint8, id uint64, offset, total, aux uint32, body []byte, own bool, flags uint8) {
		h := newHarness(t, 2, 1)
		h.open(5)
		h.packet(fromCaller, h.whole(1, "order"))
		body = body[:min(len(body), wire.MaxPayload)]
		p := wire.New(wire.Kind(kind), len(body))
		copy(p.Payload(), body)
		if own {
			copy(p.Flow(), h.id)
		}
		p.SetRequest(ids.RequestID(id))
		p.SetOffset(offset)
		p.SetTotal(total)
		p.SetAux(aux)
		p.SetDeadlineMillis(aux)
		p.SetFlags(wire.Flags(flags))
		p.SetPlacedUpstream(testUpstream)
		p.SetUpstreamIncarnation(7)
		if wire.Check(p) != wire.StatusOK {
			return
		}
		h.packet(fromCaller, p)
		h.packet(wire.Envelope{Origin: wire.OriginFabric, Source: upstreamAddress(testUpstream)}, p)
		h.tick(TickInterval)
		h.tick(maxDeadline + cancelTimeout)
		h.tick(maxDeadline)
		load := h.core.Load()
		require.Zero(t, load.Requests)
		require.Zero(t, load.BodyBytes)
		require.LessOrEqual(t, load.Flows, 3)
	})
}
