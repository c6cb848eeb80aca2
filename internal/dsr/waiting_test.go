package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/loadcontrol"
)

// schedulingFixture returns a core in zone a whose routes declare a latency objective and a deadline. The
// service has two upstreams with two slots in the zone. Orders are more urgent than streams.
func schedulingFixture(t *testing.T) *fixture {
	f := newFixture(t)
	config := configuration(2)
	for i := range config.Routes {
		config.Routes[i].LatencyObjective, config.Routes[i].Timeout = 400*time.Millisecond, 3*time.Second
		config.Routes[i].Priority = 2 - i
	}
	f.rev++
	f.core.Apply(f.now, &directory.Change{Revision: f.rev, Configuration: config})
	return f
}

// fill opens flows with a request until the next SYN waits, and returns them and the caller that waits.
func (f *fixture) fill(port uint16) (busy []*caller, waits *caller) {
	for {
		c := f.caller(port)
		if c.sendSYN().Action == Hold {
			return busy, c
		}
		require.Equal(f.t, Forward, c.last.Action)
		c.completeHandshake()
		c.request()
		busy = append(busy, c)
	}
}

// released returns the only release, which must be of the packet with the identifier.
func (f *fixture) released(id HoldID) Effect {
	r := f.core.TakeReleases()
	require.Len(f.t, r, 1)
	require.Equal(f.t, id, r[0].Hold)
	return r[0].Effect
}

// Guards against SYNs that are dropped, and so wait for the caller's timer while slots get free.
func TestSYNLeavesWhenSlotGetsFree(t *testing.T) {
	f := schedulingFixture(t)
	busy, waits := f.fill(streamPort)
	require.Len(t, busy, 4, "two upstreams with two slots")
	hold := waits.last.Hold
	f.advance(30 * time.Millisecond)
	busy[2].ackAnswer()
	e := f.released(hold)
	require.Equal(t, Forward, e.Action)
	require.Equal(t, f.upstream(busy[2]).Addr, e.To)
	requests, bytes := f.core.Waiting()
	require.Zero(t, requests+bytes)
}

// Guards against a slot that is given away between the handshake of a flow and its first request.
func TestOpenedFlowKeepsSlotForItsFirstRequest(t *testing.T) {
	f := schedulingFixture(t)
	busy, waits := f.fill(streamPort)
	busy[0].ackAnswer()
	require.Equal(t, Forward, f.released(waits.last.Hold).Action)
	waits.token = f.core.tokens[busy[0].token].token
	waits.completeHandshake()
	require.Equal(t, Hold, f.caller(streamPort).sendSYN().Action)
	require.Equal(t, Forward, waits.request().Action)
}

// A second upstream must not answer a flow because a copy of its SYN was forwarded as well.
func TestCopiesOfWaitingSYNAreDropped(t *testing.T) {
	f := schedulingFixture(t)
	busy, waits := f.fill(streamPort)
	hold := waits.last.Hold
	require.Equal(t, ReasonWaitingCopy, waits.retransmitSYN(1).Reason)
	require.Equal(t, ReasonWaitingCopy, waits.sendSYN().Reason)
	waits.seq = 900
	require.Equal(t, Hold, waits.sendSYN().Action, "another attempt from the same port")
	require.Equal(t, Drop, f.released(hold).Action)
	busy[0].ackAnswer()
	require.Equal(t, Forward, f.released(waits.last.Hold).Action)
}

// fillFlows returns callers with open flows that have had an answer, and makes the slots busy.
func (f *fixture) fillFlows() (idle, busy []*caller) {
	for range 4 {
		c := f.openFlow(streamPort)
		c.request()
		f.advance(20 * time.Millisecond)
		c.ackAnswer()
		idle = append(idle, c)
	}
	for range 20 {
		c := f.caller(orderPort)
		if c.sendSYN().Action == Hold {
			return idle, busy
		}
		c.completeHandshake()
		c.request()
		busy = append(busy, c)
	}
	f.t.Fatal("slots do not fill")
	return nil, nil
}

