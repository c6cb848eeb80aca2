// Package table builds the immutable routing table: keys, services, upstreams
// and hosts by identifier, and the homes of services. The packet path reads it
// without locks. Each change of configuration or membership builds a new table,
// which shares the entries of unchanged client accounts and availability zones
// with the previous one to keep changes cheap in a large fleet.
//
// A home of a service is a host that opens and renews its flows to the upstreams
// of one availability zone; see Home.
package table

import (
	"net/netip"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

// Table is the routing table of a host. It is immutable and safe for concurrent
// use.
type Table struct {
	// Self is the host that routes by the table.
	Self ids.Instance
	// Keys seal and verify flow identifiers and return routes.
	Keys    *flowid.Keys
	catalog *catalog
	fleet   *fleet
}

// Build returns the table for a configuration snapshot and a membership view.
func Build(self ids.Instance, snap *config.Snapshot, view *member.View) *Table {
	return Next(nil, self, snap, view)
}

// Next returns the table for a configuration snapshot and a membership view. It
// reuses the entries of the previous table, which may be nil, for client
// accounts whose revision and services are unchanged and for availability zones
// whose hosts are unchanged.
func Next(previous *Table, self ids.Instance, snap *config.Snapshot, view *member.View) *Table {
	if previous == nil {
		previous = &Table{catalog: newCatalog(), fleet: newFleet(nil, &member.View{})}
	}
	return &Table{
		Self:    self,
		Keys:    flowid.NewKeys(snap.Keys),
		catalog: previous.catalog.next(snap),
		fleet:   newFleet(previous.fleet, view),
	}
}

// Service returns the entry of a service, or nil if the configuration has none.
func (t *Table) Service(id ids.ServiceID) *Service {
	return t.catalog.services.get(uint32(id))
}

// ServiceCount returns the number of services.
func (t *Table) ServiceCount() int { return t.catalog.services.length }

// Upstream returns the entry of an upstream. It reports false if the
// configuration has none.
func (t *Table) Upstream(id ids.UpstreamID) (Upstream, bool) {
	u := t.catalog.upstreams.get(uint32(id))
	if u == nil {
		return Upstream{}, false
	}
	return *u, true
}

// UpstreamAt returns the upstream with the given address. It reports false if the
// configuration has none.
func (t *Table) UpstreamAt(address netip.AddrPort) (ids.UpstreamID, bool) {
	return t.catalog.addresses.get(address)
}

// Host returns the member with the given host id, or nil if the view has none.
func (t *Table) Host(id ids.HostID) *member.Member { return t.fleet.hosts[id] }

// HostAt returns the host with the given data address. It reports false if the
// view has none.
func (t *Table) HostAt(address netip.AddrPort) (ids.HostID, bool) {
	id, ok := t.fleet.addresses[address]
	return id, ok
}

// Homes returns the home of a service for each availability zone that has
// upstreams of it and a host that can own work, ordered by zone name. If no
// such zone exists, it returns one home in another zone, or none.
func (t *Table) Homes(s *Service) []Home {
	return s.homesIn(t.fleet)
}

// HomeFor returns the home of a flow, chosen by rendezvous hashing over the
// zones of the service, weighted by their slots. All hosts with the same
// configuration and view choose the same home. It reports false if the service
// has no active upstreams or no home.
func (t *Table) HomeFor(s *Service, nonce ids.Nonce) (Home, bool) {
	return homeForNonce(s, t.Homes(s), nonce)
}

// AdoptedBy returns the availability zones whose upstreams of the service the
// host has adopted.
func (t *Table) AdoptedBy(s *Service, host ids.Instance) []string {
	for _, h := range t.Homes(s) {
		if h.Host == host {
			return h.Adopted
		}
	}
	return nil
}

// IsHome reports whether the host is the home of the service in any zone.
func (t *Table) IsHome(s *Service, host ids.Instance) bool {
	for _, h := range t.Homes(s) {
		if h.Host == host {
			return true
		}
	}
	return false
}

// HomedServices returns the services that this host is a home of, ordered by id.
func (t *Table) HomedServices() []*Service {
	zone := ""
	if m := t.Host(t.Self.Host); m != nil {
		zone = m.Zone
	}
	var homed []*Service
	for _, s := range t.catalog.sortedServices() {
		// A service without upstreams in this zone can be homed here only by
		// adoption.
		if s.hasZone(zone) || t.hasOrphans(s) {
			if t.IsHome(s, t.Self) {
				homed = append(homed, s)
			}
		}
	}
	return homed
}

// hasOrphans reports whether a zone of the service has no host that can own
// work.
func (t *Table) hasOrphans(s *Service) bool {
	for _, zone := range s.zones {
		if z := t.fleet.zones[zone.name]; z == nil || len(z.candidates) == 0 {
			return true
		}
	}
	return false
}
