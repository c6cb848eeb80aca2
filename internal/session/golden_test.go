package session

import (
	"net/netip"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
	"mimosashore.example/mimosashore/internal/forward"
	"mimosashore.example/mimosashore/internal/standin/upstream"
	"mimosashore.example/mimosashore/internal/verdict"
	"mimosashore.example/mimosashore/internal/wire"
)

// smallSettings returns settings with three hosts in one availability zone, two
// upstreams of Pedidos and one of Medidas.
func smallSettings() Settings {
	s := DefaultSettings(1)
	s.Transcript = true
	s.Hosts = []HostSpec{{"h1", ZoneA}, {"h2", ZoneA}, {"h3", ZoneA}}
	s.AnswerSize = 40
	s.Snapshot = EditSnapshot(s.Snapshot, func(snap *config.Snapshot) {
		snap.Accounts = snap.Accounts[:1]
		pedidos, medidas := &snap.Accounts[0].Services[0], &snap.Accounts[0].Services[1]
		pedidos.Upstreams = pedidos.Upstreams[:2]
		pedidos.Upstreams[1].Zone = ZoneA
		medidas.Upstreams = medidas.Upstreams[:1]
	})
	return s
}

// owner returns the host that owns the flow of the caller, which must be the only
// caller with a flow. It returns nil if no host owns a flow.
func owner(sim *Simulation, c *Caller) *Host {
	for _, h := range sim.Hosts() {
		if h.core.Load().Flows > 0 {
			return h
		}
	}
	return nil
}

// startCaller starts a caller of Pedidos without a stream and waits for its flow.
func startCaller(sim *Simulation) *Caller {
	c := sim.AddCaller("dealer", CubiertaVerde, Pedidos, false)
	sim.Run(50 * millisecond)
	return c
}

func requireVerdict(t *testing.T, q *Request, v verdict.Verdict, runs int) {
	t.Helper()
	require.True(t, q.Done, q.Label)
	require.Equal(t, v.String(), q.Result.Verdict.String(), q.Label)
	require.Equal(t, runs, q.Caller.sim.Runs(q.Label), "runs of "+q.Label)
}

