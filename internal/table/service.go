package table

import (
	"slices"
	"strings"
	"sync/atomic"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
)

// Service is the routing entry of a service. It is kept until its client
// account changes; changes to other accounts and to the membership don't
// replace it.
type Service struct {
	Account *config.Account
	Service *config.Service
	zones   []serviceZone
	// homes caches the result of the latest call of homesIn.
	homes atomic.Pointer[serviceHomes]
}

// serviceZone is an availability zone with upstreams of a service.
type serviceZone struct {
	name string
	// slots is the number of slots of the zone's active upstreams.
	slots int
}

// serviceHomes holds the homes of a service, computed from the hosts of its
// zones.
type serviceHomes struct {
	// fleet is the latest fleet version for which these homes were found valid.
	fleet atomic.Uint64
	picks []zonePick
	homes []Home
}

// zonePick is the host picked in one zone of a service. It holds the version of
// the zone's hosts instead of a pointer to them, so that outdated ones can be
// garbage collected.
type zonePick struct {
	version uint64
	host    ids.Instance
	found   bool
}

func newService(a *config.Account, s *config.Service) *Service {
	return &Service{Account: a, Service: s, zones: zonesOf(s)}
}

func zonesOf(s *config.Service) []serviceZone {
	var zones []serviceZone
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		at, known := slices.BinarySearchFunc(zones, u.Zone, func(z serviceZone, name string) int {
			return strings.Compare(z.name, name)
		})
		if !known {
			zones = slices.Insert(zones, at, serviceZone{name: u.Zone})
		}
		if u.State == config.UpstreamActive {
			zones[at].slots += u.Slots
		}
	}
	return zones
}

// Zones returns the availability zones that have upstreams of the service,
// ordered by name.
func (s *Service) Zones() []string {
	names := make([]string, len(s.zones))
	for i := range s.zones {
		names[i] = s.zones[i].name
	}
	return names
}

func (s *Service) hasZone(name string) bool {
	return slices.ContainsFunc(s.zones, func(z serviceZone) bool { return z.name == name })
}

// homesIn returns the homes for a fleet. They are computed on first use, and
// again when the hosts of one of the service's zones have changed. While no zone
// of the service has a host that can own work, the home is picked from the other
// zones, and is picked again after each change of the fleet.
func (s *Service) homesIn(f *fleet) []Home {
	previous := s.homes.Load()
	if previous != nil && previous.fleet.Load() == f.version {
		return previous.homes
	}
	if previous != nil && s.zonesUnchanged(previous.picks, f) && !s.needsRemoteHome(f) {
		previous.fleet.Store(f.version)
		return previous.homes
	}
	next := &serviceHomes{picks: s.pickHosts(f, previous)}
	next.homes = computeHomes(s, f, next.picks)
	next.fleet.Store(f.version)
	s.homes.Store(next)
	return next.homes
}

// pickHosts picks a host in each zone of the service. It reuses the picks of
// zones whose hosts have not changed.
func (s *Service) pickHosts(f *fleet, previous *serviceHomes) []zonePick {
	picks := make([]zonePick, len(s.zones))
	for i := range s.zones {
		version := f.zoneVersion(s.zones[i].name)
		if previous != nil && previous.picks[i].version == version {
			picks[i] = previous.picks[i]
			continue
		}
		picks[i].version = version
		picks[i].host, picks[i].found = pickHost(s.ServiceID(), f.zones[s.zones[i].name])
	}
	return picks
}

func (s *Service) zonesUnchanged(picks []zonePick, f *fleet) bool {
	for i := range s.zones {
		if picks[i].version != f.zoneVersion(s.zones[i].name) {
			return false
		}
	}
	return true
}

// needsRemoteHome reports whether no zone of the service has a host that can
// own work.
func (s *Service) needsRemoteHome(f *fleet) bool {
	return !slices.ContainsFunc(s.zones, func(z serviceZone) bool {
		zone := f.zones[z.name]
		return zone != nil && len(zone.candidates) > 0
	})
}

// ServiceID returns the id of the service.
func (s *Service) ServiceID() ids.ServiceID { return s.Service.ID }