// Requests on open flows must not queue at their upstream, where nobody puts them in order. Their packets are
// sent in order, and acknowledgements do not wait.
func TestRequestOnOpenFlowWaits(t *testing.T) {
	f := schedulingFixture(t)
	idle, busy := f.fillFlows()
	c := idle[0]
	require.Equal(t, Hold, c.request().Action)
	first := c.last.Hold
	require.Equal(t, ReasonWaitingCopy, c.retransmit().Reason)
	require.Equal(t, Hold, c.request().Action, "the next packet of the request")
	second := c.last.Hold
	require.Equal(t, Forward, c.send(flagACK, 0, 0).Action)
	for _, b := range busy {
		if f.upstream(b) == f.upstream(c) {
			f.advance(time.Millisecond)
			b.ackAnswer()
		}
	}
	var sent []HoldID
	for _, r := range f.core.TakeReleases() {
		if r.Header.Caller == c.address() {
			require.Equal(t, Forward, r.Effect.Action)
			require.Equal(t, f.upstream(c).Addr, r.Effect.To)
			sent = append(sent, r.Hold)
		}
	}
	require.Equal(t, []HoldID{first, second}, sent)
}

// A request whose caller has ended the flow must not take a slot.
func TestWaitingRequestEndsWithItsFlow(t *testing.T) {
	f := schedulingFixture(t)
	idle, _ := f.fillFlows()
	require.Equal(t, Hold, idle[0].request().Action)
	hold := idle[0].last.Hold
	require.Equal(t, Forward, idle[0].send(flagACK|flagFIN, 0, 0).Action)
	require.Equal(t, Drop, f.released(hold).Action)
}

// "Rejected" must mean that nothing has run: a SYN whose first copy went to another host may have opened the
// flow. A request on an open flow must never be reset.
func TestOnlyFirstSYNIsRejected(t *testing.T) {
	f := schedulingFixture(t)
	idle, _ := f.fillFlows()
	first, later := f.caller(streamPort), f.caller(streamPort)
	want := map[HoldID]Action{}
	require.Equal(t, Hold, first.sendSYN().Action)
	want[first.last.Hold] = Reset
	require.Equal(t, Hold, later.retransmitSYN(1).Action)
	want[later.last.Hold] = Drop
	require.Equal(t, Hold, idle[0].request().Action)
	want[idle[0].last.Hold] = Drop
	got := map[HoldID]Action{}
	for i := range 32 {
		if n := map[int]byte{2: 1, 6: 2}[i]; n != 0 {
			first.retransmitSYN(n)
		}
		f.overload(f.core.services["orders"])
		for _, r := range f.passBusy(100 * time.Millisecond) {
			got[r.Hold] = r.Effect.Action
		}
	}
	for id, action := range want {
		require.Equal(t, action, got[id], "hold %d", id)
	}
}

// passBusy advances the time while the upstreams answer requests of others and work on those in progress, and
// returns the releases.
func (f *fixture) passBusy(d time.Duration) []Release {
	f.advance(d)
	for _, u := range f.core.services["orders"].own {
		u.lastAnswerAt = f.now
	}
	for _, fl := range f.core.cache.flows {
		if fl.phase == phaseBusy {
			fl.busyAt = f.now
		}
	}
	f.core.Advance(f.now)
	return f.core.TakeReleases()
}

// overload makes the service count as asked for more than its slots can do.
func (f *fixture) overload(s *service) {
	s.setWork(150 * time.Millisecond) // Too long for a request more than the slots.
	for range 200 {
		s.asked(f.now, loadcontrol.Class{Urgent: true})
	}
}

// A reset looks like that of a missing route, so callers of a service that is not overloaded must get none.
func TestWaitWithoutOverloadEndsWithoutReset(t *testing.T) {
	f := schedulingFixture(t)
	_, waits := f.fill(streamPort)
	var released []Release
	for range 14 {
		released = append(released, f.passBusy(100*time.Millisecond)...)
	}
	require.Len(t, released, 1)
	require.Equal(t, waits.last.Hold, released[0].Hold)
	require.Equal(t, Drop, released[0].Effect.Action)
}

