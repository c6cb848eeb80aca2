// Package dsrhost runs a host in direct server return mode. It does the I/O for the
// routing core of package dsr: packet sockets, reading the platform's store,
// exchange with other hosts, the readiness check, metrics and the log. Each task has
// its own goroutine; goroutines communicate through bounded rings and channels.
//
// The fabric is the platform's network. It sends the packets of callers to the hosts
// that pass its readiness check.
package dsrhost

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/loadcontrol"
	"mimosashore.example/mimosashore/internal/store"
)

// Settings configure a host. A reload changes the contacts; everything else is
// fixed for the life of the process.
type Settings struct {
	Name string
	// Zone is the availability zone of the host.
	Zone string
	// Data is the address for packets, Ready the address of the readiness check, and
	// Control the address for other hosts. Without a valid Control the host runs alone.
	Data    netip.AddrPort
	Ready   netip.AddrPort
	Control netip.AddrPort
	// Credits is the address for requests for free slots between hosts; not used if it isn't valid or HoldRequests is not set.
	Credits netip.AddrPort
	// Metrics is the address of the metrics and the state of the host; not served if it isn't valid.
	Metrics netip.AddrPort
	// HoldRequests makes requests wait at the host for a slot of their upstream, instead of in the queue of the
	// upstream.
	HoldRequests bool
	// Contacts are control addresses of other hosts for discovery; some may be out of date.
	Contacts []netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// StopTimeout is the time from the request to stop until the process is killed.
	StopTimeout time.Duration
	// ApplyWithin is the longest allowed time from the acceptance of a configuration until it is active.
	ApplyWithin time.Duration
	// EvacuateWithin is the longest allowed time from the write of an evacuation until it is in force.
	// Zero means that evacuations are not read.
	EvacuateWithin time.Duration
	// ColdBound bounds the opening packets to cold upstreams; nil if they are not bounded.
	ColdBound *loadcontrol.ColdBound
}

// distributeWithin returns the strictest bound on the time in which a write of the operators is in force.
func (s *Settings) distributeWithin() time.Duration {
	if s.EvacuateWithin > 0 {
		return min(s.ApplyWithin, s.EvacuateWithin)
	}
	return s.ApplyWithin
}

// Layout describes the keys of the store's items and how their values are decoded.
type Layout struct {
	// UpstreamPrefix is the key prefix of registrations of upstreams.
	UpstreamPrefix string
	// MaxRegistration is the largest registration that can be decoded, in bytes.
	MaxRegistration int
	// ConfigurationKey is the key of the accepted configuration.
	ConfigurationKey string
	// EvacuationPrefix is the key prefix of evacuations, which the name of the zone follows. MaxEvacuation
	// is the largest value, in bytes.
	EvacuationPrefix string
	MaxEvacuation    int
	// DecodeEvacuation checks the value of an evacuation.
	DecodeEvacuation func(value []byte) error
	// DecodeUpstream decodes a registration.
	DecodeUpstream func(key string, value []byte, revision store.Revision) (directory.Upstream, error)
	// DecodeConfiguration decodes a configuration. Invalid routes are left out and
	// reported as errors; the configuration is nil if it can't be decoded at all.
	DecodeConfiguration func(value []byte, revision store.Revision) (*directory.Configuration, []error)
}
