// Package dsrhost is the shell round the core of package dsr: sockets, the
// reader of the platform's store, readiness, metrics and the log. Each duty has
// its own goroutine; they are joined by bounded rings and channels.
package dsrhost

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/directory"
	"mimosashore.example/mimosashore/internal/store"
)

// Settings are fixed for the life of a host process, but for what a reload may change.
type Settings struct {
	Name string
	Zone string
	// Data is the address for packets, Ready for the question whether the host
	// takes traffic, Control for other hosts.
	Data    netip.AddrPort
	Ready   netip.AddrPort
	Control netip.AddrPort
	// Metrics is the address for counters and the state of the host; none is served if it isn't valid.
	Metrics netip.AddrPort
	// Contacts are control addresses of other hosts; they may be old.
	Contacts []netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// StopTimeout is the time from the request to stop to the end by force.
	StopTimeout time.Duration
	// ApplyWithin is the longest time from the acceptance of a configuration until it is in force.
	ApplyWithin time.Duration
}

// Layout says how the store's items are named and read.
type Layout struct {
	// UpstreamPrefix is the prefix of the keys of registrations.
	UpstreamPrefix string
	// ConfigurationKey is the key of the accepted configuration.
	ConfigurationKey string
	// DecodeUpstream reads a registration.
	DecodeUpstream func(key string, value []byte, revision store.Revision) (directory.Upstream, error)
	// DecodeConfiguration reads a configuration and returns the problems of routes that were left out.
	DecodeConfiguration func(value []byte, revision store.Revision) (*directory.Configuration, []error)
}
