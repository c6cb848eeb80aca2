package session

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/callercore"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/wire"
)

// requestKey identifies a request in the same way for callers and upstreams.
type requestKey struct {
	service ids.ServiceID
	nonce   ids.Nonce
	request ids.RequestID
}

// Caller is a simulated caller with one session.
type Caller struct {
	sim      *Simulation
	label    string
	account  ids.AccountID
	service  ids.ServiceID
	address  netip.AddrPort
	core     *callercore.Core
	out      callercore.Effects
	requests map[callercore.Handle]*Request
	// Broken is the number of flows that were lost.
	Broken int
	// Pushes holds the stream messages received.
	Pushes []callercore.Push
	// PushTimes holds the virtual time at which each of Pushes was received.
	PushTimes []time.Duration
	closed    bool
}

// Request is a request of a simulated caller and its result.
type Request struct {
	Caller *Caller
	// Label identifies the request in transcripts and is the start of the body.
	Label      string
	Body       []byte
	Idempotent bool
	// Result is valid once Done is set.
	Result callercore.Result
	Done   bool
	// Results is the number of results received. More than one is a violation.
	Results int
}

// AddCaller starts a caller of the service. If stream is set, the caller subscribes
// to the stream of the service.
func (sim *Simulation) AddCaller(label string, account ids.AccountID, service ids.ServiceID, stream bool) *Caller {
	n := len(sim.callers) + 1
	c := &Caller{
		sim: sim, label: label, account: account, service: service,
		address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5000),
		requests: make(map[callercore.Handle]*Request),
	}
	settings := callercore.Settings{Account: account, Service: service, Seed: sim.settings.Seed + uint64(n)}
	if stream {
		settings.Subscribe = []byte("subscribe")
	}
	c.core = callercore.New(settings)
	sim.callers = append(sim.callers, c)
	sim.endpoints[c.address] = c
	c.core.Start(sim.Now(), &c.out)
	c.applyEffects()
	sim.every(callercore.TickInterval, func() bool {
		c.core.Tick(sim.Now(), &c.out)
		c.applyEffects()
		return !c.closed
	})
	return c
}

func (c *Caller) name() string { return c.label }

// zone returns the empty string: callers are outside the availability zones, and no
// partition affects them.
func (c *Caller) zone() string { return "" }

// Send starts a request whose body is the label, padded with zero bytes to the size.
func (c *Caller) Send(label string, size int, idempotent bool, timeout time.Duration) *Request {
	body := make([]byte, max(size, len(label)))
	copy(body, label)
	q := &Request{Caller: c, Label: label, Body: body, Idempotent: idempotent}
	c.sim.requests = append(c.sim.requests, q)
	c.sim.transcript.line(c.sim, "%s asks for %s (%d bytes%s)", c.label, label, len(body), idempotentSuffix(idempotent))
	h := c.core.Request(c.sim.Now(), callercore.Request{Body: body, Idempotent: idempotent, Timeout: timeout}, &c.out)
	c.requests[h] = q
	c.applyEffects()
	return q
}

func idempotentSuffix(idempotent bool) string {
	if idempotent {
		return ", idempotent"
	}
	return ""
}

// Close ends the session.
func (c *Caller) Close() {
	c.closed = true
	c.core.Close(c.sim.Now(), &c.out)
	c.applyEffects()
}

func (c *Caller) receive(data []byte) {
	if c.closed || wire.Check(data) != wire.StatusOK {
		return
	}
	c.core.HandlePacket(c.sim.Now(), wire.Packet(data), &c.out)
	c.applyEffects()
}

func (c *Caller) applyEffects() {
	for _, r := range c.out.Results {
		c.handleResult(r)
	}
	for _, p := range c.out.Pushes {
		c.Pushes = append(c.Pushes, p)
		c.PushTimes = append(c.PushTimes, c.sim.Now())
	}
	for _, e := range c.out.Events {
		c.sim.transcript.event(c.sim, c, e)
		if e.Kind == callercore.EventBroken {
			c.Broken++
		}
	}
	for _, p := range c.out.Sends {
		c.recordLabel(p)
		c.sim.sendViaFabric(c, c.address, p)
	}
	c.out.Reset()
}

func (c *Caller) handleResult(r callercore.Result) {
	q := c.requests[r.Handle]
	q.Result, q.Done = r, true
	q.Results++
	c.sim.transcript.line(c.sim, "%s is told: %s %s (%s, %d bytes)", c.label, q.Label, r.Verdict, r.Reason, len(r.Answer))
}

// recordLabel records under which request id a request is sent, so that its runs can
// be found. The request is identified by the first part of its body, which starts
// with the label.
func (c *Caller) recordLabel(p wire.Packet) {
	if p.Kind() != wire.KindRequest || p.Offset() != 0 {
		return
	}
	f := flowid.ParseUnverified(p.Flow())
	key := requestKey{service: f.Service, nonce: f.Nonce, request: p.Request()}
	for _, q := range c.sim.requests {
		if q.Caller == c && len(q.Body) == int(p.Total()) && string(q.Body[:len(p.Payload())]) == string(p.Payload()) {
			c.sim.labels[key] = q.Label
			return
		}
	}
}
