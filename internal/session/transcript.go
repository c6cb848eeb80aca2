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

// transcript records the events of a simulation, one per line. Flows and hosts appear
// under short names.
type transcript struct {
	enabled bool
	text    strings.Builder
	flows   map[ids.Nonce]string
	hosts   map[ids.Instance]string
}

// Transcript returns the events recorded so far. It is empty unless
// Settings.Transcript is set.
func (sim *Simulation) Transcript() []byte { return []byte(sim.transcript.text.String()) }

func (t *transcript) line(sim *Simulation, format string, args ...any) {
	if !t.enabled {
		return
	}
	millis := float64(sim.Now()) / float64(time.Millisecond)
	fmt.Fprintf(&t.text, "%9.1f  %s\n", millis, fmt.Sprintf(format, args...))
}

func (t *transcript) nameHost(h *Host) {
	if t.hosts == nil {
		t.hosts = make(map[ids.Instance]string)
	}
	t.hosts[h.instance] = fmt.Sprintf("%s/%d", h.spec.Name, h.instance.Incarnation)
}

// flowName returns the short name of a flow. Names are numbered in the order of
// first use.
func (t *transcript) flowName(n ids.Nonce) string {
	if t.flows == nil {
		t.flows = make(map[ids.Nonce]string)
	}
	if t.flows[n] == "" {
		t.flows[n] = fmt.Sprintf("flow%d", len(t.flows)+1)
	}
	return t.flows[n]
}

// packet records a sent datagram. A dropReason other than "" says why it is not
// delivered. Traffic of an established stream is left out.
func (t *transcript) packet(sim *Simulation, from endpoint, to string, data []byte, dropReason string) {
	if !t.enabled {
		return
	}
	_, rest, ok := wire.ParseEnvelope(data)
	if !ok {
		rest = data
	}
	p := wire.Packet(rest)
	if isStreamTraffic(p) {
		return
	}
	if dropReason != "" {
		dropReason = " [" + dropReason + "]"
	}
	t.line(sim, "%s -> %s: %s%s", from.name(), to, t.describe(p), dropReason)
}

// isStreamTraffic reports whether the datagram belongs to an established stream and
// carries no flags for the caller to act on.
func isStreamTraffic(p wire.Packet) bool {
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

// describe returns a text with the fields that are used by the kind of the datagram.
func (t *transcript) describe(p wire.Packet) string {
	f := flowid.ParseUnverified(p.Flow())
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s", p.Kind(), t.flowName(f.Nonce))
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

func (t *transcript) record(sim *Simulation, h *Host, r hostcore.Record) {
	if t.enabled {
		t.line(sim, "%s %s: %s id %d (%s)", h.name(), r.Event, t.flowName(r.Nonce), r.Request, r.Reason)
	}
}

func (t *transcript) event(sim *Simulation, c *Caller, e callercore.Event) {
	if t.enabled {
		t.line(sim, "%s flow %s: %s on upstream %d", c.label, e.Kind, t.flowName(e.Nonce), e.Upstream)
	}
}
