package callercore

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// fakeHost replaces the hosts: its methods pass scripted replies and the time to a
// core and collect its effects.
type fakeHost struct {
	t    *testing.T
	core *Core
	out  Effects
	now  time.Duration
}

func newFakeHost(t *testing.T, s Settings) *fakeHost {
	s.Account, s.Service = 1, 2
	h := &fakeHost{t: t, core: New(s)}
	h.core.Start(0, &h.out)
	return h
}

func (h *fakeHost) opened(generation uint32, owner ids.HostID) {
	f := flowid.Flow{
		Account: 1, Service: 2, Upstream: 3, Nonce: h.core.current.nonce,
		Owner: ids.Instance{Host: owner, Incarnation: 1}, Generation: generation,
	}
	p := wire.New(wire.KindOpened, 0)
	flowid.PutUnsealed(p.Flow(), &f)
	h.core.HandlePacket(h.now, p, &h.out)
}

func (h *fakeHost) reply(kind wire.Kind, to wire.Packet, v verdict.Verdict, r verdict.Reason) {
	p := wire.New(kind, 0)
	copy(p.Flow(), to.Flow())
	p.SetRequest(to.Request())
	p.SetVerdict(v, r)
	if kind == wire.KindAccepted {
		p.SetAux(to.Total())
	}
	h.core.HandlePacket(h.now, p, &h.out)
}

// take returns the packets of a kind that the core sent since the last call of
// take, and discards those of other kinds.
func (h *fakeHost) take(kind wire.Kind) []wire.Packet {
	var found []wire.Packet
	for _, p := range h.out.Sends {
		if p.Kind() == kind {
			found = append(found, p)
		}
	}
	h.out.Sends = nil
	return found
}

// advance moves the time on by d in steps of TickInterval.
func (h *fakeHost) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += TickInterval
		h.core.Tick(h.now, &h.out)
	}
}

func (h *fakeHost) request(body []byte, idempotent bool) {
	h.core.Request(h.now, Request{Body: body, Idempotent: idempotent, Timeout: 2 * time.Second}, &h.out)
}

// An open that was duplicated may be answered by two hosts. Each request id must be
// used with one owner only, so the second identifier is ignored.
func TestFirstIdentifierWins(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.opened(0, 20)
	require.Equal(t, ids.HostID(10), h.core.current.fields.Owner.Host)
	require.Len(t, h.out.Events, 1)
}

func TestRequestIsReissuedAfterHandover(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request([]byte("order"), false)
	first := h.take(wire.KindRequest)[0]
	h.reply(wire.KindRefused, first, verdict.NotRun, verdict.ReasonStopping)
	require.Empty(t, h.out.Results)
	h.advance(100 * time.Millisecond)
	second := h.take(wire.KindRequest)
	require.Len(t, second, 1)
	require.Equal(t, first.Request()+1, second[0].Request())
}

func TestOverloadIsReported(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request([]byte("order"), false)
	h.reply(wire.KindRefused, h.take(wire.KindRequest)[0], verdict.NotRun, verdict.ReasonOverload)
	require.Len(t, h.out.Results, 1)
	require.Equal(t, verdict.NotRun, h.out.Results[0].Verdict)
}

func TestNonIdempotentRequestIsNotReissuedAfterOwnerIsGone(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request([]byte("order"), false)
	first := h.take(wire.KindRequest)[0]
	h.reply(wire.KindRefused, first, verdict.MayHaveRun, verdict.ReasonOwnerGone)
	renew := h.take(wire.KindRenew)
	require.Len(t, renew, 1)
	require.Equal(t, first.Request()+1, renew[0].Request(), "the floor excludes ids that were sent")
	h.opened(1, 20)
	h.advance(time.Second)
	for _, p := range h.take(wire.KindRequest) {
		require.Equal(t, first.Request(), p.Request(), "only the same id may be retransmitted")
		require.Equal(t, first.Flow(), p.Flow(), "and only to its owner")
	}
	require.Empty(t, h.out.Results, "the answer may still arrive")
	h.advance(2 * time.Second)
	require.Equal(t, verdict.MayHaveRun, h.out.Results[0].Verdict)
}

// An owner that was paused answers the requests that waited in its socket buffer.
// Another host's report that the owner is gone is only an inference, so the owner's
// own verdict overrides it.
func TestOwnerNotRunOverridesVerdictOfAnotherHost(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request([]byte("order"), false)
	first := h.take(wire.KindRequest)[0]
	h.reply(wire.KindRefused, first, verdict.MayHaveRun, verdict.ReasonOwnerGone)
	h.opened(1, 20)
	h.advance(100 * time.Millisecond)
	require.Empty(t, h.take(wire.KindRequest))
	h.reply(wire.KindRefused, first, verdict.NotRun, verdict.ReasonOwnerGone)
	h.advance(100 * time.Millisecond)
	again := h.take(wire.KindRequest)
	require.Len(t, again, 1)
	require.Equal(t, first.Request()+1, again[0].Request())
	require.Equal(t, uint32(1), flowid.ParseUnverified(again[0].Flow()).Generation)
}

// The owner never had the whole body, so the request can safely go to another owner.
func TestPartlySentRequestMovesToNextOwner(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request(bytes.Repeat([]byte("x"), (sendWindow+1)*wire.MaxPayload), false)
	first := h.take(wire.KindRequest)[0]
	h.reply(wire.KindRefused, first, verdict.MayHaveRun, verdict.ReasonOwnerGone)
	h.opened(1, 20)
	h.advance(100 * time.Millisecond)
	again := h.take(wire.KindRequest)
	require.NotEmpty(t, again)
	require.Equal(t, first.Request()+1, again[0].Request())
}

