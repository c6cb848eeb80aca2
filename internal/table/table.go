// Package table builds the immutable lookup table that routes packets: keys,
// services, upstreams and hosts by identifier. The packet path reads it
// without locks. A change of configuration or membership builds the next table,
// which shares with the last one all that did not change, so that the cost of
// a change doesn't grow with the fleet.
package table

import (
	"net/netip"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

// Table is the routing state of a host.
type Table struct {
	Self    ids.Instance
	Keys    *flowid.Keys
	catalog *catalog
	fleet   *fleet
}

// Build returns the table for a snapshot and a view.
func Build(self ids.Instance, snap *config.Snapshot, view *member.View) *Table {
	return Next(nil, self, snap, view)
}

// Next returns the table for a snapshot and a view that follows the given one,
// which may be nil. Client accounts whose revision and services stayed the
// same, and availability zones whose hosts did, are taken over.
func Next(last *Table, self ids.Instance, snap *config.Snapshot, view *member.View) *Table {
	if last == nil {
		last = &Table{catalog: newCatalog(), fleet: newFleet(nil, &member.View{})}
	}
	return &Table{
		Self:    self,
		Keys:    flowid.NewKeys(snap.Keys),
		catalog: last.catalog.next(snap),
		fleet:   newFleet(last.fleet, view),
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

// UpstreamAt returns the upstream that sends from an address.
func (t *Table) UpstreamAt(address netip.AddrPort) (ids.UpstreamID, bool) {
	return t.catalog.addresses.get(address)
}

// Host returns the host with the given id, or nil if the view has none.
func (t *Table) Host(id ids.HostID) *member.Member { return t.fleet.hosts[id] }

// HostAt returns the host that sends from an address.
func (t *Table) HostAt(address netip.AddrPort) (ids.HostID, bool) {
	id, ok := t.fleet.addresses[address]
	return id, ok
}

// Homes returns the home of a service in each availability zone that has
// upstreams of it, in the order of the zones' names.
func (t *Table) Homes(s *Service) []Home {
	return s.homesIn(t.fleet)
}

// HomeFor returns the home of a flow: rendezvous hashing over the homes,
// weighted by their slots. All hosts with the same view agree on it, whichever
// of them gets the packet. It reports false if no home has active upstreams.
func (t *Table) HomeFor(s *Service, nonce ids.Nonce) (Home, bool) {
	return pickHome(s, t.Homes(s), nonce)
}

// AdoptedBy returns the availability zones without hosts whose upstreams of the
// service the host has adopted.
func (t *Table) AdoptedBy(s *Service, host ids.Instance) []string {
	for _, h := range t.Homes(s) {
		if h.Host == host {
			return h.Adopted
		}
	}
	return nil
}

// IsHome tells whether the host is the home of the service in any zone.
func (t *Table) IsHome(s *Service, host ids.Instance) bool {
	for _, h := range t.Homes(s) {
		if h.Host == host {
			return true
		}
	}
	return false
}

// HomedServices returns the services that this host is a home of, in the order of
// their ids.
func (t *Table) HomedServices() []*Service {
	zone := ""
	if m := t.Host(t.Self.Host); m != nil {
		zone = m.Zone
	}
	var homed []*Service
	for _, s := range t.catalog.sorted() {
		// A service without upstreams here can only be homed by adoption.
		if s.hasZone(zone) || t.hasOrphans(s) {
			if t.IsHome(s, t.Self) {
				homed = append(homed, s)
			}
		}
	}
	return homed
}

// hasOrphans tells whether a zone of the service has no host that can own work.
func (t *Table) hasOrphans(s *Service) bool {
	for _, zone := range s.zones {
		if z := t.fleet.zones[zone.name]; z == nil || len(z.owners) == 0 {
			return true
		}
	}
	return false
}
