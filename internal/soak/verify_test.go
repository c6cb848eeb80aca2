package soak

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/standin/dsrworld"
)

var (
	testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	hostA     = netip.MustParseAddrPort("127.0.150.1:7000")
	hostB     = netip.MustParseAddrPort("127.0.150.2:7000")
)

func second(s float64) time.Time {
	return testStart.Add(time.Duration(s * float64(time.Second)))
}

// scenario is a record written by a test. Upstream 1 serves the orders, upstream
// 2 the feed and the probe addresses.
type scenario struct {
	*record
	orders, feed *upstreamInstance
	port         uint16
}

// newScenario returns a record with versions at 0, 20 and 40 s, of which the
// last one moves the orders. Both hosts run all the time.
func newScenario() *scenario {
	s := &scenario{record: newRecord(), orders: newTestUpstream(1, ordersService), feed: newTestUpstream(2, feedService)}
	s.upstreams = []*upstreamInstance{s.orders, s.feed}
	for n, at := range []float64{0, 20, 40} {
		c := configuration{version: n + 1, sent: second(at), acknowledged: second(at + 0.01), services: map[netip.AddrPort]string{
			ordersRoute: ordersService, feedRoute: feedService, probeRoute(n): feedService,
		}}
		if n > 0 {
			c.services[probeRoute(n-1)] = feedService
		}
		if n == 2 {
			c.services[ordersRoute] = movedOrdersService
		}
		s.configurations = append(s.configurations, c)
	}
	for _, h := range []netip.AddrPort{hostA, hostB} {
		s.hostRuns = append(s.hostRuns, hostRun{host: h, from: second(-10)})
	}
	return s
}

func newTestUpstream(id uint64, service string) *upstreamInstance {
	return &upstreamInstance{service: service, slot: "slot " + service, observed: upstreamObservations{
		name: service, id: id, addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.160.1"), uint16(id)),
		runs: make(map[string]int), arrivals: make(map[netip.AddrPort][]time.Time),
	}}
}

// openFlow adds a flow that a host routed to an upstream; probe is as in flow.
func (s *scenario) openFlow(at float64, host netip.AddrPort, service netip.AddrPort, to *upstreamInstance, probe int) *flow {
	s.port++
	self := netip.AddrPortFrom(netip.MustParseAddr("127.0.180.1"), s.port)
	s.flows = append(s.flows, flow{service: service, probe: probe, ended: second(at + 1), trace: dsrworld.Trace{
		Local: self, SYNs: []dsrworld.SYN{{At: second(at), Host: host}}, Sent: []dsrworld.SYN{{At: second(at), Host: host}}, Opened: true, Upstream: uint32(to.observed.id),
	}})
	to.observed.opening = append(to.observed.opening, dsrworld.SYNArrival{At: second(at + 0.01), Caller: self})
	to.observed.openings = append(to.observed.openings, dsrworld.Opening{At: second(at + 0.01), Caller: self, Service: service, Acknowledged: second(at + 0.02)})
	return &s.flows[len(s.flows)-1]
}

// openFlows adds flows of the orders, a gap apart.
func (s *scenario) openFlows(n int, at, gap float64, host netip.AddrPort, to *upstreamInstance) {
	for i := range n {
		s.openFlow(at+float64(i)*gap, host, ordersRoute, to, 0)
	}
}

// start sets the start of an upstream, and that no flows but the slack may be opened to it while it is cold.
func (s *scenario) start(u *upstreamInstance, at float64) { u.started, s.coldPerS = second(at), 0 }

// evacuate evacuates the zone of the orders; the second time is that of the removal, zero for never.
func (s *scenario) evacuate(at, removing float64) {
	s.orders.observed.zone, s.feed.observed.zone = "zone-a", "zone-b"
	e := &evacuation{zone: "zone-a", acknowledged: second(at)}
	if removing > 0 {
		e.removing = second(removing)
	}
	s.evacuations = append(s.evacuations, e)
}

