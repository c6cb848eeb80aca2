// Package config defines the validated configuration that the other packages
// read: client accounts with their services and upstreams, the hosts of each
// availability zone and the sealing keys. It also defines the documents in
// which the configuration is stored and distributed. Values are immutable once
// built; package declare builds them from declarations and package spread
// distributes them to the hosts.
package config

import (
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
)

// Priority is the priority class of a service. A lower value is more urgent.
type Priority uint8

// The priority classes, most urgent first.
const (
	PriorityUrgent Priority = iota
	PriorityNormal
	PriorityBulk
	// PriorityCount is the number of priority classes.
	PriorityCount
)

// String returns the priority as it is written in declarations.
func (p Priority) String() string {
	switch p {
	case PriorityUrgent:
		return "urgent"
	case PriorityNormal:
		return "normal"
	case PriorityBulk:
		return "bulk"
	default:
		return "invalid"
	}
}

// UpstreamState is the administrative state of an upstream.
type UpstreamState uint8

// The administrative states of an upstream.
const (
	// UpstreamActive accepts new flows and requests.
	UpstreamActive UpstreamState = iota
	// UpstreamDraining finishes its open flows and running requests and accepts no
	// new ones.
	UpstreamDraining
)

// String returns the state as it is written in declarations.
func (s UpstreamState) String() string {
	if s == UpstreamDraining {
		return "draining"
	}
	return "active"
}

// HostState is the administrative state of a host.
type HostState uint8

// The administrative states of a host.
const (
	// HostActive takes new requests.
	HostActive HostState = iota
	// HostStopping is in a planned stop: it finishes its running requests and takes
	// no new ones.
	HostStopping
)

// Upstream is one back end of a service.
type Upstream struct {
	ID      ids.UpstreamID
	Name    string
	Zone    string
	Address netip.AddrPort
	// Health is the address of the HTTP health and load endpoints.
	Health netip.AddrPort
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Connections is the number of flows that the upstream can hold open
	// concurrently.
	Connections int
	State       UpstreamState
}

// Service is one service of a client account.
type Service struct {
	ID       ids.ServiceID
	Name     string
	Address  netip.AddrPort
	Priority Priority
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody uint32
	// QueueLimit is the maximum number of requests queued for a slot.
	QueueLimit int
	// RequestRate is the maximum number of admitted requests per second; zero means
	// no limit.
	RequestRate float64
	// RetryPercent is the retry budget, in percent of the requests.
	RetryPercent int
	// SlowStart is the time over which a new upstream ramps up to its full share.
	SlowStart time.Duration
	Upstreams []Upstream
}

// Account is the configuration of one client account.
type Account struct {
	ID   ids.AccountID
	Name string
	// Revision is the revision of the account's document. It never decreases.
	Revision uint64
	// RequestRate is the maximum number of admitted requests per second over all
	// services; zero means no limit.
	RequestRate float64
	// FlowRate is the maximum number of flows opened per second over all services;
	// zero means no limit.
	FlowRate float64
	Services []Service
}

// Host is an entry host in the plan of an availability zone.
type Host struct {
	Name string
	Zone string
	// Data is the address of the host's datagram socket.
	Data netip.AddrPort
	// Control is the address of the host's control listener.
	Control netip.AddrPort
	State   HostState
}

// Snapshot is the complete configuration in force on a host.
type Snapshot struct {
	Keys     []flowid.Key
	Hosts    []Host
	Accounts []Account
}

// Account returns the client account with the given id, or nil.
func (s *Snapshot) Account(id ids.AccountID) *Account {
	for i := range s.Accounts {
		if s.Accounts[i].ID == id {
			return &s.Accounts[i]
		}
	}
	return nil
}

// Service returns the service with the given id, or nil.
func (a *Account) Service(id ids.ServiceID) *Service {
	for i := range a.Services {
		if a.Services[i].ID == id {
			return &a.Services[i]
		}
	}
	return nil
}