// Guards against refusals beyond the excess: each refusal takes its request off the demand and the queue, so the overload
// is to be judged anew before each.
func TestLateSYNsAreRejectedOnlyWhileOverloadLasts(t *testing.T) {
	f := schedulingFixture(t)
	_, first := f.fill(streamPort)
	s := f.core.services["orders"]
	waits := []*caller{first}
	for range 8 {
		c := f.caller(streamPort)
		require.Equal(t, Hold, c.sendSYN().Action)
		waits = append(waits, c)
	}
	f.advance(200 * time.Millisecond)
	for _, c := range waits {
		require.Equal(t, Drop, c.retransmitSYN(1).Action)
	}
	f.advance(300 * time.Millisecond)
	s.setWork(200 * time.Millisecond)
	for !f.core.overloaded(f.now, s, loadcontrol.Class{}) {
		s.asked(f.now, loadcontrol.Class{})
	}
	f.core.TakeRecords()
	f.core.rejectLate(f.now, s)
	refused := 0
	for _, r := range f.core.TakeRecords() {
		if r.Event != "flow refused" {
			continue
		}
		refused++
		require.GreaterOrEqual(t, (r.Demand+float64(r.Waiting))*r.Work.Seconds(), r.Slots)
	}
	require.Positive(t, refused)
	require.Positive(t, s.queue.Len(), "the rest fits the slots")
}

// A flood of one service must not refuse the callers of another one, whose slots are free.
func TestFloodOfOtherServiceRefusesNobody(t *testing.T) {
	f := schedulingFixture(t)
	_, waits := f.fill(streamPort)
	require.False(t, f.core.overloaded(f.now, f.core.services["orders"], loadcontrol.Class{}))
	f.core.waiting.bytes = maxWaitingBytes
	require.NotEqual(t, Reset, f.caller(streamPort).sendSYN().Action)
	for _, r := range f.core.TakeReleases() {
		require.Equal(t, waits.last.Hold, r.Hold)
		require.NotEqual(t, Reset, r.Effect.Action)
	}
}

// Guards against less urgent requests that take the slots of urgent ones.
func TestUrgentRequestLeavesFirst(t *testing.T) {
	f := schedulingFixture(t)
	busy, stream := f.fill(streamPort)
	order := f.caller(orderPort)
	require.Equal(t, Hold, order.sendSYN().Action)
	f.advance(10 * time.Millisecond)
	busy[0].ackAnswer()
	require.Equal(t, Forward, f.released(order.last.Hold).Action)
	busy[1].ackAnswer()
	require.Equal(t, Forward, f.released(stream.last.Hold).Action)
}

// Requests on open flows must not wait for an upstream that has crashed: only its reset tells their callers.
func TestRequestDoesNotWaitForUpstreamWithoutAnswers(t *testing.T) {
	f := schedulingFixture(t)
	idle, _ := f.fillFlows()
	require.Equal(t, Hold, idle[0].request().Action)
	hold := idle[0].last.Hold
	f.advance(stalledMin / 2)
	f.core.Advance(f.now)
	require.Empty(t, f.core.TakeReleases())
	f.advance(stalledMin)
	f.core.Advance(f.now)
	require.Equal(t, Forward, f.released(hold).Action)
}

// A flood of a hundred times the free capacity must not take memory without bound.
func TestWaitingIsBounded(t *testing.T) {
	f := schedulingFixture(t)
	f.fill(streamPort)
	for n := range 2 * maxWaiting {
		var p Packet
		p.Caller, p.Service = manyCallers(n), serviceAddress(streamPort)
		p.SYN, p.Seq = true, uint32(n)
		f.core.handleSYN(f.now, &p)
		requests, bytes := f.core.Waiting()
		require.LessOrEqual(t, requests, maxWaiting)
		require.LessOrEqual(t, bytes, maxWaitingBytes)
	}
	rejected := 0
	for _, r := range f.core.TakeReleases() {
		require.Equal(t, Reset, r.Effect.Action)
		rejected++
	}
	require.GreaterOrEqual(t, rejected, maxWaiting)
}

// A planned stop must not leave callers waiting for a host that is gone.
func TestStopEndsAllWaits(t *testing.T) {
	f := schedulingFixture(t)
	idle, _ := f.fillFlows()
	require.Equal(t, Hold, idle[0].request().Action)
	syn := f.caller(streamPort)
	require.Equal(t, Hold, syn.sendSYN().Action)
	f.overload(f.core.services["orders"])
	f.core.StopWaiting(f.now)
	actions := map[HoldID]Action{}
	for _, r := range f.core.TakeReleases() {
		actions[r.Hold] = r.Effect.Action
	}
	require.Equal(t, Forward, actions[idle[0].last.Hold])
	require.Equal(t, Reset, actions[syn.last.Hold])
	requests, _ := f.core.Waiting()
	require.Zero(t, requests)
}

