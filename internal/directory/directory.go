// Package directory defines the directory that hosts read from the platform's store: the
// registrations of upstreams and the routes of the accepted configuration. Each carries the position
// of the store at which it was written: a revision in an era.
package directory

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/store"
)

// RewriteTime is how long after the store's return registrations may be missing from it:
// upstreams write them again within about two seconds, and a batched watch delivers that up to
// 0.7 s later.
const RewriteTime = 3 * time.Second

// Upstream is the registration of one incarnation of an upstream.
type Upstream struct {
	// Key is the name of the registration, unique among all upstreams.
	Key string
	// ID is the identity carried by packets to the upstream.
	ID uint64
	// Incarnation is the start time of the process, in milliseconds since the Unix epoch.
	Incarnation int64
	// Sequence increases with each write of the registration by this incarnation.
	Sequence int64
	Service  string
	Zone     string
	Addr     netip.AddrPort
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Draining is set while the upstream finishes its open flows before it stops.
	Draining bool
	// SlowStart is the duration of slow start, counted from the write of the registration.
	SlowStart time.Duration
	Era       store.Era
	Revision  store.Revision
}

// Position returns the position at which the registration was written.
func (u *Upstream) Position() store.Position {
	return store.Position{Era: u.Era, Revision: u.Revision}
}

// ColdStart is how a service's upstreams return: for Duration after their start they are cold, and take
// PerSecond opening packets a second, which the bound of the deployment enlarges.
type ColdStart struct {
	Duration  time.Duration
	PerSecond float64
}

// Target is a service that gets a share of the new flows of a route.
type Target struct {
	Service string
	Weight  int
}

// Route distributes the flows to one address among one or more services.
type Route struct {
	Name string
	// Addr is the destination address of the packets of callers.
	Addr netip.AddrPort
	// Targets share the new flows in proportion to their weights.
	Targets []Target
	// Idempotent is set if callers may repeat a request that may already have run.
	Idempotent bool
	// Priority orders routes under overload; zero is the most urgent.
	Priority int
	// LatencyObjective is the latency that callers expect of an answer.
	LatencyObjective time.Duration
	// Timeout is the deadline of a request.
	Timeout time.Duration
}

// Configuration is an accepted version of the routes.
type Configuration struct {
	// Version is the operators' number of the configuration. Later ones have higher numbers.
	Version uint64
	Routes  []Route
	// Services holds the names of the services that the configuration declares.
	Services []string
	// ColdStarts holds the cold starts that services declare, by name; nil if none does.
	ColdStarts map[string]ColdStart `json:",omitempty"`
	Era        store.Era
	Revision   store.Revision
	// Skipped is the number of routes that could not be decoded.
	Skipped int
}

// Position returns the position at which the configuration was written.
func (c *Configuration) Position() store.Position {
	return store.Position{Era: c.Era, Revision: c.Revision}
}

// Change is the result of a read from the store or of an update from another host.
type Change struct {
	// Full is set if the change holds the whole directory at its revision.
	Full bool
	// RequestedAt is when the read behind a full change was requested, as the time since the start
	// of the host.
	RequestedAt time.Duration
	// Clock is the time at which the change was made, in milliseconds since the Unix epoch, for the age of
	// incarnations; zero is unknown.
	Clock int64
	// Era and Revision are the position of the store of the directory after the change. Upstreams
	// of an earlier era are registrations that the store lost in a restore and that are kept.
	Era      store.Era
	Revision store.Revision
	// Host is the control address of the host that the change comes from; invalid if it was read from
	// the store.
	Host netip.AddrPort
	// Upstreams holds the registrations that were written.
	Upstreams []Upstream
	// Removed holds the keys that no longer have a usable registration.
	Removed []Removal
	// Evacuations holds the evacuations that were written or removed.
	Evacuations []Evacuation
	// Configuration is nil if the configuration did not change.
	Configuration *Configuration
}

// FromPeer reports whether the change comes from another host rather than from the store.
func (c *Change) FromPeer() bool { return c.Host.IsValid() }

// Position returns the position of the store of the directory after the change.
func (c *Change) Position() store.Position {
	return store.Position{Era: c.Era, Revision: c.Revision}
}

// Removal reports that a key no longer has a usable registration.
type Removal struct {
	Key      string
	Era      store.Era
	Revision store.Revision
	// Malformed is set if the registration exists but cannot be decoded.
	Malformed bool
}

// Position returns the position at which the registration was removed or overwritten.
func (r *Removal) Position() store.Position {
	return store.Position{Era: r.Era, Revision: r.Revision}
}
