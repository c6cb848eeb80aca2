package table

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/member"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var smallSize = fleetSize{hosts: 12, services: 30, upstreams: 80, zones: 4}

// A table updated through many changes must route like one built from scratch.
func TestNextEqualsBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := smallSize.view().Members[0].Instance
		snap, view := smallSize.snapshot(), smallSize.view()
		updated := Build(self, snap, view)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			snap = changeSnapshot(t, snap)
			view = changeView(t, view)
			updated = Next(updated, self, snap, view)
		}
		requireSameRouting(t, Build(self, snap, view), updated)
	})
}

// changeSnapshot deletes one account or changes one of its upstreams.
func changeSnapshot(t *rapid.T, snap *config.Snapshot) *config.Snapshot {
	next := &config.Snapshot{Accounts: append([]config.Account(nil), snap.Accounts...)}
	at := rapid.IntRange(0, len(next.Accounts)-1).Draw(t, "account")
	if rapid.Bool().Draw(t, "delete") && len(next.Accounts) > 1 {
		next.Accounts = append(next.Accounts[:at], next.Accounts[at+1:]...)
		return next
	}
	a := &next.Accounts[at]
	a.Revision++
	a.Services = append([]config.Service(nil), a.Services...)
	s := &a.Services[rapid.IntRange(0, len(a.Services)-1).Draw(t, "service")]
	s.Upstreams = append([]config.Upstream(nil), s.Upstreams...)
	if len(s.Upstreams) == 0 {
		return next
	}
	u := &s.Upstreams[rapid.IntRange(0, len(s.Upstreams)-1).Draw(t, "upstream")]
	u.Address = address(12, rapid.IntRange(0, 3).Draw(t, "address")*1000+int(u.ID))
	u.State = config.UpstreamState(rapid.IntRange(0, 1).Draw(t, "state"))
	u.Zone = smallSize.zone(rapid.IntRange(0, 3).Draw(t, "zone"))
	return next
}

func changeView(t *rapid.T, view *member.View) *member.View {
	next := &member.View{Members: append([]member.Member(nil), view.Members...)}
	m := &next.Members[rapid.IntRange(0, len(next.Members)-1).Draw(t, "member")]
	m.State = member.State(rapid.IntRange(0, 3).Draw(t, "state"))
	m.Instance.Incarnation += ids.Incarnation(rapid.IntRange(0, 1).Draw(t, "restart"))
	return next
}

func requireSameRouting(t *rapid.T, want, got *Table) {
	require.Equal(t, want.ServiceCount(), got.ServiceCount())
	for id := range ids.ServiceID(smallSize.services + 1) {
		a, b := want.Service(id), got.Service(id)
		require.Equal(t, a == nil, b == nil, "service %d", id)
		if a == nil {
			continue
		}
		require.Equal(t, want.Homes(a), got.Homes(b), "service %d", id)
	}
	for id := range ids.UpstreamID(smallSize.upstreams + 1) {
		a, known := want.Upstream(id)
		b, gotKnown := got.Upstream(id)
		require.Equal(t, known, gotKnown)
		require.Equal(t, a, b)
		at, _ := want.UpstreamAt(a.Address)
		gotAt, _ := got.UpstreamAt(a.Address)
		require.Equal(t, at, gotAt)
	}
	require.Equal(t, fmt.Sprint(idsOf(want.HomedServices())), fmt.Sprint(idsOf(got.HomedServices())))
}

func idsOf(services []*Service) []ids.ServiceID {
	var all []ids.ServiceID
	for _, s := range services {
		all = append(all, s.ServiceID())
	}
	return all
}

func TestAddressMovesToAnotherAccount(t *testing.T) {
	snap, view := smallSize.snapshot(), smallSize.view()
	first := Build(view.Members[0].Instance, snap, view)
	moved := &config.Snapshot{Accounts: append([]config.Account(nil), snap.Accounts...)}
	old, recipient := &moved.Accounts[0], &moved.Accounts[1]
	address := old.Services[0].Upstreams[0].Address
	old.Revision++
	old.Services = old.Services[1:]
	recipient.Revision++
	recipient.Services = append([]config.Service(nil), recipient.Services...)
	recipient.Services[0].Upstreams = []config.Upstream{{ID: 500, Address: address, Zone: smallSize.zone(0), Slots: 1}}
	next := Next(first, first.Self, moved, view)
	id, ok := next.UpstreamAt(address)
	require.True(t, ok)
	require.Equal(t, ids.UpstreamID(500), id)
	before, _ := first.UpstreamAt(address)
	require.Equal(t, ids.UpstreamID(1), before, "the previous table must not change")
}

func TestUnchangedServiceKeepsItsEntry(t *testing.T) {
	snap, view := smallSize.snapshot(), smallSize.view()
	first := Build(view.Members[0].Instance, snap, view)
	next := Next(first, first.Self, snap, view)
	require.Same(t, first.Service(1), next.Service(1))
}

func BenchmarkNextConfig(b *testing.B) {
	snap, view := largestSize.snapshot(), largestSize.view()
	t := Build(view.Members[0].Instance, snap, view)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a := &snap.Accounts[i%len(snap.Accounts)]
		a.Revision++
		changed := &config.Snapshot{Accounts: append([]config.Account(nil), snap.Accounts...)}
		t = Next(t, t.Self, changed, view)
	}
}

func BenchmarkNextView(b *testing.B) {
	snap, view := largestSize.snapshot(), largestSize.view()
	t := Build(view.Members[0].Instance, snap, view)
	t.HomedServices()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		changed := &member.View{Members: append([]member.Member(nil), view.Members...)}
		changed.Members[i%len(view.Members)].Instance.Incarnation += ids.Incarnation(i + 1)
		t = Next(t, t.Self, snap, changed)
		t.HomedServices()
	}
}

func BenchmarkHomeFor(b *testing.B) {
	snap, view := largestSize.snapshot(), largestSize.view()
	t := Build(view.Members[0].Instance, snap, view)
	s := t.Service(1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t.HomeFor(s, ids.Nonce(i))
	}
}
