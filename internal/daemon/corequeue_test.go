package daemon

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

const bulkService = testService + 1

// priorityTable returns a table with an urgent and a bulk service, both placed by
// this host.
func priorityTable() *table.Table {
	service := func(id ids.ServiceID, p config.Priority) config.Service {
		upstream := config.Upstream{ID: ids.UpstreamID(10 * id), Zone: "a", Slots: 2}
		return config.Service{ID: id, Priority: p, Upstreams: []config.Upstream{upstream}}
	}
	snap := &config.Snapshot{Keys: hopKeys(), Accounts: []config.Account{{ID: testAccount, Services: []config.Service{
		service(testService, config.PriorityUrgent),
		service(bulkService, config.PriorityBulk),
	}}}}
	self := ids.Instance{Host: 1, Incarnation: 1}
	return table.Build(self, snap, &member.View{Members: []member.Member{{Instance: self, Zone: "a"}}})
}

func requestDatagram(t *testing.T, service ids.ServiceID) []byte {
	d := hopDatagram(t)
	flow := hopFlow()
	flow.Service = service
	p := wire.Packet(d[wire.EnvelopeSize:])
	p.SetKind(wire.KindRequest)
	require.True(t, flowid.NewKeys(hopKeys()).Seal(p.Flow(), &flow))
	return d
}

// A flood of bulk requests that the core cannot keep up with must neither displace
// nor delay urgent requests.
func TestBulkFloodDoesNotDisplaceUrgentRequests(t *testing.T) {
	r := testPath(t, 4)
	r.table.Store(priorityTable())
	fabricAddr := netip.AddrPortFrom(loopback, 7300)
	for range 100 {
		r.feed(requestDatagram(t, bulkService), fabricAddr)
	}
	require.EqualValues(t, 96, r.counts.coreOverflow)
	for range 3 {
		r.feed(requestDatagram(t, testService), fabricAddr)
	}
	require.EqualValues(t, 96, r.counts.coreOverflow, "urgent requests have a ring of their own")
	for range 3 {
		require.Equal(t, config.PriorityUrgent, r.core.take().priority)
	}
	require.Equal(t, config.PriorityBulk, r.core.take().priority)
}

// A report that a request was shed frees a slot. If reports were queued in the class
// of their service, a flood of bulk requests would cause them to be dropped, and the
// slots would stay occupied.
func TestUpstreamReportsAreUrgent(t *testing.T) {
	p := wire.New(wire.KindShed, 0)
	flow := hopFlow()
	flow.Service = bulkService
	require.True(t, flowid.NewKeys(hopKeys()).Seal(p.Flow(), &flow))
	require.Equal(t, config.PriorityUrgent, priorityOf(priorityTable(), p))
	p.SetKind(wire.KindRequest)
	require.Equal(t, config.PriorityBulk, priorityOf(priorityTable(), p))
}
