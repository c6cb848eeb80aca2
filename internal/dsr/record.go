package dsr

import (
	"net/netip"
	"time"
)

// Record is a log record of a decision or a change of state.
type Record struct {
	// Event is the message of the log line.
	Event           string
	Caller, Address netip.AddrPort
	Upstream        string
	To              netip.AddrPort
	Service         string
	Token           Token
	Action          Action
	// Detail is the reason, or what the event concerns, such as the other upstream of a shared token
	// or the name of an availability zone.
	Detail string
	// FromUpstream is the upstream that a flow was on before it was rerouted.
	FromUpstream string
	// Evidence is the fact that a reset or a rerouting is based on, Source whose observation it is, and
	// SourceHost the other host of SourceHost.
	Evidence   string
	Source     Source
	SourceHost netip.AddrPort
	// Era and Revision are the position of the store that the decision is based on, Version the version of the
	// configuration.
	Era, Revision, Version uint64
	// Age is the age of the information behind the decision, HoldsFor how long the new state lasts.
	Age, HoldsFor time.Duration
	// Unanswered is how long the packets of a flow that is reset had no answer.
	Unanswered time.Duration
	// Considered is the number of usable upstreams, Suspect the number of those that are suspect,
	// Open the open work of the selected one. For a configuration they are the numbers of its
	// routes, of its skipped routes and of the routes that it replaces.
	Considered, Suspect, Open int
	// Waiting is the number of requests that wait for an upstream of the service, Rank the number of those that
	// went before the request, and Waited how long it waited.
	Waiting, Rank int
	Waited        time.Duration
	// Demand is the number of requests per second that are asked of the Slots of this host, and Work
	// the time that a request takes one of them.
	Demand, Slots float64
	Work          time.Duration
	// Samples is the number of samples behind a judgement of an upstream's capacity, which changed from FromJudgement
	// and FromLimit to Detail and Limit; zero for other records. LearnedWork is the time that a request takes a slot of the
	// upstream, PeerWork that at its peers.
	Samples               int
	FromJudgement         string
	Limit, FromLimit      float64
	LearnedWork, PeerWork time.Duration
}

// Routine reports whether the record is of a forwarded packet rather than of a change or a refusal.
func (r *Record) Routine() bool { return r.Action == Forward }

// SampleKind is the kind of a Sample.
type SampleKind uint8

// Kinds of samples.
const (
	// SampleHandshake is the time from a SYN to the completed handshake.
	SampleHandshake SampleKind = iota
	// SampleAnswer is the time from a request to its answer.
	SampleAnswer
	// SampleWait is the time that a request waited at this host.
	SampleWait
	// SampleHandshakeTimeout is the time from a SYN to the timeout of its handshake.
	SampleHandshakeTimeout
)

// Sample is a measured duration.
type Sample struct {
	Kind     SampleKind
	Duration time.Duration
}

// TakeRecords returns the records since the last call of TakeRecords. They are valid until the next
// call of a method of the core.
func (c *Core) TakeRecords() []Record {
	r := c.records
	c.records = c.records[:0]
	return r
}

// TakeSamples returns the samples since the last call of TakeSamples. They are valid until the next
// call of a method of the core.
func (c *Core) TakeSamples() []Sample {
	s := c.samples
	c.samples = c.samples[:0]
	return s
}

func (c *Core) emit(r Record) { c.records = append(c.records, r) }

// TakeResets returns the flows to reset, other than those of handled packets, since the last call
// of TakeResets. Each is a header for Format.AppendReset. They are valid until the next call of a
// method of the core.
func (c *Core) TakeResets() []Packet {
	r := c.resets
	c.resets = c.resets[:0]
	return r
}
