package callercore

import (
	"time"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/reassembly"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// MaxAnswer is the largest answer that a session takes in, in bytes.
const MaxAnswer = 8 << 20

// maxAnswers is the number of upstreams whose answers to one request are
// collected side by side. A retry of an idempotent request has a second one.
const maxAnswers = 4

// answer collects the parts of an answer from one upstream.
type answer struct {
	placed ids.UpstreamID
	body   *reassembly.Body
}

// answers holds the partial answers to one request.
type answers []*answer

// onAnswer takes in a part of an answer and acknowledges it. Parts of a
// finished request are acknowledged too, so that the upstream stops repeating.
func (c *Core) onAnswer(now time.Duration, f *flow, p wire.Packet, out *Effects) {
	r := c.requestOf(f, p.Request())
	if r == nil {
		c.sendAnswerAck(f, p, p.Total(), out)
		return
	}
	a := r.answers.from(p)
	if a == nil || !a.body.Add(p.Offset(), p.Total(), p.Payload()) {
		return
	}
	c.sendAnswerAck(f, p, a.body.Contiguous(), out)
	if !a.body.Complete() {
		return
	}
	c.finishWith(r, Result{Verdict: verdict.Ran, Answer: a.body.Bytes()}, out)
	c.dropFinished()
}

// from returns the partial answer of the upstream that sent p, or nil if the
// answer is over the limits.
func (as *answers) from(p wire.Packet) *answer {
	for _, a := range *as {
		if a.placed == p.PlacedUpstream() {
			return a
		}
	}
	body, ok := reassembly.New(p.Total(), MaxAnswer)
	if !ok || len(*as) >= maxAnswers {
		return nil
	}
	a := &answer{placed: p.PlacedUpstream(), body: body}
	*as = append(*as, a)
	return a
}

func (c *Core) sendAnswerAck(f *flow, p wire.Packet, held uint32, out *Effects) {
	ack := c.newPacket(wire.KindAck, f.id, 0)
	ack.SetRequest(p.Request())
	ack.SetAux(held)
	ack.SetPlacedUpstream(p.PlacedUpstream())
	out.Sends = append(out.Sends, ack)
}