// refuseFlow adds a flow that a host reset before it was open.
func (s *scenario) refuseFlow(at float64, host netip.AddrPort, service netip.AddrPort, probe int) {
	s.port++
	s.flows = append(s.flows, flow{service: service, probe: probe, ended: second(at + 1), trace: dsrworld.Trace{
		Local: netip.AddrPortFrom(netip.MustParseAddr("127.0.180.1"), s.port),
		SYNs:  []dsrworld.SYN{{At: second(at), Host: host}},
		Reset: &dsrworld.Reset{At: second(at + 0.01), From: host, ByHost: true},
	}})
}

func (s *scenario) makeRequest(id string, at float64, idempotent, served bool, ran ...*upstreamInstance) {
	s.requests = append(s.requests, request{id: id, service: ordersRoute, idempotent: idempotent, began: second(at), ended: second(at + 0.1), served: served})
	for _, u := range ran {
		u.observed.runs[id+" t0"]++
	}
}

// stray adds packets of a flow that reached an upstream at which it is not open.
func (s *scenario) stray(f *flow, at *upstreamInstance, seconds ...float64) {
	for _, t := range seconds {
		at.observed.strays = append(at.observed.strays, dsrworld.Stray{At: second(t), Caller: f.trace.Local})
	}
}

func (s *scenario) addDisruption(target string, from, to float64, planned bool) {
	s.disruptions[target] = append(s.disruptions[target], &disruption{from: second(from), to: second(to), planned: planned})
}

// resetForSilence makes a host reset a flow because it takes the upstream for silent.
func (s *scenario) resetForSilence(f *flow, at float64) {
	f.trace.Reset = &dsrworld.Reset{At: second(at), From: hostB, ByHost: true}
	s.silenceResets[f.trace.Local] = append(s.silenceResets[f.trace.Local], second(at))
}

// logRefusal makes a host log that it refused the last flow because of load.
func (s *scenario) logRefusal(r refusal) {
	caller := s.flows[len(s.flows)-1].trace.Local
	s.refusals[caller] = append(s.refusals[caller], r)
}

