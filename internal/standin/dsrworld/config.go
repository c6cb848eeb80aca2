package dsrworld

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// EvacuationPrefix is the key prefix of evacuations in the store.
const EvacuationPrefix = "op/evacuate/"

// ConfigurationKey is the key of the configuration in the store.
const ConfigurationKey = "op/config"

// Route returns a route in the JSON form in which operators write it.
func Route(name string, a netip.AddrPort, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()), "kind": kind,
		"timeoutMs": 3000, "targetLatencyMs": 200, "priority": 1, "service": service, "maxAttempts": 2,
	}
}

// Service returns a service in the JSON form in which operators write it: its upstreams are cold for a
// time after their start, and meant for so many new flows a second meanwhile.
func Service(name string, coldStart time.Duration, coldPerS float64) map[string]any {
	return map[string]any{"name": name, "coldStartS": coldStart.Seconds(), "coldPerS": coldPerS}
}

// Configuration returns a configuration in the JSON form in which operators write
// it.
func Configuration(version int, routes []any, services ...any) map[string]any {
	if services == nil {
		services = []any{}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services, "limits": map[string]any{"idleTimeoutMs": 15000},
	}
}

// HostSettings are the settings that the platform writes for a host.
type HostSettings struct {
	// Name is the name of the host, Zone its availability zone.
	Name, Zone string
	// Zones lists all availability zones.
	Zones []string
	// Data, Ready and Control are the addresses at which the host receives datagrams,
	// serves its readiness and receives control messages; Control is optional.
	Data, Ready, Control netip.AddrPort
	// Contacts are the control addresses of other hosts, Store is the address of the store.
	Contacts []string
	Store    string
	// StopTimeout limits a planned stop, ApplyTimeout the time until a configuration is in force.
	StopTimeout, ApplyTimeout time.Duration
	// EvacuateTimeout limits the time until an evacuation is in force; left out if it is zero.
	EvacuateTimeout time.Duration
	// ColdOver and ColdSlack bound the opening packets to cold upstreams; left out if both are zero.
	ColdOver, ColdSlack float64
}

// Encode returns the settings file.
func (s *HostSettings) Encode() ([]byte, error) {
	zones := make(map[string]string)
	for _, z := range s.Zones {
		zones[z] = "region"
	}
	bounds := map[string]any{"graceS": s.StopTimeout.Seconds(), "configApplyMs": s.ApplyTimeout.Milliseconds()}
	if s.EvacuateTimeout > 0 {
		bounds["evacuateMs"] = s.EvacuateTimeout.Milliseconds()
	}
	if s.ColdOver+s.ColdSlack > 0 {
		bounds["coldOver"], bounds["coldSlack"] = s.ColdOver, s.ColdSlack
	}
	listen := map[string]string{"datagramAddr": s.Data.String(), "ready": s.Ready.String()}
	if s.Control.IsValid() {
		listen["control"] = s.Control.String()
	}
	return json.Marshal(map[string]any{
		"node": s.Name, "zone": s.Zone, "zones": zones,
		"listen": listen,
		"seeds":  s.Contacts,
		"bounds": bounds,
		// Requests wait at the hosts.
		"contracts": []string{"health"},
		"platform":  map[string]any{"addr": s.Store},
		"unknown":   1,
	})
}
