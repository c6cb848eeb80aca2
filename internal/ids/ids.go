// Package ids defines the numeric identifiers of client accounts, services,
// upstreams, hosts, flows and requests. Account, service and upstream numbers are
// assigned when a configuration is accepted and are never reused, so the
// identifier of a deleted object cannot match a later one.
package ids

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// AccountID identifies a client account. Zero means no account.
type AccountID uint32

// ServiceID identifies a service; it is unique across all client accounts.
type ServiceID uint32

// UpstreamID identifies an upstream; it is unique across all services.
type UpstreamID uint32

// HostID identifies a host; it is a hash of the host's name.
type HostID uint64

// Incarnation identifies one run of a host. Of two incarnations of the same
// host, the larger one is the later one.
type Incarnation uint64

// Nonce is the random value that a caller chooses to identify a flow.
type Nonce uint64

// RequestID is the number of a request within its flow. Ids increase from one.
type RequestID uint64

// HostIDOf returns the identifier of the host with the given name.
func HostIDOf(name string) HostID {
	return HostID(xxhash.Sum64String(name))
}

// Instance identifies one incarnation of a host.
type Instance struct {
	Host        HostID
	Incarnation Incarnation
}

// IsZero reports whether the instance is the zero value, which identifies no host.
func (i Instance) IsZero() bool {
	return i == Instance{}
}

// String returns the instance as host/incarnation, both in hexadecimal.
func (i Instance) String() string {
	return strconv.FormatUint(uint64(i.Host), 16) + "/" + strconv.FormatUint(uint64(i.Incarnation), 16)
}