// goldenSessions are scripted sessions whose transcripts are compared with golden
// files. The number after "promise" groups them by guarantee:
//
//  1. Planned changes, and the death of a flow's owner, don't break streams.
//  2. No datagram of a flow reaches an upstream of another service or account.
//  3. Answers are complete.
//  4. A request that is reported as not run was not run.
//  5. A non-idempotent request runs at most once, whatever fails.
//  6. Draining upstreams get no new work.
//  7. A planned stop of a host finishes its requests.
var goldenSessions = []struct {
	name   string
	change func(s *Settings)
	script func(t *testing.T, sim *Simulation)
}{
	{"promise1_stream_survives_planned_stop_of_each_host", nil, func(t *testing.T, sim *Simulation) {
		c := sim.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		sim.Run(500 * millisecond)
		for _, h := range sim.Hosts() {
			h.Stop()
			sim.Run(sim.Now() + 4*second)
			h.Start()
			sim.Run(sim.Now() + 3*second)
		}
		require.Zero(t, c.Broken)
		require.GreaterOrEqual(t, len(c.Pushes), 80, "one message per 250 ms for 21.5 s")
	}},
	{"promise1_stream_survives_death_of_its_owner", nil, func(t *testing.T, sim *Simulation) {
		c := sim.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		sim.Run(500 * millisecond)
		owner(sim, c).Kill()
		sim.Run(6 * second)
		require.Zero(t, c.Broken)
		require.GreaterOrEqual(t, len(c.Pushes), 20)
	}},
	{"promise1_stream_moves_off_a_draining_upstream", nil, func(t *testing.T, sim *Simulation) {
		c := sim.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		sim.Run(500 * millisecond)
		_, from, _ := c.core.Flow()
		sim.Publish(DrainUpstream(sim.snapshot, from), second)
		sim.Run(4 * second)
		_, to, _ := c.core.Flow()
		require.NotEqual(t, from, to)
		require.Zero(t, c.Broken)
	}},
	{"promise1_keys_rotate_under_an_open_stream", nil, func(t *testing.T, sim *Simulation) {
		c := sim.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		sim.Run(500 * millisecond)
		for key := uint8(2); key < 4; key++ {
			sim.Publish(AddKey(sim.snapshot, key), second)
			sim.Run(sim.Now() + 2*second)
			sim.Publish(ActivateKey(sim.snapshot, 1), second)
			sim.Run(sim.Now() + 2*second)
		}
		require.Zero(t, c.Broken)
	}},
	{"promise2_foreign_identifiers_are_dropped", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		forged := wire.New(wire.KindStream, 0)
		id := flowid.Flow{Account: CubiertaVerde, Service: Medidas, Upstream: FirstUpstream, Nonce: 9, Owner: sim.Hosts()[0].instance}
		keys := flowid.NewKeys([]flowid.Key{{ID: 1, Secret: [flowid.KeySize]byte{9}}})
		require.True(t, keys.Seal(forged.Flow(), &id))
		sim.sendViaFabric(c, c.address, forged)
		sealed := wire.New(wire.KindStream, 0)
		require.True(t, sim.Hosts()[0].table.Keys.Seal(sealed.Flow(), &id))
		sim.sendViaFabric(c, c.address, sealed)
		sim.Run(second)
		forgedDrops, foreignDrops := 0, 0
		for _, h := range sim.Hosts() {
			forgedDrops += h.Drops(forward.ReasonForged)
			foreignDrops += h.Drops(forward.ReasonForeignUpstream)
		}
		require.Equal(t, 1, forgedDrops)
		require.Equal(t, 1, foreignDrops, "the identifier names an upstream of another service")
	}},
	{"promise2_account_deleted_and_created_again", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		again := EditSnapshot(sim.snapshot, func(s *config.Snapshot) {
			a := &s.Accounts[0]
			a.ID, a.Services = 3, a.Services[:1]
			a.Services[0].ID = 31
			for i := range a.Services[0].Upstreams {
				a.Services[0].Upstreams[i].ID += 200
				a.Services[0].Upstreams[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, 0, byte(i)}), 9000)
			}
		})
		sim.Publish(again, 0)
		sim.Run(second)
		q := c.Send("order of the former account", 20, false, second)
		sim.Run(4 * second)
		requireVerdict(t, q, verdict.NotRun, 0)
	}},
	{"promise2_upstream_address_given_to_another_service", nil, func(t *testing.T, sim *Simulation) {
		c := sim.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		sim.Run(500 * millisecond)
		_, id, _ := c.core.Flow()
		sim.Upstream(id).Kill()
		sim.Publish(EditSnapshot(sim.snapshot, func(s *config.Snapshot) {
			services := s.Accounts[0].Services
			address := sim.Upstream(id).Address()
			removeUpstream(s, id)
			u := newUpstream(900, "medidas-new", ZoneA)
			u.Address = address
			services[1].Upstreams = append(services[1].Upstreams, u)
		}), 0)
		sim.Run(10 * second)
		require.Equal(t, 1, c.Broken)
		require.Zero(t, sim.Upstream(900).Foreign())
		require.Greater(t, c.PushTimes[len(c.PushTimes)-1], 9*second)
	}},
	{"promise3_whole_answer_in_parts_through_all_hosts", func(s *Settings) {
		s.AnswerSize = 5000
		s.Faults = Faults{Loss: 0.1, Duplicate: 0.3, DuplicateDelay: 100 * millisecond, Jitter: 20 * millisecond}
	}, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(second)
		q := c.Send("order", 3000, false, 3*second)
		sim.Run(4 * second)
		requireVerdict(t, q, verdict.Ran, 1)
	}},
	{"promise4_lost_forwards_end_as_not_run", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(second)
		q := c.Send("order", 20, false, 300*millisecond)
		sim.Run(sim.Now() + 2*millisecond)
		for _, u := range sim.Upstreams() {
			delete(sim.endpoints, u.Address())
		}
		sim.Run(sim.Now() + 310*millisecond)
		for _, u := range sim.Upstreams() {
			sim.endpoints[u.Address()] = u
		}
		sim.Run(3 * second)
		requireVerdict(t, q, verdict.NotRun, 0)
	}},
	{"promise4_cancel_of_a_waiting_request", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(3 * second)
		var all []*Request
		for _, label := range []string{"first", "second", "third", "fourth", "fifth"} {
			all = append(all, c.Send(label, 20, false, second))
		}
		sim.Run(sim.Now() + 20*millisecond)
		// Result.Handle is still zero; handles count from one, so the fifth request has 5.
		c.core.Cancel(sim.Now(), all[4].Result.Handle+5, &c.out)
		c.applyEffects()
		sim.Run(6 * second)
		requireVerdict(t, all[4], verdict.NotRun, 0)
	}},
	{"promise5_copies_at_several_hosts_run_once", func(s *Settings) {
		s.Faults = Faults{Duplicate: 1, DuplicateDelay: 50 * millisecond}
	}, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(second)
		q := c.Send("order", 20, false, second)
		sim.Run(3 * second)
		requireVerdict(t, q, verdict.Ran, 1)
	}},
	{"promise5_owner_killed_before_forwarding", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(second)
		q := c.Send("order", 20, false, 3*second)
		owner(sim, c).Kill()
		sim.Run(6 * second)
		requireVerdict(t, q, verdict.MayHaveRun, 0)
	}},
	{"promise5_owner_killed_after_forwarding", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(second)
		q := c.Send("order", 20, false, 3*second)
		sim.Run(sim.Now() + 5*millisecond)
		owner(sim, c).Kill()
		sim.Run(6 * second)
		requireVerdict(t, q, verdict.Ran, 1)
	}},
	{"promise5_owner_frozen_past_the_deadline_and_woken", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(second)
		h := owner(sim, c)
		h.Freeze()
		q := c.Send("order", 20, false, second)
		sim.Run(4 * second)
		h.Unfreeze(false)
		next := c.Send("next", 20, false, second)
		sim.Run(7 * second)
		requireVerdict(t, q, verdict.MayHaveRun, 0)
		requireVerdict(t, next, verdict.Ran, 1)
	}},
	{"promise5_owner_frozen_beyond_the_upstreams_memory", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(second)
		q := c.Send("order", 20, false, 2*time.Minute)
		sim.Run(sim.Now() + 5*millisecond)
		h := owner(sim, c)
		h.Freeze()
		sim.Run(50 * second)
		h.buffer = nil
		h.Unfreeze(true)
		sim.Run(60 * second)
		requireVerdict(t, q, verdict.Ran, 1)
	}},
	{"promise5_owner_restarted_at_the_same_address", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(second)
		h := owner(sim, c)
		q := c.Send("order", 20, false, 3*second)
		h.Kill()
		h.Start()
		sim.Run(6 * second)
		requireVerdict(t, q, verdict.MayHaveRun, 0)
	}},
	{"promise5_upstream_runs_and_dies_before_answering", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(second)
		q := c.Send("order", 20, false, 3*second)
		sim.Run(sim.Now() + 30*millisecond)
		for _, u := range sim.Upstreams() {
			u.Kill()
			u.Start()
		}
		sim.Run(6 * second)
		requireVerdict(t, q, verdict.MayHaveRun, 1)
	}},
	{"promise5_idempotent_request_moves_to_another_upstream", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(second)
		q := c.Send("quote", 20, true, 3*second)
		sim.Run(sim.Now() + 30*millisecond)
		for _, u := range sim.Upstreams() {
			if u.core.Running() > 0 {
				u.Kill()
				u.Start()
			}
		}
		sim.Run(6 * second)
		requireVerdict(t, q, verdict.Ran, 2)
	}},
	{"promise6_draining_upstream_gets_no_new_work", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		draining := FirstUpstream
		sim.Run(3 * second)
		sim.Publish(DrainUpstream(sim.snapshot, draining), 2*second)
		sim.every(400*millisecond, func() bool {
			c.Send("order at "+sim.Now().String(), 20, false, second)
			return sim.Now() < 7*second
		})
		sim.Run(9 * second)
		require.Empty(t, sim.Violations())
		last := lastRun(sim.Upstream(draining))
		require.Less(t, last, 5*second, "the upstream must not run requests once all hosts have the configuration")
	}},
	{"promise6_host_without_the_configuration_believes_the_load_endpoint", nil, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		draining := sim.Upstream(FirstUpstream)
		sim.Run(3 * second)
		draining.Leaving = true
		for _, h := range sim.Hosts() {
			if h != owner(sim, c) {
				h.setSnapshot(1, DrainUpstream(sim.snapshot, draining.id))
			}
		}
		sim.every(500*millisecond, func() bool {
			c.Send("order at "+sim.Now().String(), 20, false, second)
			return sim.Now() < 8*second
		})
		sim.Run(10 * second)
		require.Less(t, lastRun(draining), 5*second)
		require.NotEmpty(t, sim.Requests())
	}},
	{"promise7_planned_stop_finishes_a_request_in_parts", func(s *Settings) {
		s.AnswerSize = 4000
		s.ServiceTime = 400 * millisecond
	}, func(t *testing.T, sim *Simulation) {
		c := startCaller(sim)
		sim.Run(second)
		running := c.Send("running", 3000, false, 4*second)
		sim.Run(sim.Now() + 100*millisecond)
		h := owner(sim, c)
		h.Stop()
		next := c.Send("next", 3000, false, 4*second)
		sim.Run(8 * second)
		requireVerdict(t, running, verdict.Ran, 1)
		requireVerdict(t, next, verdict.Ran, 1)
		require.False(t, h.Running())
	}},
	{"silent_upstream_flow_is_lost_and_opened_anew", nil, func(t *testing.T, sim *Simulation) {
		c := sim.AddCaller("dealer", CubiertaVerde, Pedidos, true)
		sim.Run(500 * millisecond)
		for _, u := range sim.Upstreams() {
			if u.core.Flows() > 0 {
				u.SetFaults(upstream.Faults{Silent: true})
			}
		}
		sim.Run(9 * second)
		require.Equal(t, 1, c.Broken)
		require.Greater(t, c.PushTimes[len(c.PushTimes)-1], 8*second)
	}},
}

// lastRun returns the time of the upstream's latest run, or zero if it ran nothing.
func lastRun(u *Upstream) time.Duration {
	var last time.Duration
	for _, r := range u.Runs() {
		last = max(last, r.At)
	}
	return last
}

// TestGoldenSessions guards against violated guarantees in the scripted sessions and
// against unintended changes of the datagrams and decisions in their transcripts.
func TestGoldenSessions(t *testing.T) {
	for _, test := range goldenSessions {
		t.Run(test.name, func(t *testing.T) {
			s := smallSettings()
			if test.change != nil {
				test.change(&s)
			}
			sim := New(s)
			test.script(t, sim)
			require.Empty(t, sim.Violations())
			goldie.New(t).Assert(t, test.name, sim.Transcript())
		})
	}
}
