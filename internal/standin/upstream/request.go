package upstream

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/reassembly"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// maxBody is the largest request body the stand-in takes in, in bytes.
const maxBody = 8 << 20

// jobState is the progress of a request at the upstream.
type jobState uint8

const (
	jobReceiving jobState = iota
	jobRunning
	jobAnswering
	jobOver
	jobRefused
)

// job is a request from its first part to the end of the repeat window.
type job struct {
	key      Key
	state    jobState
	reason   verdict.Reason
	head     wire.Packet
	body     *reassembly.Body
	deadline time.Duration
	endsAt   time.Duration
	forgetAt time.Duration
	// runs holds the indexes of the records of this job.
	runs   []int
	answer []byte
	// finished is set once the request has run to its end.
	finished bool
	// acked and sent count bytes of the answer from its start.
	acked    int
	sent     int
	resendAt time.Duration
}

func keyOf(p wire.Packet) Key {
	f := flowid.ParseUnverified(p.Flow())
	return Key{Account: f.Account, Service: f.Service, Nonce: f.Nonce, Request: p.Request()}
}

// onForward takes in a part of a request. A request that was begun before is
// only told about, never begun again.
func (c *Core) onForward(now time.Duration, p wire.Packet, out *Effects) {
	want := p.UpstreamIncarnation()
	if want != 0 && want != c.settings.Incarnation {
		c.shed(p, verdict.ReasonUpstreamLost, out)
		return
	}
	j := c.jobs[keyOf(p)]
	if j == nil {
		j = c.newJob(now, p)
	}
	if j.state != jobReceiving {
		c.onRepeat(j, p, out)
		return
	}
	if j.body == nil || !j.body.Add(p.Offset(), p.Total(), p.Payload()) {
		c.refuse(j, p, verdict.ReasonTooLarge, out)
		return
	}
	j.head = slices.Clone(p[:wire.HeaderSize])
	c.sendReceived(j, p, out)
	if j.body.Complete() {
		c.begin(now, j, p, out)
	}
}

func (c *Core) newJob(now time.Duration, p wire.Packet) *job {
	j := &job{key: keyOf(p), forgetAt: now + RepeatWindow}
	j.deadline = now + time.Duration(p.DeadlineMillis())*time.Millisecond
	j.body, _ = reassembly.New(p.Total(), maxBody)
	c.jobs[j.key] = j
	c.jobOrder = append(c.jobOrder, j)
	return j
}

func (c *Core) onRepeat(j *job, p wire.Packet, out *Effects) {
	c.counters.Repeats++
	if j.state == jobRefused {
		c.shed(p, j.reason, out)
		return
	}
	c.sendReceived(j, p, out)
}

// sendReceived tells how much of the body is held, with flag last once the
// request has run to its end.
func (c *Core) sendReceived(j *job, p wire.Packet, out *Effects) {
	r := c.reply(wire.KindReceived, p, 0)
	if j.finished {
		r.SetFlags(wire.FlagLast)
	}
	r.SetAux(j.body.Contiguous())
	c.send(r, out)
}

// begin runs a whole request if a slot is free and its deadline is ahead.
func (c *Core) begin(now time.Duration, j *job, p wire.Packet, out *Effects) {
	switch {
	case now >= j.deadline:
		c.refuse(j, p, verdict.ReasonDeadline, out)
		return
	case c.faults.ShedAll || c.running >= c.settings.Slots:
		c.refuse(j, p, verdict.ReasonShed, out)
		return
	}
	j.state = jobRunning
	j.endsAt = now + c.serviceTime(now)
	c.running++
	c.record(now, j, p)
	if c.faults.RunTwice {
		c.record(now, j, p)
	}
}

func (c *Core) record(now time.Duration, j *job, p wire.Packet) {
	j.runs = append(j.runs, len(c.runs))
	c.runs = append(c.runs, Run{
		Key:         j.key,
		Upstream:    c.settings.ID,
		Incarnation: c.settings.Incarnation,
		At:          now,
		Idempotent:  p.Has(wire.FlagIdempotent),
		BodySize:    int(j.body.Size()),
		BodySum:     xxhash.Sum64(j.body.Bytes()),
	})
}

// serviceTime draws the time a request takes: half to one and a half of the
// setting, longer during a cold start.
func (c *Core) serviceTime(now time.Duration) time.Duration {
	t := time.Duration(float64(c.settings.ServiceTime) * (0.5 + c.random.Float64()))
	if now-c.started < c.settings.ColdStart {
		t *= time.Duration(max(c.settings.ColdFactor, 1))
	}
	return t
}

