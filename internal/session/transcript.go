package session

import (
	"fmt"
	"strings"
	"time"

	"mimosashore.example/mimosashore/internal/callercore"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/hostcore"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/wire"
)

// transcript is what happened, one line each.
type transcript struct {
	on    bool
	text  strings.Builder
	flows map[ids.Nonce]string
	hosts map[ids.Instance]string
}

// Transcript returns what happened so far.
func (w *Simulation) Transcript() []byte { return []byte(w.transcript.text.String()) }

func (t *transcript) line(w *Simulation, format string, args ...any) {
	if !t.on {
		return
	}
	millis := float64(w.Now()) / float64(time.Millisecond)
	fmt.Fprintf(&t.text, "%9.1f  %s\n", millis, fmt.Sprintf(format, args...))
}

func (t *transcript) nameHost(h *Host) {
	if t.hosts == nil {
		t.hosts = make(map[ids.Instance]string)
	}
	t.hosts[h.instance] = fmt.Sprintf("%s/%d", h.spec.Name, h.instance.Incarnation)
}

// flow returns the short name of a flow, in the order of first use.
func (t *transcript) flow(n ids.Nonce) string {
	if t.flows == nil {
		t.flows = make(map[ids.Nonce]string)
	}
	if t.flows[n] == "" {
		t.flows[n] = fmt.Sprintf("flow%d", len(t.flows)+1)
	}
	return t.flows[n]
}

// packet adds a datagram that is sent; fate says what became of it, if it is lost.
func (t *transcript) packet(w *Simulation, from place, to string, data []byte, fate string) {
	if !t.on {
		return
	}
	_, rest, ok := wire.ParseEnvelope(data)
	if !ok {
		rest = data
	}
	p := wire.Packet(rest)
	if isFeed(p) {
		return
	}
	if fate != "" {
		fate = " [" + fate + "]"
	}
	t.line(w, "%s -> %s: %s%s", from.name(), to, t.describe(p), fate)
}

// isFeed tells whether the datagram belongs to a stream that is up.
func isFeed(p wire.Packet) bool {
	switch p.Kind() {
	case wire.KindPush:
		return p.Flags()&(wire.FlagMoveFlow|wire.FlagRenew) == 0
	case wire.KindStream:
		return p.Request() != 1
	case wire.KindAck:
		return p.Request() == 0
	default:
		return false
	}
}

// describe returns the fields of a datagram that its kind uses.
func (t *transcript) describe(p wire.Packet) string {
	f := flowid.ParseUnverified(p.Flow())
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s", p.Kind(), t.flow(f.Nonce))
	if owner := t.hosts[f.Owner]; owner != "" {
		fmt.Fprintf(&b, " generation %d owner %s", f.Generation, owner)
	}
	switch p.Kind() {
	case wire.KindOpen, wire.KindOpened, wire.KindClose, wire.KindFlowLost:
	case wire.KindRenew:
		fmt.Fprintf(&b, " floor %d", p.Request())
	default:
		fmt.Fprintf(&b, " id %d", p.Request())
	}
	if p.Total() > 0 {
		fmt.Fprintf(&b, " bytes %d-%d of %d", p.Offset(), int(p.Offset())+len(p.Payload()), p.Total())
	}
	switch p.Kind() {
	case wire.KindAccepted, wire.KindReceived, wire.KindAck:
		fmt.Fprintf(&b, " holds %d", p.Aux())
	case wire.KindRefused, wire.KindShed:
		fmt.Fprintf(&b, " %s (%s)", p.Verdict(), p.Reason())
	case wire.KindForward, wire.KindForwardCancel:
		fmt.Fprintf(&b, " incarnation %d", p.UpstreamIncarnation())
	}
	return b.String() + flagNames(p.Flags())
}

func flagNames(f wire.Flags) string {
	names := [...]string{"idempotent", "move flow", "renew", "last", "repeat"}
	text := ""
	for i, name := range names {
		if f&(1<<i) != 0 {
			text += ", " + name
		}
	}
	return text
}

func (t *transcript) record(w *Simulation, h *Host, r hostcore.Record) {
	if t.on {
		t.line(w, "%s %s: %s id %d (%s)", h.name(), r.Event, t.flow(r.Nonce), r.Request, r.Why)
	}
}

func (t *transcript) event(w *Simulation, c *Caller, e callercore.Event) {
	if t.on {
		t.line(w, "%s flow %s: %s on upstream %d", c.label, e.Kind, t.flow(e.Nonce), e.Upstream)
	}
}
