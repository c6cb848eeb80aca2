package dsr

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// Source is whose observation the evidence of a decision is.
type Source uint8

// Sources of evidence.
const (
	// SourceStore is a read of the store by this host.
	SourceStore Source = iota + 1
	// SourceHost is another host that this one follows.
	SourceHost
	// SourceFlows is the flow cache: packets of callers that came through this host.
	SourceFlows
	// SourceCheck is connections that this host opened.
	SourceCheck
	sourceCount
)

var sourceNames = [sourceCount]string{"", "store", "host", "flows", "check"}

// String returns the source as it appears in logs.
func (s Source) String() string { return sourceNames[s] }

// Evidence is what a reset or a rerouting of a flow is based on.
type Evidence struct {
	// Fact is what was found.
	Fact   string
	Source Source
	// Host is the control address of the host of SourceHost.
	Host netip.AddrPort
	// Position is the position of the store that the fact is from; zero for SourceFlows and SourceCheck.
	Position store.Position
	// At is the time up to which the fact is known to hold, as the time since the start of the host.
	At time.Duration
}

// directoryEvidence returns evidence of the directory, from another host or, if its address is invalid,
// from the store.
func directoryEvidence(host netip.AddrPort, fact string, position store.Position, at time.Duration) Evidence {
	if host.IsValid() {
		return Evidence{Fact: fact, Source: SourceHost, Host: host, Position: position, At: at}
	}
	return Evidence{Fact: fact, Source: SourceStore, Position: position, At: at}
}

// flowEvidence returns evidence from the packets of callers, as old as the packet or answer that it
// follows from.
func flowEvidence(fact string, at time.Duration) Evidence {
	return Evidence{Fact: fact, Source: SourceFlows, At: at}
}

// addEvidence adds evidence to a record.
func (r *Record) addEvidence(now time.Duration, e Evidence) {
	r.Evidence, r.Source, r.SourceHost = e.Fact, e.Source, e.Host
	r.Era, r.Revision = uint64(e.Position.Era), uint64(e.Position.Revision)
	r.Age = now - e.At
}

// emitReset records the reset of a flow whose packets had no answer for the given time; zero is
// unknown. The upstream is nil if it is not known.
func (c *Core) emitReset(now time.Duration, p *Packet, u *upstream, reason Reason, e Evidence, unanswered time.Duration) {
	rec := Record{
		Event: "flow reset", Caller: p.Caller, Address: p.Service, Token: p.Token, Action: Reset, Detail: reasonNames[reason], Version: c.version,
		Unanswered: unanswered,
	}
	if u != nil {
		rec.Upstream, rec.Service = u.Key, u.Service
	}
	rec.addEvidence(now, e)
	c.emit(rec)
}

// emitRerouted records that the packets of a flow go to another upstream from now on.
func (c *Core) emitRerouted(now time.Duration, p *Packet, from, to *upstream, reason string, e Evidence) {
	if from == to {
		return
	}
	rec := Record{
		Event: "flow rerouted", Caller: p.Caller, Address: p.Service, Upstream: to.Key, Service: to.Service, To: to.Addr, Token: to.token,
		FromUpstream: from.Key, Detail: reason, Version: c.version,
	}
	rec.addEvidence(now, e)
	c.emit(rec)
}

// moveEvidence returns why a retransmitted SYN of the flow does not go to the flow's upstream.
func (f *flow) moveEvidence(now time.Duration) Evidence {
	u := f.upstream
	switch {
	case u.gone:
		return u.goneBy
	case u.suspect(now):
		return flowEvidence("handshake timed out, and the upstream is suspect", f.openedAt)
	default:
		return flowEvidence("handshake timed out, and the upstream takes no new flows", f.openedAt)
	}
}

// tokenEvidence returns why a packet of the flow that has the token of another upstream goes there.
func (f *flow) tokenEvidence() Evidence {
	if f.phase == phaseOpening || f.phase == phaseOverdue {
		return flowEvidence("caller completed the handshake with another upstream", f.openedAt)
	}
	return flowEvidence("caller sent the token of another upstream on an open flow", f.seenAt)
}

// isOpen reports whether the handshake is known to be completed, and the flow not to have ended.
func (f *flow) isOpen() bool { return f.phase == phaseIdle || f.phase == phaseBusy }
