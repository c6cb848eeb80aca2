package hostcore

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// openAt opens flows until one is at the upstream, and returns its identifier.
func (h *harness) openAt(upstream ids.UpstreamID) []byte {
	for nonce := ids.Nonce(1); nonce < 100; nonce++ {
		h.open(nonce)
		if flowid.ParseUnverified(h.id).Upstream == upstream {
			return h.id
		}
	}
	h.t.Fatalf("no flow is placed at upstream %d", upstream)
	return nil
}

// renew asks to renew a flow and returns the answer.
func (h *harness) renew(id []byte) wire.Packet {
	p := wire.New(wire.KindRenew, 0)
	copy(p.Flow(), id)
	sends := h.packet(fromCaller, p)
	require.Len(h.t, sends, 1)
	return sends[0].Packet
}

func (h *harness) requireRefusal(p wire.Packet, reason verdict.Reason) {
	h.t.Helper()
	require.Equal(h.t, wire.KindRefused, p.Kind())
	require.Equal(h.t, reason, p.Reason())
}

// Guards against a flow that its caller gives up, because the host that it turned to has not heard of
// the flow's upstream yet: another host has a newer configuration.
func TestRenewalAwaitsConfigurationThatKnowsUpstream(t *testing.T) {
	const added = testUpstream + 1
	id := newHarness(t, 2, 1).openAt(added)
	h := newHarness(t, 1, 1)
	answer := h.renew(id)
	h.requireRefusal(answer, verdict.ReasonNotReady)
	require.EqualValues(t, notReadyRetryAfter/time.Millisecond, answer.Aux())
	h.tick(configurationSpreadTime - time.Millisecond)
	h.requireRefusal(h.renew(id), verdict.ReasonNotReady)
	h.setSnapshot(testSnapshot(2, 1))
	require.Equal(t, wire.KindOpened, h.renew(id).Kind())
}

func TestRenewalAtUpstreamThatStaysUnknownIsRefused(t *testing.T) {
	id := newHarness(t, 2, 1).openAt(testUpstream + 1)
	h := newHarness(t, 1, 1)
	h.requireRefusal(h.renew(id), verdict.ReasonNotReady)
	h.tick(configurationSpreadTime)
	h.requireRefusal(h.renew(id), verdict.ReasonNoUpstream)
}

// A host that has dropped the upstream by a newer configuration knows that it is gone.
func TestRenewalAtRemovedUpstreamIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 2, 1)
	id := h.openAt(testUpstream + 1)
	h.setSnapshot(testSnapshot(1, 1))
	other := flowid.ParseUnverified(id)
	require.Equal(t, ids.UpstreamID(testUpstream+1), other.Upstream)
	h.core.flows = newFlowTable(0)
	h.requireRefusal(h.renew(id), verdict.ReasonNoUpstream)
	for n := range 2 * maxUnknownUpstreams {
		h.core.unknownUpstreams.isGone(h.now, ids.UpstreamID(1000+n))
	}
	require.LessOrEqual(t, len(h.core.unknownUpstreams), maxUnknownUpstreams)
}
