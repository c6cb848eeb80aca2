package dsr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/directory"
)

// evacuate applies the state of evacuations of zones at a new revision.
func (f *fixture) evacuate(state directory.EvacuationState, zones ...string) {
	f.rev++
	ch := &directory.Change{Revision: f.rev}
	for _, z := range zones {
		ch.Evacuations = append(ch.Evacuations, directory.Evacuation{Key: "evacuate/" + z, Zone: z, State: state, Revision: f.rev})
	}
	f.core.Apply(f.now, ch)
}

// countEvents returns the number of records of each event since the last call.
func (f *fixture) countEvents() map[string]int {
	out := make(map[string]int)
	for _, r := range f.core.TakeRecords() {
		out[r.Event]++
	}
	return out
}

// newFlowZones opens flows and returns the zones of their upstreams.
func (f *fixture) newFlowZones() string {
	zones := make(map[string]bool)
	for range 60 {
		if c := f.caller(streamPort); c.sendSYN().Action == Forward {
			zones[f.upstream(c).Zone] = true
		}
		f.advance(300 * time.Millisecond)
	}
	out := ""
	for _, z := range []string{"a", "b", "c", "x"} {
		if zones[z] {
			out += z
		}
	}
	return out
}

// Guards against new flows in an evacuated zone, and against entries that change something else.
func TestEvacuationDecidesZonesOfNewFlows(t *testing.T) {
	inForce, ended, unreadable := directory.EvacuationInForce, directory.EvacuationEnded, directory.EvacuationUnreadable
	apply := func(state directory.EvacuationState, zones ...string) func(*fixture) {
		return func(f *fixture) { f.evacuate(state, zones...) }
	}
	full := func(state directory.EvacuationState, zones ...string) func(*fixture) {
		return func(f *fixture) {
			f.rev++
			ch := &directory.Change{Full: true, Revision: f.rev}
			for _, u := range f.core.byKey {
				ch.Upstreams = append(ch.Upstreams, u.Upstream)
			}
			for _, z := range zones {
				ch.Evacuations = append(ch.Evacuations, directory.Evacuation{Zone: z, State: state, Revision: f.rev})
			}
			f.core.Apply(f.now, ch)
		}
	}
	for _, c := range []struct {
		what  string
		steps []func(*fixture)
		want  string
	}{
		{"nothing", nil, "abc"},
		{"own zone", []func(*fixture){apply(inForce, "a")}, "bc"},
		{"two zones", []func(*fixture){apply(inForce, "a", "c")}, "b"},
		{"unknown zone", []func(*fixture){apply(inForce, "x")}, "abc"},
		{"ended", []func(*fixture){apply(inForce, "a"), apply(ended, "a")}, "abc"},
		{"unreadable", []func(*fixture){apply(unreadable, "a")}, "abc"},
		{"overwritten by an unreadable one", []func(*fixture){apply(inForce, "a"), apply(unreadable, "a"), full(unreadable, "a")}, "bc"},
		{"full read with it", []func(*fixture){full(inForce, "a")}, "bc"},
		{"full read without it", []func(*fixture){apply(inForce, "a"), full(inForce)}, "abc"},
		{"older removal", []func(*fixture){apply(inForce, "a"), func(f *fixture) {
			f.core.Apply(f.now, &directory.Change{Revision: f.rev, Evacuations: []directory.Evacuation{{Zone: "a", State: ended, Revision: 1}}})
		}}, "bc"},
		{"lost by the store", []func(*fixture){apply(inForce, "a"), func(f *fixture) {
			f.core.Apply(f.now, &directory.Change{Full: true, Era: 1, Revision: 5, Upstreams: allOf(f), Evacuations: []directory.Evacuation{{Zone: "a", Revision: f.rev}}})
		}}, "bc"},
		{"upstreams that move to the zone, and register there later", []func(*fixture){apply(inForce, "x"), func(f *fixture) {
			moved := testUpstream(1, "orders", "x")
			f.register(moved, testUpstream(2, "orders", "x"), testUpstream(7, "orders", "x"))
		}}, "bc"},
	} {
		f := newFixture(t)
		f.caller(streamPort).sendSYN()
		for _, step := range c.steps {
			step(f)
		}
		// Without the limits of pacing, all usable upstreams are chosen.
		f.core.services["orders"].setWork(time.Millisecond)
		require.Equal(t, c.want, f.newFlowZones(), c.what)
		for _, u := range f.core.byKey {
			require.False(t, u.evacuated && u.share > 0, c.what)
		}
	}
}

func allOf(f *fixture) (out []directory.Upstream) {
	for _, u := range f.core.byKey {
		d := u.Upstream
		d.Era, d.Revision = 1, 5
		out = append(out, d)
	}
	return out
}

// Guards against a copy of a SYN that opens a flow in an evacuated zone, and against one that goes to a
// second upstream while the first may still answer. Open flows go on.
func TestSYNRetransmitAfterEvacuation(t *testing.T) {
	f := newFixture(t)
	open := f.openFlow(streamPort)
	c := f.caller(streamPort)
	c.sendSYN()
	first := f.upstream(c)
	f.evacuate(directory.EvacuationInForce, first.Zone, f.upstream(open).Zone)
	require.Equal(t, Effect{Action: Drop, Reason: ReasonEvacuated}, c.retransmitSYN(1))
	require.Equal(t, Forward, c.completeHandshake().Action, "the upstream has answered the first copy")
	require.Equal(t, Forward, open.request().Action)

	c = f.caller(streamPort)
	c.sendSYN()
	first = f.upstream(c)
	f.evacuate(directory.EvacuationInForce, first.Zone)
	f.advance(600 * time.Millisecond)
	require.Equal(t, ReasonMoved, c.retransmitSYN(2).Reason)
	require.NotEqual(t, first.Zone, f.upstream(c).Zone)
}

// Guards against callers that wait for an answer that no host will send, a reset of a flow that another
// host may have opened, and a log line for each flow or none.
func TestAllZonesEvacuated(t *testing.T) {
	f := newFixture(t)
	f.countEvents()
	f.evacuate(directory.EvacuationInForce, "a", "b", "c", "x")
	require.Equal(t, Effect{Action: Reset, Reason: ReasonEvacuated}, f.caller(streamPort).sendSYN())
	require.Equal(t, Effect{Action: Drop, Reason: ReasonEvacuated}, f.caller(streamPort).retransmitSYN(1))
	zones, services := f.core.EvacuatedZones()
	require.Equal(t, []int{4, 1}, []int{zones, services})
	f.evacuate(directory.EvacuationInForce, "a")
	require.Equal(t, EvacuationState{Zone: "a", Revision: uint64(f.rev)}, f.core.State(f.now).EvacuatedZones[0])
	f.evacuate(directory.EvacuationEnded, "b", "c")
	require.Equal(t, Forward, f.caller(streamPort).sendSYN().Action)
	_, services = f.core.EvacuatedZones()
	require.Zero(t, services)
	require.Equal(t, map[string]int{
		"availability zone evacuated": 4, "evacuated availability zone has no upstream": 1, "availability zone in use again": 2,
		"all zones of the service are evacuated, its new flows are rejected": 1, "service is no longer evacuated in all zones": 1,
		"flow refused": 1, "flow not opened": 1, "flow opened": 1,
	}, f.countEvents())
}
