package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

const (
	// evacuateWithin is the bound of the rule EVAC, which holds through hosts that ran without a
	// disruption for evacuateStable.
	evacuateWithin = 5 * time.Second
	evacuateStable = 5 * time.Second
	// coldStart is the time for which an upstream is cold after its start or the return of its zone.
	coldStart = 2 * time.Second
	// coldOver, coldSlack and the rate in coldRates that the seed chooses bound the opening packets to a cold upstream.
	coldOver  = 1.5
	coldSlack = 5
	// coldWindow is the span over which opening packets are counted. It is a tenth shorter than that of
	// the rule, since arrivals on a busy machine are closer together than the packets were sent.
	coldWindow = 900 * time.Millisecond
	// warmWait is the time from the start of the upstreams until callers start: until heartbeats that
	// say so have reached all hosts.
	warmWait = coldStart + heartbeatInterval + time.Second
	// evacuationStream selects the random numbers of addEvacuations.
	evacuationStream = 39
	// maxEvacuationDelay is the longest time from the start of a phase to its evacuation.
	maxEvacuationDelay = time.Second
	// evacuationLead is the longest time from an evacuation that lasts into a calm phase to the start
	// of that phase, evacuationTail the time from there to its end. Hosts that faults had hit are judged
	// again evacuateStable after them.
	evacuationLead = 5 * time.Second
	evacuationTail = evacuateStable + time.Second
	// evacuationRetry is the time after which an evacuation that would leave a service without an
	// upstream is tried again.
	evacuationRetry = 200 * time.Millisecond
)

// coldRates are the values of coldPerS, of which the seed chooses one; deployments have the first.
var coldRates = []float64{0, 10}

// evacuation is an evacuation of a zone as the operator wrote and removed it.
type evacuation struct {
	zone string
	// acknowledged is the store's answer to the write; removing is when the removal was sent, zero
	// means not yet.
	acknowledged, removing time.Time
}

// shortage is an interval in which less than the usual capacity is left for new flows, so that requests may fail.
type shortage struct{ from, to time.Time }

// addEvacuations adds an evacuation to each phase, from random numbers of their own as addRestores does. With
// one chance in two it lasts into the calm after the phase, and always in the last one, since undisrupted
// hosts are needed to judge it; the run is longer then (lengthWithEvacuations).
func addEvacuations(seed uint64, faults []fault) []fault {
	random := rand.New(rand.NewPCG(seed, evacuationStream))
	begin := initialCalm
	var added []fault
	for _, f := range faults {
		if f.kind != configChange || f.duration != 0 {
			continue
		}
		end := f.at - calmChangeDelay
		e := fault{kind: zoneEvacuation, pick: random.IntN(1 << 16), at: begin + time.Duration(random.Int64N(int64(maxEvacuationDelay)))}
		lead := time.Duration(random.Int64N(int64(evacuationLead)))
		if random.IntN(2) == 0 || f.at == faults[len(faults)-1].at {
			e.at = end - lead
			end += evacuationTail
		}
		e.duration = end - e.at
		added = append(added, e)
		begin = f.at - calmChangeDelay + calmPhase
	}
	faults = append(faults, added...)
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

// lengthWithEvacuations returns the length of a run whose last calm follows the last evacuation.
func lengthWithEvacuations(length time.Duration, faults []fault) time.Duration {
	for _, f := range faults {
		if f.kind == zoneEvacuation {
			length = max(length, f.at+f.duration+coldStart+calmPhase)
		}
	}
	return length
}

// evacuate writes the evacuation of a zone, removes it at the end of the fault, and waits until the zone's
// upstreams are warm. One zone is evacuated at a time; while that of either zone would leave a service
// without an upstream, it waits.
func (o *operator) evacuate(ctx context.Context, f fault) {
	end := time.Now().Add(f.duration)
	o.evacuating.Lock()
	defer o.evacuating.Unlock()
	e := o.beginEvacuation(f.pick)
	for e == nil && time.Until(end) > evacuateWithin && ctx.Err() == nil {
		sleep(ctx, evacuationRetry)
		e = o.beginEvacuation(f.pick)
	}
	if e == nil {
		return
	}
	defer o.record.beginShortage()()
	sleep(ctx, time.Until(end))
	o.endEvacuation(e)
	sleep(ctx, coldStart)
	o.mu.Lock()
	o.evacuated = ""
	o.mu.Unlock()
}

// beginEvacuation writes the evacuation of a zone chosen by pick, or returns nil if that would leave
// services without an upstream.
func (o *operator) beginEvacuation(pick int) *evacuation {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.zones {
		zone := o.zones[(pick+i)%len(o.zones)]
		if slices.ContainsFunc(services, func(s string) bool { return o.unreserved(s, zone) == 0 }) {
			continue
		}
		o.evacuated = zone
		o.store.PutBytes(dsrworld.EvacuationPrefix+zone, []byte("{}"))
		e := &evacuation{zone: zone, acknowledged: time.Now()}
		o.record.mu.Lock()
		o.record.evacuations = append(o.record.evacuations, e)
		o.record.mu.Unlock()
		o.inForce = e
		return e
	}
	return nil
}

func (o *operator) endEvacuation(e *evacuation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record.mu.Lock()
	e.removing = time.Now()
	o.record.mu.Unlock()
	o.store.Remove(dsrworld.EvacuationPrefix + e.zone)
	o.inForce = nil
}

// rewriteEvacuations repeats what the operator wrote last, after a restore of the store. The caller holds o.mu.
func (o *operator) rewriteEvacuations() {
	for _, zone := range o.zones {
		if o.inForce != nil && o.inForce.zone == zone {
			o.store.PutBytes(dsrworld.EvacuationPrefix+zone, []byte("{}"))
		} else {
			o.store.Remove(dsrworld.EvacuationPrefix + zone)
		}
	}
}

// unreserved returns the number of running upstreams of a service outside a zone that no fault uses. The
// caller holds o.mu.
func (o *operator) unreserved(service, outside string) int {
	n := 0
	for _, s := range o.slots {
		if s.instance != nil && !s.reserved && s.instance.service == service && s.zone != outside {
			n++
		}
	}
	return n
}

// coldLeft returns for how long an upstream stays cold at a time, in milliseconds.
func (u *upstreamInstance) coldLeft(now time.Time) int {
	return int(max(0, u.started.Add(coldStart).Sub(now)).Milliseconds())
}

// beginShortage records the start of a shortage. The returned function records its end.
func (r *record) beginShortage() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &shortage{from: time.Now()}
	r.shortages = append(r.shortages, s)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.to = time.Now()
	}
}

