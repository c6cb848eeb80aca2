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

// story is a record that is written by hand. Orders are on upstream 1, feeds and probes on upstream 2.
type story struct {
	*record
	orders, feed *upstreamLife
	port         uint16
}

// newStory has versions at 0, 20 and 40 s; the last one moves the orders. Both hosts run all the time.
func newStory() *story {
	s := &story{record: newRecord(), orders: testLife(1, ordersService), feed: testLife(2, feedService)}
	s.upstreams = []*upstreamLife{s.orders, s.feed}
	for n, at := range []float64{0, 20, 40} {
		c := configuration{version: n + 1, sent: second(at), acknowledged: second(at + 0.01), services: map[netip.AddrPort]string{
			ordersRoute: ordersService, feedRoute: feedService, probeRoute(n): feedService,
		}}
		if n > 0 {
			c.services[probeRoute(n-1)] = feedService
		}
		if n == 2 {
			c.services[ordersRoute] = movedService
		}
		s.configurations = append(s.configurations, c)
	}
	for _, h := range []netip.AddrPort{hostA, hostB} {
		s.boots = append(s.boots, boot{host: h, from: second(-10)})
	}
	return s
}

func testLife(id uint64, service string) *upstreamLife {
	return &upstreamLife{service: service, slot: "slot " + service, seen: upstreamSeen{name: service, id: id, runs: make(map[string]int)}}
}

// open notes a flow that a host gave to an upstream; probe is the number of the probe's version and one.
func (s *story) open(at float64, host netip.AddrPort, service netip.AddrPort, to *upstreamLife, probe int) *flow {
	s.port++
	self := netip.AddrPortFrom(netip.MustParseAddr("127.0.180.1"), s.port)
	s.flows = append(s.flows, flow{service: service, probe: probe, ended: second(at + 1), trace: dsrworld.Trace{
		Local: self, SYNs: []dsrworld.SYN{{At: second(at), Host: host}}, Opened: true, Upstream: uint32(to.seen.id),
	}})
	to.seen.openings = append(to.seen.openings, dsrworld.Opening{At: second(at + 0.01), Caller: self, Service: service})
	return &s.flows[len(s.flows)-1]
}

// refuse notes a flow that a host reset before it was open.
func (s *story) refuse(at float64, host netip.AddrPort, service netip.AddrPort, probe int) {
	s.port++
	s.flows = append(s.flows, flow{service: service, probe: probe, ended: second(at + 1), trace: dsrworld.Trace{
		Local:   netip.AddrPortFrom(netip.MustParseAddr("127.0.180.1"), s.port),
		SYNs: []dsrworld.SYN{{At: second(at), Host: host}},
		Reset:  &dsrworld.Reset{At: second(at + 0.01), From: host, ByHost: true},
	}})
}

func (s *story) ask(id string, at float64, idempotent, served bool, ran ...*upstreamLife) {
	s.requests = append(s.requests, request{id: id, service: ordersRoute, idempotent: idempotent, began: second(at), ended: second(at + 0.1), served: served})
	for _, u := range ran {
		u.seen.runs[id+" t0"]++
	}
}

func (s *story) disrupted(what string, from, to float64, planned bool) {
	s.spans[what] = append(s.spans[what], &span{from: second(from), to: second(to), planned: planned})
}

