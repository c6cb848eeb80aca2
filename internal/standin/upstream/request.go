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

// maxBody is the largest accepted request body, in bytes.
const maxBody = 8 << 20

// jobState is the progress of a request at the upstream.
type jobState uint8

const (
	jobReceiving jobState = iota
	jobRunning
	jobAnswering
	jobDone
	jobRefused
)

// job is a request at the upstream. To detect duplicates, it is kept for
// DedupWindow after its first part, while it runs, and for DedupWindow after its
// completion.
type job struct {
	key      Key
	state    jobState
	reason   verdict.Reason
	header   wire.Packet
	body     *reassembly.Body
	deadline time.Duration
	// endsAt is when the run completes, expiresAt when the job is removed.
	endsAt    time.Duration
	expiresAt time.Duration
	// runs holds the indexes of the job's records in Core.runs.
	runs   []int
	answer []byte
	// finished is set once the request has run to completion.
	finished bool
	// acked and sent are offsets in the answer, in bytes: everything before
	// them is acknowledged or sent.
	acked    int
	sent     int
	resendAt time.Duration
}

func requestKey(p wire.Packet) Key {
	f := flowid.ParseUnverified(p.Flow())
	return Key{Account: f.Account, Service: f.Service, Nonce: f.Nonce, Request: p.Request()}
}

// onForward handles a part of a request. A part of a request that has already
// started or been refused is only acknowledged or refused again.
func (c *Core) onForward(now time.Duration, p wire.Packet, out *Effects) {
	want := p.UpstreamIncarnation()
	if want != 0 && want != c.settings.Incarnation {
		c.sendShed(p, verdict.ReasonUpstreamLost, out)
		return
	}
	j := c.jobs[requestKey(p)]
	if j == nil {
		j = c.newJob(now, p)
	}
	if j.state != jobReceiving {
		c.onDuplicate(j, p, out)
		return
	}
	if j.body == nil || !j.body.Add(p.Offset(), p.Total(), p.Payload()) {
		c.refuse(j, p, verdict.ReasonTooLarge, out)
		return
	}
	j.header = slices.Clone(p[:wire.HeaderSize])
	c.sendReceived(j, p, out)
	if j.body.Complete() {
		c.start(now, j, p, out)
	}
}

func (c *Core) newJob(now time.Duration, p wire.Packet) *job {
	j := &job{key: requestKey(p), expiresAt: now + DedupWindow}
	j.deadline = now + time.Duration(p.DeadlineMillis())*time.Millisecond
	j.body, _ = reassembly.New(p.Total(), maxBody)
	c.jobs[j.key] = j
	c.jobOrder = append(c.jobOrder, j)
	return j
}

func (c *Core) onDuplicate(j *job, p wire.Packet, out *Effects) {
	c.counters.Repeats++
	if j.state == jobRefused {
		c.sendShed(p, j.reason, out)
		return
	}
	c.sendReceived(j, p, out)
}

// sendReceived acknowledges the contiguous part of the body. The last flag is
// set once the request has run to completion.
func (c *Core) sendReceived(j *job, p wire.Packet, out *Effects) {
	r := c.newReply(wire.KindReceived, p, 0)
	if j.finished {
		r.SetFlags(wire.FlagLast)
	}
	r.SetAux(j.body.Contiguous())
	c.send(r, out)
}

// start runs a completely received request if a slot is free and its deadline
// has not passed.
func (c *Core) start(now time.Duration, j *job, p wire.Packet, out *Effects) {
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
	c.recordRun(now, j, p)
	if c.faults.RunTwice {
		c.recordRun(now, j, p)
	}
}

func (c *Core) recordRun(now time.Duration, j *job, p wire.Packet) {
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

// serviceTime returns a random duration between 0.5 and 1.5 times the configured
// service time, multiplied by ColdFactor during the cold start.
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
	c.sendShed(p, reason, out)
}

func (c *Core) sendShed(p wire.Packet, reason verdict.Reason, out *Effects) {
	c.counters.Shed++
	r := c.newReply(wire.KindShed, p, 0)
	r.SetVerdict(verdict.NotRun, reason)
	c.send(r, out)
}

// onCancel cancels a request. A request that has not started, or is unknown, is
// refused, so that parts that arrive later do not run it. A cancel with request
// id 0 only queries the incarnation.
func (c *Core) onCancel(now time.Duration, p wire.Packet, out *Effects) {
	if p.Request() == 0 {
		c.sendShed(p, verdict.ReasonClosed, out)
		return
	}
	j := c.jobs[requestKey(p)]
	if j == nil {
		j = c.newJob(now, p)
	}
	switch j.state {
	case jobReceiving:
		c.refuse(j, p, verdict.ReasonClosed, out)
	case jobRefused:
		c.sendShed(p, j.reason, out)
	case jobRunning:
		c.counters.Cancelled++
		c.running--
		j.state = jobDone
	}
}

func (c *Core) tickJobs(now time.Duration, out *Effects) {
	for _, j := range c.jobOrder {
		switch {
		case j.state == jobRunning && now >= j.endsAt:
			c.complete(now, j, out)
		case j.state == jobAnswering && now >= j.resendAt:
			c.resendAnswer(now, j, out)
		}
	}
	c.jobOrder = slices.DeleteFunc(c.jobOrder, func(j *job) bool {
		if now < j.expiresAt || j.state == jobRunning {
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
	j.answer = EncodeAnswer(j.key, j.body.Bytes(), c.settings.AnswerSize)
	j.expiresAt = now + DedupWindow
	c.resendAnswer(now, j, out)
}

// answerWindow is the largest number of unacknowledged answer parts in flight.
const answerWindow = 32

// resendAnswer sends all unacknowledged parts within the window.
func (c *Core) resendAnswer(now time.Duration, j *job, out *Effects) {
	j.resendAt = now + answerResendInterval
	j.sent = j.acked
	c.sendUnsentParts(j, out)
}

// sendUnsentParts sends the parts within the window that have not been sent.
func (c *Core) sendUnsentParts(j *job, out *Effects) {
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
	p := c.newReply(wire.KindAnswer, j.header, n)
	p.SetOffset(uint32(offset))
	p.SetTotal(uint32(len(j.answer)))
	if offset+n == len(j.answer) {
		p.SetFlags(wire.FlagLast)
	}
	copy(p.Payload(), j.answer[offset:offset+n])
	c.send(p, out)
}

// onAck handles the acknowledgement of an answer or, with request id 0, of
// stream messages.
func (c *Core) onAck(now time.Duration, p wire.Packet, out *Effects) {
	if p.Request() == 0 {
		c.onStreamAck(now, p, out)
		return
	}
	j := c.jobs[requestKey(p)]
	if j == nil || j.state != jobAnswering {
		return
	}
	acked := min(int(p.Aux()), len(j.answer))
	if acked <= j.acked {
		return
	}
	j.acked = acked
	j.resendAt = now + answerResendInterval
	if j.acked < len(j.answer) {
		c.sendUnsentParts(j, out)
		return
	}
	j.state = jobDone
	j.answer = nil
}

// Running returns the number of running requests.
func (c *Core) Running() int { return c.running }

// ID returns the upstream's id.
func (c *Core) ID() ids.UpstreamID { return c.settings.ID }