// ampleCapacity reports whether there was no shortage from settleTime before from until to. The caller holds r.mu.
func (r *record) ampleCapacity(from, to time.Time) bool {
	return !slices.ContainsFunc(r.shortages, func(s *shortage) bool {
		return s.from.Before(to) && (s.to.IsZero() || s.to.Add(settleTime).After(from))
	})
}

// settledFor reports whether a host and the store had no disruption for a time before from, until to.
func (v *verifier) settledFor(stable time.Duration, syn dsrworld.SYN, to time.Time) bool {
	return v.settled(syn.Host, syn.At.Add(settleTime-stable), to)
}

// checkEvacuations checks EVAC: opening packets that reached upstreams of evacuated zones through hosts that
// were undisrupted.
func (v *verifier) checkEvacuations() {
	for _, e := range v.evacuations {
		from, to := e.acknowledged.Add(evacuateWithin), e.removing
		for _, u := range v.upstreams {
			for _, p := range u.observed.opening {
				syn, known := v.sentSYN(p)
				if !known || !p.At.After(from) || !to.IsZero() && !p.At.Before(to) || !v.settledFor(evacuateStable, syn, p.At) {
					continue
				}
				v.countCheck("EVAC")
				if u.observed.zone == e.zone && v.undisrupted("link of "+u.slot, syn.At, p.At, true) {
					v.fail("EVAC", "%s received an opening packet of %s through %s at %s, %s after the evacuation of %s", u.observed.name, p.Caller, syn.Host,
						p.At.Format(timeFormat), p.At.Sub(e.acknowledged), e.zone)
				}
			}
		}
	}
}

// sentSYN returns the SYN that a caller sent, for its arrival at an upstream.
func (v *verifier) sentSYN(p dsrworld.SYNArrival) (dsrworld.SYN, bool) {
	f := v.flowsByCaller[p.Caller]
	if f == nil || p.Retransmits >= len(f.trace.SYNs) {
		return dsrworld.SYN{}, false
	}
	return f.trace.SYNs[p.Retransmits], true
}

// checkColdUpstreams checks FAILBACK: the opening packets that cold upstreams received. After a start with a
// new identity those of all hosts count; after a start with the earlier one, or the return of a zone, those
// of hosts that were undisrupted, since others may not know of it.
func (v *verifier) checkColdUpstreams() {
	for _, u := range v.upstreams {
		v.checkCold(u, u.started, "its start", !u.again)
		for _, e := range v.evacuations {
			if u.observed.zone == e.zone && !e.removing.IsZero() && u.started.Before(e.removing) {
				v.checkCold(u, e.removing, "the return of "+e.zone, false)
			}
		}
	}
}

// checkCold checks FAILBACK for an upstream that is cold from a time on.
func (v *verifier) checkCold(u *upstreamInstance, from time.Time, since string, allHosts bool) {
	limit := v.coldPerS*coldOver + coldSlack
	var window []time.Time
	for _, p := range u.observed.opening {
		syn, known := v.sentSYN(p)
		switch {
		case !known || p.At.Before(from) || !p.At.Before(from.Add(coldStart)):
			continue
		case !v.undisrupted("link of "+u.slot, syn.At, p.At, true):
			continue
		case !allHosts && !v.settledFor(p.At.Sub(from)+evacuateStable, syn, p.At):
			continue
		}
		v.countCheck("FAILBACK")
		window = slices.DeleteFunc(append(window, p.At), func(t time.Time) bool { return p.At.Sub(t) >= coldWindow })
		if float64(len(window)) > limit {
			v.fail("FAILBACK", "%s received %d opening packets within %s until %s, %s after %s; at most %.0f are allowed", u.observed.name, len(window), coldWindow,
				p.At.Format(timeFormat), p.At.Sub(from), since, limit)
			return
		}
	}
}

// declaredServices returns the services as a configuration declares them, with the rate of new flows to cold upstreams.
func declaredServices(coldPerS float64) []any {
	var out []any
	for _, s := range services {
		out = append(out, dsrworld.Service(s, coldStart, coldPerS))
	}
	return out
}