// TestViolationsAreFound guards against a verifier that misses a violation, or reports
// one where the rule does not apply. The wanted text is the violated rule, or empty.
func TestViolationsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		build func(s *scenario)
		want  string
	}{
		"no violation": {func(s *scenario) {
			s.openFlow(10, hostA, ordersRoute, s.orders, 0)
			s.makeRequest("r-1", 10, false, true, s.orders)
			s.openFlow(25, hostA, probeRoute(1), s.feed, 2)
			s.refuseFlow(50, hostA, probeRoute(0), 1)
		}, ""},
		"a request runs twice": {func(s *scenario) {
			s.makeRequest("r-1", 10, false, true, s.orders, s.orders)
		}, "UNASKED"},
		"an idempotent request may run twice": {func(s *scenario) {
			s.requests = append(s.requests, request{id: "r-1", service: ordersRoute, idempotent: true, began: second(1), ended: second(2), served: true})
			s.orders.observed.runs["r-1 t0"], s.orders.observed.runs["r-1 t1"] = 1, 1
		}, ""},
		"a run that no caller requested":  {func(s *scenario) { s.orders.observed.runs["r-9 t0"] = 1 }, "UNASKED"},
		"an answer without a run":         {func(s *scenario) { s.makeRequest("r-1", 10, false, true) }, "MIXED"},
		"a run by another service":        {func(s *scenario) { s.makeRequest("r-1", 10, false, true, s.feed) }, "ROUTE"},
		"a flow to another service":       {func(s *scenario) { s.openFlow(10, hostA, ordersRoute, s.feed, 0) }, "ROUTE"},
		"a corrupted packet":              {func(s *scenario) { s.orders.observed.corrupted = 1 }, "UNASKED"},
		"an old version after the bound":  {func(s *scenario) { s.openFlow(44, hostA, ordersRoute, s.orders, 0) }, "CONFIG"},
		"an old version within the bound": {func(s *scenario) { s.openFlow(42, hostA, ordersRoute, s.orders, 0) }, ""},
		"an old version, host paused": {func(s *scenario) {
			s.addDisruption("host "+hostA.String(), 38, 43.5, false)
			s.openFlow(44, hostA, ordersRoute, s.orders, 0)
		}, ""},
		"an old version, store down": {func(s *scenario) {
			s.addDisruption("store", 38, 41, false)
			s.openFlow(44, hostA, ordersRoute, s.orders, 0)
		}, ""},
		"a refusal although the route is in force": {func(s *scenario) { s.refuseFlow(30, hostB, probeRoute(1), 2) }, "CONFIG"},
		"a refusal because of load": {func(s *scenario) {
			s.refuseFlow(30, hostB, probeRoute(1), 2)
			s.logRefusal(refusal{Time: second(30), Demand: 100, WorkMs: 30, Slots: 2})
		}, ""},
		"a refusal because of load, of another flow": {func(s *scenario) {
			s.refuseFlow(30, hostB, probeRoute(1), 2)
			s.logRefusal(refusal{Time: second(20), Demand: 100, WorkMs: 30, Slots: 2})
		}, "CONFIG"},
		"a refusal because of load that the upstreams could bear": {func(s *scenario) {
			s.refuseFlow(30, hostB, probeRoute(1), 2)
			s.logRefusal(refusal{Time: second(30), Demand: 20, WorkMs: 30, Slots: 2})
		}, "REFUSED"},
		"a refusal before the route must be in force": {func(s *scenario) { s.refuseFlow(21, hostB, probeRoute(1), 2) }, ""},
		"a host reverts to an older version": {func(s *scenario) {
			s.openFlow(20.2, hostA, probeRoute(1), s.feed, 2)
			s.refuseFlow(21, hostA, probeRoute(1), 2)
		}, "CONFIG"},
		"another host is behind": {func(s *scenario) {
			s.openFlow(20.2, hostA, probeRoute(1), s.feed, 2)
			s.refuseFlow(21, hostB, probeRoute(1), 2)
		}, ""},
		"a new flow after the drain bound": {func(s *scenario) {
			s.orders.withdrawn = second(10)
			s.openFlow(13.5, hostA, ordersRoute, s.orders, 0)
		}, "DRAIN"},
		"a new flow within the drain bound": {func(s *scenario) {
			s.orders.withdrawn = second(10)
			s.openFlow(12.5, hostA, ordersRoute, s.orders, 0)
		}, ""},
		"a reset of a live flow": {func(s *scenario) {
			s.openFlow(10, hostA, feedRoute, s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(11), From: hostB, ByHost: true}
		}, "FLOW"},
		"a reset during a planned stop": {func(s *scenario) {
			s.addDisruption("host "+hostB.String(), 10, 12, true)
			s.openFlow(10, hostA, feedRoute, s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(11), From: hostB, ByHost: true}
		}, "FLOW"},
		"a reset while the upstream is cut off": {func(s *scenario) {
			s.addDisruption(s.feed.slot, 9, 12, false)
			s.openFlow(10, hostA, feedRoute, s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(11), From: hostB, ByHost: true}
		}, ""},
		"packets of a flow at another upstream": {func(s *scenario) {
			f := s.openFlow(10, hostA, feedRoute, s.feed, 0)
			for _, at := range []float64{10.1, 10.3, 10.7} {
				s.orders.observed.strays = append(s.orders.observed.strays, dsrworld.Stray{At: second(at), Caller: f.trace.Local})
			}
		}, "FLOW"},
		"packets of a flow at two other upstreams while an uninvolved host is down": {func(s *scenario) {
			third := newTestUpstream(3, sheetsService)
			s.upstreams = append(s.upstreams, third)
			s.addDisruption("host "+hostB.String(), 9, 12, false)
			f := s.openFlow(10, hostA, feedRoute, s.feed, 0)
			s.stray(f, s.orders, 10.1, 10.7)
			s.stray(f, third, 10.3)
		}, "FLOW"},
		"packets of a flow at another upstream, sent by a host that was paused": {func(s *scenario) {
			s.addDisruption("host "+hostA.String(), 9, 12, false)
			s.stray(s.openFlow(10, hostA, feedRoute, s.feed, 0), s.orders, 10.1, 10.3, 10.7)
		}, ""},
		"packets of a flow at another upstream and at its own": {func(s *scenario) {
			s.addDisruption("host "+hostB.String(), 9, 12, false)
			f := s.openFlow(10, hostA, feedRoute, s.feed, 0)
			s.stray(f, s.orders, 10.1, 10.3, 10.7)
			s.feed.observed.arrivals[f.trace.Local] = []time.Time{second(10.5)}
		}, ""},
		"packets of a flow at another upstream, lost on the caller's link before": {func(s *scenario) {
			s.addDisruption("caller 1", 9, 12, false)
			s.stray(s.openFlow(10, hostA, feedRoute, s.feed, 0), s.orders, 10.1, 10.3, 10.7)
		}, "FLOW"},
		"packets of a flow that was never open at its upstream": {func(s *scenario) {
			s.addDisruption("caller 1", 9, 12, false)
			s.stray(s.openFlow(10, hostA, feedRoute, s.feed, 0), s.orders, 10.1, 10.3, 10.7)
			s.feed.observed.openings[0].Acknowledged = time.Time{}
		}, ""},
		"a reset for silence while host and store are disrupted": {func(s *scenario) {
			s.addDisruption("host "+hostB.String(), 10, 12, false)
			s.addDisruption("store", 10, 12, false)
			s.resetForSilence(s.openFlow(10, hostA, feedRoute, s.feed, 0), 11)
		}, "FLOW"},
		"a reset for silence of another flow while the store is disrupted": {func(s *scenario) {
			s.addDisruption("store", 10, 12, false)
			s.openFlow(10, hostA, feedRoute, s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(11), From: hostB, ByHost: true}
			s.resetForSilence(s.openFlow(20, hostA, feedRoute, s.feed, 0), 21)
		}, "FLOW"},
		"a reset for silence of an upstream that is slow and has lossy callers": {func(s *scenario) {
			s.addDisruption("work of "+s.feed.slot, 10, 12, false)
			s.addDisruption("caller 127.0.180.1", 10, 12, false)
			s.resetForSilence(s.openFlow(10, hostA, feedRoute, s.feed, 0), 11)
		}, "FLOW"},
		"a reset for silence of an upstream that is cut off": {func(s *scenario) {
			s.addDisruption(s.feed.slot, 10, 12, false)
			s.resetForSilence(s.openFlow(10, hostA, feedRoute, s.feed, 0), 11)
		}, ""},
		"a reset for silence of an upstream that has ended": {func(s *scenario) {
			s.feed.ended = second(10.5)
			s.resetForSilence(s.openFlow(10, hostA, feedRoute, s.feed, 0), 11)
		}, ""},
		"a reset by another upstream": {func(s *scenario) {
			s.openFlow(10, hostA, feedRoute, s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(11), From: s.orders.observed.addr}
		}, "FLOW"},
		"a reset by the flow's own upstream": {func(s *scenario) {
			s.openFlow(10, hostA, feedRoute, s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(11), From: s.feed.observed.addr}
		}, ""},
		"a reset of a flow on a route that was just added": {func(s *scenario) {
			s.openFlow(20.5, hostA, probeRoute(1), s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(21), From: hostB, ByHost: true}
		}, "FLOW"},
		"a reset of a flow on a route that was dropped": {func(s *scenario) {
			s.openFlow(39, hostA, probeRoute(0), s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(40.1), From: hostB, ByHost: true}
		}, ""},
		"a reset of a flow of an earlier start of the upstream": {func(s *scenario) {
			s.feed.ended = second(10.5)
			again := newTestUpstream(2, feedService)
			again.slot = "slot again"
			s.upstreams = append(s.upstreams, again)
			s.openFlow(10, hostA, feedRoute, s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(11), From: hostB, ByHost: true}
		}, ""},
		"a reset while the caller's link loses datagrams": {func(s *scenario) {
			s.addDisruption("caller 1", 9, 12, false)
			s.openFlow(10, hostA, feedRoute, s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(11), From: hostB, ByHost: true}
		}, "FLOW"},
		"not served without a disruption": {func(s *scenario) { s.makeRequest("r-1", 10, false, false) }, "SERVED"},
		"not served after a kill": {func(s *scenario) {
			s.addDisruption("host "+hostA.String(), 5, 7, false)
			s.makeRequest("r-1", 10, false, false)
		}, ""},
		"an opening packet in an evacuated zone": {func(s *scenario) {
			s.evacuate(10, 0)
			s.openFlow(15.1, hostA, ordersRoute, s.orders, 0)
		}, "EVAC"},
		"a copy of an opening packet in an evacuated zone": {func(s *scenario) {
			s.evacuate(10, 20)
			f := s.openFlow(14.8, hostA, ordersRoute, s.feed, 0)
			f.trace.SYNs = append(f.trace.SYNs, dsrworld.SYN{At: second(15), Host: hostB})
			s.orders.observed.opening = append(s.orders.observed.opening, dsrworld.SYNArrival{At: second(15.1), Caller: f.trace.Local, Retransmits: 1})
		}, "EVAC"},
		"an opening packet within the bound of an evacuation, and after its end": {func(s *scenario) {
			s.evacuate(10, 17)
			s.openFlow(14.9, hostA, ordersRoute, s.orders, 0)
			s.openFlow(17.1, hostA, ordersRoute, s.orders, 0)
		}, ""},
		"an opening packet in another zone": {func(s *scenario) {
			s.evacuate(10, 0)
			s.openFlow(16, hostA, feedRoute, s.feed, 0)
		}, ""},
		"an opening packet in an evacuated zone through a host that was cut off 4.5 s before": {func(s *scenario) {
			s.evacuate(10, 0)
			s.addDisruption("host "+hostA.String(), 9, 15.5, false)
			s.openFlow(20, hostA, ordersRoute, s.orders, 0)
		}, ""},
		"an opening packet in an evacuated zone through a host that was cut off 5.5 s before": {func(s *scenario) {
			s.evacuate(10, 0)
			s.addDisruption("host "+hostA.String(), 9, 14.5, false)
			s.openFlow(20, hostA, ordersRoute, s.orders, 0)
		}, "EVAC"},
		"an opening packet in an evacuated zone that was held back": {func(s *scenario) {
			s.evacuate(10, 0)
			s.addDisruption("link of "+s.orders.slot, 14, 16, false)
			s.openFlow(16, hostA, ordersRoute, s.orders, 0)
		}, ""},
		"as many opening packets to a cold upstream as are allowed": {func(s *scenario) {
			s.start(s.orders, 10)
			s.openFlows(5, 10.1, 0.01, hostA, s.orders)
			s.openFlows(5, 11.2, 0.01, hostB, s.orders)
		}, ""},
		"more opening packets of all hosts to a cold upstream": {func(s *scenario) {
			s.start(s.orders, 10)
			s.addDisruption("host "+hostB.String(), 9, 12, false)
			s.openFlows(3, 11.5, 0.01, hostA, s.orders)
			s.openFlows(3, 11.8, 0.01, hostB, s.orders)
		}, "FAILBACK"},
		"more opening packets to an upstream that is warm": {func(s *scenario) {
			s.start(s.orders, 10)
			s.openFlows(9, 12.1, 0.01, hostA, s.orders)
		}, ""},
		"more opening packets after the return of a zone": {func(s *scenario) {
			s.coldPerS = 0
			s.evacuate(5, 20)
			s.openFlows(6, 20.5, 0.1, hostA, s.orders)
		}, "FAILBACK"},
		"more opening packets after the return of a zone through a host that missed the evacuation": {func(s *scenario) {
			s.coldPerS = 0
			s.evacuate(5, 20)
			s.addDisruption("host "+hostA.String(), 4, 19, false)
			s.openFlows(6, 20.5, 0.1, hostA, s.orders)
		}, ""},
		"more opening packets at once, of which the service declares a rate": {func(s *scenario) {
			s.start(s.orders, 10)
			s.coldPerS = 10
			s.openFlows(20, 10.1, 0.01, hostA, s.orders)
		}, ""},
		"not served while capacity is short": {func(s *scenario) {
			s.shortages = append(s.shortages, &shortage{from: second(5), to: second(7)})
			s.makeRequest("r-1", 10, false, false)
		}, ""},
		"not served after a shortage": {func(s *scenario) {
			s.shortages = append(s.shortages, &shortage{from: second(3), to: second(5)})
			s.makeRequest("r-1", 10, false, false)
		}, "SERVED"},
		"data of another request": {func(s *scenario) { s.openFlow(10, hostA, ordersRoute, s.orders, 0).mixed = true }, "MIXED"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario()
			c.build(s)
			failures := s.verify(applyStrict).Failures
			if c.want == "" {
				require.Empty(t, failures)
				return
			}
			require.Contains(t, strings.Join(failures, "\n"), c.want+": ")
		})
	}
}
