package change

import (
	"flag"
	"fmt"
	"net/netip"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mimosashore.example/mimosashore/internal/config"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

func account() *config.Account {
	address := netip.MustParseAddrPort("127.0.0.1:7500")
	return &config.Account{Name: "a", RequestRate: 10, Services: []config.Service{
		{Name: "orders", Priority: config.PriorityUrgent, QueueLimit: 5, Upstreams: []config.Upstream{
			{Name: "u1", Zone: "z", Address: address, Slots: 2},
			{Name: "u2", Zone: "z", Address: address, Slots: 2},
		}},
		{Name: "sheets", Priority: config.PriorityBulk},
	}}
}

func TestMergeCombinesDisjointChanges(t *testing.T) {
	base, ours, theirs := account(), account(), account()
	ours.RequestRate = 20
	ours.Services[0].Upstreams[0].State = config.UpstreamDraining
	ours.Services[0].QueueLimit = 6
	theirs.Services[0].Upstreams = theirs.Services[0].Upstreams[:1]
	theirs.Services[0].Priority = config.PriorityNormal
	theirs.Services = theirs.Services[:1]
	merged, conflicts := MergeAccounts(base, ours, theirs)
	require.Empty(t, conflicts)
	want := account()
	want.RequestRate = 20
	want.Services = want.Services[:1]
	s := &want.Services[0]
	s.QueueLimit, s.Priority = 6, config.PriorityNormal
	s.Upstreams = s.Upstreams[:1]
	s.Upstreams[0].State = config.UpstreamDraining
	require.Equal(t, want, merged)
}

func TestConflictsShowBothValues(t *testing.T) {
	base, ours, theirs := account(), account(), account()
	ours.RequestRate, theirs.RequestRate = 20, 30
	ours.Services[0].Upstreams[0].Slots = 3
	theirs.Services[0].Upstreams = theirs.Services[0].Upstreams[1:]
	ours.Services = ours.Services[:1]
	theirs.Services[1].QueueLimit = 9
	_, conflicts := MergeAccounts(base, ours, theirs)
	require.Len(t, conflicts, 3)
	require.Equal(t, "request-rate: was 10/s, ours 20/s, theirs 30/s", conflicts[0].String())
	require.Equal(t, "service orders/upstream u1", conflicts[1].Path)
	require.Equal(t, "absent", conflicts[1].Theirs)
	require.Equal(t, "absent", conflicts[2].Ours)
}

func TestConcurrentlyAddedServicesConflict(t *testing.T) {
	base, ours, theirs := account(), account(), account()
	ours.Services = append(ours.Services, config.Service{Name: "x", Priority: config.PriorityUrgent})
	theirs.Services = append(theirs.Services, config.Service{Name: "x", Priority: config.PriorityBulk})
	_, conflicts := MergeAccounts(base, ours, theirs)
	require.Len(t, conflicts, 1)
}

func TestDeclaredOmitsDrainsByCommand(t *testing.T) {
	a := account()
	a.ID, a.Services[0].Upstreams[0].ID = 4, 5
	a.Services[0].Upstreams[0].State = config.UpstreamDraining
	d := &config.Document{Account: a, Drained: []string{"u1"}}
	require.Equal(t, account(), Declared(d))
	require.EqualValues(t, 5, a.Services[0].Upstreams[0].ID)
}

// drawAccount returns an account with up to four random changes.
func drawAccount(t *rapid.T, label string) *config.Account {
	a := account()
	for i := range rapid.IntRange(0, 4).Draw(t, label) {
		value := rapid.IntRange(0, 3).Draw(t, fmt.Sprint(label, i))
		switch rapid.IntRange(0, 5).Draw(t, "field") {
		case 0:
			a.RequestRate = float64(value)
		case 1:
			a.Services[0].QueueLimit = value
		case 2:
			a.Services[0].Upstreams[0].Slots = value
		case 3:
			a.Services[0].Upstreams = a.Services[0].Upstreams[:1]
		case 4:
			a.Services = a.Services[:1]
		case 5:
			a.Services[0].Priority = config.Priority(value % 3)
		}
	}
	return a
}

// TestMergeLosesNoChange fails if a merge without conflicts reverts a change of one
// side, or if its result depends on the order of the two sides.
func TestMergeLosesNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := account()
		ours, theirs := drawAccount(t, "ours"), drawAccount(t, "theirs")
		merged, conflicts := MergeAccounts(base, ours, theirs)
		swapped, swappedConflicts := MergeAccounts(base, theirs, ours)
		require.Len(t, swappedConflicts, len(conflicts))
		if len(conflicts) > 0 {
			return
		}
		require.Equal(t, merged, swapped)
		document := func(a *config.Account) *config.Document { return &config.Document{Account: a} }
		for _, d := range Diff(document(base), document(ours)) {
			require.NotContains(t, Diff(document(ours), document(merged)), Difference{Path: d.Path, Old: d.New, New: d.Old})
		}
		same, _ := MergeAccounts(base, ours, base)
		require.Empty(t, Diff(document(ours), document(same)))
	})
}

// TestEveryFieldIsCompared fails if a configuration type gains a field that the
// comparison does not cover.
func TestEveryFieldIsCompared(t *testing.T) {
	const serviceNotCompared = 3 // ID, Name, Upstreams
	require.Equal(t, reflect.TypeFor[config.Service]().NumField(), len(serviceFields(&config.Service{}))+serviceNotCompared)
	const upstreamOrHostNotCompared = 2 // ID, Name of an upstream; Name, Zone of a host
	require.Equal(t, reflect.TypeFor[config.Upstream]().NumField(), len(upstreamFields(&config.Upstream{}))+upstreamOrHostNotCompared)
	const accountNotCompared = 4 // ID, Name, Revision, Services
	require.Equal(t, reflect.TypeFor[config.Account]().NumField(), len(accountFields(&config.Account{}))+accountNotCompared)
	plan := &config.ZonePlan{Hosts: []config.Host{{}}}
	require.Equal(t, reflect.TypeFor[config.Host]().NumField(), len(zoneFields(plan))+upstreamOrHostNotCompared)
}