// Guards against an uncertain request that is not probed, or whose probe a host could
// take for a new request.
func TestUncertainRequestIsProbed(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request([]byte("order"), false)
	first := h.take(wire.KindRequest)[0]
	h.reply(wire.KindRefused, first, verdict.MayHaveRun, verdict.ReasonOwnerGone)
	h.opened(1, 20)
	h.advance(time.Second)
	probes := h.take(wire.KindRequest)
	require.NotEmpty(t, probes)
	for _, p := range probes {
		require.Equal(t, first.Request(), p.Request(), "a probe must not be a new request")
		require.Equal(t, first.Flow(), p.Flow())
		require.True(t, p.Has(wire.FlagRetransmit))
	}
}

// A late refusal, for example by an owner that is stopping, must not turn a request
// that ran into one that is reissued.
func TestNotRunAfterRanIsIgnored(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request([]byte("order"), false)
	first := h.take(wire.KindRequest)[0]
	h.reply(wire.KindRefused, first, verdict.Ran, verdict.ReasonNone)
	h.reply(wire.KindRefused, first, verdict.NotRun, verdict.ReasonStopping)
	h.advance(time.Second)
	require.Empty(t, h.out.Results)
	require.Empty(t, h.take(wire.KindRequest))
}

func TestIdempotentRequestIsReissuedUnderNextIdentifier(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request([]byte("order"), true)
	h.reply(wire.KindRefused, h.take(wire.KindRequest)[0], verdict.MayHaveRun, verdict.ReasonOwnerGone)
	h.opened(1, 20)
	h.advance(time.Second)
	again := h.take(wire.KindRequest)
	require.NotEmpty(t, again)
	require.Equal(t, uint32(1), flowid.ParseUnverified(again[0].Flow()).Generation)
}

func TestRequestThatRanWaitsForAnswer(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request([]byte("quote"), true)
	h.reply(wire.KindRefused, h.take(wire.KindRequest)[0], verdict.Ran, verdict.ReasonNone)
	h.advance(time.Second)
	require.Empty(t, h.take(wire.KindRequest), "it is not reissued under another id")
	require.Empty(t, h.out.Results)
}

func TestPartlySentRequestDidNotRun(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request(bytes.Repeat([]byte("x"), (sendWindow+1)*wire.MaxPayload), false)
	require.Len(t, h.take(wire.KindRequest), sendWindow)
	h.advance(3 * time.Second)
	require.Equal(t, verdict.NotRun, h.out.Results[0].Verdict)
}

func TestFullySentRequestWithoutVerdictMayHaveRun(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request([]byte("order"), false)
	h.advance(3 * time.Second)
	require.Len(t, h.out.Results, 1)
	require.Equal(t, verdict.MayHaveRun, h.out.Results[0].Verdict)
	require.NotEmpty(t, h.take(wire.KindCancel))
}

func TestAnswerPartsOutOfOrderAndDuplicated(t *testing.T) {
	h := newFakeHost(t, Settings{})
	h.opened(0, 10)
	h.request([]byte("order"), false)
	first := h.take(wire.KindRequest)[0]
	for _, part := range []struct{ offset, size int }{{4, 4}, {4, 4}, {0, 4}, {8, 2}} {
		p := wire.New(wire.KindAnswer, part.size)
		copy(p.Flow(), first.Flow())
		p.SetRequest(first.Request())
		p.SetOffset(uint32(part.offset))
		p.SetTotal(10)
		copy(p.Payload(), "0123456789"[part.offset:])
		h.core.HandlePacket(h.now, p, &h.out)
	}
	require.Len(t, h.out.Results, 1)
	require.Equal(t, "0123456789", string(h.out.Results[0].Answer))
	require.Len(t, h.take(wire.KindAck), 4)
}

func TestDrainOpensNextFlowBeforeSwitching(t *testing.T) {
	h := newFakeHost(t, Settings{Subscribe: []byte("all")})
	h.opened(0, 10)
	old := h.core.current
	push := h.push(old, 1)
	push.SetFlags(wire.FlagMoveFlow)
	h.core.HandlePacket(h.now, push, &h.out)
	require.Same(t, old, h.core.current)
	require.NotNil(t, h.core.next)
	next := h.core.next
	h.openedFor(next)
	require.Same(t, old, h.core.current, "the old flow stays in use until the first push on the next one")
	h.core.HandlePacket(h.now, h.push(next, 0), &h.out)
	require.Same(t, next, h.core.current)
	h.advance(TickInterval)
	require.Len(t, h.take(wire.KindClose), 1)
}

func TestSilentStreamIsReopened(t *testing.T) {
	h := newFakeHost(t, Settings{Subscribe: []byte("all")})
	h.opened(0, 10)
	old := h.core.current
	h.advance(DefaultStreamTimeout + time.Second)
	require.NotSame(t, old, h.core.current)
	require.Equal(t, EventBroken, h.out.Events[len(h.out.Events)-1].Kind)
}

func (h *fakeHost) openedFor(f *flow) {
	p := wire.New(wire.KindOpened, 0)
	flowid.PutUnsealed(p.Flow(), &flowid.Flow{Account: 1, Service: 2, Upstream: 4, Nonce: f.nonce})
	h.core.HandlePacket(h.now, p, &h.out)
}

func (h *fakeHost) push(f *flow, sequence uint64) wire.Packet {
	p := wire.New(wire.KindPush, 4)
	copy(p.Flow(), f.id[:])
	p.SetRequest(ids.RequestID(sequence))
	p.SetTotal(4)
	return p
}
