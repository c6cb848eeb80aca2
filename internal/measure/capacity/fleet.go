// Package capacity measures how the memory and processing time of a host grow
// with the size of the fleet, for the capacity page. The results depend on the
// machine.
package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

// The sizes of the target fleet.
const (
	targetHosts     = 11_000
	targetServices  = 36_000
	targetUpstreams = 91_000
	targetZones     = 14
	// servicesPerAccount is the number of services of a client account.
	servicesPerAccount = 4
	dataPort           = 7_400
	healthPort         = 8_080
)

// fleet holds the sizes of a generated fleet.
type fleet struct {
	upstreams int
	services  int
	hosts     int
}

// fleetOf returns a fleet with the proportions of the target fleet, with at
// least one host in each availability zone.
func fleetOf(upstreams int) fleet {
	return fleet{
		upstreams: upstreams,
		services:  max(upstreams*targetServices/targetUpstreams, 1),
		hosts:     max(upstreams*targetHosts/targetUpstreams, targetZones),
	}
}

func zoneName(i int) string {
	return fmt.Sprintf("zone-%02d", i%targetZones)
}

// address returns the address with index i, from 0, in the IPv4 network with the
// given first byte.
func address(network byte, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{network, byte(i >> 16), byte(i >> 8), byte(i)}), port)
}

// documents returns the accepted configuration documents of the fleet.
func (f fleet) documents() []*config.Document {
	docs := []*config.Document{{Name: config.KeysName, Revision: 1, Keys: &config.KeyRing{Keys: []flowid.Key{{ID: 1}}}}}
	return append(append(docs, f.accounts()...), f.zonePlans()...)
}

func (f fleet) accounts() []*config.Document {
	var docs []*config.Document
	for i := range f.services {
		if i%servicesPerAccount == 0 {
			name := fmt.Sprintf("customer-%05d", len(docs))
			docs = append(docs, &config.Document{
				Name:       config.AccountPrefix + name,
				Revision:   1,
				ChangeID:   "change-0000000000000000",
				Author:     "operator",
				AcceptedAt: time.Unix(1_700_000_000, 0).UnixMilli(),
				Account:    &config.Account{ID: ids.AccountID(len(docs) + 1), Name: name, RequestRate: 500, FlowRate: 100},
			})
		}
		a := docs[len(docs)-1].Account
		a.Services = append(a.Services, f.service(i))
	}
	return docs
}

// service returns the service with index i. Its upstreams alternate between two
// availability zones.
func (f fleet) service(i int) config.Service {
	s := config.Service{
		ID:           ids.ServiceID(i + 1),
		Name:         fmt.Sprintf("service-%05d", i),
		Address:      address(20, i, healthPort),
		MaxBody:      1 << 20,
		QueueLimit:   256,
		RequestRate:  200,
		RetryPercent: 10,
		SlowStart:    10 * time.Second,
	}
	for j := i; j < f.upstreams; j += f.services {
		s.Upstreams = append(s.Upstreams, config.Upstream{
			ID:          ids.UpstreamID(j + 1),
			Name:        fmt.Sprintf("upstream-%06d", j),
			Zone:        zoneName(i + len(s.Upstreams)%2),
			Address:     address(10, j, dataPort),
			Health:      address(10, j, healthPort),
			Slots:       2,
			Connections: 2_000,
		})
	}
	return s
}

func (f fleet) zonePlans() []*config.Document {
	var docs []*config.Document
	for z := range targetZones {
		plan := &config.ZonePlan{Zone: zoneName(z)}
		for i := z; i < f.hosts; i += targetZones {
			plan.Hosts = append(plan.Hosts, config.Host{
				Name:    hostName(i),
				Zone:    zoneName(i),
				Data:    address(11, i, dataPort),
				Control: address(12, i, dataPort),
			})
		}
		docs = append(docs, &config.Document{Name: config.ZonePrefix + plan.Zone, Revision: 1, ChangeID: "change", Zone: plan})
	}
	return docs
}

func hostName(i int) string {
	return fmt.Sprintf("host-%05d", i)
}

func (f fleet) view() *member.View {
	v := &member.View{Version: 1}
	for i := range f.hosts {
		v.Members = append(v.Members, member.Member{
			Instance: ids.Instance{Host: ids.HostIDOf(hostName(i)), Incarnation: 1},
			Name:     hostName(i),
			Zone:     zoneName(i),
			Data:     address(11, i, dataPort),
			Control:  address(12, i, dataPort),
		})
	}
	return v
}
