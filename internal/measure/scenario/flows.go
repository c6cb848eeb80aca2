package scenario

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/forward"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

const (
	flowHosts   = 5
	dataPort    = 7_400
	servicePort = 9_000
)

// flowSetup is the state from which stream datagrams are routed: the
// configuration, the membership view and the sealed identifiers of open flows.
type flowSetup struct {
	snap  *config.Snapshot
	view  *member.View
	flows []openFlow
	// tables are the routing tables of the live hosts.
	tables []*table.Table
}

type openFlow struct {
	sealed   [wire.FlowSize]byte
	upstream ids.UpstreamID
	nonce    ids.Nonce
}

// Flows counts the flows broken by planned changes and faults. A flow is broken
// if at least one live host does not route its next datagram to its upstream.
func Flows(count int) *report.Table {
	w := newFlowSetup(count)
	t := &report.Table{
		Title: "Broken flows",
		Columns: []string{"change, one after the other", "routable identifiers (project): broken", "to another upstream",
			"rendezvous hash of the packet: broken", "hash modulo upstreams: broken"},
		Note: fmt.Sprintf("%d flows of both services of Cubierta Verde, five hosts. After each change one stream datagram of each flow is routed at each live host. A hash without state breaks a flow when its choice differs from the flow's upstream; the choices are those of the first row. Broken flows of the project are counted over all live hosts. A flow table at each host is not in the table: with sprayed packets it breaks each flow at once, unless the table is copied to all hosts.", count),
	}
	w.addRow(t, "none")
	for _, step := range w.steps() {
		step.change()
		w.addRow(t, step.name)
	}
	return t
}

type flowStep struct {
	name   string
	change func()
}

func (w *flowSetup) steps() []flowStep {
	service := &w.snap.Accounts[0].Services[0]
	return []flowStep{
		{"a host dies", func() { w.view.Members[0].State = member.StateDead }},
		{"a second host dies", func() { w.view.Members[1].State = member.StateDead }},
		{"both come back with new incarnations", func() {
			for i := range 2 {
				w.view.Members[i].State = member.StateLive
				w.view.Members[i].Instance.Incarnation++
			}
		}},
		{"all hosts restart", func() {
			for i := range w.view.Members {
				w.view.Members[i].Instance.Incarnation++
			}
		}},
		{"an upstream drains", func() { service.Upstreams[0].State = config.UpstreamDraining }},
		{"three upstreams are added", func() {
			for i := range 3 {
				u := service.Upstreams[i+1]
				u.ID += 500
				u.Address = netip.AddrPortFrom(u.Address.Addr().Next(), servicePort+1)
				service.Upstreams = append(service.Upstreams, u)
			}
		}},
		{"the sealing key rotates", func() { w.snap.Keys = append([]flowid.Key{keyOf(2)}, w.snap.Keys...) }},
		{"three of four zones are cut off", func() {
			for i := range w.view.Members {
				if w.view.Members[i].Zone != cubiertaVerde.zones[0] {
					w.view.Members[i].State = member.StateDead
				}
			}
		}},
	}
}

func keyOf(id uint8) flowid.Key {
	return flowid.Key{ID: id, Secret: [flowid.KeySize]byte{id}}
}

func newFlowSetup(count int) *flowSetup {
	setup := cubiertaVerde.setup(1, flowHosts)
	account := *setup.Services[0].Account
	for i := range account.Services {
		s := &account.Services[i]
		for j := range s.Upstreams {
			s.Upstreams[j].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i), byte(j + 1)}), servicePort)
		}
	}
	w := &flowSetup{
		snap: &config.Snapshot{Keys: []flowid.Key{keyOf(1)}, Accounts: []config.Account{account}},
		view: &member.View{Version: 1},
	}
	for i, h := range setup.Hosts {
		w.view.Members = append(w.view.Members, member.Member{
			Instance: ids.Instance{Host: ids.HostIDOf(h.Name), Incarnation: 1},
			Name:     h.Name,
			Zone:     h.Zone,
			Data:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i + 1)}), dataPort),
		})
	}
	w.openFlows(count)
	return w
}

