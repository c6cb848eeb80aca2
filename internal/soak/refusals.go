package soak

import (
	"bufio"
	"encoding/json"
	"io"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// refusedEvent is the message with which a host logs that it refused a flow
// because more was asked of its upstreams than they could do.
const refusedEvent = "core: flow refused"

// resetEvent is the message with which a host logs that it reset a flow, silentReason its reason if
// the host took the upstream for silent.
const (
	resetEvent   = "core: flow reset"
	silentReason = "upstream silent"
)

// maxLogDelay is the longest time between a reset at its caller and the host's log line.
const maxLogDelay = time.Second

// refusal is a flow that a host refused because of load, as logged. A reset at
// the caller looks the same as that for a missing route.
type refusal struct {
	Message string    `json:"msg"`
	Time    time.Time `json:"time"`
	Caller  string    `json:"caller"`
	// Demand is the number of requests per second that were asked of the host's
	// Slots, WorkMs the time that one takes in milliseconds, and Waiting the number
	// of callers that waited.
	Demand  float64 `json:"demand"`
	Slots   float64 `json:"slots"`
	WorkMs  float64 `json:"work_ms"`
	Waiting float64 `json:"waiting"`
}

// justified reports whether more was asked than the slots could do: by the
// requests per second, or by the callers that waited for up to a second.
func (r *refusal) justified() bool {
	return (r.Demand+r.Waiting)*(r.WorkMs+1)/1000 >= r.Slots
}

// readDecisions adds the refusals, and the resets for silence, in the output of a host to the record.
func (r *record) readDecisions(output io.ReadSeeker) error {
	if _, err := output.Seek(0, io.SeekStart); err != nil {
		return eris.Wrap(err, "output of a host can't be read")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var one struct {
			refusal
			Why string `json:"why"`
		}
		// Lines that are not JSON are failures of checkProcess.
		if json.Unmarshal(lines.Bytes(), &one) != nil {
			continue
		}
		silence := one.Message == resetEvent && one.Why == silentReason
		if !silence && one.Message != refusedEvent {
			continue
		}
		caller, err := netip.ParseAddrPort(one.Caller)
		if err != nil {
			return eris.Wrapf(err, "refused caller %q", one.Caller)
		}
		if silence {
			r.silenceResets[caller] = append(r.silenceResets[caller], one.Time)
		} else {
			r.refusals[caller] = append(r.refusals[caller], one.refusal)
		}
	}
	return eris.Wrap(lines.Err(), "output of a host can't be read")
}

// refusedForLoad reports whether a host logged that it refused the flow because
// of load, within maxLogDelay of the reset.
func (v *verifier) refusedForLoad(f *flow) bool {
	return slices.ContainsFunc(v.refusals[f.trace.Local], func(one refusal) bool { return f.trace.Reset.At.Sub(one.Time).Abs() <= maxLogDelay })
}

// resetForSilence reports whether a host logged that it reset the flow because its upstream is silent,
// within maxLogDelay of the reset.
func (v *verifier) resetForSilence(f *flow) bool {
	return slices.ContainsFunc(v.silenceResets[f.trace.Local], func(at time.Time) bool { return f.trace.Reset.At.Sub(at).Abs() <= maxLogDelay })
}

// checkRefusals checks that refusals because of load are justified.
func (v *verifier) checkRefusals() {
	for caller, refusals := range v.refusals {
		for i := range refusals {
			one := &refusals[i]
			v.countCheck("REFUSED")
			if !one.justified() {
				v.fail("REFUSED", "%s at %s: %.1f requests/s of %.0f ms and %.0f waiting callers fit %.1f slots", caller, one.Time.Format(timeFormat), one.Demand, one.WorkMs, one.Waiting, one.Slots)
			}
		}
	}
}