func (c *Core) refuse(j *job, p wire.Packet, reason verdict.Reason, out *Effects) {
	j.state = jobRefused
	j.reason = reason
	j.body = nil
	c.shed(p, reason, out)
}

func (c *Core) shed(p wire.Packet, reason verdict.Reason, out *Effects) {
	c.counters.Shed++
	r := c.reply(wire.KindShed, p, 0)
	r.SetVerdict(verdict.NotRun, reason)
	c.send(r, out)
}

// onCancel stops a request. One that has not begun, or was never seen, is
// refused for good. The cancel of request id 0 only asks for the incarnation.
func (c *Core) onCancel(now time.Duration, p wire.Packet, out *Effects) {
	if p.Request() == 0 {
		c.shed(p, verdict.ReasonClosed, out)
		return
	}
	j := c.jobs[keyOf(p)]
	if j == nil {
		j = c.newJob(now, p)
	}
	switch j.state {
	case jobReceiving:
		c.refuse(j, p, verdict.ReasonClosed, out)
	case jobRefused:
		c.shed(p, j.reason, out)
	case jobRunning:
		c.counters.Cancelled++
		c.running--
		j.state = jobOver
	}
}

func (c *Core) tickJobs(now time.Duration, out *Effects) {
	for _, j := range c.jobOrder {
		switch {
		case j.state == jobRunning && now >= j.endsAt:
			c.complete(now, j, out)
		case j.state == jobAnswering && now >= j.resendAt:
			c.sendAnswer(now, j, out)
		}
	}
	c.jobOrder = slices.DeleteFunc(c.jobOrder, func(j *job) bool {
		if now < j.forgetAt || j.state == jobRunning {
			return false
		}
		delete(c.jobs, j.key)
		return true
	})
}

func (c *Core) complete(now time.Duration, j *job, out *Effects) {
	c.running--
	for _, i := range j.runs {
		c.runs[i].Finished = true
	}
	j.state = jobAnswering
	j.finished = true
	j.answer = MakeAnswer(j.key, j.body.Bytes(), c.settings.AnswerSize)
	j.forgetAt = now + RepeatWindow
	c.sendAnswer(now, j, out)
}

// answerWindow is the number of answer parts sent ahead of the acknowledgement.
const answerWindow = 32

// sendAnswer sends the parts that are not acknowledged, up to the window.
func (c *Core) sendAnswer(now time.Duration, j *job, out *Effects) {
	j.resendAt = now + answerResend
	j.sent = j.acked
	c.sendAhead(j, out)
}

// sendAhead sends the parts of the window that were not sent yet.
func (c *Core) sendAhead(j *job, out *Effects) {
	limit := min(len(j.answer), j.acked+answerWindow*wire.MaxPayload)
	for j.sent < limit {
		if !c.faults.LoseAnswers {
			c.sendAnswerPart(j, j.sent, out)
		}
		j.sent += wire.MaxPayload
	}
}

func (c *Core) sendAnswerPart(j *job, offset int, out *Effects) {
	n := min(len(j.answer)-offset, wire.MaxPayload)
	p := c.reply(wire.KindAnswer, j.head, n)
	p.SetOffset(uint32(offset))
	p.SetTotal(uint32(len(j.answer)))
	if offset+n == len(j.answer) {
		p.SetFlags(wire.FlagLast)
	}
	copy(p.Payload(), j.answer[offset:offset+n])
	c.send(p, out)
}

// onAck takes in the acknowledgement of an answer or of stream messages.
func (c *Core) onAck(now time.Duration, p wire.Packet, out *Effects) {
	if p.Request() == 0 {
		c.onStreamAck(now, p, out)
		return
	}
	j := c.jobs[keyOf(p)]
	if j == nil || j.state != jobAnswering {
		return
	}
	acked := min(int(p.Aux()), len(j.answer))
	if acked <= j.acked {
		return
	}
	j.acked = acked
	j.resendAt = now + answerResend
	if j.acked < len(j.answer) {
		c.sendAhead(j, out)
		return
	}
	j.state = jobOver
	j.answer = nil
}

// Running returns the number of requests that run.
func (c *Core) Running() int { return c.running }

// ID returns the upstream's id.
func (c *Core) ID() ids.UpstreamID { return c.settings.ID }