// openFlows opens flows at their homes, alternating between the services.
func (w *flowSetup) openFlows(count int) {
	t := table.Build(w.view.Members[0].Instance, w.snap, w.view)
	account := &w.snap.Accounts[0]
	placers := make(map[string]*placement.Placer)
	for n := range count {
		s := &account.Services[n%len(account.Services)]
		f := openFlow{nonce: ids.Nonce(xxhash.Sum64String(fmt.Sprint(n)))}
		home, _ := t.HomeFor(t.Service(s.ID), f.nonce)
		key := s.Name + home.Zone
		if placers[key] == nil {
			placers[key] = placement.New(s, home.Zone, 1)
		}
		f.upstream = placers[key].PlaceFlow(time.Duration(n) * time.Millisecond).Upstream
		id := flowid.Flow{Account: account.ID, Service: s.ID, Upstream: f.upstream, Owner: home.Host, Nonce: f.nonce}
		t.Keys.Seal(f.sealed[:], &id)
		w.flows = append(w.flows, f)
	}
}

func (w *flowSetup) addRow(t *report.Table, name string) {
	w.tables = w.tables[:0]
	for i := range w.view.Members {
		if w.view.Members[i].State == member.StateLive {
			w.tables = append(w.tables, table.Build(w.view.Members[i].Instance, w.snap, w.view))
		}
	}
	broken, misrouted, rendezvous, modulo := 0, 0, 0, 0
	for i := range w.flows {
		f := &w.flows[i]
		lost, wrong := w.route(f)
		broken += lost
		misrouted += wrong
		if w.hashMoved(f, i, rendezvousChoice) {
			rendezvous++
		}
		if w.hashMoved(f, i, moduloChoice) {
			modulo++
		}
	}
	t.Add(name, broken, misrouted, rendezvous, modulo)
}

// route routes one stream datagram of the flow at each live host. Both results
// are 0 or 1.
func (w *flowSetup) route(f *openFlow) (broken, misrouted int) {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, 1}), dataPort)
	env := wire.Envelope{Origin: wire.OriginFabric, Source: caller}
	for _, hostTable := range w.tables {
		p := wire.New(wire.KindStream, 0)
		copy(p.Flow(), f.sealed[:])
		d := forward.Route(hostTable, env, p)
		to, known := hostTable.UpstreamAt(d.To)
		if d.Action == forward.ActionSend && known && to == f.upstream {
			continue
		}
		broken = 1
		if known && to != f.upstream {
			misrouted = 1
		}
	}
	return broken, misrouted
}

// hashMoved reports whether a stateless hash now picks another upstream than it
// did in the initial configuration.
func (w *flowSetup) hashMoved(f *openFlow, i int, choose func([]config.Upstream, ids.Nonce) ids.UpstreamID) bool {
	services := w.snap.Accounts[0].Services
	s := &services[i%len(services)]
	first := s.Upstreams[:initialUpstreams(s)]
	before := make([]config.Upstream, len(first))
	copy(before, first)
	for j := range before {
		before[j].State = config.UpstreamActive
	}
	return choose(before, f.nonce) != choose(s.Upstreams, f.nonce)
}

func initialUpstreams(s *config.Service) int {
	if s.ID == cubiertaVerde.urgent.id {
		return cubiertaVerde.urgent.upstreams
	}
	return cubiertaVerde.bulk.upstreams
}

func rendezvousChoice(upstreams []config.Upstream, nonce ids.Nonce) ids.UpstreamID {
	var best ids.UpstreamID
	var bestScore uint64
	for i := range upstreams {
		if upstreams[i].State != config.UpstreamActive {
			continue
		}
		if score := hashOf(uint64(upstreams[i].ID), nonce); score > bestScore {
			best, bestScore = upstreams[i].ID, score
		}
	}
	return best
}

func moduloChoice(upstreams []config.Upstream, nonce ids.Nonce) ids.UpstreamID {
	var active []ids.UpstreamID
	for i := range upstreams {
		if upstreams[i].State == config.UpstreamActive {
			active = append(active, upstreams[i].ID)
		}
	}
	return active[hashOf(0, nonce)%uint64(len(active))]
}

func hashOf(salt uint64, nonce ids.Nonce) uint64 {
	var key [16]byte
	binary.BigEndian.PutUint64(key[0:], salt)
	binary.BigEndian.PutUint64(key[8:], uint64(nonce))
	return xxhash.Sum64(key[:])
}
