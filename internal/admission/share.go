package admission

import (
	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/table"
)

// Shares gives the part of each fleet-wide limit that this host may admit, as a
// fraction between zero and one.
type Shares interface {
	Service(id ids.ServiceID) float64
	Account(id ids.AccountID) float64
}

// tableShares splits limits in proportion to the slots in the availability
// zones for which the host is the home. The total is all configured active
// slots, including those of a zone without a reachable host, because a host on
// the other side of a network partition may admit that zone's part. For the same
// reason a home's share does not include the zones that it has adopted because no
// host there can own work. It includes them only if the home's own zone has no active
// slots of the service, as when the home has adopted all zones.
type tableShares struct {
	table *table.Table
	snap  *config.Snapshot
}

// SharesOf returns the shares of the host that the table was built for.
func SharesOf(t *table.Table, snap *config.Snapshot) Shares {
	return tableShares{table: t, snap: snap}
}

// Service returns the host's share of a service's limit.
func (s tableShares) Service(id ids.ServiceID) float64 {
	svc := s.table.Service(id)
	if svc == nil {
		return 0
	}
	return ratio(s.ownSlots(svc), configuredSlots(svc.Service))
}

// Account returns the host's share of a client account's limit.
func (s tableShares) Account(id ids.AccountID) float64 {
	account := s.snap.Account(id)
	if account == nil {
		return 0
	}
	own, all := 0, 0
	for i := range account.Services {
		svc := s.table.Service(account.Services[i].ID)
		if svc == nil {
			continue
		}
		own += s.ownSlots(svc)
		all += configuredSlots(svc.Service)
	}
	return ratio(own, all)
}

func (s tableShares) ownSlots(svc *table.Service) int {
	own := 0
	for _, h := range s.table.Homes(svc) {
		if h.Host != s.table.Self {
			continue
		}
		slots := slotsIn(svc.Service, h.Zone)
		if slots == 0 {
			// The service has no active slots in the host's zone. The weight then
			// counts only the slots of the adopted zones.
			slots = h.Weight
		}
		own += slots
	}
	return own
}

func slotsIn(s *config.Service, zone string) int {
	slots := 0
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if u.Zone == zone && u.State == config.UpstreamActive {
			slots += u.Slots
		}
	}
	return slots
}

func configuredSlots(s *config.Service) int {
	slots := 0
	for i := range s.Upstreams {
		if s.Upstreams[i].State == config.UpstreamActive {
			slots += s.Upstreams[i].Slots
		}
	}
	return slots
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
