// Package directory holds what hosts know from the platform's store: the
// upstreams that registered themselves and the routes of the accepted
// configuration, each with the revision of the write that it comes from.
package directory

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// Upstream is the registration of one incarnation of an upstream.
type Upstream struct {
	// Key is the name of the registration, unique among all upstreams.
	Key string
	// ID is the identity that datagrams to the upstream carry.
	ID uint64
	// Incarnation is the start of the process, in milliseconds since 1970.
	Incarnation int64
	Service     string
	Zone        string
	Addr        netip.AddrPort
	// Slots is the number of requests that run at the same time.
	Slots int
	// Draining is set when the upstream finishes its flows and will leave.
	Draining bool
	// SlowStart is how long the upstream stays slow after its start, counted
	// from the write of the registration.
	SlowStart  time.Duration
	Revision store.Revision
}

// Target is a service that takes a part of the new flows of a route.
type Target struct {
	Service string
	Weight  int
}

// Route maps an address of the fabric to services.
type Route struct {
	Name string
	// Addr is what callers send to.
	Addr netip.AddrPort
	// Targets share the new flows by weight.
	Targets []Target
	// Idempotent is set if callers may repeat requests that may have run.
	Idempotent bool
	// Priority orders routes under overload; zero is the highest.
	Priority int
	// LatencyObjective is the latency within which callers want an answer.
	LatencyObjective time.Duration
	// Timeout is the longest time of a request.
	Timeout time.Duration
}

// Configuration is one accepted version of the routes.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Revision store.Revision
	// Skipped counts the routes that could not be read.
	Skipped int
}

// Change is what a read of the store or of a peer brought.
type Change struct {
	// Full is set if the change holds everything that exists at the revision.
	Full bool
	// RequestedAt is when the read of a full change was sent, as the time since the
	// start of the host.
	RequestedAt time.Duration
	// Revision is the revision that the change leads to.
	Revision store.Revision
	// FromPeer is set if another host told it, not the store.
	FromPeer bool
	// Upstreams were written.
	Upstreams []Upstream
	// Removed are keys of upstreams without a usable registration, with the
	// revision of the removal.
	Removed []Removal
	// Configuration is nil if it did not change.
	Configuration *Configuration
}

// Removal tells that a key holds no usable registration any more.
type Removal struct {
	Key      string
	Revision store.Revision
	// Malformed is set if the registration exists and can't be read.
	Malformed bool
}
