package hostcore

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/placement"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

const (
	testAccount  ids.AccountID  = 1
	testService  ids.ServiceID  = 11
	testUpstream ids.UpstreamID = 101
	testZone                    = "alajuela-a"
)

var (
	callerAddress = netip.MustParseAddrPort("127.0.0.1:7000")
	fromCaller    = wire.Envelope{Origin: wire.OriginFabric, Source: callerAddress}
)

func upstreamAddress(id ids.UpstreamID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(id - testUpstream)}), 9000)
}

func testSelf(name string) ids.Instance {
	return ids.Instance{Host: ids.HostIDOf(name), Incarnation: 1}
}

func testSnapshot(upstreams, slots int) *config.Snapshot {
	s := config.Service{ID: testService, Name: "pedidos", MaxBody: 1 << 20, QueueLimit: 10, RetryPercent: 100}
	for i := range upstreams {
		id := testUpstream + ids.UpstreamID(i)
		s.Upstreams = append(s.Upstreams, config.Upstream{
			ID: id, Zone: testZone, Address: upstreamAddress(id), Slots: slots, Connections: 1 << 20,
		})
	}
	return &config.Snapshot{
		Keys:     []flowid.Key{{ID: 1, Secret: [flowid.KeySize]byte{1}}},
		Accounts: []config.Account{{ID: testAccount, Name: "cubierta-verde", Services: []config.Service{s}}},
	}
}

func testView(names ...string) *member.View {
	v := &member.View{}
	for i, name := range names {
		v.Members = append(v.Members, member.Member{
			Instance: testSelf(name), Name: name, Zone: testZone,
			Data: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i)}), 8000),
		})
	}
	return v
}

// harness drives the core of the only host of a fleet.
type harness struct {
	t    *testing.T
	now  time.Duration
	core *Core
	out  Effects
	keys *flowid.Keys
	// id is the identifier of the flow that was opened last.
	id []byte
}

func newHarness(t *testing.T, upstreams, slots int) *harness {
	h := &harness{t: t, core: New(Settings{Self: testSelf("h1"), Name: "h1", Zone: testZone})}
	h.setSnapshot(testSnapshot(upstreams, slots))
	for i := range upstreams {
		report := placement.Report{Upstream: testUpstream + ids.UpstreamID(i), Healthy: true, Incarnation: 7}
		h.core.HandleReport(h.now, testService, report, &h.out)
	}
	return h
}

func (h *harness) setSnapshot(snap *config.Snapshot) {
	t := table.Build(h.core.self, snap, testView("h1"))
	h.keys = t.Keys
	h.core.SetTable(h.now, t, &h.out)
}

// packet passes a datagram to the core and returns the datagrams that it sends.
func (h *harness) packet(env wire.Envelope, p wire.Packet) []Send {
	require.Equal(h.t, wire.StatusOK, wire.Check(p))
	h.out.Reset()
	h.core.HandlePacket(h.now, env, p, &h.out)
	return h.out.Sends
}

func (h *harness) tick(d time.Duration) []Send {
	h.now += d
	h.out.Reset()
	h.core.Tick(h.now, &h.out)
	return h.out.Sends
}

func (h *harness) open(nonce ids.Nonce) wire.Packet {
	p := wire.New(wire.KindOpen, 0)
	flowid.PutUnsealed(p.Flow(), &flowid.Flow{Account: testAccount, Service: testService, Nonce: nonce})
	sends := h.packet(fromCaller, p)
	require.Len(h.t, sends, 1)
	h.id = sends[0].Packet.Flow()
	return sends[0].Packet
}

// part builds one part of a request on the flow, whole a request of a single part.
func (h *harness) part(id ids.RequestID, offset, total uint32, payload string) wire.Packet {
	p := wire.New(wire.KindRequest, len(payload))
	copy(p.Flow(), h.id)
	copy(p.Payload(), payload)
	p.SetRequest(id)
	p.SetOffset(offset)
	p.SetTotal(total)
	p.SetDeadlineMillis(2000)
	return p
}

