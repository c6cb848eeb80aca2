package forward

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
	"mimosashore.example/mimosashore/internal/table"
	"mimosashore.example/mimosashore/internal/wire"
)

var (
	self   = ids.Instance{Host: 1, Incarnation: 10}
	other  = ids.Instance{Host: 2, Incarnation: 20}
	dead   = ids.Instance{Host: 3, Incarnation: 30}
	caller = netip.MustParseAddrPort("127.0.0.9:5000")

	selfData     = netip.MustParseAddrPort("127.0.1.1:7400")
	otherData    = netip.MustParseAddrPort("127.0.1.2:7400")
	activeAddr   = netip.MustParseAddrPort("127.0.11.1:9000")
	drainingAddr = netip.MustParseAddrPort("127.0.11.2:9000")
	siblingAddr  = netip.MustParseAddrPort("127.0.11.3:9000")
	foreignAddr  = netip.MustParseAddrPort("127.0.11.4:9000")
)

const (
	account, service               = 1, 10
	active, draining               = 100, 101
	siblingService, sibling        = 11, 110
	foreignAccount, foreignService = 2, 20
	foreign                        = 200
)

func upstream(id ids.UpstreamID, zone string, address netip.AddrPort) config.Upstream {
	return config.Upstream{ID: id, Zone: zone, Address: address, Slots: 2}
}

func testTable(keys ...uint8) *table.Table {
	drain := upstream(draining, "a", drainingAddr)
	drain.State = config.UpstreamDraining
	snap := &config.Snapshot{Accounts: []config.Account{
		{ID: account, Services: []config.Service{
			{ID: service, Upstreams: []config.Upstream{upstream(active, "a", activeAddr), drain}},
			{ID: siblingService, Upstreams: []config.Upstream{upstream(sibling, "b", siblingAddr)}},
		}},
		{ID: foreignAccount, Services: []config.Service{
			{ID: foreignService, Upstreams: []config.Upstream{upstream(foreign, "a", foreignAddr)}},
		}},
	}}
	for _, id := range keys {
		snap.Keys = append(snap.Keys, flowid.Key{ID: id, Secret: [flowid.KeySize]byte{id}})
	}
	view := &member.View{Members: []member.Member{
		{Instance: self, Zone: "a", Data: selfData},
		{Instance: other, Zone: "b", Data: otherData},
		{Instance: dead, Zone: "c", State: member.StateDead},
	}}
	return table.Build(self, snap, view)
}

func ownFlow() flowid.Flow {
	return flowid.Flow{Account: account, Service: service, Upstream: active, Owner: self, Nonce: 7}
}

// sealed returns a datagram of the flow with a valid return route.
func sealed(t testing.TB, kind wire.Kind, flow flowid.Flow) wire.Packet {
	keys := testTable(1).Keys
	p := wire.New(kind, 0)
	require.True(t, keys.Seal(p.Flow(), &flow))
	require.True(t, keys.SealRoute(p.Route(), p.Flow(), caller))
	return p
}

func fromFabric(source netip.AddrPort) wire.Envelope {
	return wire.Envelope{Origin: wire.OriginFabric, Source: source}
}

func fromHost(source netip.AddrPort) wire.Envelope {
	return wire.Envelope{Origin: wire.OriginRelay, Relays: 1, Source: source}
}

// ownFlowWith returns ownFlow with a change.
func ownFlowWith(change func(f *flowid.Flow)) flowid.Flow {
	f := ownFlow()
	change(&f)
	return f
}

func ownedBy(owner ids.Instance) flowid.Flow {
	return ownFlowWith(func(f *flowid.Flow) { f.Owner = owner })
}

func onUpstream(id ids.UpstreamID) flowid.Flow {
	return ownFlowWith(func(f *flowid.Flow) { f.Upstream = id })
}

