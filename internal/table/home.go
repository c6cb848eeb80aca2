package table

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosashore.example/mimosashore/internal/ids"
)

// Home is the host that assigns the requests and flows of one service to the
// upstreams of one availability zone.
type Home struct {
	Zone string
	Host ids.Instance
	// Weight is the number of slots of the active upstreams in the zone and in
	// the adopted zones.
	Weight int
	// Adopted lists the other availability zones whose upstreams this home also
	// uses, because no host in those zones can own work.
	Adopted []string
}

// computeHomes returns one home of the service for each availability zone that
// has upstreams of it and a host that can own work. Zones without such a host
// are adopted by the home of another zone.
func computeHomes(s *Service, f *fleet, picks []zonePick) []Home {
	var homes []Home
	var orphans []serviceZone
	for i, zone := range s.zones {
		if !picks[i].found {
			orphans = append(orphans, zone)
			continue
		}
		homes = append(homes, Home{Zone: zone.name, Host: picks[i].host, Weight: zone.slots})
	}
	if len(homes) == 0 {
		return remoteHome(s, orphans, f)
	}
	for _, zone := range orphans {
		assignOrphan(s, homes, zone)
	}
	return homes
}

// assignOrphan assigns the upstreams of a zone without a host that can own work to
// the home with the highest rendezvous score.
func assignOrphan(s *Service, homes []Home, zone serviceZone) {
	best, bestScore := 0, uint64(0)
	for i := range homes {
		score := rendezvousScore(s.ServiceID(), ids.HostID(xxhash.Sum64String(zone.name+"/"+homes[i].Zone)))
		if i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	homes[best].Adopted = append(homes[best].Adopted, zone.name)
	homes[best].Weight += zone.slots
}

// remoteHome returns the one home of a service without any host in its zones that
// can own work. The home is in another zone and adopts all zones of the service.
// It is the host with the highest rendezvous score among those picked in each
// zone. The result is nil if no host can own work or the service has no zone.
func remoteHome(s *Service, orphans []serviceZone, f *fleet) []Home {
	var home Home
	var homeScore uint64
	for _, name := range sortedZones(f) {
		host, ok := pickHost(s.ServiceID(), f.zones[name])
		if !ok {
			continue
		}
		score := rendezvousScore(s.ServiceID(), host.Host)
		if home.Zone == "" || score > homeScore {
			home, homeScore = Home{Zone: name, Host: host}, score
		}
	}
	if home.Zone == "" || len(orphans) == 0 {
		return nil
	}
	for _, orphan := range orphans {
		home.Adopted = append(home.Adopted, orphan.name)
		home.Weight += orphan.slots
	}
	return []Home{home}
}

func sortedZones(f *fleet) []string {
	names := make([]string, 0, len(f.zones))
	for name := range f.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// pickHost returns the host with the highest rendezvous score among the hosts
// of the zone that can own work.
func pickHost(service ids.ServiceID, zone *zoneHosts) (ids.Instance, bool) {
	if zone == nil || len(zone.candidates) == 0 {
		return ids.Instance{}, false
	}
	best := zone.candidates[0]
	bestScore := rendezvousScore(service, best.Host)
	for _, host := range zone.candidates[1:] {
		if score := rendezvousScore(service, host.Host); score > bestScore {
			best, bestScore = host, score
		}
	}
	return best, true
}

// rendezvousScore mixes service and host with the finalizer of SplitMix64. Host
// ids are already hashes, so one round over the sum of the host id and the scaled
// service id is enough.
func rendezvousScore(service ids.ServiceID, host ids.HostID) uint64 {
	const increment = 0x9e3779b97f4a7c15
	x := uint64(host) + uint64(service)*increment
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// homeForNonce chooses a zone of the service by weighted rendezvous hashing and
// returns the home that places its work. When a zone loses its hosts, all its
// nonces move to the home that adopts it, and no others move.
func homeForNonce(s *Service, homes []Home, nonce ids.Nonce) (Home, bool) {
	best := -1
	bestScore := math.Inf(-1)
	for i := range s.zones {
		if s.zones[i].slots == 0 {
			continue
		}
		score := weightedScore(s.ServiceID(), s.zones[i].name, nonce, s.zones[i].slots)
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Home{}, false
	}
	return homeOfZone(homes, s.zones[best].name)
}

func homeOfZone(homes []Home, zone string) (Home, bool) {
	for i := range homes {
		if homes[i].Zone == zone || slices.Contains(homes[i].Adopted, zone) {
			return homes[i], true
		}
	}
	return Home{}, false
}

// weightedScore returns the weighted rendezvous score of a zone: the weight divided
// by -ln(u), where u is the hash of service, zone and nonce mapped to the open unit
// interval. Each zone then gets a share of the nonces in proportion to its weight.
func weightedScore(service ids.ServiceID, zone string, nonce ids.Nonce, weight int) float64 {
	var key [20]byte
	binary.BigEndian.PutUint32(key[0:], uint32(service))
	binary.BigEndian.PutUint64(key[4:], uint64(nonce))
	binary.BigEndian.PutUint64(key[12:], xxhash.Sum64String(zone))
	const mantissaBits = 53
	unit := (float64(xxhash.Sum64(key[:])>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return float64(weight) / -math.Log(unit)
}
