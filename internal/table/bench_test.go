package table

import (
	"fmt"
	"net/netip"
	"testing"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

// fleetSize is the size of a generated fleet and its configuration.
type fleetSize struct {
	hosts, services, upstreams, zones int
}

// largestSize is the largest fleet that a host is designed to work in.
var largestSize = fleetSize{hosts: 11_000, services: 36_000, upstreams: 91_000, zones: 14}

func (f fleetSize) zone(i int) string { return fmt.Sprintf("zone-%02d", i%f.zones) }

func address(network byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{network, byte(i >> 16), byte(i >> 8), byte(i)}), 7500)
}

// snapshot returns a configuration with ten services in each client account.
func (f fleetSize) snapshot() *config.Snapshot {
	const servicesPerAccount = 10
	snap := &config.Snapshot{}
	for i := range f.services {
		if i%servicesPerAccount == 0 {
			id := ids.AccountID(len(snap.Accounts) + 1)
			snap.Accounts = append(snap.Accounts, config.Account{ID: id, Name: fmt.Sprint("account-", id), Revision: 1})
		}
		account := &snap.Accounts[len(snap.Accounts)-1]
		account.Services = append(account.Services, config.Service{ID: ids.ServiceID(i + 1)})
	}
	for i := range f.upstreams {
		account := &snap.Accounts[i%f.services/servicesPerAccount]
		service := &account.Services[i%f.services%servicesPerAccount]
		service.Upstreams = append(service.Upstreams, config.Upstream{
			ID: ids.UpstreamID(i + 1), Zone: f.zone(i / 3), Address: address(10, i), Slots: 2,
		})
	}
	return snap
}

func (f fleetSize) view() *member.View {
	v := &member.View{}
	for i := range f.hosts {
		v.Members = append(v.Members, member.Member{
			Instance: ids.Instance{Host: ids.HostIDOf(fmt.Sprint("host-", i)), Incarnation: 1},
			Zone:     f.zone(i),
			Data:     address(11, i),
		})
	}
	return v
}

func BenchmarkBuild(b *testing.B) {
	for _, f := range []fleetSize{
		{hosts: 110, services: 360, upstreams: 910, zones: 14},
		{hosts: 1_100, services: 3_600, upstreams: 9_100, zones: 14},
		largestSize,
	} {
		b.Run(fmt.Sprint("upstreams-", f.upstreams), func(b *testing.B) {
			snap, view := f.snapshot(), f.view()
			self := view.Members[0].Instance
			b.ReportAllocs()
			for b.Loop() {
				Build(self, snap, view)
			}
		})
	}
}