func TestJudgeFindsBrokenPromises(t *testing.T) {
	for name, c := range map[string]struct {
		tell func(s *story)
		want string
	}{
		"all is well": {func(s *story) {
			s.open(10, hostA, ordersRoute, s.orders, 0)
			s.ask("r-1", 10, false, true, s.orders)
			s.open(25, hostA, probeRoute(1), s.feed, 2)
			s.refuse(50, hostA, probeRoute(0), 1)
		}, ""},
		"a request runs twice": {func(s *story) {
			s.ask("r-1", 10, false, true, s.orders, s.orders)
		}, "UNASKED"},
		"an idempotent request may run twice": {func(s *story) {
			s.requests = append(s.requests, request{id: "r-1", service: ordersRoute, idempotent: true, began: second(1), ended: second(2), served: true})
			s.orders.seen.runs["r-1 t0"], s.orders.seen.runs["r-1 t1"] = 1, 1
		}, ""},
		"a request that nobody asked": {func(s *story) { s.orders.seen.runs["r-9 t0"] = 1 }, "UNASKED"},
		"an answer without a run":     {func(s *story) { s.ask("r-1", 10, false, true) }, "MIXED"},
		"a run by another service":    {func(s *story) { s.ask("r-1", 10, false, true, s.feed) }, "ROUTE"},
		"a flow to another service":   {func(s *story) { s.open(10, hostA, ordersRoute, s.feed, 0) }, "ROUTE"},
		"a changed packet":            {func(s *story) { s.orders.seen.broken = 1 }, "UNASKED"},
		"an old version late":         {func(s *story) { s.open(44, hostA, ordersRoute, s.orders, 0) }, "CONFIG"},
		"an old version in time":      {func(s *story) { s.open(42, hostA, ordersRoute, s.orders, 0) }, ""},
		"an old version, host paused": {func(s *story) {
			s.disrupted("host "+hostA.String(), 38, 43.5, false)
			s.open(44, hostA, ordersRoute, s.orders, 0)
		}, ""},
		"an old version, store down": {func(s *story) {
			s.disrupted("store", 38, 41, false)
			s.open(44, hostA, ordersRoute, s.orders, 0)
		}, ""},
		"a refusal though the route is there": {func(s *story) { s.refuse(30, hostB, probeRoute(1), 2) }, "CONFIG"},
		"a refusal before the route is due":   {func(s *story) { s.refuse(21, hostB, probeRoute(1), 2) }, ""},
		"a host goes back": {func(s *story) {
			s.open(20.2, hostA, probeRoute(1), s.feed, 2)
			s.refuse(21, hostA, probeRoute(1), 2)
		}, "CONFIG"},
		"another host is behind": {func(s *story) {
			s.open(20.2, hostA, probeRoute(1), s.feed, 2)
			s.refuse(21, hostB, probeRoute(1), 2)
		}, ""},
		"new work after a drain": {func(s *story) {
			s.orders.left = second(10)
			s.open(13.5, hostA, ordersRoute, s.orders, 0)
		}, "DRAIN"},
		"new work soon after a drain": {func(s *story) {
			s.orders.left = second(10)
			s.open(12.5, hostA, ordersRoute, s.orders, 0)
		}, ""},
		"a reset of a flow that lives": {func(s *story) {
			s.open(10, hostA, feedRoute, s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(11), From: hostB, ByHost: true}
		}, "FLOW"},
		"a reset during a planned stop": {func(s *story) {
			s.disrupted("host "+hostB.String(), 10, 12, true)
			s.open(10, hostA, feedRoute, s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(11), From: hostB, ByHost: true}
		}, "FLOW"},
		"a reset while the upstream is cut off": {func(s *story) {
			s.disrupted(s.feed.slot, 9, 12, false)
			s.open(10, hostA, feedRoute, s.feed, 0).trace.Reset = &dsrworld.Reset{At: second(11), From: hostB, ByHost: true}
		}, ""},
		"packets of a flow at another upstream": {func(s *story) {
			f := s.open(10, hostA, feedRoute, s.feed, 0)
			for _, at := range []float64{10.1, 10.3, 10.7} {
				s.orders.seen.strays = append(s.orders.seen.strays, dsrworld.Stray{At: second(at), Caller: f.trace.Local})
			}
		}, "FLOW"},
		"not served in calm": {func(s *story) { s.ask("r-1", 10, false, false) }, "SERVED"},
		"not served after a kill": {func(s *story) {
			s.disrupted("host "+hostA.String(), 5, 7, false)
			s.ask("r-1", 10, false, false)
		}, ""},
		"bytes of another flow": {func(s *story) { s.open(10, hostA, ordersRoute, s.orders, 0).mixed = true }, "MIXED"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStory()
			c.tell(s)
			failures := s.judge(applyStrict).Failures
			if c.want == "" {
				require.Empty(t, failures)
				return
			}
			require.Contains(t, strings.Join(failures, "\n"), c.want+": ")
		})
	}
}
