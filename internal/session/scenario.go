package session

import (
	"fmt"
	"net/netip"
	"time"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
)

// Ids of the client accounts, the services and the first upstream of the fleet in
// DefaultSettings.
const (
	CubiertaVerde ids.AccountID = 1
	Association   ids.AccountID = 2

	// Pedidos and Medidas belong to CubiertaVerde, HarvestLedger to Association.
	Pedidos       ids.ServiceID = 11
	Medidas       ids.ServiceID = 12
	HarvestLedger ids.ServiceID = 21

	// FirstUpstream is the first upstream of Pedidos. The other upstreams of the fleet
	// are numbered consecutively from it.
	FirstUpstream ids.UpstreamID = 101
)

// Availability zones of the fleet in DefaultSettings.
const (
	ZoneA = "alajuela-a"
	ZoneB = "heredia-b"
)

// upstreamSlots is the number of requests that an upstream runs concurrently.
const upstreamSlots = 2

// DefaultSettings returns settings for a small fleet: two availability zones with
// two hosts each, and two client accounts with three services in total, each with
// four upstreams.
func DefaultSettings(seed uint64) Settings {
	return Settings{
		Seed: seed,
		Hosts: []HostSpec{
			{Name: "a1", Zone: ZoneA}, {Name: "a2", Zone: ZoneA},
			{Name: "b1", Zone: ZoneB}, {Name: "b2", Zone: ZoneB},
		},
		Snapshot:       DefaultSnapshot(),
		DetectionDelay: time.Second,
		ServiceTime:    100 * time.Millisecond,
		AnswerSize:     3000,
		FeedInterval:   250 * time.Millisecond,
	}
}

// DefaultSnapshot returns the configuration of the fleet in DefaultSettings.
func DefaultSnapshot() *config.Snapshot {
	next := FirstUpstream
	service := func(id ids.ServiceID, name string, priority config.Priority) config.Service {
		s := config.Service{
			ID: id, Name: name, Priority: priority, MaxBody: 1 << 20, QueueLimit: 32, RetryPercent: 20,
		}
		for i := range 4 {
			zone := ZoneA
			if i%2 == 1 {
				zone = ZoneB
			}
			s.Upstreams = append(s.Upstreams, newUpstream(next, fmt.Sprintf("%s-%d", name, i+1), zone))
			next++
		}
		return s
	}
	return &config.Snapshot{
		Keys: []flowid.Key{NewKey(1)},
		Accounts: []config.Account{
			{ID: CubiertaVerde, Name: "cubierta-verde", Services: []config.Service{
				service(Pedidos, "pedidos", config.PriorityUrgent),
				service(Medidas, "medidas", config.PriorityBulk),
			}},
			{ID: Association, Name: "association", Services: []config.Service{
				service(HarvestLedger, "ledger", config.PriorityUrgent),
			}},
		},
	}
}

func newUpstream(id ids.UpstreamID, name, zone string) config.Upstream {
	return config.Upstream{
		ID: id, Name: name, Zone: zone,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(id >> 8), byte(id)}), 9000),
		Slots:   upstreamSlots, Connections: 2000,
	}
}

// NewKey returns a key for sealing flow identifiers. Its secret is derived from id.
func NewKey(id uint8) flowid.Key {
	return flowid.Key{ID: id, Secret: [flowid.KeySize]byte{id, 7}}
}

// EditSnapshot applies edit to a copy of the configuration and returns the copy, in
// which the revision of each client account is increased by one. Keys, accounts,
// services and upstreams are copied; edit must not change the hosts.
func EditSnapshot(snap *config.Snapshot, edit func(s *config.Snapshot)) *config.Snapshot {
	changed := &config.Snapshot{Hosts: snap.Hosts}
	changed.Keys = append(changed.Keys, snap.Keys...)
	for i := range snap.Accounts {
		a := snap.Accounts[i]
		a.Revision++
		a.Services = nil
		for _, s := range snap.Accounts[i].Services {
			s.Upstreams = append([]config.Upstream(nil), s.Upstreams...)
			a.Services = append(a.Services, s)
		}
		changed.Accounts = append(changed.Accounts, a)
	}
	edit(changed)
	return changed
}

// DrainUpstream returns a copy of the configuration in which the upstream is
// draining.
func DrainUpstream(snap *config.Snapshot, id ids.UpstreamID) *config.Snapshot {
	return EditSnapshot(snap, func(s *config.Snapshot) {
		for i := range s.Accounts {
			for j := range s.Accounts[i].Services {
				drainInService(&s.Accounts[i].Services[j], id)
			}
		}
	})
}

func drainInService(s *config.Service, id ids.UpstreamID) {
	for i := range s.Upstreams {
		if s.Upstreams[i].ID == id {
			s.Upstreams[i].State = config.UpstreamDraining
		}
	}
}

// AddKey returns a copy of the configuration with a new key that is used only for
// verification. ActivateKey makes it the sealing key.
func AddKey(snap *config.Snapshot, id uint8) *config.Snapshot {
	return EditSnapshot(snap, func(s *config.Snapshot) { s.Keys = append(s.Keys, NewKey(id)) })
}

// ActivateKey returns a copy of the configuration in which the last key, added by
// AddKey, is the sealing key. Up to keep of the other keys remain for verification.
func ActivateKey(snap *config.Snapshot, keep int) *config.Snapshot {
	return EditSnapshot(snap, func(s *config.Snapshot) {
		last := len(s.Keys) - 1
		keys := append([]flowid.Key{s.Keys[last]}, s.Keys[:last]...)
		s.Keys = keys[:min(len(keys), keep+1)]
	})
}