// A zone that is evacuated while callers wait must get none of them.
func TestEvacuationEndsWaits(t *testing.T) {
	f := schedulingFixture(t)
	_, waits := f.fill(streamPort)
	f.rev++
	ch := &directory.Change{Revision: f.rev}
	for _, zone := range []string{"a", "b", "c"} {
		ch.Evacuations = append(ch.Evacuations, directory.Evacuation{Key: "evacuate/" + zone, Zone: zone, Revision: f.rev})
	}
	f.core.Apply(f.now, ch)
	f.core.Advance(f.now)
	e := f.released(waits.last.Hold)
	require.Equal(t, Reset, e.Action)
	require.Equal(t, ReasonEvacuated, e.Reason)
}

// Services whose routes declare no latency objective or no deadline are served as before.
func TestNothingWaitsWithoutObjectives(t *testing.T) {
	f := newFixture(t)
	for range 50 {
		require.NotEqual(t, Hold, f.caller(streamPort).sendSYN().Action)
	}
}

// Guards against a caller with a longer deadline than its route declares that waits anew each time.
func TestRequestThatWaitedInVainGoesOnWhenSentAgain(t *testing.T) {
	f := schedulingFixture(t)
	idle, _ := f.fillFlows()
	require.Equal(t, Hold, idle[0].request().Action)
	hold, dropped := idle[0].last.Hold, false
	for range 32 {
		for _, r := range f.passBusy(100 * time.Millisecond) {
			dropped = dropped || r.Hold == hold && r.Effect.Action == Drop
		}
	}
	require.True(t, dropped)
	require.Equal(t, Forward, idle[0].retransmit().Action)
}

// A SYN whose copies do not come may have been forwarded by another host: "rejected" would not be true.
func TestSYNWithoutItsCopiesIsNotRejected(t *testing.T) {
	f := schedulingFixture(t)
	_, waits := f.fill(streamPort)
	for range 14 {
		f.overload(f.core.services["orders"])
		for _, r := range f.passBusy(100 * time.Millisecond) {
			require.Equal(t, waits.last.Hold, r.Hold)
			require.Equal(t, Drop, r.Effect.Action)
		}
	}
	requests, _ := f.core.Waiting()
	require.Zero(t, requests)
}

// A packet that was overtaken by a later one of its request must not be taken for a copy of that.
func TestOvertakenPacketWaitsInFront(t *testing.T) {
	f := schedulingFixture(t)
	idle, _ := f.fillFlows()
	c := idle[0]
	c.seq += 300
	require.Equal(t, Hold, c.request().Action)
	second := c.last.Hold
	c.seq -= 600
	require.Equal(t, Hold, c.request().Action)
	first := c.last.Hold
	f.core.StopWaiting(f.now)
	var sent []HoldID
	for _, r := range f.core.TakeReleases() {
		if r.Header.Caller == c.address() {
			sent = append(sent, r.Hold)
		}
	}
	require.Equal(t, []HoldID{first, second}, sent)
}

// Guards against the bound on bytes that holds for the first packet of a request only, and against a SYN from a port
// that is used again and never waits.
func TestLaterPacketsAndReusedPorts(t *testing.T) {
	f := schedulingFixture(t)
	idle, busy := f.fillFlows()
	require.Equal(t, Hold, idle[0].request().Action)
	f.core.waiting.bytes = maxWaitingBytes
	require.Equal(t, Drop, idle[0].request().Action)
	f.core.waiting.bytes = 0
	c := busy[0]
	c.send(flagACK|flagFIN, 0, 0)
	f.fill(orderPort)
	again := &caller{f: f, id: c.id, port: c.port, seq: 7000}
	require.Equal(t, Hold, again.sendSYN().Action)
}

// A route without a deadline must be served as before, also beside one that has it.
func TestServiceOfRouteWithoutDeadlineHoldsNothing(t *testing.T) {
	f := schedulingFixture(t)
	config := configuration(3)
	config.Routes[0].LatencyObjective, config.Routes[0].Timeout = 400*time.Millisecond, 3*time.Second
	f.rev++
	f.core.Apply(f.now, &directory.Change{Revision: f.rev, Configuration: config})
	for range 30 {
		require.NotEqual(t, Hold, f.caller(orderPort).sendSYN().Action)
	}
}
