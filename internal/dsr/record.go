package dsr

import (
	"net/netip"
	"time"
)

// Record is one decision for the log.
type Record struct {
	// Event is the short sentence of the log line.
	Event           string
	Caller, Address netip.AddrPort
	Upstream        string
	To              netip.AddrPort
	Service         string
	Token           Token
	Action          Action
	Detail             string
	// Revision is the revision of the store that the decision rests on, Version that of the configuration.
	Revision, Version uint64
	// Age is the age of what decided it, Until how long it holds.
	Age, HoldsFor time.Duration
	// Considered and Doubtful count upstreams, Open is the open work of the chosen one.
	Considered, Suspect, Open int
}

// Routine reports whether the record tells of ordinary work, not of a change or a refusal.
func (r *Record) Routine() bool { return r.Action == Forward }

// SampleKind is the kind of a sample.
type SampleKind uint8

// The kinds of samples.
const (
	// SampleHandshake is the time from a first packet to the completed handshake.
	SampleHandshake SampleKind = iota
	// SampleAnswer is the time from a request to its answer.
	SampleAnswer
	// SampleHandshakeTimeout is a handshake that was not completed in time.
	SampleHandshakeTimeout
)

// Sample is a measured time.
type Sample struct {
	Kind     SampleKind
	Duration time.Duration
}

// TakeRecords returns the records since the last call. They are valid until the next call of the core.
func (c *Core) TakeRecords() []Record {
	r := c.records
	c.records = c.records[:0]
	return r
}

// TakeSamples returns the samples since the last call. They are valid until the next call of the core.
func (c *Core) TakeSamples() []Sample {
	s := c.samples
	c.samples = c.samples[:0]
	return s
}

func (c *Core) note(r Record) { c.records = append(c.records, r) }

// TakeResets returns the flows to reset since the last call beside that of the
// packet at hand, each as the header of its last packet. They are valid until the next call of the core.
func (c *Core) TakeResets() []Packet {
	r := c.resets
	c.resets = c.resets[:0]
	return r
}
