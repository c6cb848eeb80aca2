package soak

import (
	"net/netip"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

// checkResets checks resets: a refused flow violates CONFIG if its route was in force and the
// host did not log that it refused it because of load. A reset of an open flow by a host or by
// another upstream violates FLOW if its own upstream was running.
func (v *verifier) checkResets() {
	for i := range v.flows {
		f := &v.flows[i]
		if f.trace.Opened {
			v.countCheck("FLOW")
		}
		reset := f.trace.Reset
		switch {
		case reset == nil:
		case f.trace.Opened:
			v.checkReset(f)
		case reset.ByHost:
			v.checkRefusal(f)
		}
	}
}

// checkRefusal checks CONFIG for a flow that a host refused.
func (v *verifier) checkRefusal(f *flow) {
	sent, reset := f.trace.SYNs[0].At, f.trace.Reset
	routed := !slices.ContainsFunc(v.inForce(sent, reset.At), func(c configuration) bool { return c.services[f.service] == "" })
	if !routed || v.refusedForLoad(f) || !v.settled(reset.From, sent, reset.At) {
		return
	}
	v.countCheck("CONFIG")
	v.fail("CONFIG", "%s was refused by %s at %s although its route was in force", f.service, reset.From, reset.At.Format(timeFormat))
}

// checkReset checks FLOW for the reset of an open flow. A host that takes the upstream for silent is
// excused by disruptions of that upstream and its link only.
func (v *verifier) checkReset(f *flow) {
	reset := f.trace.Reset
	u, opening := v.holder(f, reset.At)
	if u == nil || v.dropped(f.service, reset.At) || !v.undisrupted(u.slot, reset.At, reset.At, true) {
		return
	}
	if reset.ByHost && v.resetForSilence(f) {
		v.fail("FLOW", "%s took %s for silent and reset %s at %s", reset.From, u.observed.name, f.trace.Local, reset.At.Format(timeFormat))
		return
	}
	if !v.undisrupted("store", reset.At, reset.At, true) {
		return
	}
	if reset.ByHost {
		if v.undisrupted("host "+reset.From.String(), reset.At, reset.At, true) {
			v.fail("FLOW", "%s reset %s at %s while %s was running", reset.From, f.trace.Local, reset.At.Format(timeFormat), u.observed.name)
		}
		return
	}
	other := slices.IndexFunc(v.upstreams, func(o *upstreamInstance) bool {
		return o.observed.addr == reset.From && (o.ended.IsZero() || o.ended.After(reset.At))
	})
	if other < 0 || v.upstreams[other] == u || opening.Acknowledged.IsZero() || opening.Acknowledged.After(reset.At) {
		return
	}
	if o := v.upstreams[other]; v.undisrupted(o.slot, reset.At, reset.At, true) && v.hostsUndisrupted(f, reset.At, reset.At) {
		v.fail("FLOW", "%s reset %s at %s while %s was running", o.observed.name, f.trace.Local, reset.At.Format(timeFormat), u.observed.name)
	}
}

// holder returns the upstream that the caller opened the flow at, with the opening, if it had
// not ended at a time. An upstream that came back under its identity holds no earlier flows.
func (v *verifier) holder(f *flow, at time.Time) (*upstreamInstance, *dsrworld.Opening) {
	for _, u := range v.upstreams {
		if uint32(u.observed.id) != f.trace.Upstream || !u.ended.IsZero() && !u.ended.After(at) {
			continue
		}
		for i := range u.observed.openings {
			if o := &u.observed.openings[i]; o.Caller == f.trace.Local {
				return u, o
			}
		}
	}
	return nil, nil
}

// dropped reports whether a configuration written before a time dropped a route.
func (v *verifier) dropped(route netip.AddrPort, before time.Time) bool {
	had := false
	for _, c := range v.configurations {
		if c.sent.After(before) {
			break
		}
		if had && c.services[route] == "" {
			return true
		}
		had = had || c.services[route] != ""
	}
	return false
}

// hostsUndisrupted reports whether the hosts to which the caller sent packets of the flow that
// may have arrived between two times had no unplanned disruption.
func (v *verifier) hostsUndisrupted(f *flow, from, to time.Time) bool {
	from = from.Add(-transitTime)
	return !slices.ContainsFunc(f.trace.Sent, func(s dsrworld.SYN) bool {
		return !s.At.Before(from) && !s.At.After(to) && !v.undisrupted("host "+s.Host.String(), s.At, to, true)
	})
}