func (h *harness) whole(id ids.RequestID, payload string) wire.Packet {
	return h.part(id, 0, uint32(len(payload)), payload)
}

// fromUpstream builds an upstream's reply to a forward.
func fromUpstream(kind wire.Kind, forward wire.Packet) (wire.Envelope, wire.Packet) {
	p := wire.New(kind, 0)
	copy(p.Flow(), forward.Flow())
	p.SetRequest(forward.Request())
	p.SetPlacedUpstream(forward.PlacedUpstream())
	p.SetUpstreamIncarnation(forward.UpstreamIncarnation())
	return wire.Envelope{Origin: wire.OriginFabric, Source: upstreamAddress(forward.PlacedUpstream())}, p
}

func kinds(sends []Send) []wire.Kind {
	var all []wire.Kind
	for _, s := range sends {
		all = append(all, s.Packet.Kind())
	}
	return all
}

func requireRefused(t *testing.T, s Send, v verdict.Verdict, r verdict.Reason) {
	t.Helper()
	require.Equal(t, wire.KindRefused, s.Packet.Kind())
	require.Equal(t, v.String()+", "+r.String(), s.Packet.Verdict().String()+", "+s.Packet.Reason().String())
}

func TestRequestIsForwardedOnceAndDoneFreesTheSlot(t *testing.T) {
	h := newHarness(t, 1, 1)
	opened := h.open(5)
	require.Equal(t, wire.KindOpened, opened.Kind())
	sends := h.packet(fromCaller, h.whole(1, "ten covers"))
	require.Equal(t, []wire.Kind{wire.KindAccepted, wire.KindForward}, kinds(sends))
	forward := sends[1].Packet
	require.Equal(t, "ten covers", string(forward.Payload()))
	require.Equal(t, upstreamAddress(testUpstream), sends[1].To)
	caller, status := h.keys.OpenRoute(forward.Route(), forward.Flow())
	require.Equal(t, flowid.StatusOK, status)
	require.Equal(t, callerAddress, caller)

	require.Equal(t, []wire.Kind{wire.KindAccepted}, kinds(h.packet(fromCaller, h.whole(1, "ten covers"))))
	h.packet(fromUpstream(wire.KindDone, forward))
	sends = h.packet(fromCaller, h.whole(1, "ten covers"))
	requireRefused(t, sends[0], verdict.Ran, verdict.ReasonNone)
	require.Equal(t, []wire.Kind{wire.KindAccepted, wire.KindForward}, kinds(h.packet(fromCaller, h.whole(2, "one cover"))))
}

// An upstream that ran a request and then restarted sheds a retransmission of it,
// so that shed must not give the verdict not run. The new incarnation may be lower
// if the upstream's clock was set back.
func TestShedFromAnotherIncarnationMayHaveRun(t *testing.T) {
	for _, incarnation := range []uint64{6, 8} {
		h := newHarness(t, 1, 1)
		h.open(5)
		sends := h.packet(fromCaller, h.whole(1, "ten covers"))
		env, shed := fromUpstream(wire.KindShed, sends[1].Packet)
		shed.SetUpstreamIncarnation(incarnation)
		shed.SetVerdict(verdict.NotRun, verdict.ReasonUpstreamLost)
		requireRefused(t, h.packet(env, shed)[0], verdict.MayHaveRun, verdict.ReasonUpstreamLost)
	}
}

func TestLostDoneFreesTheSlotAtTheDeadline(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.open(5)
	h.packet(fromCaller, h.whole(1, "ten covers"))
	require.NotEmpty(t, h.tick(initialResendInterval))
	require.Contains(t, kinds(h.tick(2*time.Second)), wire.KindForwardCancel)
	sends := h.tick(cancelTimeout)
	requireRefused(t, sends[0], verdict.MayHaveRun, verdict.ReasonDeadline)
	require.Equal(t, []wire.Kind{wire.KindAccepted, wire.KindForward}, kinds(h.packet(fromCaller, h.whole(2, "one cover"))))
}
