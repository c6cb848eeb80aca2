package table

import (
	"net/netip"
	"slices"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

// fleet is the part of a table that is derived from the membership view.
type fleet struct {
	// version numbers the successive fleets of a host, starting at one.
	version   uint64
	hosts     map[ids.HostID]*member.Member
	addresses map[netip.AddrPort]ids.HostID
	zones     map[string]*zoneHosts
}

// zoneHosts holds the hosts of an availability zone that can own work, that is,
// be the home of services and so become the owner of new flows. They are ordered
// by host id. Successive fleets share the value while these hosts stay the same.
type zoneHosts struct {
	// version is the version of the fleet that first had these hosts.
	version    uint64
	candidates []ids.Instance
}

// newFleet returns the fleet for a view. The previous fleet may be nil.
func newFleet(previous *fleet, view *member.View) *fleet {
	f := &fleet{
		version:   1,
		hosts:     make(map[ids.HostID]*member.Member, len(view.Members)),
		addresses: make(map[netip.AddrPort]ids.HostID, len(view.Members)),
		zones:     make(map[string]*zoneHosts),
	}
	if previous != nil {
		f.version = previous.version + 1
	}
	for i := range view.Members {
		m := &view.Members[i]
		f.hosts[m.Instance.Host] = m
		f.addresses[m.Data] = m.Instance.Host
		f.addToZone(m)
	}
	for name, zone := range f.zones {
		slices.SortFunc(zone.candidates, compareInstances)
		if previous == nil {
			continue
		}
		if known := previous.zones[name]; known != nil && slices.Equal(known.candidates, zone.candidates) {
			f.zones[name] = known
		}
	}
	return f
}

func (f *fleet) addToZone(m *member.Member) {
	zone := f.zones[m.Zone]
	if zone == nil {
		zone = &zoneHosts{version: f.version}
		f.zones[m.Zone] = zone
	}
	if canOwn(m.State) {
		zone.candidates = append(zone.candidates, m.Instance)
	}
}

// canOwn reports whether a host in this state gets new work. A suspect host
// keeps the work it owns, but other hosts become the homes of its services,
// because most suspect hosts are dead. If it is alive, the old and the new home
// place work on the same upstreams for a while, which package placement
// tolerates.
func canOwn(s member.State) bool {
	return s == member.StateLive
}

func compareInstances(a, b ids.Instance) int {
	switch {
	case a.Host < b.Host:
		return -1
	case a.Host > b.Host:
		return 1
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	default:
		return 0
	}
}

// zoneVersion returns the version of the hosts of a zone, or zero if the fleet
// has no such zone.
func (f *fleet) zoneVersion(zone string) uint64 {
	if z := f.zones[zone]; z != nil {
		return z.version
	}
	return 0
}