func TestRoute(t *testing.T) {
	siblingFlow := flowid.Flow{Account: account, Service: siblingService, Upstream: sibling, Owner: other, Nonce: 7}
	foreignAccountFlow := ownFlowWith(func(f *flowid.Flow) { f.Account = foreignAccount })
	earlierOther := ids.Instance{Host: other.Host, Incarnation: other.Incarnation - 1}
	earlierSelf := ids.Instance{Host: self.Host, Incarnation: self.Incarnation - 1}
	unknownHost := ids.Instance{Host: 99, Incarnation: 1}
	core := Decision{Action: ActionCore}
	toOther := Decision{Action: ActionRelay, To: otherData}
	toActive := Decision{Action: ActionSend, To: activeAddr}
	toCaller := Decision{Action: ActionSend, To: caller}
	fromCaller := fromFabric(caller)
	fromActive := fromFabric(activeAddr)

	for _, test := range []struct {
		name string
		kind wire.Kind
		flow flowid.Flow
		env  wire.Envelope
		want Decision
	}{
		{"open at the home", wire.KindOpen, ownFlow(), fromCaller, core},
		{"open with another home", wire.KindOpen, siblingFlow, fromCaller, toOther},
		{"open of an unknown service", wire.KindOpen, ownFlowWith(func(f *flowid.Flow) { f.Service = 99 }), fromCaller, core},
		{"open under another account", wire.KindOpen, ownFlowWith(func(f *flowid.Flow) { f.Service = siblingService; f.Account = foreignAccount }), fromCaller, core},
		{"renew at the home", wire.KindRenew, ownedBy(dead), fromCaller, core},
		{"renew with another home", wire.KindRenew, siblingFlow, fromCaller, toOther},

		{"request at the owner", wire.KindRequest, ownFlow(), fromCaller, core},
		{"request for another owner", wire.KindRequest, ownedBy(other), fromCaller, toOther},
		{"request for a dead owner", wire.KindRequest, ownedBy(dead), fromCaller, core},
		{"request for a restarted owner", wire.KindRequest, ownedBy(earlierOther), fromCaller, core},
		{"request for an unknown owner", wire.KindRequest, ownedBy(unknownHost), fromCaller, core},
		{"cancel for another owner", wire.KindCancel, ownedBy(other), fromCaller, toOther},

		{"stream", wire.KindStream, ownedBy(dead), fromCaller, toActive},
		{"relayed stream", wire.KindStream, ownFlow(), fromHost(caller), toActive},
		{"ack of pushes", wire.KindAck, ownFlow(), fromCaller, toActive},
		{"stream to an unknown upstream", wire.KindStream, onUpstream(999), fromCaller, drop(ReasonUnknownUpstream)},
		{"stream to another service", wire.KindStream, onUpstream(sibling), fromCaller, drop(ReasonForeignUpstream)},
		{"stream to another account", wire.KindStream, onUpstream(foreign), fromCaller, drop(ReasonForeignUpstream)},
		{"stream under another account", wire.KindStream, foreignAccountFlow, fromCaller, drop(ReasonForeignUpstream)},
		{"close at the owner", wire.KindClose, ownFlow(), fromCaller, Decision{Action: ActionSend, To: activeAddr, NotifyCore: true}},
		{"close for another owner", wire.KindClose, ownedBy(other), fromCaller, Decision{Action: ActionSend, To: activeAddr, NotifyOwner: otherData}},
		{"close for a dead owner", wire.KindClose, ownedBy(dead), fromCaller, toActive},
		{"close relayed to the owner", wire.KindClose, ownFlow(), fromHost(caller), core},

		{"push", wire.KindPush, ownFlow(), fromActive, toCaller},
		{"flow lost", wire.KindFlowLost, ownFlow(), fromActive, toCaller},
		{"part of an answer", wire.KindAnswer, ownFlow(), fromActive, toCaller},
		{"push from an unknown sender", wire.KindPush, ownFlow(), fromFabric(caller), drop(ReasonUnknownUpstream)},
		{"push from another service", wire.KindPush, ownFlow(), fromFabric(siblingAddr), drop(ReasonForeignUpstream)},
		{"push from another account", wire.KindPush, ownFlow(), fromFabric(foreignAddr), drop(ReasonForeignUpstream)},
		{"shed at the owner", wire.KindShed, ownFlow(), fromActive, core},
		{"shed for another owner", wire.KindShed, ownedBy(other), fromActive, toOther},
		{"shed for a restarted owner", wire.KindShed, ownedBy(earlierOther), fromActive, toOther},
		{"shed for an earlier incarnation of this host", wire.KindShed, ownedBy(earlierSelf), fromActive, core},
		{"shed for a dead owner", wire.KindShed, ownedBy(dead), fromActive, drop(ReasonOwnerGone)},
		{"shed from another service", wire.KindShed, ownFlow(), fromFabric(siblingAddr), drop(ReasonForeignUpstream)},
		{"received for another owner", wire.KindReceived, ownedBy(other), fromHost(activeAddr), toOther},

		{"done from a host", wire.KindDone, ownFlow(), fromHost(activeAddr), core},
		{"done from the fabric", wire.KindDone, ownFlow(), fromFabric(activeAddr), drop(ReasonWrongDirection)},
		{"done for an earlier incarnation of this host", wire.KindDone, ownedBy(earlierSelf), fromHost(activeAddr), core},
		{"done for another owner", wire.KindDone, ownedBy(other), fromHost(activeAddr), drop(ReasonOwnerGone)},
		{"opened", wire.KindOpened, ownFlow(), fromCaller, drop(ReasonWrongDirection)},
		{"refused", wire.KindRefused, ownFlow(), fromCaller, drop(ReasonWrongDirection)},
		{"accepted", wire.KindAccepted, ownFlow(), fromCaller, drop(ReasonWrongDirection)},
		{"forward", wire.KindForward, ownFlow(), fromCaller, drop(ReasonWrongDirection)},
		{"forward-cancel", wire.KindForwardCancel, ownFlow(), fromCaller, drop(ReasonWrongDirection)},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, Route(testTable(1), test.env, sealed(t, test.kind, test.flow)))
		})
	}
}

