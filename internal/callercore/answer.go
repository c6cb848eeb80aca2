package callercore

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/reassembly"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// MaxAnswerSize is the maximum size of an answer that a session accepts, in bytes.
const MaxAnswerSize = 8 << 20

// maxAnswersPerRequest is the maximum number of upstreams whose answers to one
// request are reassembled in parallel. An idempotent request that was retried may
// be answered by more than one.
const maxAnswersPerRequest = 4

// answer is the answer of one upstream while its parts are reassembled.
type answer struct {
	upstream ids.UpstreamID
	body     *reassembly.Body
}

// answers holds the partial answers to one request.
type answers []*answer

// onAnswer adds and acknowledges a part of an answer. Parts for a finished request
// are acknowledged as well, so that the upstream stops retransmitting.
func (c *Core) onAnswer(now time.Duration, f *flow, p wire.Packet, out *Effects) {
	r := c.requestOf(f, p.Request())
	if r == nil {
		c.sendAnswerAck(f, p, p.Total(), out)
		return
	}
	a := r.answers.forSender(p)
	if a == nil || !a.body.Add(p.Offset(), p.Total(), p.Payload()) {
		return
	}
	c.sendAnswerAck(f, p, a.body.Contiguous(), out)
	if !a.body.Complete() {
		return
	}
	c.finishWithResult(r, Result{Verdict: verdict.Ran, Answer: a.body.Bytes()}, out)
	c.removeFinishedRequests()
}

// forSender returns the partial answer of the upstream that sent p and creates
// it on the first part. It returns nil if the answer exceeds MaxAnswerSize or if
// maxAnswersPerRequest other upstreams have already sent a part.
func (as *answers) forSender(p wire.Packet) *answer {
	for _, a := range *as {
		if a.upstream == p.PlacedUpstream() {
			return a
		}
	}
	body, ok := reassembly.New(p.Total(), MaxAnswerSize)
	if !ok || len(*as) >= maxAnswersPerRequest {
		return nil
	}
	a := &answer{upstream: p.PlacedUpstream(), body: body}
	*as = append(*as, a)
	return a
}

// sendAnswerAck acknowledges the first acked bytes of the answer that p is part of.
func (c *Core) sendAnswerAck(f *flow, p wire.Packet, acked uint32, out *Effects) {
	ack := c.newPacket(wire.KindAck, f.id, 0)
	ack.SetRequest(p.Request())
	ack.SetAux(acked)
	ack.SetPlacedUpstream(p.PlacedUpstream())
	out.Sends = append(out.Sends, ack)
}
