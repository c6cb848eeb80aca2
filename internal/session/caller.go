package session

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/callercore"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/wire"
)

// requestKey names a request as callers and upstreams know it.
type requestKey struct {
	service ids.ServiceID
	nonce   ids.Nonce
	request ids.RequestID
}

// Caller is one caller with one session.
type Caller struct {
	world   *Simulation
	label   string
	account ids.AccountID
	service ids.ServiceID
	address netip.AddrPort
	core    *callercore.Core
	out     callercore.Effects
	orders  map[callercore.Handle]*Order
	// Broken counts flows that were lost.
	Broken int
	// Pushes holds the stream messages that came.
	Pushes []callercore.Push
	// PushTimes holds the time of each of them.
	PushTimes []time.Duration
	closed    bool
}

// Order is a request of a caller and its result.
type Order struct {
	Caller     *Caller
	Label      string
	Body       []byte
	Idempotent bool
	// Result is valid once Done is set.
	Result callercore.Result
	Done   bool
	// Results counts the results; more than one is a fault.
	Results int
}

// AddCaller starts a caller. With stream set it subscribes to the feed.
func (w *Simulation) AddCaller(label string, account ids.AccountID, service ids.ServiceID, stream bool) *Caller {
	n := len(w.callers) + 1
	c := &Caller{
		world: w, label: label, account: account, service: service,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5000),
		orders:  make(map[callercore.Handle]*Order),
	}
	settings := callercore.Settings{Account: account, Service: service, Seed: w.settings.Seed + uint64(n)}
	if stream {
		settings.Subscribe = []byte("subscribe")
	}
	c.core = callercore.New(settings)
	w.callers = append(w.callers, c)
	w.places[c.address] = c
	c.core.Start(w.Now(), &c.out)
	c.carryOut()
	w.every(callercore.TickInterval, func() bool {
		c.core.Tick(w.Now(), &c.out)
		c.carryOut()
		return !c.closed
	})
	return c
}

func (c *Caller) name() string { return c.label }

// zone returns no zone: callers are outside and are never cut off.
func (c *Caller) zone() string { return "" }

// Send starts a request whose body is the label, padded to the size.
func (c *Caller) Send(label string, size int, idempotent bool, timeout time.Duration) *Order {
	body := make([]byte, max(size, len(label)))
	copy(body, label)
	o := &Order{Caller: c, Label: label, Body: body, Idempotent: idempotent}
	c.world.orders = append(c.world.orders, o)
	c.world.transcript.line(c.world, "%s asks for %s (%d bytes%s)", c.label, label, len(body), idempotentNote(idempotent))
	h := c.core.Request(c.world.Now(), callercore.Request{Body: body, Idempotent: idempotent, Timeout: timeout}, &c.out)
	c.orders[h] = o
	c.carryOut()
	return o
}

func idempotentNote(idempotent bool) string {
	if idempotent {
		return ", idempotent"
	}
	return ""
}

// Close ends the session.
func (c *Caller) Close() {
	c.closed = true
	c.core.Close(c.world.Now(), &c.out)
	c.carryOut()
}

func (c *Caller) receive(data []byte) {
	if c.closed || wire.Check(data) != wire.OK {
		return
	}
	c.core.Packet(c.world.Now(), wire.Packet(data), &c.out)
	c.carryOut()
}

func (c *Caller) carryOut() {
	for _, r := range c.out.Results {
		c.result(r)
	}
	for _, p := range c.out.Pushes {
		c.Pushes = append(c.Pushes, p)
		c.PushTimes = append(c.PushTimes, c.world.Now())
	}
	for _, e := range c.out.Events {
		c.world.transcript.event(c.world, c, e)
		if e.Kind == callercore.EventBroken {
			c.Broken++
		}
	}
	for _, p := range c.out.Sends {
		c.note(p)
		c.world.spray(c, c.address, p)
	}
	c.out.Reset()
}

func (c *Caller) result(r callercore.Result) {
	o := c.orders[r.Handle]
	o.Result, o.Done = r, true
	o.Results++
	c.world.transcript.line(c.world, "%s is told: %s %s (%s, %d bytes)", c.label, o.Label, r.Verdict, r.Reason, len(r.Answer))
}

// note remembers under which ids a request went out. The label is the start of
// the body, up to the first zero byte.
func (c *Caller) note(p wire.Packet) {
	if p.Kind() != wire.KindRequest || p.Offset() != 0 {
		return
	}
	f := flowid.ParseUnverified(p.Flow())
	key := requestKey{service: f.Service, nonce: f.Nonce, request: p.Request()}
	for _, o := range c.world.orders {
		if o.Caller == c && len(o.Body) == int(p.Total()) && string(o.Body[:len(p.Payload())]) == string(p.Payload()) {
			c.world.labels[key] = o.Label
			return
		}
	}
}