// sealedKinds lists the kinds whose flow identifier is verified.
var sealedKinds = []wire.Kind{
	wire.KindRenew, wire.KindRequest, wire.KindCancel, wire.KindClose, wire.KindStream, wire.KindAck,
	wire.KindAnswer, wire.KindPush, wire.KindFlowLost, wire.KindShed, wire.KindReceived, wire.KindDone,
}

func TestForgedAndStaleIdentifiersAreDropped(t *testing.T) {
	for _, kind := range sealedKinds {
		forged := sealed(t, kind, ownFlow())
		forged.Flow()[12] ^= 1
		require.Equal(t, drop(ReasonForged), Route(testTable(1), fromHost(activeAddr), forged), kind)
		stale := sealed(t, kind, ownFlow())
		require.Equal(t, drop(ReasonStaleKey), Route(testTable(2), fromHost(activeAddr), stale), kind)
	}
}

func TestRouteWithoutTableDropsAll(t *testing.T) {
	require.Equal(t, drop(ReasonNoTable), Route(nil, fromFabric(caller), sealed(t, wire.KindOpen, ownFlow())))
}

func TestReturnRouteOfAnotherFlowIsDropped(t *testing.T) {
	p := sealed(t, wire.KindAnswer, ownFlow())
	another := sealed(t, wire.KindAnswer, ownFlowWith(func(f *flowid.Flow) { f.Nonce++ }))
	copy(p.Route(), another.Route())
	require.Equal(t, drop(ReasonForged), Route(testTable(1), fromFabric(activeAddr), p))
}

func TestRelaysAreLimited(t *testing.T) {
	env := fromHost(caller)
	env.Relays = wire.MaxRelays
	require.Equal(t, drop(ReasonTooManyRelays), Route(testTable(1), env, sealed(t, wire.KindRequest, ownedBy(other))))
}

func TestStreamGetsReturnRouteOfCaller(t *testing.T) {
	p := sealed(t, wire.KindStream, ownFlow())
	clear(p.Route())
	Route(testTable(1), fromFabric(caller), p)
	got, status := testTable(1).Keys.OpenRoute(p.Route(), p.Flow())
	require.Equal(t, flowid.StatusOK, status)
	require.Equal(t, caller, got)
	require.EqualValues(t, active, p.PlacedUpstream())
}

func TestAckGoesToThePlacedUpstream(t *testing.T) {
	p := sealed(t, wire.KindAck, ownFlow())
	p.SetPlacedUpstream(draining)
	require.Equal(t, Decision{Action: ActionSend, To: drainingAddr}, Route(testTable(1), fromFabric(caller), p))
	p.SetPlacedUpstream(foreign)
	require.Equal(t, drop(ReasonForeignUpstream), Route(testTable(1), fromFabric(caller), p))
}

func TestLastPartNotifiesTheOwner(t *testing.T) {
	for _, test := range []struct {
		owner ids.Instance
		want  Decision
	}{
		{self, Decision{Action: ActionSend, To: caller, NotifyCore: true}},
		{other, Decision{Action: ActionSend, To: caller, NotifyOwner: otherData}},
		{dead, Decision{Action: ActionSend, To: caller}},
	} {
		p := sealed(t, wire.KindAnswer, ownedBy(test.owner))
		p.SetFlags(wire.FlagLast)
		require.Equal(t, test.want, Route(testTable(1), fromFabric(activeAddr), p))
	}
}

func TestCallerFlags(t *testing.T) {
	for _, test := range []struct {
		name string
		flow flowid.Flow
		keys []uint8
		want wire.Flags
	}{
		{"no change", ownFlow(), []uint8{1}, 0},
		{"upstream is draining", onUpstream(draining), []uint8{1}, wire.FlagMoveFlow},
		{"owner is gone", ownedBy(dead), []uint8{1}, wire.FlagRenew},
		{"owner is no longer the home", ownedBy(other), []uint8{1}, wire.FlagRenew},
		{"key is no longer current", ownFlow(), []uint8{2, 1}, wire.FlagRenew},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := sealed(t, wire.KindPush, test.flow)
			p.SetFlags(wire.FlagMoveFlow | wire.FlagRenew | wire.FlagRetransmit)
			Route(testTable(test.keys...), fromFabric(activeAddr), p)
			require.Equal(t, test.want|wire.FlagRetransmit, p.Flags())
		})
	}
}

func TestRouteDoesNotAllocate(t *testing.T) {
	table := testTable(1)
	for _, p := range []wire.Packet{sealed(t, wire.KindStream, ownFlow()), sealed(t, wire.KindPush, ownFlow())} {
		env := fromFabric(activeAddr)
		require.Zero(t, testing.AllocsPerRun(100, func() { Route(table, env, p) }), p.Kind())
	}
}
